//! The HTTP client for this node's target.
//!
//! HTTP matches a response to its request by their order on the connection, so a
//! target that sends a second copy of a response makes it the response of the next
//! request. A target that copies the id of each request to its response is
//! therefore reached over connections that are used again, and a response without
//! the right id is not used. Any other target gets a new connection for each
//! request, on which no earlier response can come.

mod echo;

use std::{net::SocketAddr, sync::Mutex, time::Duration};

use http::{Request, Response, Uri};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{
        Client as Legacy,
        connect::{Connected, HttpConnector, capture_connection},
    },
    rt::{TokioExecutor, TokioTimer},
};

use self::echo::Echo;
use crate::{body::Body, header as names, lock};

/// Time after which an idle connection to the target is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Time after which a connection is closed if the target's host doesn't
/// acknowledge sent bytes. It is also the time and the interval of TCP
/// keepalive probes.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest idle time of a connection that at-most-once work may use. Such work
/// cannot be sent again if the connection turns out to be silent.
const MAX_RECENT_IDLE: Duration = Duration::from_secs(1);

/// An HTTP client with one connection pool for each kind of [`Connection`].
#[derive(Debug)]
pub(crate) struct Client {
    pooled: Legacy<HttpConnector, Body>,
    recent: Legacy<HttpConnector, Body>,
    /// Keeps no idle connections.
    unpooled: Legacy<HttpConnector, Body>,
    /// The address of the target, if its last response carried the id of the
    /// request. Only such a target is reached over [`Connection::Pooled`] and
    /// [`Connection::Recent`].
    echoing: Mutex<Option<SocketAddr>>,
}

/// The kind of connection that a request is sent over, if the target copies the
/// ids of requests. Otherwise each request gets a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Connection {
    /// Any idle connection, or a new one.
    Pooled,
    /// A connection that has been idle for at most [`MAX_RECENT_IDLE`], or a new
    /// one.
    Recent,
    /// A new connection.
    Unpooled,
}

/// An error of a request to the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Error {
    /// Nothing of the request was sent, so the work didn't start.
    Unsent(String),
    /// The connection failed after the request may have been sent.
    Broken(String),
    /// The request was sent, and a response came that belongs to no request or to
    /// another one.
    Foreign(&'static str),
}

/// The result of a request to the target.
pub(crate) type Result<T> = std::result::Result<T, Error>;

impl Client {
    pub(crate) fn new(connect_timeout: Duration, max_idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_keepalive(Some(ACK_TIMEOUT));
        connector.set_keepalive_interval(Some(ACK_TIMEOUT));
        connector.set_keepalive_retries(Some(2));
        connector.set_tcp_user_timeout(Some(ACK_TIMEOUT));
        let client = |idle: Duration, max_idle: usize| {
            Legacy::builder(TokioExecutor::new())
                .pool_idle_timeout(idle)
                .pool_timer(TokioTimer::new())
                .pool_max_idle_per_host(max_idle)
                // The client must not repeat a request whose connection was
                // closed by the target: the router decides on retries.
                .retry_canceled_requests(false)
                .build(connector.clone())
        };
        Self {
            pooled: client(IDLE_TIMEOUT, max_idle),
            recent: client(MAX_RECENT_IDLE, max_idle),
            unpooled: client(IDLE_TIMEOUT, 0),
            echoing: Mutex::default(),
        }
    }

    /// Sends a request and returns the head of the response, whose body is
    /// streamed.
    pub(crate) async fn send(
        &self,
        connection: Connection,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<Response<Incoming>> {
        let path_and_query = request
            .uri()
            .path_and_query()
            .map_or("/", http::uri::PathAndQuery::as_str);
        let uri = Uri::builder()
            .scheme("http")
            .authority(address.to_string())
            .path_and_query(path_and_query)
            .build()
            .map_err(|error| Error::Unsent(error.to_string()))?;
        *request.uri_mut() = uri;
        let reusable = connection != Connection::Unpooled && self.is_echoing(address);
        let client = match connection {
            Connection::Pooled if reusable => &self.pooled,
            Connection::Recent if reusable => &self.recent,
            _ => &self.unpooled,
        };
        let id = request.headers().get(names::REQUEST).cloned();
        let captured = capture_connection(&mut request);
        let response = client.request(request).await.map_err(|error| {
            if error.is_connect() || is_unsent(&error) {
                Error::Unsent(error.to_string())
            } else {
                Error::Broken(error.to_string())
            }
        })?;
        let echo = Echo::of(response.headers(), id.as_ref());
        self.record_echo(address, echo);
        if let Err(error) = echo.verify(reusable) {
            // The response to this request may still come on the connection.
            if let Some(connected) = captured.connection_metadata().as_ref() {
                Connected::poison(connected);
            }
            return Err(error);
        }
        Ok(response)
    }

    /// Whether the last response of the target carried the id of its request.
    fn is_echoing(&self, address: SocketAddr) -> bool {
        *lock(&self.echoing) == Some(address)
    }

    /// Records whether a response of the target carried the id of a request.
    fn record_echo(&self, address: SocketAddr, echo: Echo) {
        let mut echoing = lock(&self.echoing);
        match echo {
            Echo::Own => *echoing = Some(address),
            Echo::Absent if *echoing == Some(address) => *echoing = None,
            Echo::Absent | Echo::Other => {}
        }
    }
}

/// Returns whether the connection was closed before the request was written.
fn is_unsent(error: &hyper_util::client::legacy::Error) -> bool {
    std::error::Error::source(error)
        .and_then(|source| source.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled)
}
