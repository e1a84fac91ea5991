//! Long-lived connections between the processes of the fleet.
//!
//! A [`Link`] connects to the address of another process and reconnects whenever
//! the connection ends; [`listen`] accepts the connections of others. Both sides
//! first send a [`Frame::Hello`]. Frames then go to the [`Sink`] of the process. A
//! side that has sent a frame and hears nothing sends a ping, and closes the
//! connection if that is not answered either.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use tokio::{
    io::AsyncWriteExt as _,
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::{Instant, sleep, sleep_until, timeout},
};
use tokio_util::{
    codec::{FramedRead, LengthDelimitedCodec},
    sync::CancellationToken,
};
use tracing::{debug, info, warn};

use crate::{
    frame::{Frame, HEAD, Hello},
    listener::accept,
};

/// The size in bytes of the largest frame that is accepted. It has room for the
/// largest body of a request together with its headers.
const FRAME_MAX: usize = 80 * 1024 * 1024;

/// The time limit for establishing a connection. Data centres are about a
/// millisecond apart. TCP sends a lost SYN again only after a second, so a new
/// attempt is faster.
const CONNECT: Duration = Duration::from_millis(700);

/// The time without a received frame, after one was sent, until a ping is sent.
const QUIET: Duration = Duration::from_millis(250);

/// The time without a received frame, after one was sent, until the connection is
/// closed. It is also the time limit for the handshake and for each write.
const SILENT: Duration = Duration::from_millis(900);

/// The first and the longest delay between attempts to connect; it doubles with
/// each attempt.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(800));

/// The number of bytes at which waiting frames are no longer added to a write.
const GATHER: usize = 64 * 1024;

/// Handles the frames and the connections of a process's links.
pub(crate) trait Sink: Clone + Send + Sync + 'static {
    /// Called for each frame, except those that the link itself handles.
    fn receive(&self, port: &Port, frame: Frame);

    /// Called after the handshake of a new connection.
    fn up(&self, port: &Port);

    /// Called when a connection has ended, unless this process has closed the
    /// link or is ending.
    fn down(&self, port: &Port);
}

/// A connection after its handshake. Clones refer to the same connection.
#[derive(Debug, Clone)]
pub(crate) struct Port {
    /// The identity of the process on the other side.
    pub(crate) hello: Hello,
    /// The queue of frames to write.
    sender: mpsc::UnboundedSender<Parcel>,
    pulse: Arc<Pulse>,
}

/// An element of the write queue of a connection.
#[derive(Debug)]
enum Parcel {
    Frame(Box<Frame>),
    Encoded(Encoded),
}

/// A frame that is encoded once and sent on many connections.
#[derive(Debug, Clone)]
pub(crate) struct Encoded(Bytes);

impl Encoded {
    pub(crate) fn new(frame: &Frame) -> Self {
        let mut buffer = BytesMut::new();
        push(frame, &mut buffer);
        Self(buffer.freeze())
    }
}

impl Port {
    /// Queues a frame for writing. It is lost if the connection ends first.
    pub(crate) fn send(&self, frame: Frame) {
        // Sending fails only when the connection has ended, which `down`
        // reports.
        let _ = self.sender.send(Parcel::Frame(Box::new(frame)));
    }

    /// Queues an encoded frame for writing. It is lost if the connection ends
    /// first.
    pub(crate) fn share(&self, frame: &Encoded) {
        // Fails only as described in `send`.
        let _ = self.sender.send(Parcel::Encoded(frame.clone()));
    }

    /// When the last frame was received.
    pub(crate) fn heard(&self) -> Instant {
        self.pulse.heard()
    }

    /// Whether both values refer to the same connection.
    pub(crate) fn is(&self, other: &Self) -> bool {
        self.sender.same_channel(&other.sender)
    }
}

/// A connection to a fixed address that is established again whenever it ends.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    stop: CancellationToken,
    /// Whether the last attempt to connect failed.
    refused: Arc<AtomicBool>,
}

impl Link {
    /// Connects to an address, and reconnects until the token is cancelled.
    pub(crate) fn open<S: Sink>(
        address: SocketAddr,
        hello: Hello,
        sink: S,
        stop: CancellationToken,
    ) -> Self {
        let link = Self {
            stop: stop.clone(),
            refused: Arc::default(),
        };
        let refused = Arc::clone(&link.refused);
        tokio::spawn(async move {
            let work = keep(address, hello, sink, refused);
            stop.run_until_cancelled_owned(work).await;
        });
        link
    }

    /// Closes the connection and stops reconnecting.
    pub(crate) fn close(&self) {
        self.stop.cancel();
    }

    /// Whether the last attempt to connect failed.
    pub(crate) fn is_refused(&self) -> bool {
        self.refused.load(Ordering::Relaxed)
    }
}

/// Connects to an address again and again. A series of failures is logged once.
async fn keep<S: Sink>(address: SocketAddr, hello: Hello, sink: S, refused: Arc<AtomicBool>) {
    let mut pause = BACKOFF.0;
    loop {
        match timeout(CONNECT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                pause = BACKOFF.0;
                refused.store(false, Ordering::Relaxed);
                converse(stream, hello.clone(), sink.clone()).await;
            }
            Ok(Err(error)) => {
                if !refused.swap(true, Ordering::Relaxed) {
                    info!(event = "link-refused", peer = %address, error = %error);
                }
            }
            Err(_) => {
                if !refused.swap(true, Ordering::Relaxed) {
                    info!(event = "link-timeout", peer = %address, after_ms = CONNECT.as_millis());
                }
            }
        }
        sleep(pause).await;
        pause = (pause * 2).min(BACKOFF.1);
    }
}

/// Accepts connections from other processes until the token is cancelled.
///
/// # Errors
///
/// When the address cannot be bound.
pub(crate) fn listen<S: Sink>(
    address: SocketAddr,
    hello: Hello,
    sink: S,
    stop: CancellationToken,
) -> std::io::Result<()> {
    accept(address, stop.clone(), move |stream, _| {
        let conversation = converse(stream, hello.clone(), sink.clone());
        let stop = stop.clone();
        async move {
            stop.run_until_cancelled_owned(conversation).await;
        }
    })
}

/// Runs a connection, from the handshake until it ends or the other side is
/// silent for too long. `own` identifies this process.
async fn converse<S: Sink>(stream: TcpStream, own: Hello, sink: S) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(event = "nodelay-refused", error = %error);
    }
    let (reader, mut writer) = stream.into_split();
    let mut reader = LengthDelimitedCodec::builder()
        .length_field_length(HEAD)
        .max_frame_length(FRAME_MAX)
        .new_read(reader);
    let mut buffer = BytesMut::new();
    if Frame::Hello(own).encode(&mut buffer).is_err()
        || writer.write_all_buf(&mut buffer).await.is_err()
    {
        return;
    }
    let Ok(Some(Frame::Hello(hello))) = timeout(SILENT, next(&mut reader)).await else {
        return;
    };
    let (sender, frames) = mpsc::unbounded_channel();
    let pulse = Arc::new(Pulse::default());
    let port = Port {
        hello,
        sender,
        pulse: Arc::clone(&pulse),
    };
    sink.up(&port);
    let ended = tokio::select! {
        ended = read(&mut reader, &sink, &port, &pulse) => ended,
        ended = write(&mut writer, frames, buffer, &pulse) => ended,
    };
    info!(event = "link-down", peer = %port.hello.address, reason = ended);
    sink.down(&port);
}

/// When the last frame was received. The reading half updates it, and the
/// writing half checks it.
#[derive(Debug)]
struct Pulse {
    heard: std::sync::Mutex<Instant>,
}

impl Default for Pulse {
    fn default() -> Self {
        Self {
            heard: std::sync::Mutex::new(Instant::now()),
        }
    }
}

impl Pulse {
    fn note(&self) {
        *crate::lock(&self.heard) = Instant::now();
    }

    fn heard(&self) -> Instant {
        *crate::lock(&self.heard)
    }
}

type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Reads the next frame. Returns `None` when the connection has ended or has
/// received bytes that are not a frame.
async fn next(reader: &mut Reader) -> Option<Frame> {
    let content = match reader.next().await? {
        Ok(content) => content,
        Err(error) => {
            debug!(event = "link-broken", error = %error);
            return None;
        }
    };
    match Frame::decode(&content) {
        Ok(frame) => Some(frame),
        Err(error) => {
            warn!(event = "frame-undecodable", bytes = content.len(), error = %error);
            None
        }
    }
}

/// Passes frames to the sink until the connection ends. Returns the reason for
/// the log.
async fn read<S: Sink>(reader: &mut Reader, sink: &S, port: &Port, pulse: &Pulse) -> &'static str {
    while let Some(frame) = next(reader).await {
        pulse.note();
        match frame {
            Frame::Ping => port.send(Frame::Pong),
            Frame::Pong | Frame::Hello(_) => {}
            frame => sink.receive(port, frame),
        }
    }
    "closed"
}

/// Writes queued frames, and a ping when the other side is silent, until the
/// connection fails. Returns the reason for the log.
async fn write(
    writer: &mut OwnedWriteHalf,
    mut frames: mpsc::UnboundedReceiver<Parcel>,
    mut buffer: BytesMut,
    pulse: &Pulse,
) -> &'static str {
    // When a frame was sent that no received frame has followed yet.
    let mut owed: Option<Instant> = None;
    let mut pinged = false;
    loop {
        if owed.is_some_and(|since| pulse.heard() >= since) {
            owed = None;
            pinged = false;
        }
        let check = owed.map(|since| since + if pinged { SILENT } else { QUIET });
        let frame = tokio::select! {
            frame = frames.recv() => match frame {
                Some(frame) => Some(frame),
                None => return "closed here",
            },
            () = wait(check) => None,
        };
        match frame {
            Some(frame) => {
                let expects =
                    !matches!(&frame, Parcel::Frame(frame) if matches!(**frame, Frame::Pong));
                frame.write(&mut buffer);
                while buffer.len() < GATHER
                    && let Ok(frame) = frames.try_recv()
                {
                    frame.write(&mut buffer);
                }
                if expects {
                    owed.get_or_insert_with(Instant::now);
                }
            }
            None if owed.is_some_and(|since| pulse.heard() >= since) => continue,
            None if pinged => return "silent",
            None => {
                pinged = true;
                push(&Frame::Ping, &mut buffer);
            }
        }
        match timeout(SILENT, writer.write_all_buf(&mut buffer)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return "write failed",
            Err(_) => return "write blocked",
        }
    }
}

impl Parcel {
    fn write(&self, buffer: &mut BytesMut) {
        match self {
            Self::Frame(frame) => push(frame, buffer),
            Self::Encoded(Encoded(bytes)) => buffer.extend_from_slice(bytes),
        }
    }
}

/// Appends an encoded frame to a buffer. A frame that cannot be encoded is logged
/// and dropped.
fn push(frame: &Frame, buffer: &mut BytesMut) {
    if let Err(error) = frame.encode(buffer) {
        warn!(event = "frame-unencodable", error = %error);
    }
}

/// Sleeps until a moment, or forever.
async fn wait(until: Option<Instant>) {
    match until {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}
