//! The HTTP listener for callers.

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

/// The longest time between the first byte of a request and the end of its
/// headers.
const HEADERS: Duration = Duration::from_secs(10);

/// Accepts callers until the process drains, then lets every request in flight
/// end.
pub(crate) async fn listen(context: Arc<Context>, listener: TcpListener) {
    let graceful = GracefulShutdown::new();
    let free = Arc::new(Semaphore::new(context.settings.limits.connections));
    loop {
        let accepted = tokio::select! {
            () = context.draining.cancelled() => break,
            accepted = accept(&listener, &free) => accepted,
        };
        let Some((stream, address, permit)) = accepted else {
            continue;
        };
        let connection = serve(Arc::clone(&context), stream, address);
        let watched = graceful.watch(connection);
        context.requests.spawn(async move {
            if let Err(error) = watched.await {
                debug!(event = "caller-connection", from = %address, error = %error);
            }
            drop(permit);
        });
    }
    drop(listener);
    info!(event = "callers-draining", connections = graceful.count());
    graceful.shutdown().await;
}

async fn accept(
    listener: &TcpListener,
    free: &Arc<Semaphore>,
) -> Option<(TcpStream, SocketAddr, tokio::sync::OwnedSemaphorePermit)> {
    // Waiting here leaves further connections in the backlog of the socket.
    let permit = Arc::clone(free).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, address)) => {
            let _ = stream.set_nodelay(true);
            Some((stream, address, permit))
        }
        Err(error) => {
            warn!(event = "accept-failed", error = %error);
            // Out of file descriptors, for example: a pause lets some close.
            tokio::time::sleep(Duration::from_millis(50)).await;
            None
        }
    }
}

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
        .header_read_timeout(HEADERS)
        .max_buf_size(headers)
        .max_headers(count)
        .serve_connection(TokioIo::new(stream), service)
}
