//! Finds out when the lease of a fenced node ends.
//!
//! A lease counts from the send time of a renewal that a majority acknowledged.
//! Once a majority has applied the fence, each acknowledged renewal was
//! acknowledged by one of them, so the lease ends a lease after the last of
//! their acknowledgements. Waiting a whole lease after the fence would be safe
//! as well, and longer by the silence that led to the fence.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::sleep};
use wisteriaglade_control::planner;
use wisteriaglade_types::Node;
use wisteriaglade_wire::Datagram as Sealed;

use super::Handle;
use crate::{context::Context, message::Datagram, read};

/// The interval of the questions. Followers apply a fence with the next
/// heartbeat of the leader.
const AGAIN: Duration = Duration::from_millis(15);

/// Questions before the planner's own wait decides.
const QUESTIONS: usize = 30;

/// Asks about every node whose fence this replica applied as the leader.
pub(crate) async fn run(context: Arc<Context>, mut fenced: mpsc::UnboundedReceiver<Node>) {
    loop {
        let node = tokio::select! {
            () = context.shutdown.cancelled() => return,
            node = fenced.recv() => node,
        };
        let Some(node) = node else {
            return;
        };
        let context = Arc::clone(&context);
        tokio::spawn(async move {
            if let Some(replica) = &context.replica {
                resolve(&context, replica, node).await;
                replica.acknowledged.done(node);
            }
        });
    }
}

async fn resolve(context: &Context, replica: &Handle, node: Node) {
    let replicas = &context.settings.replicas;
    let quorum = replicas.len() / 2 + 1;
    replica.acknowledged.ask(node);
    replica
        .acknowledged
        .learn(node, replica.id, replica.acknowledged.last(node));
    let Ok(question) = Sealed::seal(&context.key, &Datagram::Age { node }) else {
        return;
    };
    for _ in 0..QUESTIONS {
        if let Some(last) = replica.acknowledged.latest(node, quorum) {
            replica.observe(planner::Event::RenewalsEnded { node, last });
            return;
        }
        for other in replicas.iter().filter(|other| other.id != replica.id) {
            // A lost question is asked again.
            let _ = context.udp.send_to(&question, other.peer).await;
        }
        sleep(AGAIN).await;
    }
}

/// How long ago this replica last acknowledged a node whose fence it has
/// applied. An entry that is not committed may still be replaced, and the node
/// would then be acknowledged again.
pub(crate) fn age(replica: &Handle, now: Duration, node: Node) -> Option<Duration> {
    let board = read(&replica.board);
    board
        .state
        .is_fenced(node)
        .then(|| now.saturating_sub(replica.acknowledged.last(node)))
}
