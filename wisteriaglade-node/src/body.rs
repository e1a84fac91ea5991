//! The body type of requests and responses.
//!
//! One enum for all sources of a body, so that no trait object is needed.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use tokio::sync::mpsc;

/// An error while reading a body.
#[derive(Debug)]
pub(crate) enum Error {
    /// The HTTP connection failed.
    Http(hyper::Error),
    /// The sender stopped before the end of the body, or the body exceeds its
    /// size limit.
    Truncated,
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Http(error) => write!(f, "body failed: {error}"),
            Self::Truncated => f.write_str("body ended early"),
        }
    }
}

impl std::error::Error for Error {}

/// An item of a body that is sent over a channel.
#[derive(Debug)]
pub(crate) enum Chunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The end of the body. If the channel closes without it, the body is
    /// truncated.
    End,
}

/// A request or response body.
#[derive(Debug)]
pub(crate) enum Body {
    /// The whole body is in memory.
    Full(Full<Bytes>),
    /// The body is read from an HTTP connection.
    Incoming(Incoming),
    /// `prefix` is in memory, and `rest` is read from an HTTP connection. `remaining`
    /// is the number of bytes that `rest` may still have.
    Prefixed {
        prefix: Option<Bytes>,
        rest: Incoming,
        remaining: u64,
    },
    /// The body is read from a channel. The flag is set once it has ended.
    Channel(mpsc::Receiver<Chunk>, bool),
}

impl Body {
    pub(crate) fn empty() -> Self {
        Self::full(Bytes::new())
    }

    pub(crate) fn full(bytes: impl Into<Bytes>) -> Self {
        Self::Full(Full::new(bytes.into()))
    }

    /// Returns a second copy of the body, or `None` if it isn't wholly in memory.
    pub(crate) fn try_clone(&self) -> Option<Self> {
        match self {
            Self::Full(full) => Some(Self::Full(full.clone())),
            Self::Incoming(_) | Self::Prefixed { .. } | Self::Channel(..) => None,
        }
    }

    pub(crate) fn channel(chunks: mpsc::Receiver<Chunk>) -> Self {
        Self::Channel(chunks, false)
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match self.get_mut() {
            Self::Full(full) => Pin::new(full)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Self::Incoming(incoming) => Pin::new(incoming).poll_frame(context).map_err(Error::Http),
            Self::Prefixed {
                prefix,
                rest,
                remaining,
            } => {
                if let Some(data) = prefix.take() {
                    return Poll::Ready(Some(Ok(Frame::data(data))));
                }
                let frame = Pin::new(rest).poll_frame(context).map_err(Error::Http);
                if let Poll::Ready(Some(Ok(frame))) = &frame {
                    let length = frame.data_ref().map_or(0, Bytes::len) as u64;
                    match remaining.checked_sub(length) {
                        Some(less) => *remaining = less,
                        None => return Poll::Ready(Some(Err(Error::Truncated))),
                    }
                }
                frame
            }
            Self::Channel(_, true) => Poll::Ready(None),
            Self::Channel(chunks, ended) => match chunks.poll_recv(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(Some(Chunk::Data(data))) => Poll::Ready(Some(Ok(Frame::data(data)))),
                Poll::Ready(Some(Chunk::End)) => {
                    *ended = true;
                    Poll::Ready(None)
                }
                Poll::Ready(None) => {
                    *ended = true;
                    Poll::Ready(Some(Err(Error::Truncated)))
                }
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full) => full.is_end_stream(),
            Self::Incoming(incoming) => incoming.is_end_stream(),
            Self::Prefixed { prefix, rest, .. } => prefix.is_none() && rest.is_end_stream(),
            Self::Channel(_, ended) => *ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Incoming(incoming) => incoming.size_hint(),
            Self::Prefixed { .. } | Self::Channel(..) => SizeHint::default(),
        }
    }
}
