//! Accepts TCP connections.

use std::{net::SocketAddr, time::Duration};

use tokio::{net::TcpStream, task::JoinHandle, time::sleep};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::warn;
use wisteriaglade_wire::Listener;

/// The delay after a failed `accept`. The usual cause is a lack of file
/// descriptors, which lasts until connections end.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until the token is cancelled, and spawns a task for each
/// that runs the future returned by `handle`.
///
/// Those that the kernel has accepted by then are handled too. The returned task
/// ends when the listener is closed and all connections have ended.
///
/// # Errors
///
/// When the address cannot be bound.
pub(crate) fn accept<F>(
    address: SocketAddr,
    stop: CancellationToken,
    mut handle: impl FnMut(TcpStream, SocketAddr) -> F + Send + 'static,
) -> std::io::Result<JoinHandle<()>>
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = Listener::bind(address)?;
    let connections = TaskTracker::new();
    Ok(tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, peer)) => {
                    connections.spawn(handle(stream, peer));
                }
                Err(error) => {
                    warn!(event = "accept-failed", address = %address, error = %error);
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        if let Err(error) = listener.refuse() {
            warn!(event = "refuse-failed", address = %address, error = %error);
        }
        sleep(Listener::HANDSHAKE).await;
        for (stream, peer) in listener.drain().await {
            connections.spawn(handle(stream, peer));
        }
        connections.close();
        connections.wait().await;
    }))
}
