//! Keeps the node's copy of the control state up to date.

use std::{sync::Arc, time::Duration};

use tokio::time::{sleep, timeout};
use tracing::{debug, info};
use wisteriaglade_consensus::Entry;
use wisteriaglade_control::State;
use wisteriaglade_types::{Hash, Index};

use crate::{context::Context, message::Message, pool, read, replica, view::View, write};

/// The pause before another replica is tried.
const PAUSE: Duration = Duration::from_millis(100);

/// The interval of the signs of life on an idle subscription.
pub(crate) const PING: Duration = Duration::from_millis(250);

/// Committed entries in one message.
const BATCH: usize = 128;

/// The size of a piece of a snapshot, below the limit of a frame.
const PIECE: usize = 256 * 1024;

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
        let run = subscribe(&context, replica.peer);
        tokio::select! {
            () = context.shutdown.cancelled() => return,
            outcome = run => {
                if let Err(error) = outcome {
                    debug!(event = "subscription-lost", replica = replica.id, error = %error);
                }
            }
        }
        next += 1;
        sleep(PAUSE).await;
    }
}

async fn subscribe(context: &Context, peer: std::net::SocketAddr) -> pool::Result<()> {
    let mut link = context.pool.open(peer).await?;
    let from = read(&context.view).applied.next();
    link.send(&Message::Subscribe { from }).await?;
    let mut snapshot = Vec::new();
    let mut counted = 0;
    loop {
        let message = timeout(context.settings.timing.silence, link.recv::<Message>())
            .await
            .map_err(|_| pool::Error::Timeout)??;
        context.metrics.control(link.received() - counted);
        counted = link.received();
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
            _ => return Err(pool::Error::Timeout),
        }
    }
}

fn apply(context: &Context, entries: &[Entry]) {
    let mut view = write(&context.view);
    view.apply(entries);
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
    loop {
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
    let (index, bytes) = {
        let board = read(&replica.board);
        (board.applied, bytes::Bytes::from(board.state.encode()))
    };
    let mut rest = bytes;
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
