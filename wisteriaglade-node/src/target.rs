//! The HTTP client for this node's target.

use std::{net::SocketAddr, time::Duration};

use http::{Request, Response, Uri};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as Legacy, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use crate::body::Body;

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
#[derive(Debug, Clone)]
pub(crate) struct Client {
    pooled: Legacy<HttpConnector, Body>,
    recent: Legacy<HttpConnector, Body>,
    /// Keeps no idle connections.
    unpooled: Legacy<HttpConnector, Body>,
}

/// The kind of connection that a request is sent over.
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
}

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
        }
    }

    /// Sends a request and returns the head of the response, whose body is
    /// streamed.
    pub(crate) async fn send(
        &self,
        connection: Connection,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<Response<Incoming>, Error> {
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
        let client = match connection {
            Connection::Pooled => &self.pooled,
            Connection::Recent => &self.recent,
            Connection::Unpooled => &self.unpooled,
        };
        client.request(request).await.map_err(|error| {
            if error.is_connect() || is_unsent(&error) {
                Error::Unsent(error.to_string())
            } else {
                Error::Broken(error.to_string())
            }
        })
    }
}

/// Returns whether the connection was closed before the request was written.
fn is_unsent(error: &hyper_util::client::legacy::Error) -> bool {
    std::error::Error::source(error)
        .and_then(|source| source.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled)
}
