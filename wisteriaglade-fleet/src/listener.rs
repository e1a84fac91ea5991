//! Accepts connections.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::sleep,
};
use tokio_util::sync::CancellationToken;
use tracing::warn;

/// The pause after a connection could not be accepted, for lack of
/// descriptors as a rule.
const PAUSE: Duration = Duration::from_millis(50);

/// Waiting connections of the listener. All processes connect when the fleet
/// starts.
const WAITING: u32 = 1024;

/// Accepts connections until the token is cancelled and runs what `converse`
/// makes of each in a task of its own.
///
/// # Errors
///
/// When the address cannot be listened on.
pub(crate) fn accept<F>(
    address: SocketAddr,
    stop: CancellationToken,
    mut converse: impl FnMut(TcpStream, SocketAddr) -> F + Send + 'static,
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
                    tokio::spawn(converse(stream, peer));
                }
                Err(error) => {
                    warn!(event = "accept-failed", address = %address, error = %error);
                    sleep(PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

/// Listens on an address that a former process may just have left.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(WAITING)
}
