//! Sends a request to the node that owns its key.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use tokio::{net::TcpStream, sync::mpsc, task::JoinHandle, time::timeout};
use wisteriaglade_router::peer::{Outcome, Path};
use wisteriaglade_types::{Node, Request};
use wisteriaglade_wire::{self as wire, Reader, Writer};

use crate::{
    body::{Body, Piece},
    context::Context,
    job::Job,
    lock,
    message::{Forward, Head, Message, RequestState},
    pool::Link,
    read,
    refusal::{Reason, Refusal},
};

/// Pieces of a body that wait for a slow receiver.
const PIECES: usize = 8;

/// The size of a piece of a body.
const PIECE: usize = 64 * 1024;

/// Queries before a silent request counts as unknown.
const QUERIES: usize = 2;

/// The sending direction, which comes back once the body is sent.
type Sending = JoinHandle<wire::Result<Writer<TcpStream>>>;

/// Sends a request to the owner's node and returns its response.
pub(crate) async fn forward(
    context: &Arc<Context>,
    peer: SocketAddr,
    node: Node,
    job: Job,
) -> Result<Response<Body>, Refusal> {
    let link = connect(context, peer, node).await?;
    let request = job.request;
    let call = Exchange {
        context,
        peer,
        node,
        request,
    };
    let forward = message(context, node, &job);
    let outcome = call.run(link, forward, job.body).await;
    let answered = match &outcome {
        Ok(Ok(_)) => Outcome::Answered,
        Ok(Err(_)) => Outcome::Refused,
        Err(Lost) => Outcome::Silent,
    };
    record(context, node, answered);
    match outcome {
        Ok(answer) => answer,
        Err(Lost) => Err(call.resolve().await),
    }
}

fn record(context: &Context, node: Node, outcome: Outcome) {
    let now = context.clock.now();
    lock(&context.health).record(now, node, outcome);
}

/// A connection to the owner's node, a new one when the last attempts had no
/// answer.
async fn connect(context: &Context, peer: SocketAddr, node: Node) -> Result<Link, Refusal> {
    let path = lock(&context.health).path(context.clock.now(), node);
    let pooled = match path {
        Path::Pooled => context.pool.take(peer),
        Path::Fresh => None,
        Path::Avoid => {
            let detail = "the owner's node has not answered lately";
            return Err(Refusal::not_run(Reason::Unreachable, detail));
        }
    };
    if let Some(link) = pooled {
        return Ok(link);
    }
    context.pool.open(peer).await.map_err(|error| {
        record(context, node, Outcome::Failed);
        Refusal::not_run(Reason::Unreachable, error.to_string())
    })
}

fn message(context: &Context, node: Node, job: &Job) -> Message {
    Message::Forward(Box::new(Forward {
        request: job.request,
        node,
        method: job.method.to_string(),
        uri: job.uri.to_string(),
        headers: flatten(&job.headers),
        remaining: job.deadline.saturating_sub(context.clock.now()),
        caller: job.caller.clone(),
        length: job.body.size_hint().exact(),
    }))
}

/// Headers as they travel between processes.
pub(crate) fn flatten(headers: &HeaderMap) -> Vec<(String, bytes::Bytes)> {
    headers
        .iter()
        .map(|(name, value)| {
            let value = bytes::Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect()
}

/// Headers as HTTP has them. What does not parse is left out.
pub(crate) fn unflatten(headers: Vec<(String, bytes::Bytes)>) -> HeaderMap {
    headers
        .into_iter()
        .filter_map(|(name, value)| {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            Some((name, HeaderValue::from_maybe_shared(value).ok()?))
        })
        .collect()
}

struct Exchange<'a> {
    context: &'a Arc<Context>,
    peer: SocketAddr,
    node: Node,
    request: Request,
}

/// Why an exchange has no answer: its connection failed or fell silent.
struct Lost;

impl<E> From<E> for Lost
where
    E: std::error::Error,
{
    fn from(_: E) -> Self {
        Self
    }
}

impl Exchange<'_> {
    async fn run(
        &self,
        link: Link,
        forward: Message,
        body: Body,
    ) -> Result<Result<Response<Body>, Refusal>, Lost> {
        let timing = &self.context.settings.timing;
        let (mut reader, mut writer) = link.split();
        timeout(timing.accept, writer.send(&forward)).await??;
        let sending = tokio::spawn(send_body(writer, body));
        let mut message: Message = timeout(timing.accept, reader.recv()).await??;
        loop {
            match message {
                Message::Accepted | Message::Progress => {}
                Message::Refused(refusal) => {
                    self.keep(reader, sending).await;
                    return Ok(Err(*refusal));
                }
                Message::Head(head) => return Ok(self.respond(*head, reader, sending)),
                _ => return Err(Lost),
            }
            message = timeout(timing.silence, reader.recv()).await??;
        }
    }

    fn respond(
        &self,
        head: Head,
        reader: Reader<TcpStream>,
        sending: Sending,
    ) -> Result<Response<Body>, Refusal> {
        let status = StatusCode::from_u16(head.status).map_err(|_| {
            Refusal::unknown(Reason::ConnectionLost, "the owner's answer has no status")
        })?;
        let (pieces, receiver) = mpsc::channel(PIECES);
        let mut response = Response::new(Body::channel(receiver));
        *response.status_mut() = status;
        *response.headers_mut() = unflatten(head.headers);
        let silence = self.context.settings.timing.silence;
        let context = Arc::clone(self.context);
        let peer = self.peer;
        self.context.requests.spawn(async move {
            if let Some(reader) = receive_body(reader, pieces, silence).await {
                keep(&context, peer, reader, sending).await;
            }
        });
        Ok(response)
    }

    async fn keep(&self, reader: Reader<TcpStream>, sending: Sending) {
        keep(self.context, self.peer, reader, sending).await;
    }

    /// Finds out what became of the request, unless its node is fenced: the
    /// key gets another owner then, and asking would only delay the request.
    async fn resolve(&self) -> Refusal {
        self.context.pool.forget(self.peer);
        tokio::select! {
            () = self.fenced() => out_of_reach(),
            refusal = self.query() => refusal,
        }
    }

    /// Returns when the owner's node is fenced or removed.
    async fn fenced(&self) {
        let mut changes = self.context.applied.subscribe();
        loop {
            let gone = read(&self.context.view)
                .state
                .node(self.node)
                .is_none_or(wisteriaglade_control::Process::is_fenced);
            if gone || changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Asks over a new connection.
    async fn query(&self) -> Refusal {
        let message = Message::Query {
            request: self.request,
        };
        let wait = self.context.settings.timing.accept;
        for _ in 0..QUERIES {
            match self.context.pool.call_anew(self.peer, &message, wait).await {
                Ok(Message::RequestState(RequestState::NotReceived)) => {
                    return Refusal::not_run(
                        Reason::Unreachable,
                        "the request did not reach the owner's node",
                    );
                }
                Ok(Message::RequestState(RequestState::Running | RequestState::Finished)) => {
                    return Refusal::unknown(
                        Reason::ConnectionLost,
                        "the connection to the owner's node was lost during the work",
                    );
                }
                _ => {}
            }
        }
        out_of_reach()
    }
}

fn out_of_reach() -> Refusal {
    Refusal::unknown(
        Reason::ConnectionLost,
        "the owner's node cannot be reached any more",
    )
}

/// Keeps a link whose both directions are at the end of an exchange.
async fn keep(context: &Context, peer: SocketAddr, reader: Reader<TcpStream>, sending: Sending) {
    // A body that is still being sent would mix with the next exchange.
    if !sending.is_finished() {
        sending.abort();
        return;
    }
    if let Ok(Ok(writer)) = sending.await {
        context.pool.put(peer, Link::join(reader, writer));
    }
}

async fn send_body(
    mut writer: Writer<TcpStream>,
    mut body: Body,
) -> wire::Result<Writer<TcpStream>> {
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            writer.send(&Message::Abort).await?;
            return Ok(writer);
        };
        if let Ok(mut data) = frame.into_data() {
            while !data.is_empty() {
                let piece = data.split_to(data.len().min(PIECE));
                writer.send(&Message::Chunk(piece)).await?;
            }
        }
    }
    writer.send(&Message::End).await?;
    Ok(writer)
}

/// Passes a body on; the reader comes back when its end was read.
async fn receive_body(
    mut reader: Reader<TcpStream>,
    pieces: mpsc::Sender<Piece>,
    silence: Duration,
) -> Option<Reader<TcpStream>> {
    loop {
        match timeout(silence, reader.recv::<Message>())
            .await
            .ok()?
            .ok()?
        {
            Message::Chunk(data) => pieces.send(Piece::Data(data)).await.ok()?,
            Message::End => {
                pieces.send(Piece::End).await.ok()?;
                return Some(reader);
            }
            Message::Progress => {}
            _ => return None,
        }
    }
}
