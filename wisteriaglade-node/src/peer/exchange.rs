//! One forwarded request at the owner's node.

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
    body::{Body, Piece},
    context::Context,
    forward::{flatten, unflatten},
    job::Job,
    message::{Forward, Head, Message},
    refusal::{Reason, Refusal},
    trace, work,
};

/// The interval of the signs of life while a request waits or runs.
const PROGRESS: Duration = Duration::from_millis(250);

/// Pieces of a request body that wait for the target.
const PIECES: usize = 8;

/// The size of a piece of a body.
const PIECE: usize = 64 * 1024;

/// Serves one forwarded request on a connection.
pub(super) struct Exchange<'a> {
    context: &'a Arc<Context>,
    inbox: &'a mut Inbox,
    writer: &'a mut Writer<TcpStream>,
    /// Whether all of the request body has been read.
    read: bool,
    /// Whether the connection is still of use after this exchange.
    usable: bool,
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
            read: false,
            usable: true,
        }
    }

    /// Returns whether the connection can be used for another exchange.
    pub(super) async fn run(mut self, forward: Forward) -> Result<bool> {
        let now = self.context.clock.now();
        if !self.context.seen.start(now, forward.request) {
            let refusal = Refusal::not_run(
                Reason::Unreachable,
                "the request was given up before it arrived",
            );
            self.refuse(refusal).await?;
            return Ok(false);
        }
        self.writer.send(&Message::Accepted).await?;
        let cancel = CancellationToken::new();
        let (pieces, body) = mpsc::channel(PIECES);
        let Some(job) = job(self.context, forward, body, cancel.clone()) else {
            let refusal = Refusal::not_run(Reason::BadRequest, "malformed method or URI");
            self.refuse(refusal).await?;
            return Ok(false);
        };
        let span = info_span!("owner", request = %job.request);
        trace::adopt(&span, &job.headers);
        let answer = self.work(job, pieces, &cancel, span).await?;
        match answer {
            Some(Ok(response)) => self.respond(response).await?,
            Some(Err(refusal)) => self.refuse(refusal).await?,
            None => return Ok(false),
        }
        Ok(self.usable && self.read)
    }

    /// Runs the job while it feeds the body and shows signs of life. `None`
    /// when the sender went away.
    async fn work(
        &mut self,
        job: Job,
        pieces: mpsc::Sender<Piece>,
        cancel: &CancellationToken,
        span: tracing::Span,
    ) -> Result<Option<std::result::Result<Response<Body>, Refusal>>> {
        let context = Arc::clone(self.context);
        let serve = async move { work::serve(&context, job).await }.instrument(span);
        tokio::pin!(serve);
        let mut progress = interval(PROGRESS);
        progress.set_missed_tick_behavior(MissedTickBehavior::Delay);
        progress.reset();
        let mut pieces = Some(pieces);
        let mut pending: Option<Piece> = None;
        loop {
            tokio::select! {
                answer = &mut serve => return Ok(Some(answer)),
                _ = progress.tick() => self.writer.send(&Message::Progress).await?,
                permit = reserve(pieces.clone()), if pending.is_some() => {
                    match (permit, pending.take()) {
                        (Some(permit), Some(piece)) => {
                            let end = matches!(piece, Piece::End);
                            permit.send(piece);
                            if end {
                                pieces = None;
                            }
                        }
                        // The target stopped reading; the rest is dropped.
                        _ => pieces = None,
                    }
                }
                message = self.inbox.recv(), if pending.is_none() => {
                    match message {
                        Some(Message::Chunk(data)) => {
                            pending = pieces.is_some().then_some(Piece::Data(data));
                        }
                        Some(Message::End) => {
                            self.read = true;
                            pending = pieces.is_some().then_some(Piece::End);
                        }
                        Some(Message::Abort) => {
                            self.read = true;
                            pieces = None;
                        }
                        _ => {
                            cancel.cancel();
                            // The job ends by itself; what runs at most once
                            // runs on to its outcome.
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

    async fn respond(&mut self, response: Response<Body>) -> Result<()> {
        let (parts, mut body) = response.into_parts();
        let head = Head {
            status: parts.status.as_u16(),
            headers: flatten(&parts.headers),
        };
        self.writer.send(&Message::Head(Box::new(head))).await?;
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = tokio::time::sleep(PROGRESS) => {
                    self.writer.send(&Message::Progress).await?;
                    continue;
                }
            };
            match frame {
                None => return self.writer.send(&Message::End).await,
                Some(Err(_)) => {
                    self.usable = false;
                    return self.writer.send(&Message::Abort).await;
                }
                Some(Ok(frame)) => {
                    if let Ok(mut data) = frame.into_data() {
                        while !data.is_empty() {
                            let piece = data.split_to(data.len().min(PIECE));
                            self.writer.send(&Message::Chunk(piece)).await?;
                        }
                    }
                }
            }
        }
    }
}

async fn reserve(pieces: Option<mpsc::Sender<Piece>>) -> Option<mpsc::OwnedPermit<Piece>> {
    pieces?.reserve_owned().await.ok()
}

fn job(
    context: &Context,
    forward: Forward,
    body: mpsc::Receiver<Piece>,
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
        headers: unflatten(forward.headers),
        body,
        deadline: context.clock.now() + forward.remaining,
        caller: forward.caller,
        cancel,
    })
}
