//! TCP links that carry consensus messages between replicas.
//!
//! A link carries consensus messages in one direction and pings in both, so
//! that each side detects a dead link.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::TcpStream,
    sync::mpsc,
    time::{Instant, interval, timeout, timeout_at},
};
use wisteriaglade_consensus as consensus;
use wisteriaglade_wire::Writer;

use super::{Handle, Input};
use crate::{context::Context, message::Message, peer::Inbox, subscription::PING_INTERVAL};

/// The delay before a link to another replica is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Sends the messages of `outbox` to the replica `id`. Opens the link again
/// when it fails, and returns when the replica's thread has ended or the
/// process shuts down.
pub(crate) async fn send(
    context: Arc<Context>,
    id: u64,
    mut outbox: mpsc::Receiver<consensus::Message>,
) {
    let Some(other) = context.settings.replicas.iter().find(|r| r.id == id) else {
        return;
    };
    let (own, peer) = (context.replica.as_ref().map_or(0, |r| r.id), other.peer);
    loop {
        tokio::select! {
            () = context.shutdown.cancelled() => return,
            outcome = run_link(&context, own, peer, &mut outbox) => {
                if outcome.is_none() {
                    return;
                }
            }
        }
        // Messages that were queued while the link was down are outdated, and
        // the consensus protocol sends them again.
        while outbox.try_recv().is_ok() {}
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Opens a link and sends messages over it. Returns `None` when the replica's
/// thread has ended, and `Some` when the link has failed.
async fn run_link(
    context: &Context,
    own: u64,
    peer: SocketAddr,
    outbox: &mut mpsc::Receiver<consensus::Message>,
) -> Option<()> {
    let Ok(mut link) = context.pool.open(peer).await else {
        return Some(());
    };
    if link.send(&Message::Raft { from: own }).await.is_err() {
        return Some(());
    }
    let silence = context.settings.timing.silence;
    let (mut reader, mut writer) = link.split();
    // A successful write does not show that the other side still receives, so
    // its pings are awaited too.
    let monitor = async {
        while let Ok(Ok(Message::Ping)) = timeout(silence, reader.recv::<Message>()).await {}
        Some(())
    };
    let transmit = async {
        loop {
            let message = match timeout(PING_INTERVAL, outbox.recv()).await {
                Ok(message) => Message::Step(Box::new(message?)),
                Err(_) => Message::Ping,
            };
            let sent = timeout(silence, writer.send(&message)).await;
            if !matches!(sent, Ok(Ok(()))) {
                return Some(());
            }
        }
    };
    tokio::select! {
        outcome = monitor => outcome,
        outcome = transmit => outcome,
    }
}

/// Passes consensus messages of the replica `from` to the local replica and
/// sends pings. Returns when nothing arrives for the silence timeout, so that
/// the other side opens a new link.
pub(crate) async fn receive(
    context: &Context,
    replica: &Handle,
    from: u64,
    inbox: &mut Inbox,
    writer: &mut Writer<TcpStream>,
) -> wisteriaglade_wire::Result<()> {
    let from = consensus::Replica::new(from);
    let mut ping = interval(PING_INTERVAL);
    let mut heard = Instant::now();
    loop {
        let message = tokio::select! {
            message = timeout_at(heard + context.settings.timing.silence, inbox.recv()) => message,
            _ = ping.tick() => {
                writer.send(&Message::Ping).await?;
                continue;
            }
        };
        let Ok(Some(message)) = message else {
            return Ok(());
        };
        heard = Instant::now();
        if let Message::Step(message) = message {
            let input = Input::Message {
                from,
                message: *message,
            };
            if replica.inbox.send(input).is_err() {
                return Ok(());
            }
        }
    }
}
