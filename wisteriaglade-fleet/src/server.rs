//! HTTP listeners.

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

/// Answers the requests of a listener.
pub(crate) trait Service: Clone + Send + Sync + 'static {
    /// Answers a request of a peer.
    fn answer(
        &self,
        peer: SocketAddr,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Full<Bytes>>> + Send;
}

/// Listens until the token is cancelled. Connections then finish the request
/// at hand.
///
/// # Errors
///
/// When the address cannot be listened on.
pub(crate) fn listen<S: Service>(
    address: SocketAddr,
    service: S,
    stop: CancellationToken,
) -> std::io::Result<()> {
    accept(address, stop.clone(), move |stream, peer| {
        converse(stream, peer, service.clone(), stop.clone())
    })
}

async fn converse<S: Service>(
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

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Unread {
    /// It exceeds the limit.
    TooLong,
    /// The caller sent something else, or left.
    Broken,
}

/// Reads a whole body.
pub(crate) async fn body(incoming: Incoming, limit: usize) -> Result<Bytes, Unread> {
    match Limited::new(incoming, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Unread::TooLong),
        Err(error) => {
            debug!(event = "body-broken", error = %error);
            Err(Unread::Broken)
        }
    }
}

/// A response with a JSON body.
pub(crate) fn json(status: StatusCode, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let kind = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}
