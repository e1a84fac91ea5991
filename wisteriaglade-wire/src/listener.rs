//! A TCP listener that can be closed without losing a connection.

use std::{io, net::SocketAddr, time::Duration};

use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::sleep,
};

/// The number of connections that the kernel queues until they are accepted. All
/// processes connect at about the same time when a cluster starts.
const BACKLOG: u32 = 1_024;

/// The delay after a failed attempt to accept a connection. The usual cause is a
/// lack of file descriptors, which lasts until connections end.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// The number of failed attempts after which [`Listener::drain`] gives up the rest
/// of the queue; together they take 1 s.
const MAX_DRAIN_FAILURES: usize = 20;

/// A TCP listener that can be closed without losing a connection.
///
/// Closing a listening socket resets every connection in its queue. To the other
/// side such a connection looks established, and it may have sent a request. So
/// a process that stops
///
/// 1. calls [`refuse`](Self::refuse), after which the kernel answers no attempt to
///    connect,
/// 2. accepts connections for [`Listener::HANDSHAKE`], in which the handshakes that
///    had begun are completed, and
/// 3. calls [`drain`](Self::drain), which returns what is left in the queue.
///
/// # Example
///
/// ```
/// use wisteriaglade_wire::Listener;
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(async {
/// let listener = Listener::bind("127.0.0.1:0".parse().unwrap())?;
/// let caller = tokio::net::TcpStream::connect(listener.local_addr()?).await?;
/// listener.refuse()?;
/// tokio::time::sleep(Listener::HANDSHAKE).await;
/// let queued = listener.drain().await;
/// assert_eq!(queued[0].1, caller.local_addr()?);
/// # Ok::<(), std::io::Error>(())
/// # })?;
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
}

impl Listener {
    /// The time in which a handshake that had begun is completed. It exceeds the
    /// round trip of 16 ms to the farthest callers.
    pub const HANDSHAKE: Duration = Duration::from_millis(25);

    /// Opens a listener with `SO_REUSEADDR`, as connections of a previous process
    /// on the address may still be in `TIME_WAIT`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let socket = socket.listen(BACKLOG)?;
        Ok(Self { socket })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// When the system cannot tell it.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Accepts a connection. No connection is lost when the future is dropped.
    ///
    /// # Errors
    ///
    /// When the system accepts none, for instance for lack of file descriptors.
    pub async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        self.socket.accept().await
    }

    /// Lets the kernel ignore further attempts to connect, while handshakes that
    /// have begun are completed.
    ///
    /// The other side repeats an ignored attempt after a second, and is refused
    /// when the listener is closed by then.
    ///
    /// # Errors
    ///
    /// When the system has no socket filters or refuses this one. Connections whose
    /// handshake ends between the last step of [`Listener::drain`] and the end of
    /// the socket are reset then.
    pub fn refuse(&self) -> io::Result<()> {
        refuse(&SockRef::from(&self.socket))
    }

    /// Closes the listener and returns the connections that were in its queue.
    pub async fn drain(self) -> Vec<(TcpStream, SocketAddr)> {
        let mut queued = Vec::new();
        // Unlike the runtime's listener, the system's knows of a connection at
        // once.
        let Ok(socket) = self.socket.into_std() else {
            return queued;
        };
        let mut failures = 0;
        while failures < MAX_DRAIN_FAILURES {
            let accepted = socket.accept().and_then(|(stream, address)| {
                stream.set_nonblocking(true)?;
                Ok((TcpStream::from_std(stream)?, address))
            });
            match accepted {
                Ok(accepted) => queued.push(accepted),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(_) => {
                    failures += 1;
                    sleep(RETRY_DELAY).await;
                }
            }
        }
        queued
    }
}

/// Attaches a filter that drops segments with the flag SYN, the first of each
/// attempt to connect.
#[cfg(target_os = "linux")]
fn refuse(socket: &SockRef<'_>) -> io::Result<()> {
    use socket2::SockFilter;

    /// Loads the byte at an offset of the TCP header.
    const LOAD_BYTE: u16 = 0x30;
    /// Skips instructions if a bit is set.
    const JUMP_IF_SET: u16 = 0x45;
    /// Returns how many bytes of the segment are kept.
    const RETURN: u16 = 0x06;
    /// The offset of the flags in a TCP header.
    const FLAGS: u32 = 13;
    const SYN: u32 = 0x02;

    socket.attach_filter(&[
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS),
        SockFilter::new(JUMP_IF_SET, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ])
}

#[cfg(not(target_os = "linux"))]
fn refuse(_: &SockRef<'_>) -> io::Result<()> {
    Err(io::ErrorKind::Unsupported.into())
}
