//! Connections between the processes of the fleet.

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

/// The largest frame: a body of the largest size with its head.
const FRAME_MAX: usize = 80 * 1024 * 1024;

/// How long a connection may take to be established. Data centres are about a
/// millisecond apart, and a lost packet is sent again after a second.
const CONNECT: Duration = Duration::from_millis(700);

/// How long the other side may stay silent before it is asked to respond.
const QUIET: Duration = Duration::from_millis(250);

/// How long the other side may stay silent before the connection is given up.
const SILENT: Duration = Duration::from_millis(900);

/// The shortest and longest pause before a connection is tried again.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(800));

/// Bytes that are gathered for one write.
const GATHER: usize = 64 * 1024;

/// What a process does with the frames of its links.
pub(crate) trait Sink: Clone + Send + Sync + 'static {
    /// Takes a frame.
    fn receive(&self, port: &Port, frame: Frame);

    /// A connection is established, and the other side has said who it is.
    fn up(&self, port: &Port);

    /// A connection has ended.
    fn down(&self, port: &Port);
}

/// One established connection.
#[derive(Debug, Clone)]
pub(crate) struct Port {
    /// Who is on the other side.
    pub(crate) hello: Hello,
    sender: mpsc::UnboundedSender<Parcel>,
    pulse: Arc<Pulse>,
}

/// What waits to be written.
#[derive(Debug)]
enum Parcel {
    Frame(Box<Frame>),
    Encoded(Encoded),
}

/// A frame for many connections, encoded once.
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
    /// Sends a frame. A connection that has ended loses it.
    pub(crate) fn send(&self, frame: Frame) {
        // The receiver is gone when the connection has ended, which `down`
        // reports.
        let _ = self.sender.send(Parcel::Frame(Box::new(frame)));
    }

    /// Sends a frame that other connections are sent, too.
    pub(crate) fn share(&self, frame: &Encoded) {
        // As for `send`.
        let _ = self.sender.send(Parcel::Encoded(frame.clone()));
    }

    /// When the other side was last heard of.
    pub(crate) fn heard(&self) -> Instant {
        self.pulse.heard()
    }

    /// Whether this is the same connection.
    pub(crate) fn is(&self, other: &Self) -> bool {
        self.sender.same_channel(&other.sender)
    }
}

/// A connection that is established again whenever it ends.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    stop: CancellationToken,
    refused: Arc<AtomicBool>,
}

impl Link {
    /// Connects to a process and keeps connecting until the token is
    /// cancelled.
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

    /// Ends the connection for good.
    pub(crate) fn close(&self) {
        self.stop.cancel();
    }

    /// Whether the last attempt to connect failed.
    pub(crate) fn is_refused(&self) -> bool {
        self.refused.load(Ordering::Relaxed)
    }
}

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

/// Accepts connections until the token is cancelled.
///
/// # Errors
///
/// When the address cannot be listened on.
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

/// Speaks on a connection until it ends or falls silent.
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

/// When the other side was last heard, and whether it owes a response.
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

/// The next frame; `None` when the connection has ended.
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

async fn write(
    writer: &mut OwnedWriteHalf,
    mut frames: mpsc::UnboundedReceiver<Parcel>,
    mut buffer: BytesMut,
    pulse: &Pulse,
) -> &'static str {
    // Since when a sent frame has met no sign of life.
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

fn push(frame: &Frame, buffer: &mut BytesMut) {
    if let Err(error) = frame.encode(buffer) {
        warn!(event = "frame-unencodable", error = %error);
    }
}

async fn wait(until: Option<Instant>) {
    match until {
        Some(at) => sleep_until(at).await,
        None => std::future::pending().await,
    }
}
