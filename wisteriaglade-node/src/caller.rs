//! The HTTP listener for callers. It limits connections and headers, and passes
//! each request to `ingress`.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderValue, header::CONNECTION};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore},
    time::sleep,
};
use tracing::{debug, info, warn};
use wisteriaglade_wire::{Lingering, Listener};

use crate::{context::Context, ingress};

/// Longest time from the first byte of a request to the end of its headers.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a connection without a request stays open once the listener is closed.
/// A request that was sent before its caller learned of the stop arrives within
/// this time: the round trip to the farthest callers is 16 ms.
const LAST_REQUEST_WAIT: Duration = Duration::from_millis(500);

/// Accepts connections until the process drains, then closes the listener and
/// serves those that the kernel had accepted.
pub(crate) async fn listen(context: Arc<Context>, listener: Listener) {
    let limit = context.settings.limits.connections;
    let permits = Arc::new(Semaphore::new(limit));
    loop {
        let accepted = tokio::select! {
            () = context.draining.cancelled() => break,
            accepted = accept(&listener, &permits) => accepted,
        };
        if let Some((stream, address, permit)) = accepted {
            let connection = serve(Arc::clone(&context), stream, address);
            context.requests.spawn(async move {
                connection.await;
                drop(permit);
            });
        }
    }
    if let Err(error) = listener.refuse() {
        warn!(event = "refuse-failed", error = %error);
    }
    sleep(Listener::HANDSHAKE).await;
    let queued = listener.drain().await;
    info!(
        event = "callers-draining",
        connections = limit - permits.available_permits(),
        queued = queued.len()
    );
    for (stream, address) in queued {
        let (context, permits) = (Arc::clone(&context), Arc::clone(&permits));
        context.requests.clone().spawn(async move {
            let permit = permits.acquire_owned().await;
            serve(context, stream, address).await;
            drop(permit);
        });
    }
}

/// Accepts one connection when the connection limit permits it. Returns `None`
/// on an error, which is logged.
async fn accept(
    listener: &Listener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    // At the limit, further connections stay in the socket's backlog.
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, address)) => Some((stream, address, permit)),
        Err(error) => {
            warn!(event = "accept-failed", error = %error);
            // If the process is out of file descriptors, the pause gives some
            // connections time to close.
            sleep(Duration::from_millis(50)).await;
            None
        }
    }
}

/// Serves the HTTP/1 requests of a connection until it ends.
///
/// Once the process has been asked to stop, each answer closes its connection. One
/// without a request is closed some time after the listener.
async fn serve(context: Arc<Context>, stream: TcpStream, address: SocketAddr) {
    let _ = stream.set_nodelay(true);
    let limits = &context.settings.limits;
    let headers = usize::try_from(limits.headers.as_u64()).unwrap_or(usize::MAX);
    let count = limits.header_count;
    let draining = context.draining.clone();
    let service = service_fn(move |request| {
        let context = Arc::clone(&context);
        async move {
            let leaving = context.leaving.clone();
            let mut response = ingress::handle(context, request, address.ip()).await;
            if leaving.is_cancelled() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(headers)
        .max_headers(count)
        .serve_connection(TokioIo::new(Lingering::new(stream)), service);
    let last_request = async {
        draining.cancelled().await;
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
    };
    if let Err(error) = ended {
        debug!(event = "caller-connection", from = %address, error = %error);
    }
}
