//! The TCP listener for other nodes: forwarded requests, queries, records,
//! proposals, subscriptions and consensus messages.

mod exchange;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::TcpStream, sync::mpsc, time::timeout};
use tracing::{debug, info, warn};
use wisteriaglade_control::planner;
use wisteriaglade_wire::{Kind, Link, Listener, Reader, Writer};

use self::exchange::Exchange;
pub(crate) use self::exchange::PROGRESS_INTERVAL;
use crate::{
    context::Context,
    message::{Forward, Message, Proposed},
    records, replica, subscription,
};

/// Timeout of the handshake of a new connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an idle connection is closed. It exceeds the idle timeout of
/// the connecting side, so that a connection isn't closed just as it is reused.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Number of messages that are read before they are handled.
const INBOX_CAPACITY: usize = 16;

/// The messages read from a connection. The channel closes when the connection
/// ends.
pub(crate) type Inbox = mpsc::Receiver<Message>;

/// Accepts connections until shutdown, each served by its own task.
pub(crate) async fn listen(context: Arc<Context>, listener: Listener) {
    loop {
        let accepted = tokio::select! {
            () = context.shutdown.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, address)) => {
                let _ = stream.set_nodelay(true);
                tokio::spawn(serve_connection(Arc::clone(&context), stream, address));
            }
            Err(error) => {
                warn!(event = "accept-failed", error = %error);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Performs the handshake and serves the connection until it ends.
async fn serve_connection(context: Arc<Context>, stream: TcpStream, address: SocketAddr) {
    let link = match timeout(HANDSHAKE_TIMEOUT, Link::accept(stream, &context.key)).await {
        Ok(Ok(link)) => link,
        Ok(Err(error)) => {
            info!(event = "peer-refused", from = %address, error = %error);
            return;
        }
        Err(_) => {
            info!(event = "peer-refused", from = %address, error = "handshake timed out");
            return;
        }
    };
    let (reader, mut writer) = link.split();
    let (sender, mut inbox) = mpsc::channel(INBOX_CAPACITY);
    let reading = tokio::spawn(read_messages(reader, sender, address));
    let serving = serve_messages(&context, &mut inbox, &mut writer);
    tokio::select! {
        () = context.shutdown.cancelled() => {}
        outcome = serving => {
            if let Err(error) = outcome {
                debug!(event = "peer-connection", from = %address, error = %error);
            }
        }
    }
    reading.abort();
}

/// Reads messages into the inbox until the connection ends, which closes the
/// inbox.
async fn read_messages(
    mut reader: Reader<TcpStream>,
    sender: mpsc::Sender<Message>,
    address: SocketAddr,
) {
    loop {
        match reader.recv::<Message>().await {
            Ok(message) => {
                if sender.send(message).await.is_err() {
                    return;
                }
            }
            Err(error) if matches!(error.kind(), Kind::Closed | Kind::Io) => return,
            Err(error) => {
                warn!(event = "bad-frame", from = %address, error = %error);
                return;
            }
        }
    }
}

/// Handles the messages of a connection in order, until it is idle for too long
/// or a message ends it.
async fn serve_messages(
    context: &Arc<Context>,
    inbox: &mut Inbox,
    writer: &mut Writer<TcpStream>,
) -> wisteriaglade_wire::Result<()> {
    loop {
        let Ok(Some(message)) = timeout(IDLE_TIMEOUT, inbox.recv()).await else {
            return Ok(());
        };
        match message {
            Message::Forward(forward) => {
                if !serve_forward(context, *forward, inbox, writer).await? {
                    return Ok(());
                }
            }
            Message::Query { request } => {
                let known = context.deduplicator.query(context.clock.now(), request);
                writer.send(&Message::RequestState(known)).await?;
            }
            Message::Record { to, message } => {
                let reply = records::handle(context, to, *message);
                writer.send(&Message::Recorded(reply.map(Box::new))).await?;
            }
            Message::Propose(command) => {
                let outcome = match &context.replica {
                    Some(replica) => replica.propose(*command).await,
                    None => Proposed::NotLeader(None),
                };
                writer.send(&Message::Proposed(outcome)).await?;
            }
            Message::Lost { node } => {
                if let Some(replica) = &context.replica {
                    replica.observe(planner::Event::HostOff { node });
                }
                writer.send(&Message::Ping).await?;
            }
            Message::Subscribe { from } => {
                let Some(replica) = &context.replica else {
                    return Ok(());
                };
                return subscription::serve(replica, writer, from).await;
            }
            Message::Raft { from } => {
                let Some(replica) = &context.replica else {
                    return Ok(());
                };
                return replica::link::receive(context, replica, from, inbox, writer).await;
            }
            // The rest of the body of an exchange that ended before the body was
            // read completely.
            Message::Chunk(_) | Message::End | Message::Abort => {}
            _ => return Ok(()),
        }
    }
}

/// Serves a forwarded request. Returns `false` if the connection must be closed.
async fn serve_forward(
    context: &Arc<Context>,
    forward: Forward,
    inbox: &mut Inbox,
    writer: &mut Writer<TcpStream>,
) -> wisteriaglade_wire::Result<bool> {
    let request = forward.request;
    let exchange = Exchange::new(context, inbox, writer).run(forward);
    // Tracked, so that a shutdown waits for it.
    let outcome = context.requests.track_future(exchange).await;
    context.deduplicator.finish(request);
    outcome
}
