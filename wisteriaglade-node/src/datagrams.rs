//! The UDP socket of a process.
//!
//! Nodes send lease renewals and load reports to the control replicas, which
//! answer renewals. Control replicas also ask one another when a fenced node
//! was last acknowledged.

use std::{net::SocketAddr, sync::Arc};

use tracing::debug;
use wisteriaglade_control::planner;
use wisteriaglade_types::Node;
use wisteriaglade_wire::Datagram as Sealed;

use crate::{
    context::Context,
    lock,
    message::Datagram,
    read,
    replica::{self, Renewal},
};

/// Receives datagrams and handles each one in turn, until the process shuts
/// down.
pub(crate) async fn receive(context: Arc<Context>) {
    let mut buffer = vec![0; Sealed::MAX_BYTES];
    loop {
        let received = tokio::select! {
            () = context.shutdown.cancelled() => return,
            received = context.udp.recv_from(&mut buffer) => received,
        };
        // On a UDP socket this reports an ICMP error that an earlier send
        // caused.
        let Ok((length, from)) = received else {
            continue;
        };
        context.metrics.add_control_bytes(length as u64);
        match Sealed::open::<Datagram>(&context.key, &buffer[..length]) {
            Ok(datagram) => handle(&context, datagram, from).await,
            Err(error) => debug!(event = "datagram-refused", from = %from, error = %error),
        }
    }
}

async fn handle(context: &Context, datagram: Datagram, from: SocketAddr) {
    match datagram {
        Datagram::Renew { node, sequence } => {
            if let Some(replica) = &context.replica {
                answer_renewal(context, replica, node, sequence, from).await;
            }
        }
        Datagram::Renewed {
            replica,
            node,
            sequence,
            commit,
            leader,
        } => {
            // Acknowledgements of a former id of this process must not extend
            // the lease of the present one.
            if context.node() == Some(node) {
                let (now, applied) = (context.clock.now(), read(&context.view).applied);
                let mut lease = lock(&context.lease);
                lease.acknowledge(replica, sequence, commit);
                lease.record_reported_commit(now, replica, commit, applied);
            }
            if leader.is_some() {
                *lock(&context.leader) = leader;
            }
        }
        Datagram::Fenced { .. } => {}
        Datagram::AgeQuery { node } => {
            if let Some(replica) = &context.replica {
                answer_age(context, replica, node, from).await;
            }
        }
        Datagram::AgeAnswer { replica, node, age } => {
            if let Some(own) = &context.replica {
                let last = context.clock.now().saturating_sub(age);
                own.acknowledgements.record_answer(node, replica, last);
            }
        }
        Datagram::Load { node, load } => {
            if let Some(replica) = &context.replica {
                replica.observe(crate::load::planner_event(node, &load));
            }
        }
    }
}

/// Answers how long ago this replica last acknowledged a node, unless it has
/// not applied the fence of the node.
async fn answer_age(context: &Context, replica: &replica::Handle, node: Node, from: SocketAddr) {
    let Some(age) = replica::expiry::age(replica, context.clock.now(), node) else {
        return;
    };
    let answer = Datagram::AgeAnswer {
        replica: replica.id,
        node,
        age,
    };
    if let Ok(bytes) = Sealed::seal(&context.key, &answer) {
        let _ = context.udp.send_to(&bytes, from).await;
    }
}

/// Answers a lease renewal on behalf of the replica of this process.
async fn answer_renewal(
    context: &Context,
    replica: &replica::Handle,
    node: Node,
    sequence: u64,
    from: SocketAddr,
) {
    let now = context.clock.now();
    let (renewal, commit, leader, leading) = {
        let status = read(&replica.status);
        let renewal = status.check_renewal(now, node, context.settings.timing.contact);
        if renewal == Renewal::Acknowledged {
            let known = |node| status.state.node(node).is_some();
            replica.acknowledgements.record(now, node, known);
        }
        (renewal, status.commit, status.leader, status.leading)
    };
    let reply = match renewal {
        Renewal::Acknowledged => Datagram::Renewed {
            replica: replica.id,
            node,
            sequence,
            commit,
            leader,
        },
        Renewal::Fenced => Datagram::Fenced { node },
        Renewal::Ignored => return,
    };
    if leading && renewal == Renewal::Acknowledged {
        replica.observe(planner::Event::Renewed { node });
    }
    if let Ok(bytes) = Sealed::seal(&context.key, &reply) {
        context.metrics.add_control_bytes(bytes.len() as u64);
        let _ = context.udp.send_to(&bytes, from).await;
    }
}
