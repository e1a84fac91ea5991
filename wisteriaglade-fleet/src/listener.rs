//! Accepts TCP connections.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::sleep,
};
use tokio_util::sync::CancellationToken;
use tracing::warn;

/// The delay after a failed `accept`. The usual cause is a lack of file
/// descriptors, which lasts until connections end.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The length of the listener's queue of established connections. All processes
/// connect at about the same time when the fleet starts.
const BACKLOG: u32 = 1024;

/// Accepts connections until the token is cancelled, and spawns a task for each
/// that runs the future returned by `handle`.
///
/// # Errors
///
/// When the address cannot be bound.
pub(crate) fn accept<F>(
    address: SocketAddr,
    stop: CancellationToken,
    mut handle: impl FnMut(TcpStream, SocketAddr) -> F + Send + 'static,
) -> std::io::Result<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = bind(address)?;
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, peer)) => {
                    tokio::spawn(handle(stream, peer));
                }
                Err(error) => {
                    warn!(event = "accept-failed", address = %address, error = %error);
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    });
    Ok(())
}

/// Binds a listener with `SO_REUSEADDR`, as connections of a previous process on
/// the address may still be in `TIME_WAIT`.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
