//! Serves one forwarded request on the owner's node.
//!
//! The forwarding side of the protocol is in `forward`.

use std::{sync::Arc, time::Duration};

use http::{Method, Response, Uri};
use http_body_util::BodyExt;
use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;
use tracing::{Instrument, info_span};
use wisteriaglade_wire::{Result, Writer};

use super::Inbox;
use crate::{
    body::{Body, Chunk},
    context::Context,
    forward::{decode_headers, encode_headers},
    job::Job,
    message::{Forward, Head, Message},
    refusal::{Reason, Refusal},
    trace, work,
};

/// Interval of progress messages while a request waits or runs, by which the
/// forwarding node tells a slow request from a lost connection.
pub(crate) const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// Chunks of a request body that are buffered for the target.
const BUFFERED_CHUNKS: usize = 8;

/// Largest chunk of a body in one message.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// Serves one forwarded request on a connection.
pub(super) struct Exchange<'a> {
    context: &'a Arc<Context>,
    inbox: &'a mut Inbox,
    writer: &'a mut Writer<TcpStream>,
    /// Whether the request body has been received completely.
    body_received: bool,
    /// Whether the connection can be reused, which it cannot after a truncated
    /// response body.
    reusable: bool,
}

impl<'a> Exchange<'a> {
    pub(super) fn new(
        context: &'a Arc<Context>,
        inbox: &'a mut Inbox,
        writer: &'a mut Writer<TcpStream>,
    ) -> Self {
        Self {
            context,
            inbox,
            writer,
            body_received: false,
            reusable: true,
        }
    }

    /// Serves the request. Returns whether the connection can be used for another
    /// exchange.
    pub(super) async fn run(mut self, forward: Forward) -> Result<bool> {
        let now = self.context.clock.now();
        if !self.context.deduplicator.start(now, forward.request) {
            let refusal = Refusal::not_run(
                Reason::Unreachable,
                "the request was given up before it arrived",
            );
            self.refuse(refusal).await?;
            return Ok(false);
        }
        self.writer.send(&Message::Accepted).await?;
        let cancel = CancellationToken::new();
        let (chunks, body) = mpsc::channel(BUFFERED_CHUNKS);
        let Some(job) = build_job(self.context, forward, body, cancel.clone()) else {
            let refusal = Refusal::not_run(Reason::BadRequest, "malformed method or URI");
            self.refuse(refusal).await?;
            return Ok(false);
        };
        let span = info_span!("owner", request = %job.request);
        trace::set_parent(&span, &job.headers);
        let answer = self.run_job(job, chunks, &cancel, span).await?;
        match answer {
            Some(Ok(response)) => self.respond(response).await?,
            Some(Err(refusal)) => self.refuse(refusal).await?,
            None => return Ok(false),
        }
        Ok(self.reusable && self.body_received)
    }

    /// Runs the job, and meanwhile passes the request body on and sends progress
    /// messages. Returns `None` if the forwarding node closed the connection.
    async fn run_job(
        &mut self,
        job: Job,
        chunks: mpsc::Sender<Chunk>,
        cancel: &CancellationToken,
        span: tracing::Span,
    ) -> Result<Option<std::result::Result<Response<Body>, Refusal>>> {
        let context = Arc::clone(self.context);
        let serve = async move { work::serve(&context, job).await }.instrument(span);
        tokio::pin!(serve);
        let mut progress = interval(PROGRESS_INTERVAL);
        progress.set_missed_tick_behavior(MissedTickBehavior::Delay);
        progress.reset();
        let mut chunks = Some(chunks);
        let mut pending: Option<Chunk> = None;
        loop {
            tokio::select! {
                answer = &mut serve => return Ok(Some(answer)),
                _ = progress.tick() => self.writer.send(&Message::Progress).await?,
                permit = reserve(chunks.clone()), if pending.is_some() => {
                    match (permit, pending.take()) {
                        (Some(permit), Some(chunk)) => {
                            let end = matches!(chunk, Chunk::End);
                            permit.send(chunk);
                            if end {
                                chunks = None;
                            }
                        }
                        // The target stopped reading, so the rest of the body is
                        // discarded.
                        _ => chunks = None,
                    }
                }
                message = self.inbox.recv(), if pending.is_none() => {
                    match message {
                        Some(Message::Chunk(data)) => {
                            pending = chunks.is_some().then_some(Chunk::Data(data));
                        }
                        Some(Message::End) => {
                            self.body_received = true;
                            pending = chunks.is_some().then_some(Chunk::End);
                        }
                        Some(Message::Abort) => {
                            self.body_received = true;
                            chunks = None;
                        }
                        _ => {
                            cancel.cancel();
                            // The cancelled job ends by itself; an at-most-once
                            // request continues until its outcome is recorded.
                            let _ = serve.await;
                            return Ok(None);
                        }
                    }
                }
            }
        }
    }

    async fn refuse(&mut self, refusal: Refusal) -> Result<()> {
        self.writer.send(&Message::Refused(Box::new(refusal))).await
    }

    /// Sends the response. Progress messages are sent while its body is silent.
    async fn respond(&mut self, response: Response<Body>) -> Result<()> {
        let (parts, mut body) = response.into_parts();
        let head = Head {
            status: parts.status.as_u16(),
            headers: encode_headers(&parts.headers),
        };
        self.writer.send(&Message::Head(Box::new(head))).await?;
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = tokio::time::sleep(PROGRESS_INTERVAL) => {
                    self.writer.send(&Message::Progress).await?;
                    continue;
                }
            };
            match frame {
                None => return self.writer.send(&Message::End).await,
                Some(Err(_)) => {
                    self.reusable = false;
                    return self.writer.send(&Message::Abort).await;
                }
                Some(Ok(frame)) => {
                    if let Ok(mut data) = frame.into_data() {
                        while !data.is_empty() {
                            let chunk = data.split_to(data.len().min(MAX_CHUNK_BYTES));
                            self.writer.send(&Message::Chunk(chunk)).await?;
                        }
                    }
                }
            }
        }
    }
}

/// Waits for room in the body channel. Returns `None` if the body isn't needed
/// any more.
async fn reserve(chunks: Option<mpsc::Sender<Chunk>>) -> Option<mpsc::OwnedPermit<Chunk>> {
    chunks?.reserve_owned().await.ok()
}

/// Builds the job of a forwarded request. Returns `None` if the method or the
/// URI is malformed.
fn build_job(
    context: &Context,
    forward: Forward,
    body: mpsc::Receiver<Chunk>,
    cancel: CancellationToken,
) -> Option<Job> {
    let method = Method::from_bytes(forward.method.as_bytes()).ok()?;
    let uri: Uri = forward.uri.parse().ok()?;
    let body = if forward.length == Some(0) {
        Body::empty()
    } else {
        Body::channel(body)
    };
    Some(Job {
        request: forward.request,
        method,
        uri,
        headers: decode_headers(forward.headers),
        body,
        deadline: context.clock.now() + forward.remaining,
        caller: forward.caller,
        cancel,
    })
}
