//! The membership of this process: joins, announces its target, renews its
//! lease and hands over shards.

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

/// The patience for one proposal.
const PATIENCE: Duration = Duration::from_secs(10);

/// The pause between two looks at what has to be proposed.
const PAUSE: Duration = Duration::from_millis(20);

/// Keeps the process a member of the cluster until it ends.
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
        // The old id is fenced for good; the process goes on under a new one.
        warn!(event = "fenced", node = node.get());
        context.node.send_replace(None);
        lock(&context.lease).clear();
        context.records.reset(context.settings.holder());
    }
}

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
    match context.propose(command, PATIENCE).await {
        Some(Reply::Joined(node)) => Some(node),
        _ => None,
    }
}

/// Returns when the node has been fenced or removed.
///
/// The table of shards is read only after a change, since it is large in a
/// large cluster.
async fn maintain(context: &Arc<Context>, node: Node) {
    let mut changes = context.applied.subscribe();
    let mut announced = context.announced.subscribe();
    let mut drained = false;
    loop {
        changes.borrow_and_update();
        announced.borrow_and_update();
        if gone(context, node) {
            if drained {
                resume(context);
            }
            return;
        }
        // An operator can drain a node as well as its target can.
        if !drained && draining(context, node) {
            drained = true;
            context.admission.event(Event::Drain);
        }
        records::update_shards(context, node);
        announce(context, node).await;
        let mut moving = moving(context, node);
        loop {
            hand_over(context, node, &mut moving).await;
            tokio::select! {
                _ = changes.changed() => break,
                _ = announced.changed() => break,
                () = sleep(PAUSE), if !moving.is_empty() => {}
            }
        }
    }
}

fn draining(context: &Context, node: Node) -> bool {
    let view = read(&context.view);
    let process = view.state.node(node);
    process.is_some_and(|process| process.status() == Status::Draining)
}

/// Ends the drain of the admission queue for a node that goes on under a new
/// id, unless its target is leaving.
fn resume(context: &Context) {
    let announced = context.announced.borrow().clone();
    if let Some(announced) = announced.filter(|announced| !announced.draining) {
        context.admission.set_capacity(None);
        context.admission.set_capacity(Some(announced.capacity()));
    }
}

/// Whether the control log has fenced or removed the node.
fn gone(context: &Context, node: Node) -> bool {
    let view = read(&context.view);
    if view.applied.get() < node.get() {
        return false;
    }
    view.state
        .node(node)
        .is_none_or(wisteriaglade_control::Process::is_fenced)
}

/// Makes the control state agree with what the target announced.
async fn announce(context: &Context, node: Node) {
    let wanted = context.announced.borrow().clone();
    let Some(command) = announcement(context, node, wanted) else {
        return;
    };
    match &command {
        Command::Announce { pool, .. } => info!(event = "announce", pool = %pool),
        Command::Drain { .. } => info!(event = "drain"),
        _ => info!(event = "leave"),
    }
    if context.propose(command, PATIENCE).await.is_none() {
        // Nothing else would wake this task to try again.
        context.announced.send_modify(|_| {});
    }
}

fn announcement(context: &Context, node: Node, wanted: Option<Announcement>) -> Option<Command> {
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
        // The target is gone for good; under a new id the node can take the
        // next one, which a draining node cannot.
        (Status::Draining, None) if process.shard_count() == 0 => Some(Command::Leave { node }),
        _ => None,
    }
}

/// The shards of this node that are moving away.
fn moving(context: &Context, node: Node) -> Vec<(Shard, Epoch)> {
    let view = read(&context.view);
    view.state
        .shards_of(node)
        .filter(|grant| grant.moving_to.is_some())
        .map(|grant| (grant.shard, grant.epoch))
        .collect()
}

/// Releases those of the moving shards that have no work in flight.
async fn hand_over(context: &Context, node: Node, moving: &mut Vec<(Shard, Epoch)>) {
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
    if context.propose(command, PATIENCE).await.is_none() {
        moving.extend(idle);
    }
}

/// Renews the lease until the process ends.
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
            // A lost datagram is covered by the next round.
            context.metrics.add_control_bytes(bytes.len() as u64);
            let _ = context.udp.send_to(&bytes, replica.peer).await;
        }
    }
}
