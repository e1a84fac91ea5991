//! HTTP/1.1 servers, and helpers for request and response bodies.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header::CONNECTION};
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, sleep, sleep_until},
};
use tokio_util::sync::CancellationToken;
use tracing::debug;
use wisteriaglade_wire::Lingering;

use crate::{listener::accept, lock};

#[cfg(test)]
mod tests;

/// How long a connection without a request stays open after the end of the
/// listener. A request that was sent before its caller learned of the end arrives
/// within this time: the round trip to the farthest callers is 16 ms.
const LAST_REQUEST_WAIT: Duration = Duration::from_millis(100);

/// How often an idle connection at least looks whether its idle timeout has changed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_mins(1);

/// Handles the requests of one listener.
pub(crate) trait Service: Clone + Send + Sync + 'static {
    /// Handles a request that arrived on a connection from `peer`.
    fn answer(
        &self,
        peer: SocketAddr,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Full<Bytes>>> + Send;

    /// How long a connection may be without a request; `None` if it may be so for
    /// any time.
    fn idle_timeout(&self) -> Option<Duration> {
        None
    }
}

/// Whether a connection has a request, and since when it has none.
#[derive(Debug)]
enum Activity {
    Busy,
    IdleSince(Instant),
}

/// Waits until a connection has been idle for the timeout of its service.
async fn wait_until_idle<S: Service>(service: &S, activity: &Mutex<Activity>) {
    loop {
        let now = Instant::now();
        let since = match *lock(activity) {
            Activity::Busy => now,
            Activity::IdleSince(since) => since,
        };
        // A timeout that is too long for the clock is none.
        let end = service
            .idle_timeout()
            .and_then(|timeout| since.checked_add(timeout));
        if end.is_some_and(|end| end <= now) {
            return;
        }
        let latest = now + IDLE_CHECK_INTERVAL;
        sleep_until(end.map_or(latest, |end| end.min(latest))).await;
    }
}

/// Serves HTTP on an address until the token is cancelled. Connections then
/// close after the next answer, or soon if no request comes. The returned task
/// ends with the last of them.
///
/// # Errors
///
/// When the address cannot be bound.
pub(crate) fn listen<S: Service>(
    address: SocketAddr,
    service: S,
    stop: CancellationToken,
) -> std::io::Result<JoinHandle<()>> {
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
    let closing = stop.clone();
    let activity = Arc::new(Mutex::new(Activity::IdleSince(Instant::now())));
    let (current, answering) = (Arc::clone(&activity), service.clone());
    let handler = service_fn(move |request| {
        let (service, closing) = (answering.clone(), closing.clone());
        let activity = Arc::clone(&current);
        async move {
            *lock(&activity) = Activity::Busy;
            let mut response = service.answer(peer, request).await;
            *lock(&activity) = Activity::IdleSince(Instant::now());
            if closing.is_cancelled() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(Lingering::new(stream)), handler);
    let last_request = async {
        stop.cancelled().await;
        sleep(LAST_REQUEST_WAIT).await;
    };
    tokio::pin!(connection);
    let ended = tokio::select! {
        biased;
        ended = connection.as_mut() => ended,
        () = last_request => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        // A response that is still being written is finished.
        () = wait_until_idle(&service, &activity) => {
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
