//! Long-lived connections between the processes of the fleet.
//!
//! A [`Link`] connects to the address of another process and reconnects whenever
//! the connection ends; [`listen`] accepts the connections of others. Both sides
//! first send a [`Frame::Hello`]. Later frames go to the [`Handler`] of the process.
//! A side that has sent a frame and receives nothing sends a ping, and closes the
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
    frame::{Frame, Hello, LENGTH_BYTES},
    listener::accept,
};

/// The size in bytes of the largest frame that is accepted. It has room for the
/// largest body of a request together with its headers.
const MAX_FRAME_BYTES: usize = 80 * 1024 * 1024;

/// The time limit for establishing a connection. Data centres are about a
/// millisecond apart. TCP sends a lost SYN again only after a second, so a new
/// attempt is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// The time without a received frame, after one was sent, until a ping is sent.
const PING_AFTER: Duration = Duration::from_millis(250);

/// The time without a received frame, after one was sent, until the connection is
/// closed. It is also the time limit for the handshake and for each write.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);

/// The first and the longest delay between attempts to connect; it doubles with
/// each attempt.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(800));

/// The number of bytes at which waiting frames are no longer added to a write.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// Handles the frames and the connections of a process's links.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Called for each frame, except those that the link itself handles.
    fn receive(&self, connection: &Connection, frame: Frame);

    /// Called after the handshake of a new connection.
    fn connected(&self, connection: &Connection);

    /// Called when a connection has ended, unless this process has closed the
    /// link or is ending.
    fn disconnected(&self, connection: &Connection);
}

/// A connection after its handshake. Clones refer to the same connection.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    /// The identity of the process on the other side.
    pub(crate) hello: Hello,
    /// The queue of frames to write.
    sender: mpsc::UnboundedSender<Outgoing>,
    activity: Arc<Activity>,
}

/// An element of the write queue of a connection.
#[derive(Debug)]
enum Outgoing {
    Frame(Box<Frame>),
    EncodedFrame(EncodedFrame),
}

/// A frame that is encoded once and sent on many connections.
#[derive(Debug, Clone)]
pub(crate) struct EncodedFrame(Bytes);

impl EncodedFrame {
    pub(crate) fn new(frame: &Frame) -> Self {
        let mut buffer = BytesMut::new();
        append_frame(frame, &mut buffer);
        Self(buffer.freeze())
    }
}

impl Connection {
    /// Queues a frame for writing. It is lost if the connection ends first.
    pub(crate) fn send(&self, frame: Frame) {
        // Sending fails only when the connection has ended, which `disconnected`
        // reports.
        let _ = self.sender.send(Outgoing::Frame(Box::new(frame)));
    }

    /// Queues an encoded frame for writing. It is lost if the connection ends
    /// first.
    pub(crate) fn send_encoded(&self, frame: &EncodedFrame) {
        // Fails only as described in `send`.
        let _ = self.sender.send(Outgoing::EncodedFrame(frame.clone()));
    }

    /// When the last frame was received.
    pub(crate) fn last_received(&self) -> Instant {
        self.activity.last_received()
    }

    /// Whether both values refer to the same connection.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.sender.same_channel(&other.sender)
    }
}

/// A connection to a fixed address that is established again whenever it ends.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    stop: CancellationToken,
    /// Whether the last attempt to connect failed.
    connect_failed: Arc<AtomicBool>,
}

impl Link {
    /// Connects to an address, and reconnects until the token is cancelled.
    pub(crate) fn open<S: Handler>(
        address: SocketAddr,
        hello: Hello,
        handler: S,
        stop: CancellationToken,
    ) -> Self {
        let link = Self {
            stop: stop.clone(),
            connect_failed: Arc::default(),
        };
        let connect_failed = Arc::clone(&link.connect_failed);
        tokio::spawn(async move {
            let work = reconnect(address, hello, handler, connect_failed);
            stop.run_until_cancelled_owned(work).await;
        });
        link
    }

    /// Closes the connection and stops reconnecting.
    pub(crate) fn close(&self) {
        self.stop.cancel();
    }

    /// Whether the last attempt to connect failed.
    pub(crate) fn connect_failed(&self) -> bool {
        self.connect_failed.load(Ordering::Relaxed)
    }
}

/// Connects to an address again and again. A series of failures is logged once.
async fn reconnect<S: Handler>(
    address: SocketAddr,
    hello: Hello,
    handler: S,
    connect_failed: Arc<AtomicBool>,
) {
    let mut pause = BACKOFF.0;
    loop {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                pause = BACKOFF.0;
                connect_failed.store(false, Ordering::Relaxed);
                run_connection(stream, hello.clone(), handler.clone()).await;
            }
            Ok(Err(error)) => {
                if !connect_failed.swap(true, Ordering::Relaxed) {
                    info!(event = "link-refused", peer = %address, error = %error);
                }
            }
            Err(_) => {
                if !connect_failed.swap(true, Ordering::Relaxed) {
                    info!(event = "link-timeout", peer = %address, after_ms = CONNECT_TIMEOUT.as_millis());
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
pub(crate) fn listen<S: Handler>(
    address: SocketAddr,
    hello: Hello,
    handler: S,
    stop: CancellationToken,
) -> std::io::Result<()> {
    accept(address, stop.clone(), move |stream, _| {
        let task = run_connection(stream, hello.clone(), handler.clone());
        let stop = stop.clone();
        async move {
            stop.run_until_cancelled_owned(task).await;
        }
    })?;
    Ok(())
}

/// Runs a connection, from the handshake until it ends or the other side is
/// silent for too long. `own` identifies this process.
async fn run_connection<S: Handler>(stream: TcpStream, own: Hello, handler: S) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!(event = "nodelay-refused", error = %error);
    }
    let (reader, mut writer) = stream.into_split();
    let mut reader = LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(MAX_FRAME_BYTES)
        .new_read(reader);
    let mut buffer = BytesMut::new();
    if Frame::Hello(own).encode(&mut buffer).is_err()
        || writer.write_all_buf(&mut buffer).await.is_err()
    {
        return;
    }
    let Ok(Some(Frame::Hello(hello))) = timeout(SILENCE_TIMEOUT, next_frame(&mut reader)).await
    else {
        return;
    };
    let (sender, frames) = mpsc::unbounded_channel();
    let activity = Arc::new(Activity::default());
    let connection = Connection {
        hello,
        sender,
        activity: Arc::clone(&activity),
    };
    handler.connected(&connection);
    let ended = tokio::select! {
        ended = read_frames(&mut reader, &handler, &connection, &activity) => ended,
        ended = write_frames(&mut writer, frames, buffer, &activity) => ended,
    };
    info!(event = "link-down", peer = %connection.hello.address, reason = ended);
    handler.disconnected(&connection);
}

/// When the last frame was received. The reading half updates it, and the
/// writing half checks it.
#[derive(Debug)]
struct Activity {
    last_received: std::sync::Mutex<Instant>,
}

impl Default for Activity {
    fn default() -> Self {
        Self {
            last_received: std::sync::Mutex::new(Instant::now()),
        }
    }
}

impl Activity {
    fn record(&self) {
        *crate::lock(&self.last_received) = Instant::now();
    }

    fn last_received(&self) -> Instant {
        *crate::lock(&self.last_received)
    }
}

type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Reads the next frame. Returns `None` when the connection has ended or has
/// received bytes that are not a frame.
async fn next_frame(reader: &mut Reader) -> Option<Frame> {
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

/// Passes frames to the handler until the connection ends. Returns the reason for
/// the log.
async fn read_frames<S: Handler>(
    reader: &mut Reader,
    handler: &S,
    connection: &Connection,
    activity: &Activity,
) -> &'static str {
    while let Some(frame) = next_frame(reader).await {
        activity.record();
        match frame {
            Frame::Ping => connection.send(Frame::Pong),
            Frame::Pong | Frame::Hello(_) => {}
            frame => handler.receive(connection, frame),
        }
    }
    "closed"
}

/// Writes queued frames, and a ping when the other side is silent, until the
/// connection fails. Returns the reason for the log.
async fn write_frames(
    writer: &mut OwnedWriteHalf,
    mut frames: mpsc::UnboundedReceiver<Outgoing>,
    mut buffer: BytesMut,
    activity: &Activity,
) -> &'static str {
    // When a frame was sent that no received frame has followed yet.
    let mut unanswered: Option<Instant> = None;
    let mut pinged = false;
    loop {
        if unanswered.is_some_and(|since| activity.last_received() >= since) {
            unanswered = None;
            pinged = false;
        }
        let check =
            unanswered.map(|since| since + if pinged { SILENCE_TIMEOUT } else { PING_AFTER });
        let frame = tokio::select! {
            frame = frames.recv() => match frame {
                Some(frame) => Some(frame),
                None => return "closed here",
            },
            () = sleep_until_some(check) => None,
        };
        match frame {
            Some(frame) => {
                let expects_reply =
                    !matches!(&frame, Outgoing::Frame(frame) if matches!(**frame, Frame::Pong));
                frame.append_to(&mut buffer);
                while buffer.len() < WRITE_BATCH_BYTES
                    && let Ok(frame) = frames.try_recv()
                {
                    frame.append_to(&mut buffer);
                }
                if expects_reply {
                    unanswered.get_or_insert_with(Instant::now);
                }
            }
            None if unanswered.is_some_and(|since| activity.last_received() >= since) => continue,
            None if pinged => return "silent",
            None => {
                pinged = true;
                append_frame(&Frame::Ping, &mut buffer);
            }
        }
        match timeout(SILENCE_TIMEOUT, writer.write_all_buf(&mut buffer)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return "write failed",
            Err(_) => return "write blocked",
        }
    }
}

impl Outgoing {
    fn append_to(&self, buffer: &mut BytesMut) {
        match self {
            Self::Frame(frame) => append_frame(frame, buffer),
            Self::EncodedFrame(EncodedFrame(bytes)) => buffer.extend_from_slice(bytes),
        }
    }
}

/// Appends an encoded frame to a buffer. A frame that cannot be encoded is logged
/// and dropped.
fn append_frame(frame: &Frame, buffer: &mut BytesMut) {
    if let Err(error) = frame.encode(buffer) {
        warn!(event = "frame-unencodable", error = %error);
    }
}

/// Sleeps until the given moment. Without one it never returns.
async fn sleep_until_some(until: Option<Instant>) {
    match until {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}
