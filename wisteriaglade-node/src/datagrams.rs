//! The UDP socket: renewals of leases and load reports.

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
    replica::{self, Verdict},
};

/// Receives datagrams until the process ends.
pub(crate) async fn receive(context: Arc<Context>) {
    let mut buffer = vec![0; Sealed::MAX_BYTES];
    loop {
        let received = tokio::select! {
            () = context.shutdown.cancelled() => return,
            received = context.udp.recv_from(&mut buffer) => received,
        };
        // An error here is a late ICMP answer to an earlier send.
        let Ok((length, from)) = received else {
            continue;
        };
        context.metrics.control(length as u64);
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
                answer(context, replica, node, sequence, from).await;
            }
        }
        Datagram::Renewed {
            replica,
            node,
            sequence,
            commit,
            leader,
        } => {
            // An answer to an earlier id of this process says nothing about
            // the present one.
            if context.node() == Some(node) {
                let (now, applied) = (context.clock.now(), read(&context.view).applied);
                let mut lease = lock(&context.lease);
                lease.acknowledge(replica, sequence, commit);
                lease.heard(now, replica, commit, applied);
            }
            if leader.is_some() {
                *lock(&context.leader) = leader;
            }
        }
        Datagram::Fenced { .. } => {}
        Datagram::Age { node } => {
            if let Some(replica) = &context.replica {
                tell_age(context, replica, node, from).await;
            }
        }
        Datagram::Aged { replica, node, age } => {
            if let Some(own) = &context.replica {
                let last = context.clock.now().saturating_sub(age);
                own.acknowledged.learn(node, replica, last);
            }
        }
        Datagram::Load { node, load } => {
            if let Some(replica) = &context.replica {
                replica.observe(crate::load::event(node, &load));
            }
        }
    }
}

async fn tell_age(context: &Context, replica: &replica::Handle, node: Node, from: SocketAddr) {
    let Some(age) = replica::expiry::age(replica, context.clock.now(), node) else {
        return;
    };
    let answer = Datagram::Aged {
        replica: replica.id,
        node,
        age,
    };
    if let Ok(bytes) = Sealed::seal(&context.key, &answer) {
        let _ = context.udp.send_to(&bytes, from).await;
    }
}

async fn answer(
    context: &Context,
    replica: &replica::Handle,
    node: Node,
    sequence: u64,
    from: SocketAddr,
) {
    let now = context.clock.now();
    let (verdict, commit, leader, leading) = {
        let board = read(&replica.board);
        let verdict = board.renew(now, node, context.settings.timing.contact);
        if verdict == Verdict::Renewed {
            let known = |node| board.state.node(node).is_some();
            replica.acknowledged.note(now, node, known);
        }
        (verdict, board.commit, board.leader, board.leading)
    };
    let reply = match verdict {
        Verdict::Renewed => Datagram::Renewed {
            replica: replica.id,
            node,
            sequence,
            commit,
            leader,
        },
        Verdict::Fenced => Datagram::Fenced { node },
        Verdict::Silent => return,
    };
    if leading && verdict == Verdict::Renewed {
        replica.observe(planner::Event::Renewed { node });
    }
    if let Ok(bytes) = Sealed::seal(&context.key, &reply) {
        context.metrics.control(bytes.len() as u64);
        let _ = context.udp.send_to(&bytes, from).await;
    }
}
