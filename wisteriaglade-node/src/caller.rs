//! The HTTP listener for callers. It limits connections and headers, and passes
//! each request to `ingress`.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use tracing::{debug, info, warn};

use crate::{context::Context, ingress};

/// Longest time from the first byte of a request to the end of its headers.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts connections until the process drains, then waits for the requests in
/// flight.
pub(crate) async fn listen(context: Arc<Context>, listener: TcpListener) {
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(context.settings.limits.connections));
    loop {
        let accepted = tokio::select! {
            () = context.draining.cancelled() => break,
            accepted = accept(&listener, &permits) => accepted,
        };
        let Some((stream, address, permit)) = accepted else {
            continue;
        };
        let connection = serve(Arc::clone(&context), stream, address);
        let served = graceful.watch(connection);
        context.requests.spawn(async move {
            if let Err(error) = served.await {
                debug!(event = "caller-connection", from = %address, error = %error);
            }
            drop(permit);
        });
    }
    drop(listener);
    info!(event = "callers-draining", connections = graceful.count());
    graceful.shutdown().await;
}

/// Accepts one connection when the connection limit permits it. Returns `None`
/// on an error, which is logged.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, SocketAddr, tokio::sync::OwnedSemaphorePermit)> {
    // At the limit, further connections stay in the socket's backlog.
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, address)) => {
            let _ = stream.set_nodelay(true);
            Some((stream, address, permit))
        }
        Err(error) => {
            warn!(event = "accept-failed", error = %error);
            // If the process is out of file descriptors, the pause gives some
            // connections time to close.
            tokio::time::sleep(Duration::from_millis(50)).await;
            None
        }
    }
}

/// Builds the HTTP/1 connection that serves an accepted stream.
fn serve(
    context: Arc<Context>,
    stream: TcpStream,
    address: SocketAddr,
) -> impl hyper_util::server::graceful::GracefulConnection<Error = hyper::Error> + Send {
    let limits = &context.settings.limits;
    let headers = usize::try_from(limits.headers.as_u64()).unwrap_or(usize::MAX);
    let count = limits.header_count;
    let service = service_fn(move |request| {
        let context = Arc::clone(&context);
        async move { Ok::<_, Infallible>(ingress::handle(context, request, address.ip()).await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(headers)
        .max_headers(count)
        .serve_connection(TokioIo::new(stream), service)
}
