//! A stream that is closed without a reset.

use std::{
    io::{IoSlice, Result},
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

/// The size of the buffer for bytes that are discarded.
const BUFFER_BYTES: usize = 4 * 1024;

/// A stream whose shutdown reads and discards what the other side still sends,
/// until it closes its half or [`Lingering::LIMIT`] has passed.
///
/// The kernel resets a TCP connection that is closed with unread bytes, and the
/// other side may then lose an answer that it has not read yet, or cannot tell the
/// end of the connection from a crash.
#[derive(Debug)]
pub struct Lingering<S> {
    stream: S,
    /// Whether the own half is closed.
    closed: bool,
    /// The end of the shutdown. Set when it begins.
    limit: Option<Pin<Box<Sleep>>>,
}

impl<S> Lingering<S> {
    /// The longest time that a shutdown waits for the other side. It exceeds some
    /// round trips of 16 ms to the farthest callers, even beside load.
    pub const LIMIT: Duration = Duration::from_secs(1);

    /// Wraps a stream.
    pub const fn new(stream: S) -> Self {
        Self {
            stream,
            closed: false,
            limit: None,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Lingering<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Lingering<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        let this = &mut *self;
        if !this.closed {
            ready!(Pin::new(&mut this.stream).poll_shutdown(context))?;
            this.closed = true;
        }
        let limit = this
            .limit
            .get_or_insert_with(|| Box::pin(sleep(Self::LIMIT)));
        if limit.as_mut().poll(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        loop {
            let mut bytes = [0; BUFFER_BYTES];
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut this.stream).poll_read(context, &mut buffer));
            // After an error there is nothing left to wait for.
            if read.is_err() || buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}
