//! Forwards a request to the node that owns its key.
//!
//! `ingress` calls [`forward`] for each attempt at another node. The serving
//! side of the protocol is in `peer::exchange`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use tokio::{
    net::TcpStream,
    sync::mpsc,
    task::JoinHandle,
    time::{Instant, sleep_until, timeout},
};
use wisteriaglade_router::peer::{Connection, Outcome};
use wisteriaglade_types::{Node, Request};
use wisteriaglade_wire::{self as wire, Reader, Writer};

use crate::{
    body::{Body, Chunk},
    context::Context,
    job::Job,
    lock,
    message::{Forward, Head, Message, RequestState},
    peer::PROGRESS_INTERVAL,
    pool::Link,
    read,
    refusal::{Reason, Refusal},
};

/// Chunks of a response body that are buffered for a slow caller.
const BUFFERED_CHUNKS: usize = 8;

/// Largest chunk of a body in one message.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// Queries about a lost request that may fail before its outcome counts as
/// unknown.
const MAX_QUERIES: usize = 2;

/// The silence after which a connection to a fenced node counts as lost: the
/// interval of `Progress` and some delay. The silence timeout would use up the
/// whole time in which a key is to be served again.
const FENCED_SILENCE: Duration = PROGRESS_INTERVAL.saturating_add(Duration::from_millis(100));

/// The task that sends a request body. It returns the sending half of the link
/// when the whole body is sent.
type BodyTask = JoinHandle<wire::Result<Writer<TcpStream>>>;

/// Sends a request to the owner's node and returns the response, whose body is
/// streamed.
///
/// Records the result in the health of the node. If the connection is lost, it
/// queries the node about the request before it returns a refusal.
pub(crate) async fn forward(
    context: &Arc<Context>,
    peer: SocketAddr,
    node: Node,
    job: Job,
) -> Result<Response<Body>, Refusal> {
    let link = connect(context, peer, node).await?;
    let request = job.request;
    let exchange = Exchange {
        context,
        peer,
        node,
        request,
    };
    let forward = forward_message(context, node, &job);
    let outcome = exchange.run(link, forward, job.body).await;
    let peer_outcome = match &outcome {
        Ok(Ok(_)) => Outcome::Answered,
        Ok(Err(_)) => Outcome::Refused,
        Err(ConnectionLost) => Outcome::Silent,
    };
    record_outcome(context, node, peer_outcome);
    match outcome {
        Ok(answer) => answer,
        Err(ConnectionLost) => Err(exchange.resolve().await),
    }
}

/// Records the result of an attempt in the health of the node.
fn record_outcome(context: &Context, node: Node, outcome: Outcome) {
    let now = context.clock.now();
    lock(&context.peer_health).record(now, node, outcome);
}

/// Returns a link to the owner's node: a pooled one, or a new one if recent
/// attempts at the node got no answer. Refuses the request if the node is
/// considered unreachable.
async fn connect(context: &Context, peer: SocketAddr, node: Node) -> Result<Link, Refusal> {
    let connection = lock(&context.peer_health).connection(context.clock.now(), node);
    let pooled = match connection {
        Connection::Pooled => context.pool.take(peer),
        Connection::New => None,
        Connection::Unavailable => {
            let detail = "the owner's node has not answered lately";
            return Err(Refusal::not_run(Reason::Unreachable, detail));
        }
    };
    if let Some(link) = pooled {
        return Ok(link);
    }
    context.pool.open(peer).await.map_err(|error| {
        record_outcome(context, node, Outcome::Failed);
        Refusal::not_run(Reason::Unreachable, error.to_string())
    })
}

/// Builds the message that carries a request without its body.
fn forward_message(context: &Context, node: Node, job: &Job) -> Message {
    Message::Forward(Box::new(Forward {
        request: job.request,
        node,
        method: job.method.to_string(),
        uri: job.uri.to_string(),
        headers: encode_headers(&job.headers),
        remaining: job.deadline.saturating_sub(context.clock.now()),
        caller: job.caller.clone(),
        length: job.body.size_hint().exact(),
    }))
}

/// Converts headers to the form that messages between nodes carry.
pub(crate) fn encode_headers(headers: &HeaderMap) -> Vec<(String, bytes::Bytes)> {
    headers
        .iter()
        .map(|(name, value)| {
            let value = bytes::Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect()
}

/// Converts headers of a message to HTTP headers. Invalid names and values are
/// skipped.
pub(crate) fn decode_headers(headers: Vec<(String, bytes::Bytes)>) -> HeaderMap {
    headers
        .into_iter()
        .filter_map(|(name, value)| {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            Some((name, HeaderValue::from_maybe_shared(value).ok()?))
        })
        .collect()
}

/// The client side of one forwarded request.
struct Exchange<'a> {
    context: &'a Arc<Context>,
    peer: SocketAddr,
    node: Node,
    request: Request,
}

/// The connection failed or timed out before the owner's node answered.
struct ConnectionLost;

impl<E> From<E> for ConnectionLost
where
    E: std::error::Error,
{
    fn from(_: E) -> Self {
        Self
    }
}

impl Exchange<'_> {
    /// Sends the request and waits for the head of the response or a refusal.
    /// The body is sent by a task of its own meanwhile.
    async fn run(
        &self,
        link: Link,
        forward: Message,
        body: Body,
    ) -> Result<Result<Response<Body>, Refusal>, ConnectionLost> {
        let timing = &self.context.settings.timing;
        let (mut reader, mut writer) = link.split();
        timeout(timing.accept, writer.send(&forward)).await??;
        let body_task = tokio::spawn(send_body(writer, body));
        let mut message: Message = timeout(timing.accept, reader.recv()).await??;
        loop {
            match message {
                Message::Accepted | Message::Progress => {}
                Message::Refused(refusal) => {
                    self.return_link(reader, body_task).await;
                    return Ok(Err(*refusal));
                }
                Message::Head(head) => return Ok(self.respond(*head, reader, body_task)),
                _ => return Err(ConnectionLost),
            }
            message = self.receive(&mut reader).await?;
        }
    }

    /// Waits for the next message of the node. The connection counts as lost after
    /// the silence timeout, and sooner when the node is fenced: its keys get another
    /// owner then.
    async fn receive(&self, reader: &mut Reader<TcpStream>) -> Result<Message, ConnectionLost> {
        let silent_at = Instant::now() + FENCED_SILENCE;
        let fenced = async {
            self.wait_until_fenced().await;
            sleep_until(silent_at).await;
        };
        tokio::select! {
            biased;
            message = timeout(self.context.settings.timing.silence, reader.recv()) => Ok(message??),
            () = fenced => Err(ConnectionLost),
        }
    }

    /// Builds the response, and spawns a task that reads its body and returns the
    /// link to the pool.
    fn respond(
        &self,
        head: Head,
        reader: Reader<TcpStream>,
        body_task: BodyTask,
    ) -> Result<Response<Body>, Refusal> {
        let status = StatusCode::from_u16(head.status).map_err(|_| {
            Refusal::unknown(Reason::ConnectionLost, "the owner's answer has no status")
        })?;
        let (chunks, receiver) = mpsc::channel(BUFFERED_CHUNKS);
        let mut response = Response::new(Body::channel(receiver));
        *response.status_mut() = status;
        *response.headers_mut() = decode_headers(head.headers);
        let silence = self.context.settings.timing.silence;
        let context = Arc::clone(self.context);
        let peer = self.peer;
        self.context.requests.spawn(async move {
            if let Some(reader) = receive_body(reader, chunks, silence).await {
                return_link(&context, peer, reader, body_task).await;
            }
        });
        Ok(response)
    }

    async fn return_link(&self, reader: Reader<TcpStream>, body_task: BodyTask) {
        return_link(self.context, self.peer, reader, body_task).await;
    }

    /// Determines the outcome of a request whose connection was lost. Stops as
    /// soon as the node is fenced: the key gets another owner then, and the query
    /// would only delay the request.
    async fn resolve(&self) -> Refusal {
        self.context.pool.discard(self.peer);
        tokio::select! {
            () = self.wait_until_fenced() => owner_unreachable(),
            refusal = self.query_outcome() => refusal,
        }
    }

    /// Waits until the owner's node is fenced or removed.
    async fn wait_until_fenced(&self) {
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

    /// Asks the owner's node whether it received the request, over a new
    /// connection for each query.
    async fn query_outcome(&self) -> Refusal {
        let message = Message::Query {
            request: self.request,
        };
        let wait = self.context.settings.timing.accept;
        for _ in 0..MAX_QUERIES {
            match self
                .context
                .pool
                .call_unpooled(self.peer, &message, wait)
                .await
            {
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
        owner_unreachable()
    }
}

/// The refusal when the outcome cannot be queried.
fn owner_unreachable() -> Refusal {
    Refusal::unknown(
        Reason::ConnectionLost,
        "the owner's node cannot be reached any more",
    )
}

/// Returns a link to the pool if the request body has been sent completely.
async fn return_link(
    context: &Context,
    peer: SocketAddr,
    reader: Reader<TcpStream>,
    body_task: BodyTask,
) {
    // The rest of an unfinished body would be read as part of the next
    // exchange.
    if !body_task.is_finished() {
        body_task.abort();
        return;
    }
    if let Ok(Ok(writer)) = body_task.await {
        context.pool.put(peer, Link::join(reader, writer));
    }
}

/// Sends a body in chunks, followed by a message for its end, or for its
/// truncation if it cannot be read.
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
                let chunk = data.split_to(data.len().min(MAX_CHUNK_BYTES));
                writer.send(&Message::Chunk(chunk)).await?;
            }
        }
    }
    writer.send(&Message::End).await?;
    Ok(writer)
}

/// Passes the chunks of a response body to a channel. Returns the reader after
/// the end of the body, or `None` if the body was truncated, the connection was
/// silent for longer than `silence`, or the caller stopped reading.
async fn receive_body(
    mut reader: Reader<TcpStream>,
    chunks: mpsc::Sender<Chunk>,
    silence: Duration,
) -> Option<Reader<TcpStream>> {
    loop {
        match timeout(silence, reader.recv::<Message>())
            .await
            .ok()?
            .ok()?
        {
            Message::Chunk(data) => chunks.send(Chunk::Data(data)).await.ok()?,
            Message::End => {
                chunks.send(Chunk::End).await.ok()?;
                return Some(reader);
            }
            Message::Progress => {}
            _ => return None,
        }
    }
}
