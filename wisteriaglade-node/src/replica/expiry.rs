//! Determines when the lease of a fenced node ends.
//!
//! A lease counts from the time at which the node sent a renewal that a
//! majority acknowledged. Once a majority has applied the fence, every renewal
//! that could count was acknowledged by at least one replica of that majority.
//! The lease therefore ends at most one lease duration after the last
//! acknowledgement by any of them. Waiting a whole lease duration after the
//! fence would also be safe, but longer by the silence that led to the fence.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc, time::sleep};
use wisteriaglade_control::planner;
use wisteriaglade_types::Node;
use wisteriaglade_wire::Datagram as Sealed;

use super::Handle;
use crate::{context::Context, message::Datagram, read};

/// The interval at which replicas are asked. Followers apply a fence with the
/// next heartbeat of the leader.
const QUERY_INTERVAL: Duration = Duration::from_millis(15);

/// The number of rounds after which the leader stops asking. The planner then
/// waits for a whole lease duration after the fence.
const MAX_QUERY_ROUNDS: usize = 30;

/// Starts a query for every node whose fence this replica applied while it
/// led, until the process shuts down.
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
                replica.acknowledgements.finish_query(node);
            }
        });
    }
}

/// Asks the other replicas about one node until a quorum has answered, and
/// passes the result to the planner.
async fn resolve(context: &Context, replica: &Handle, node: Node) {
    let replicas = &context.settings.replicas;
    let quorum = replicas.len() / 2 + 1;
    replica.acknowledgements.start_query(node);
    replica
        .acknowledgements
        .record_answer(node, replica.id, replica.acknowledgements.last(node));
    let Ok(query) = Sealed::seal(&context.key, &Datagram::AgeQuery { node }) else {
        return;
    };
    for _ in 0..MAX_QUERY_ROUNDS {
        if let Some(last) = replica.acknowledgements.latest(node, quorum) {
            replica.observe(planner::Event::RenewalsEnded { node, last });
            return;
        }
        for other in replicas.iter().filter(|other| other.id != replica.id) {
            // A datagram that is lost is sent again in the next round.
            let _ = context.udp.send_to(&query, other.peer).await;
        }
        sleep(QUERY_INTERVAL).await;
    }
}

/// Returns how long ago this replica last acknowledged a node, or `None` when
/// it has not applied the fence. A fence that is not committed may still be
/// replaced in the log, and the node would then be acknowledged again.
pub(crate) fn age(replica: &Handle, now: Duration, node: Node) -> Option<Duration> {
    let status = read(&replica.status);
    status
        .state
        .is_fenced(node)
        .then(|| now.saturating_sub(replica.acknowledgements.last(node)))
}
