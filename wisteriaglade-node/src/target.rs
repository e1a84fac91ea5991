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

/// A client with pooled connections.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    inner: Legacy<HttpConnector, Body>,
}

/// Why a request to the target failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Error {
    /// No connection was made, so the work did not start.
    Connect(String),
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
        let inner = Legacy::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE)
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(connections)
            // A request on a connection that the target closed must not be
            // sent again by the client: the router decides on retries.
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and returns the start of its response.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<Response<Incoming>, Error> {
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", http::uri::PathAndQuery::as_str);
        let uri = Uri::builder()
            .scheme("http")
            .authority(address.to_string())
            .path_and_query(path)
            .build()
            .map_err(|error| Error::Connect(error.to_string()))?;
        *request.uri_mut() = uri;
        self.inner.request(request).await.map_err(|error| {
            if error.is_connect() {
                Error::Connect(error.to_string())
            } else {
                Error::Broken(error.to_string())
            }
        })
    }
}
