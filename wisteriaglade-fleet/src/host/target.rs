//! Connections to the target.

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

/// How long a connection to the target may take. It is on the same machine.
const CONNECT: Duration = Duration::from_millis(600);

/// Idle connections older than this are not used for requests that may run
/// only once: the target may have dropped them.
const FRESH: Duration = Duration::from_secs(2);

/// Idle connections older than this are closed.
const IDLE: Duration = Duration::from_secs(6);

/// Idle connections that are kept.
const KEPT: usize = 32;

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Failure {
    /// The target was never sent the request.
    Unsent(&'static str),
    /// The target may have run the request.
    Broken(String),
}

#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    used: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        // Closing the connection tells the target that nobody waits.
        self.driver.abort();
    }
}

/// Connections to the target.
#[derive(Debug)]
pub(super) struct Target {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
}

impl Target {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Sends a request and reads the whole answer. Dropping the future closes
    /// the connection.
    pub(super) async fn call(
        &self,
        request: Request<Full<Bytes>>,
        repeatable: bool,
    ) -> Result<Response<Bytes>, Failure> {
        let mut request = request;
        if let Some(mut connection) = self.reuse(repeatable) {
            match connection.sender.try_send_request(request).await {
                Ok(response) => return self.read(connection, response).await,
                Err(mut error) => match error.take_message() {
                    // The connection had ended before the request was written.
                    Some(unsent) => request = unsent,
                    None => return Err(Failure::Broken(error.into_error().to_string())),
                },
            }
        }
        let mut connection = self.connect().await?;
        match connection.sender.try_send_request(request).await {
            Ok(response) => self.read(connection, response).await,
            Err(mut error) => match error.take_message() {
                Some(_) => Err(Failure::Unsent("the connection ended before the request")),
                None => Err(Failure::Broken(error.into_error().to_string())),
            },
        }
    }

    /// Closes idle connections that the target is about to close.
    pub(super) fn look(&self) {
        lock(&self.idle).retain(|idle| idle.used.elapsed() < IDLE && !idle.sender.is_closed());
    }

    fn reuse(&self, repeatable: bool) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        while let Some(connection) = idle.pop() {
            let age = connection.used.elapsed();
            let limit = if repeatable { IDLE } else { FRESH };
            if age < limit && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    async fn connect(&self) -> Result<Connection, Failure> {
        let stream = match timeout(CONNECT, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(_)) => return Err(Failure::Unsent("the connection was refused")),
            Err(_) => return Err(Failure::Unsent("the connection was not established")),
        };
        if let Err(error) = stream.set_nodelay(true) {
            debug!(event = "nodelay-refused", error = %error);
        }
        let Ok((sender, driver)) = http1::handshake(TokioIo::new(stream)).await else {
            return Err(Failure::Unsent("the connection was not established"));
        };
        let driver = tokio::spawn(async move {
            if let Err(error) = driver.await {
                debug!(event = "target-connection-broken", error = %error);
            }
        });
        Ok(Connection {
            sender,
            driver,
            used: Instant::now(),
        })
    }

    async fn read(
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
            connection.used = Instant::now();
            let mut idle = lock(&self.idle);
            if idle.len() < KEPT {
                idle.push(connection);
            }
        }
        Ok(Response::from_parts(head, body))
    }
}
