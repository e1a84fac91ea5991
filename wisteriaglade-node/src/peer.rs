//! The TCP listener for other processes.

mod exchange;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};
use tracing::{debug, info, warn};
use wisteriaglade_control::planner;
use wisteriaglade_wire::{Kind, Link, Reader, Writer};

use self::exchange::Exchange;
use crate::{
    context::Context,
    message::{Forward, Message, Proposed},
    records, replica, subscription,
};

/// The time for the handshake of a new connection.
const HANDSHAKE: Duration = Duration::from_secs(2);

/// How long a connection may be unused. It exceeds the time after which the
/// other side stops using it.
const IDLE: Duration = Duration::from_mins(1);

/// Messages that are read ahead of their handling.
const AHEAD: usize = 16;

/// Messages as they are read from a connection. It ends when the connection
/// does.
pub(crate) type Inbox = mpsc::Receiver<Message>;

/// Accepts other processes until this one ends.
pub(crate) async fn listen(context: Arc<Context>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = context.shutdown.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, address)) => {
                let _ = stream.set_nodelay(true);
                tokio::spawn(connection(Arc::clone(&context), stream, address));
            }
            Err(error) => {
                warn!(event = "accept-failed", error = %error);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn connection(context: Arc<Context>, stream: TcpStream, address: SocketAddr) {
    let link = match timeout(HANDSHAKE, Link::accept(stream, &context.key)).await {
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
    let (pass, mut inbox) = mpsc::channel(AHEAD);
    let reading = tokio::spawn(read(reader, pass, address));
    let serving = serve(&context, &mut inbox, &mut writer);
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

/// Reads messages until the connection ends, which closes the inbox.
async fn read(mut reader: Reader<TcpStream>, pass: mpsc::Sender<Message>, address: SocketAddr) {
    loop {
        match reader.recv::<Message>().await {
            Ok(message) => {
                if pass.send(message).await.is_err() {
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

/// Serves one exchange after another.
async fn serve(
    context: &Arc<Context>,
    inbox: &mut Inbox,
    writer: &mut Writer<TcpStream>,
) -> wisteriaglade_wire::Result<()> {
    loop {
        let Ok(Some(message)) = timeout(IDLE, inbox.recv()).await else {
            return Ok(());
        };
        match message {
            Message::Forward(forward) => {
                if !exchange(context, *forward, inbox, writer).await? {
                    return Ok(());
                }
            }
            Message::Query { request } => {
                let known = context.seen.query(context.clock.now(), request);
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
            // What is left over from an exchange that ended early.
            Message::Chunk(_) | Message::End | Message::Abort => {}
            _ => return Ok(()),
        }
    }
}

/// Serves a forwarded request. False when the connection must be closed.
async fn exchange(
    context: &Arc<Context>,
    forward: Forward,
    inbox: &mut Inbox,
    writer: &mut Writer<TcpStream>,
) -> wisteriaglade_wire::Result<bool> {
    let request = forward.request;
    let exchange = Exchange::new(context, inbox, writer).run(forward);
    // Tracked, so that a shutdown lets it end.
    let outcome = context.requests.track_future(exchange).await;
    context.seen.finish(request);
    outcome
}
