//! The membership of this process in the cluster.
//!
//! Two tasks of the daemon run here. One joins the cluster, announces the
//! target and releases the shards that move away; the other renews the lease.

use std::{sync::Arc, time::Duration};

use tokio::time::{MissedTickBehavior, interval, sleep};
use tracing::{info, warn};
use wisteriaglade_control::{Command, Reply, Status};
use wisteriaglade_router::Event;
use wisteriaglade_types::{Epoch, Node, Shard};
use wisteriaglade_wire::Datagram as Sealed;

use crate::{
    context::{Announcement, Context},
    lock,
    message::Datagram,
    read, records,
};

/// The time limit for one proposal.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(10);

/// The interval of the checks whether the moving shards have become idle.
const RELEASE_INTERVAL: Duration = Duration::from_millis(20);

/// Keeps the process a member of the cluster until it shuts down. A process
/// whose node was fenced or removed joins again under a new id.
pub(crate) async fn run(context: Arc<Context>) {
    while !context.shutdown.is_cancelled() {
        let Some(node) = join(&context).await else {
            continue;
        };
        info!(event = "joined", node = node.get());
        context.node.send_replace(Some(node));
        tokio::select! {
            () = context.shutdown.cancelled() => return,
            () = maintain(&context, node) => {}
        }
        // A fenced id is never used again, so the process joins under a new
        // one.
        warn!(event = "fenced", node = node.get());
        context.node.send_replace(None);
        lock(&context.lease).clear();
        context.records.reset(context.settings.holder());
    }
}

/// Proposes a join and returns the id of the node, or `None` when the proposal
/// was not confirmed in time.
async fn join(context: &Context) -> Option<Node> {
    let (addresses, advertise) = (context.addresses, &context.settings.listen.advertise);
    let command = Command::Join {
        nonce: rand::random(),
        host: context.settings.host.clone(),
        data_centre: context.settings.data_centre.clone(),
        caller: advertise.caller.unwrap_or(addresses.caller),
        peer: advertise.peer.unwrap_or(addresses.peer),
        admin: advertise.admin.unwrap_or(addresses.admin),
    };
    match context.propose(command, PROPOSAL_TIMEOUT).await {
        Some(Reply::Joined(node)) => Some(node),
        _ => None,
    }
}

/// Reacts to changes of the control state and of the target until the node is
/// fenced or removed.
///
/// The shard table is read only after a change, because it is large in a large
/// cluster.
async fn maintain(context: &Arc<Context>, node: Node) {
    let mut changes = context.applied.subscribe();
    let mut announced = context.announced.subscribe();
    let mut drained = false;
    loop {
        changes.borrow_and_update();
        announced.borrow_and_update();
        if is_fenced_or_removed(context, node) {
            if drained {
                end_drain(context);
            }
            return;
        }
        // The drain of a node is requested by its target or by an operator.
        // Only the former has told the admission queue.
        if !drained && is_draining(context, node) {
            drained = true;
            context.admission.event(Event::Drain);
        }
        records::update_shards(context, node);
        announce(context, node).await;
        let mut moving = moving_shards(context, node);
        loop {
            release_idle(context, node, &mut moving).await;
            tokio::select! {
                _ = changes.changed() => break,
                _ = announced.changed() => break,
                () = sleep(RELEASE_INTERVAL), if !moving.is_empty() => {}
            }
        }
    }
}

/// Whether the control state lists the node as draining.
fn is_draining(context: &Context, node: Node) -> bool {
    let view = read(&context.view);
    let process = view.state.node(node);
    process.is_some_and(|process| process.status() == Status::Draining)
}

/// Ends the drain of the admission queue for a process that joins under a new
/// id, unless its target is draining.
fn end_drain(context: &Context) {
    let announced = context.announced.borrow().clone();
    if let Some(announced) = announced.filter(|announced| !announced.draining) {
        context.admission.set_capacity(None);
        context.admission.set_capacity(Some(announced.capacity()));
    }
}

/// Whether the control log has fenced or removed the node. A node that is not
/// applied yet is neither.
fn is_fenced_or_removed(context: &Context, node: Node) -> bool {
    let view = read(&context.view);
    if view.applied.get() < node.get() {
        return false;
    }
    view.state
        .node(node)
        .is_none_or(wisteriaglade_control::Process::is_fenced)
}

/// Proposes the command, if any, that makes the control state match what the
/// target announced.
async fn announce(context: &Context, node: Node) {
    let wanted = context.announced.borrow().clone();
    let Some(command) = next_command(context, node, wanted) else {
        return;
    };
    match &command {
        Command::Announce { pool, .. } => info!(event = "announce", pool = %pool),
        Command::Drain { .. } => info!(event = "drain"),
        _ => info!(event = "leave"),
    }
    if context.propose(command, PROPOSAL_TIMEOUT).await.is_none() {
        // The control state has not changed, so without this wake-up the
        // proposal would not be repeated.
        context.announced.send_modify(|_| {});
    }
}

/// The command that makes the control state match what the target announced,
/// or `None` when it already does.
fn next_command(context: &Context, node: Node, wanted: Option<Announcement>) -> Option<Command> {
    let view = read(&context.view);
    let process = view.state.node(node)?;
    match (process.status(), wanted) {
        (Status::Joined | Status::Ready, Some(announced)) if announced.draining => {
            Some(Command::Drain { node })
        }
        (Status::Joined, Some(announced)) => Some(Command::Announce {
            node,
            pool: announced.pool,
            target: announced.target,
        }),
        (Status::Ready, Some(announced)) if process.target() != Some(&announced.target) => {
            Some(Command::Announce {
                node,
                pool: announced.pool,
                target: announced.target,
            })
        }
        (Status::Ready, None) => Some(Command::Drain { node }),
        // The target has left. A draining node cannot accept another target,
        // so the node leaves and the process joins under a new id.
        (Status::Draining, None) if process.shard_count() == 0 => Some(Command::Leave { node }),
        _ => None,
    }
}

/// The shards of this node that are moving to another node, with the epochs of
/// their grants.
fn moving_shards(context: &Context, node: Node) -> Vec<(Shard, Epoch)> {
    let view = read(&context.view);
    view.state
        .shards_of(node)
        .filter(|grant| grant.moving_to.is_some())
        .map(|grant| (grant.shard, grant.epoch))
        .collect()
}

/// Releases the moving shards that have no work in flight. The others stay in
/// `moving`, as do all of them when the proposal is not confirmed.
async fn release_idle(context: &Context, node: Node, moving: &mut Vec<(Shard, Epoch)>) {
    if moving.is_empty() {
        return;
    }
    context
        .admission
        .evict(|shard| moving.iter().any(|&(moving, _)| moving == shard));
    let (idle, busy): (Vec<_>, Vec<_>) = moving
        .iter()
        .copied()
        .partition(|&(shard, _)| context.admission.idle(shard));
    *moving = busy;
    if idle.is_empty() {
        return;
    }
    let shards = idle.clone();
    let command = Command::Release { node, shards };
    if context.propose(command, PROPOSAL_TIMEOUT).await.is_none() {
        moving.extend(idle);
    }
}

/// Sends a renewal of the lease to every control replica at each renewal
/// interval, until the process shuts down.
pub(crate) async fn renew(context: Arc<Context>) {
    let mut ticks = interval(context.settings.timing.renew);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = context.shutdown.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let Some(node) = context.node() else {
            continue;
        };
        let sequence = lock(&context.lease).renew(context.clock.now());
        let Ok(bytes) = Sealed::seal(&context.key, &Datagram::Renew { node, sequence }) else {
            continue;
        };
        for replica in &context.settings.replicas {
            // A lost datagram is not repeated; the next round replaces it.
            context.metrics.add_control_bytes(bytes.len() as u64);
            let _ = context.udp.send_to(&bytes, replica.peer).await;
        }
    }
}
