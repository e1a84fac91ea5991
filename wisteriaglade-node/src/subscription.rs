//! Keeps the node's copy of the control state up to date.

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
    view::{View, parse},
    write,
};

/// The pause before another replica is tried.
const PAUSE: Duration = Duration::from_millis(100);

/// The interval of the signs of life on an idle subscription.
pub(crate) const PING: Duration = Duration::from_millis(250);

/// The interval of the looks whether a subscription is behind.
const LOOK: Duration = Duration::from_millis(20);

/// How long a subscription may bring nothing while replicas name an index that
/// is missing here. A piece of a snapshot takes less on a slow network.
const QUIET: Duration = Duration::from_millis(100);

/// Committed entries in one message.
const BATCH: usize = 128;

/// The size of a piece of a snapshot, below the limit of a frame.
const PIECE: usize = 64 * 1024;

/// Why a subscription ended.
enum End {
    /// The connection failed or fell silent.
    Lost(pool::Error),
    /// It brings nothing, and this replica is ahead.
    Behind(u64),
}

impl<E: Into<pool::Error>> From<E> for End {
    fn from(error: E) -> Self {
        Self::Lost(error.into())
    }
}

/// Follows one replica after another until the process ends.
///
/// The first one is chosen by the host's name, so that the nodes spread over
/// the replicas.
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
            Err(End::Lost(error)) => {
                debug!(event = "subscription-lost", replica = replica.id, error = %error);
                next += 1;
                sleep(PAUSE).await;
            }
            Err(End::Behind(ahead)) => {
                debug!(event = "subscription-late", replica = replica.id, ahead);
                let ahead = replicas.iter().position(|other| other.id == ahead);
                next = ahead.unwrap_or(next + 1);
            }
        }
    }
}

async fn subscribe(context: &Context, peer: std::net::SocketAddr) -> Result<(), End> {
    let mut link = context.pool.open(peer).await?;
    let from = read(&context.view).applied.next();
    link.send(&Message::Subscribe { from }).await?;
    let mut snapshot = Vec::new();
    let mut counted = 0;
    let mut progress = Instant::now();
    loop {
        let message = receive(context, &mut link, progress).await?;
        if !matches!(message, Message::Ping) {
            progress = Instant::now();
        }
        context.metrics.control(link.received_bytes() - counted);
        counted = link.received_bytes();
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

/// Waits for a message. Gives up after a silence, and earlier when this node is
/// behind the other replicas and this one brings nothing: its host may have
/// been lost, and keys must be served again sooner than a silence is noticed.
async fn receive(
    context: &Context,
    link: &mut pool::Link,
    progress: Instant,
) -> Result<Message, End> {
    let message = timeout(context.settings.timing.silence, link.recv::<Message>());
    tokio::pin!(message);
    let mut look = interval(LOOK);
    loop {
        tokio::select! {
            message = &mut message => return Ok(message.map_err(|_| pool::Error::Timeout)??),
            _ = look.tick() => {
                if progress.elapsed() < QUIET {
                    continue;
                }
                let (now, applied) = (context.clock.now(), read(&context.view).applied);
                if let Some(ahead) = lock(&context.lease).ahead(now, applied) {
                    return Err(End::Behind(ahead));
                }
            }
        }
    }
}

fn apply(context: &Context, entries: &[Entry]) {
    let parsed = parse(entries);
    let mut view = write(&context.view);
    view.apply(entries, &parsed);
    publish(context, &view);
}

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

fn publish(context: &Context, view: &View) {
    context.applied.send_replace(view.applied);
}

/// Serves one subscriber from the replica of this process.
pub(crate) async fn serve(
    replica: &replica::Handle,
    writer: &mut wisteriaglade_wire::Writer<tokio::net::TcpStream>,
    from: Index,
) -> wisteriaglade_wire::Result<()> {
    let mut next = from;
    let mut commit = replica.commit.clone();
    // A replica whose storage has failed takes no more entries, so that its
    // subscribers have to follow another one.
    while !read(&replica.board).failed {
        let committed = *commit.borrow_and_update();
        while next <= committed {
            next = send(replica, writer, next).await?;
        }
        match timeout(PING, commit.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return Ok(()),
            Err(_) => writer.send(&Message::Ping).await?,
        }
    }
    Ok(())
}

/// Sends entries, or a snapshot when they are compacted, and returns the index
/// that follows.
async fn send(
    replica: &replica::Handle,
    writer: &mut wisteriaglade_wire::Writer<tokio::net::TcpStream>,
    from: Index,
) -> wisteriaglade_wire::Result<Index> {
    if let Some(entries) = replica.read(from).await {
        let Some(last) = entries.last() else {
            // The commit index is ahead of what the thread has published.
            tokio::time::sleep(Duration::from_millis(1)).await;
            return Ok(from);
        };
        let next = last.index.next();
        for batch in entries.chunks(BATCH) {
            writer.send(&Message::Entries(batch.to_vec())).await?;
        }
        return Ok(next);
    }
    let (index, mut rest) = replica.snapshot();
    loop {
        let piece = rest.split_to(rest.len().min(PIECE));
        let last = rest.is_empty();
        let message = Message::Snapshot { index, last, piece };
        writer.send(&message).await?;
        if last {
            return Ok(index.next());
        }
    }
}
