//! The HTTP client towards the target beside this process.

use std::{net::SocketAddr, time::Duration};

use http::{Request, Response, Uri};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as Legacy, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use crate::body::Body;

/// How long an unused connection to the target is kept.
const IDLE: Duration = Duration::from_mins(1);

/// The time after which bytes that the target's host has not acknowledged end
/// the connection.
const UNACKNOWLEDGED: Duration = Duration::from_secs(1);

/// How long an unused connection may be used for work that runs at most once,
/// since such work cannot be sent again when the connection turns out silent.
const RECENT: Duration = Duration::from_secs(1);

/// A client with pooled connections.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    pooled: Legacy<HttpConnector, Body>,
    recent: Legacy<HttpConnector, Body>,
    fresh: Legacy<HttpConnector, Body>,
}

/// Over which connection a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Path {
    /// Any unused one.
    Pooled,
    /// One that was in use a moment ago, or a new one.
    Recent,
    /// A new one.
    Fresh,
}

/// Why a request to the target failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Error {
    /// Nothing of the request was sent, so the work did not start.
    Unsent(String),
    /// The connection failed after the request may have been sent.
    Broken(String),
}

impl Client {
    pub(crate) fn new(connect: Duration, connections: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect));
        connector.set_keepalive(Some(UNACKNOWLEDGED));
        connector.set_keepalive_interval(Some(UNACKNOWLEDGED));
        connector.set_keepalive_retries(Some(2));
        connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED));
        let client = |idle: Duration, kept: usize| {
            Legacy::builder(TokioExecutor::new())
                .pool_idle_timeout(idle)
                .pool_timer(TokioTimer::new())
                .pool_max_idle_per_host(kept)
                // A request on a connection that the target closed must not
                // be sent again by the client: the router decides on retries.
                .retry_canceled_requests(false)
                .build(connector.clone())
        };
        Self {
            pooled: client(IDLE, connections),
            recent: client(RECENT, connections),
            fresh: client(IDLE, 0),
        }
    }

    /// Sends a request and returns the start of its response.
    pub(crate) async fn send(
        &self,
        path: Path,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<Response<Incoming>, Error> {
        let target = request
            .uri()
            .path_and_query()
            .map_or("/", http::uri::PathAndQuery::as_str);
        let uri = Uri::builder()
            .scheme("http")
            .authority(address.to_string())
            .path_and_query(target)
            .build()
            .map_err(|error| Error::Unsent(error.to_string()))?;
        *request.uri_mut() = uri;
        let client = match path {
            Path::Pooled => &self.pooled,
            Path::Recent => &self.recent,
            Path::Fresh => &self.fresh,
        };
        client.request(request).await.map_err(|error| {
            if error.is_connect() || unsent(&error) {
                Error::Unsent(error.to_string())
            } else {
                Error::Broken(error.to_string())
            }
        })
    }
}

/// Whether the connection was closed before the request was written to it.
fn unsent(error: &hyper_util::client::legacy::Error) -> bool {
    std::error::Error::source(error)
        .and_then(|source| source.downcast_ref::<hyper::Error>())
        .is_some_and(hyper::Error::is_canceled)
}
