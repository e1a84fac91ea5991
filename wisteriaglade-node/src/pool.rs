//! The pool of connections to other nodes.

use std::{
    collections::HashMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::Mutex,
    time::{Duration, Instant},
};

use tokio::net::{TcpSocket, TcpStream};
use wisteriaglade_wire::{self as wire, Key};

use crate::{lock, message::Message};

/// An authenticated connection to another node.
pub(crate) type Link = wire::Link<TcpStream>;

/// Time after which an idle connection is dropped. The accepting side waits
/// longer, so that it doesn't close a connection that is about to be used.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Most idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 16;

/// Idle connections to other nodes, by address.
///
/// A connection carries one exchange at a time, so that a long body doesn't
/// delay other exchanges.
#[derive(Debug)]
pub(crate) struct Pool {
    key: Key,
    /// Local address of outgoing connections. It is the address that this process
    /// listens on, so that others can tell hosts apart.
    local: IpAddr,
    /// Timeout of the connection attempt and the handshake together.
    connect_timeout: Duration,
    /// Idle connections, each with the time at which it became idle.
    idle: Mutex<HashMap<SocketAddr, Vec<(Instant, Link)>>>,
}

/// An error of an exchange.
#[derive(Debug)]
pub(crate) enum Error {
    /// The connection could not be opened, so nothing was sent.
    Connect(String),
    /// The link failed after the message may have been sent.
    Link(wire::Error),
    /// No answer arrived in time. The message may have been received.
    Timeout,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connect(detail) => write!(f, "cannot connect: {detail}"),
            Self::Link(error) => error.fmt(f),
            Self::Timeout => f.write_str("no answer in time"),
        }
    }
}

impl From<wire::Error> for Error {
    fn from(error: wire::Error) -> Self {
        Self::Link(error)
    }
}

/// The result of an exchange.
pub(crate) type Result<T> = std::result::Result<T, Error>;

impl Pool {
    pub(crate) fn new(key: Key, local: IpAddr, connect_timeout: Duration) -> Self {
        Self {
            key,
            local,
            connect_timeout,
            idle: Mutex::new(HashMap::new()),
        }
    }

    /// Takes the most recently used idle connection, if there is one.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<Link> {
        let mut idle = lock(&self.idle);
        let links = idle.get_mut(&address)?;
        while let Some((since, link)) = links.pop() {
            if since.elapsed() < IDLE_TIMEOUT {
                return Some(link);
            }
        }
        None
    }

    /// Opens a new connection.
    pub(crate) async fn open(&self, address: SocketAddr) -> Result<Link> {
        let connect = async {
            let stream = self
                .connect_tcp(address)
                .await
                .map_err(|error| Error::Connect(error.to_string()))?;
            let _ = stream.set_nodelay(true);
            Link::connect(stream, &self.key)
                .await
                .map_err(|error| Error::Connect(error.to_string()))
        };
        tokio::time::timeout(self.connect_timeout, connect)
            .await
            .unwrap_or_else(|_| Err(Error::Connect("timed out".to_owned())))
    }

    /// Opens a TCP connection from the local address.
    async fn connect_tcp(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let socket = if address.is_ipv4() {
            TcpSocket::new_v4()?
        } else {
            TcpSocket::new_v6()?
        };
        if self.local.is_ipv4() == address.is_ipv4() {
            socket.bind((self.local, 0).into())?;
        }
        socket.connect(address).await
    }

    /// Returns a connection to the pool after a complete exchange.
    pub(crate) fn put(&self, address: SocketAddr, link: Link) {
        let mut idle = lock(&self.idle);
        let links = idle.entry(address).or_default();
        if links.len() < MAX_IDLE_PER_ADDRESS {
            links.push((Instant::now(), link));
        }
    }

    /// Drops the idle connections to an address. Called when a connection to it
    /// failed or was silent.
    pub(crate) fn discard(&self, address: SocketAddr) {
        lock(&self.idle).remove(&address);
    }

    /// Drops the connections whose idle timeout has passed.
    pub(crate) fn prune(&self) {
        lock(&self.idle).retain(|_, links| {
            links.retain(|(since, _)| since.elapsed() < IDLE_TIMEOUT);
            !links.is_empty()
        });
    }

    /// Sends one message and waits for one answer. If a pooled connection fails
    /// or is silent, the message is sent once more over a new one; `message` must
    /// therefore be idempotent.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        message: &Message,
        timeout: Duration,
    ) -> Result<Message> {
        if let Some(link) = self.take(address) {
            match self.exchange(address, link, message, timeout).await {
                Err(Error::Link(_) | Error::Timeout) => self.discard(address),
                answer => return answer,
            }
        }
        let link = self.open(address).await?;
        self.exchange(address, link, message, timeout).await
    }

    /// Like [`Pool::call`], but always over a new connection and without a
    /// repeat.
    pub(crate) async fn call_unpooled(
        &self,
        address: SocketAddr,
        message: &Message,
        timeout: Duration,
    ) -> Result<Message> {
        let link = self.open(address).await?;
        self.exchange(address, link, message, timeout).await
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        mut link: Link,
        message: &Message,
        timeout: Duration,
    ) -> Result<Message> {
        let exchange = async {
            link.send(message).await?;
            Ok(link.recv::<Message>().await?)
        };
        let answer = tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or(Err(Error::Timeout));
        if answer.is_ok() {
            self.put(address, link);
        }
        answer
    }
}
