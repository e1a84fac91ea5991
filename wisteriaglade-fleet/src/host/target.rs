//! The HTTP client for the host's own target.
//!
//! It keeps a pool of idle connections. Its results tell whether a failed
//! request may have run, on which a repeat depends.

use std::{net::SocketAddr, sync::Mutex, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt as _, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, timeout},
};
use tracing::debug;

use crate::lock;

/// How long it may take to connect to the target, which runs on the same
/// host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// The longest time for which a connection may be idle to be used for a request
/// that may run only once. The target may have closed an older one, and it would
/// be unknown whether the request ran.
const ONCE_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a connection may be idle before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// The highest number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Why a request got no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Failure {
    /// The request was not sent, so the target has not run it.
    Unsent(&'static str),
    /// The request was sent, and the target may have run it.
    Broken(String),
}

/// An HTTP/1 connection to the target.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// The task that reads and writes the connection.
    driver: JoinHandle<()>,
    /// When its last response was complete, or when it was opened.
    last_used: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closes the connection, which tells the target that the request was
        // cancelled.
        self.driver.abort();
    }
}

/// The HTTP client for the target, with its idle connections.
#[derive(Debug)]
pub(super) struct Client {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
}

impl Client {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Sends a request and reads the whole response. Dropping the future closes
    /// the connection.
    ///
    /// A `repeatable` request may use a connection that has been idle longer.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unsent`] if the request has not run and
    /// [`Failure::Broken`] if it may have run.
    pub(super) async fn call(
        &self,
        request: Request<Full<Bytes>>,
        repeatable: bool,
    ) -> Result<Response<Bytes>, Failure> {
        let mut request = request;
        if let Some(mut connection) = self.take_idle(repeatable) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return self.read_response(connection, response).await,
                Err(mut error) => match error.take_message() {
                    // The connection was closed before the request was written.
                    Some(unsent) => request = unsent,
                    None => return Err(Failure::Broken(error.into_error().to_string())),
                },
            }
        }
        let mut connection = self.connect().await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => self.read_response(connection, response).await,
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Failure::Unsent(
                    "the connection was closed before the request was written",
                )),
                None => Err(Failure::Broken(error.into_error().to_string())),
            },
        }
    }

    /// Closes connections that have been idle too long, before the target closes
    /// them.
    pub(super) fn close_stale(&self) {
        lock(&self.idle)
            .retain(|idle| idle.last_used.elapsed() < IDLE_TIMEOUT && !idle.sender.is_closed());
    }

    /// Takes an idle connection that is fit for the request, the last used first.
    fn take_idle(&self, repeatable: bool) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        while let Some(connection) = idle.pop() {
            let age = connection.last_used.elapsed();
            let limit = if repeatable {
                IDLE_TIMEOUT
            } else {
                ONCE_IDLE_TIMEOUT
            };
            if age < limit && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self) -> Result<Connection, Failure> {
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Err(Failure::Unsent("the target cannot be connected to")),
            Err(_) => return Err(Failure::Unsent("the connection to the target timed out")),
        };
        if let Err(error) = stream.set_nodelay(true) {
            debug!(event = "nodelay-refused", error = %error);
        }
        let Ok((sender, driver)) = http1::handshake(TokioIo::new(stream)).await else {
            return Err(Failure::Unsent(
                "the connection to the target could not be set up",
            ));
        };
        let driver = tokio::spawn(async move {
            if let Err(error) = driver.await {
                debug!(event = "target-connection-broken", error = %error);
            }
        });
        Ok(Connection {
            sender,
            driver,
            last_used: Instant::now(),
        })
    }

    /// Reads the body of a response and keeps the connection for another request
    /// unless the target closes it.
    async fn read_response(
        &self,
        mut connection: Connection,
        response: Response<Incoming>,
    ) -> Result<Response<Bytes>, Failure> {
        let (head, body) = response.into_parts();
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return Err(Failure::Broken(error.to_string())),
        };
        let closes = head
            .headers
            .get(http::header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if !closes {
            connection.last_used = Instant::now();
            let mut idle = lock(&self.idle);
            if idle.len() < MAX_IDLE_CONNECTIONS {
                idle.push(connection);
            }
        }
        Ok(Response::from_parts(head, body))
    }
}
