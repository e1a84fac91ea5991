//! HTTP/1.1 servers, and helpers for request and response bodies.

use std::{convert::Infallible, net::SocketAddr};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tracing::debug;

use crate::listener::accept;

/// Handles the requests of one listener.
pub(crate) trait Service: Clone + Send + Sync + 'static {
    /// Handles a request that arrived on a connection from `peer`.
    fn answer(
        &self,
        peer: SocketAddr,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Full<Bytes>>> + Send;
}

/// Serves HTTP on an address until the token is cancelled. Connections then
/// finish the request that they are serving and close.
///
/// # Errors
///
/// When the address cannot be bound.
pub(crate) fn listen<S: Service>(
    address: SocketAddr,
    service: S,
    stop: CancellationToken,
) -> std::io::Result<()> {
    accept(address, stop.clone(), move |stream, peer| {
        serve_connection(stream, peer, service.clone(), stop.clone())
    })
}

/// Serves one connection until it ends.
async fn serve_connection<S: Service>(
    stream: TcpStream,
    peer: SocketAddr,
    service: S,
    stop: CancellationToken,
) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(event = "nodelay-refused", error = %error);
    }
    let handler = service_fn(move |request| {
        let service = service.clone();
        async move { Ok::<_, Infallible>(service.answer(peer, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), handler);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        debug!(event = "caller-gone", peer = %peer, error = %error);
    }
}

/// An error of reading a request's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The body exceeds the limit.
    TooLarge,
    /// The body is malformed, or the connection broke before its end.
    Incomplete,
}

/// Reads a whole body of at most `limit` bytes.
pub(crate) async fn read_body(incoming: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    match Limited::new(incoming, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Err(error) => {
            debug!(event = "body-broken", error = %error);
            Err(BodyError::Incomplete)
        }
    }
}

/// Builds a response with a JSON body.
pub(crate) fn json(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let kind = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}
