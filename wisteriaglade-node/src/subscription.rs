//! The subscription to committed entries of the control log.
//!
//! [`follow`] keeps this node's copy of the control state up to date.
//! [`serve`] is the other side, on a process with a control replica.

use std::{sync::Arc, time::Duration};

use tokio::time::{Instant, interval, sleep, timeout};
use tracing::{debug, info};
use wisteriaglade_consensus::Entry;
use wisteriaglade_control::State;
use wisteriaglade_types::{Hash, Index};

use crate::{
    context::Context,
    lock,
    message::Message,
    pool, read, replica,
    view::{View, parse_rule_changes},
    write,
};

/// The delay before another replica is tried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The interval of pings on an idle link.
pub(crate) const PING_INTERVAL: Duration = Duration::from_millis(250);

/// The interval of the checks whether this node has fallen behind.
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How long a subscription may bring nothing while other replicas report an
/// entry that is missing here. It is longer than a piece of a snapshot takes
/// on a slow network.
const STALL_TIMEOUT: Duration = Duration::from_millis(100);

/// The largest number of committed entries in one message.
const MAX_BATCH_ENTRIES: usize = 128;

/// The size of a piece of a snapshot in bytes, below the largest size of a
/// frame.
const MAX_PIECE_BYTES: usize = 64 * 1024;

/// The cause for which a subscription ended.
enum Failure {
    /// The connection failed or went silent.
    Disconnected(pool::Error),
    /// It brought no entries, while the replica with this id reported newer
    /// ones.
    Lagging(u64),
}

impl<E: Into<pool::Error>> From<E> for Failure {
    fn from(error: E) -> Self {
        Self::Disconnected(error.into())
    }
}

/// Subscribes to one replica after another until the process shuts down.
///
/// The hash of the host's name selects the first one, which spreads the nodes
/// over the replicas.
pub(crate) async fn follow(context: Arc<Context>) {
    let replicas = &context.settings.replicas;
    let start = Hash::of(context.settings.host.as_str()).shard(u32::from(u16::MAX));
    let mut next = start.get() as usize;
    while !context.shutdown.is_cancelled() {
        let replica = &replicas[next % replicas.len()];
        let end = tokio::select! {
            () = context.shutdown.cancelled() => return,
            end = subscribe(&context, replica.peer) => end,
        };
        match end {
            Ok(()) => next += 1,
            Err(Failure::Disconnected(error)) => {
                debug!(event = "subscription-lost", replica = replica.id, error = %error);
                next += 1;
                sleep(RETRY_DELAY).await;
            }
            Err(Failure::Lagging(ahead)) => {
                debug!(event = "subscription-late", replica = replica.id, ahead);
                let ahead = replicas.iter().position(|other| other.id == ahead);
                next = ahead.unwrap_or(next + 1);
            }
        }
    }
}

/// Subscribes to one replica and applies what it sends, until the subscription
/// ends.
async fn subscribe(context: &Context, peer: std::net::SocketAddr) -> Result<(), Failure> {
    let mut link = context.pool.open(peer).await?;
    let from = read(&context.view).applied.next();
    link.send(&Message::Subscribe { from }).await?;
    let mut snapshot = Vec::new();
    let mut counted_bytes = 0;
    let mut progress = Instant::now();
    loop {
        let message = receive(context, &mut link, progress).await?;
        if !matches!(message, Message::Ping) {
            progress = Instant::now();
        }
        context
            .metrics
            .add_control_bytes(link.received_bytes() - counted_bytes);
        counted_bytes = link.received_bytes();
        match message {
            Message::Entries(entries) => apply(context, &entries),
            Message::Snapshot { index, last, piece } => {
                snapshot.extend_from_slice(&piece);
                if last {
                    restore(context, index, &snapshot);
                    snapshot.clear();
                }
            }
            Message::Ping => {}
            _ => return Ok(()),
        }
    }
}

/// Waits for a message.
///
/// Fails when nothing arrives for the silence timeout. It fails earlier when
/// this replica brings nothing while others report newer entries: its host may
/// be lost, and keys have to be served again before the silence timeout ends.
async fn receive(
    context: &Context,
    link: &mut pool::Link,
    progress: Instant,
) -> Result<Message, Failure> {
    let message = timeout(context.settings.timing.silence, link.recv::<Message>());
    tokio::pin!(message);
    let mut check = interval(LAG_CHECK_INTERVAL);
    loop {
        tokio::select! {
            message = &mut message => return Ok(message.map_err(|_| pool::Error::Timeout)??),
            _ = check.tick() => {
                if progress.elapsed() < STALL_TIMEOUT {
                    continue;
                }
                let (now, applied) = (context.clock.now(), read(&context.view).applied);
                if let Some(ahead) = lock(&context.lease).replica_ahead(now, applied) {
                    return Err(Failure::Lagging(ahead));
                }
            }
        }
    }
}

/// Applies entries to the view. Rules are parsed before the view is locked.
fn apply(context: &Context, entries: &[Entry]) {
    let parsed = parse_rule_changes(entries);
    let mut view = write(&context.view);
    view.apply(entries, &parsed);
    publish(context, &view);
}

/// Replaces the view by a snapshot.
fn restore(context: &Context, index: Index, bytes: &[u8]) {
    match State::decode(bytes) {
        Ok(state) => {
            let mut view = write(&context.view);
            view.restore(index, state);
            publish(context, &view);
            info!(event = "snapshot-restored", index = index.get());
        }
        Err(error) => info!(event = "snapshot-undecodable", error = %error),
    }
}

/// Notifies the tasks that wait for a change of the control state.
fn publish(context: &Context, view: &View) {
    context.applied.send_replace(view.applied);
}

/// Sends committed entries and pings to one subscriber, starting with the
/// entry at `from`.
pub(crate) async fn serve(
    replica: &replica::Handle,
    writer: &mut wisteriaglade_wire::Writer<tokio::net::TcpStream>,
    from: Index,
) -> wisteriaglade_wire::Result<()> {
    let mut next = from;
    let mut commit = replica.commit.clone();
    // After a storage failure the replica accepts no more entries, so its
    // subscribers have to move to another one.
    while !read(&replica.status).storage_failed {
        let committed = *commit.borrow_and_update();
        while next <= committed {
            next = send(replica, writer, next).await?;
        }
        match timeout(PING_INTERVAL, commit.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Ok(()),
            Err(_) => writer.send(&Message::Ping).await?,
        }
    }
    Ok(())
}

/// Sends entries, or a snapshot when they are compacted, and returns the index
/// of the next entry to send.
async fn send(
    replica: &replica::Handle,
    writer: &mut wisteriaglade_wire::Writer<tokio::net::TcpStream>,
    from: Index,
) -> wisteriaglade_wire::Result<Index> {
    if let Some(entries) = replica.read(from).await {
        let Some(last) = entries.last() else {
            // The published commit index can be ahead of the entries that the
            // thread returns.
            tokio::time::sleep(Duration::from_millis(1)).await;
            return Ok(from);
        };
        let next = last.index.next();
        for batch in entries.chunks(MAX_BATCH_ENTRIES) {
            writer.send(&Message::Entries(batch.to_vec())).await?;
        }
        return Ok(next);
    }
    let (index, mut rest) = replica.snapshot();
    loop {
        let piece = rest.split_to(rest.len().min(MAX_PIECE_BYTES));
        let last = rest.is_empty();
        let message = Message::Snapshot { index, last, piece };
        writer.send(&message).await?;
        if last {
            return Ok(index.next());
        }
    }
}
