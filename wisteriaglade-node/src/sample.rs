//! Messages and roles of the daemon for measurements of their size and cost.
//!
//! The benchmarks and the example `slopes` call this module. It is hidden from
//! the documentation and may change in any release.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use wisteriaglade_consensus::{Entry, Payload};
use wisteriaglade_control::{Command, Reply, State};
use wisteriaglade_types::{Index, Node, Request, Term};
use wisteriaglade_wire::{Datagram as Sealed, Frame, Key};

use crate::{
    lease,
    message::{Datagram, Forward, Load, Message, Proposed},
    replica::{self, Renewal, Status},
};

/// The time of all calls, which is within the contact time of the replica.
const NOW: Duration = Duration::from_secs(1);

/// A sealed load report of a busy node that names `hot` keys.
#[must_use]
pub fn load(key: &Key, node: Node, hot: usize) -> Vec<u8> {
    let load = Load {
        busy: 640,
        rate: 5_300,
        latency: Duration::from_micros(1_450),
        suspect: false,
        hot: (1..=hot as u64)
            .map(|at| (at.wrapping_mul(0x9e37_79b9_7f4a_7c15), 900))
            .collect(),
    };
    Sealed::seal(key, &Datagram::Load { node, load }).unwrap_or_default()
}

/// The frame with the head of a forwarded request, which has `headers` headers
/// of 40 bytes each.
#[must_use]
pub fn forward(node: Node, headers: usize) -> Bytes {
    let headers = (0..headers).map(|at| (format!("x-header-{at:03}"), vec![b'v'; 28].into()));
    let forward = Forward {
        request: Request::new(u128::MAX),
        node,
        method: "POST".to_owned(),
        uri: "/bookings/pitch-17?night=2".to_owned(),
        headers: headers.collect(),
        remaining: Duration::from_millis(1_990),
        caller: "callers.bangor.example".into(),
        length: Some(300),
    };
    Frame::encode(&Message::Forward(Box::new(forward))).unwrap_or_default()
}

/// The frame with committed commands for a subscriber.
#[must_use]
pub fn entries(commands: &[Command]) -> Bytes {
    let entry = |(at, command): (u64, &Command)| Entry {
        index: Index::new(1_000_000 + at),
        term: Term::new(40),
        payload: Payload::Data(postcard::to_stdvec(command).unwrap_or_default().into()),
    };
    let entries = (0..).zip(commands).map(entry).collect();
    Frame::encode(&Message::Entries(entries)).unwrap_or_default()
}

/// The frame that shows that a subscription is alive.
#[must_use]
pub fn ping() -> Bytes {
    Frame::encode(&Message::Ping).unwrap_or_default()
}

/// A replica that answers lease renewals without a network.
#[derive(Debug)]
pub struct Replica {
    key: Key,
    status: Status,
}

impl Replica {
    /// Creates a replica that follows a leader and has applied `state`.
    #[must_use]
    pub fn new(key: Key, state: State) -> Self {
        let applied = state.index();
        let status = Status {
            state,
            applied,
            commit: applied,
            term: 40,
            leader: Some(2),
            leading: false,
            leader_contact: Some(NOW),
            fences: BTreeMap::new(),
            storage_failed: false,
        };
        Self { key, status }
    }

    /// Opens a sealed renewal, decides how to answer it and returns the sealed
    /// acknowledgement. Returns `None` for a renewal that is not acknowledged.
    #[must_use]
    pub fn answer(&self, renewal: &[u8]) -> Option<Vec<u8>> {
        let Ok(Datagram::Renew { node, sequence }) = Sealed::open(&self.key, renewal) else {
            return None;
        };
        if self.status.check_renewal(NOW, node, NOW) != Renewal::Acknowledged {
            return None;
        }
        let reply = Datagram::Renewed {
            replica: 1,
            node,
            sequence,
            commit: self.status.commit,
            leader: self.status.leader,
        };
        Sealed::seal(&self.key, &reply).ok()
    }
}

/// A node that renews its lease without a network.
#[derive(Debug)]
pub struct Renewer {
    key: Key,
    node: Node,
    lease: lease::Lease,
}

impl Renewer {
    /// Creates a node whose lease is renewed by a majority of `replicas`.
    #[must_use]
    pub fn new(key: Key, node: Node, replicas: usize) -> Self {
        let second = Duration::from_secs(1);
        let lease = lease::Lease::new(replicas, second, second);
        Self { key, node, lease }
    }

    /// Starts a renewal round and returns its sealed renewal.
    pub fn renew(&mut self) -> Vec<u8> {
        let (node, sequence) = (self.node, self.lease.renew(NOW));
        Sealed::seal(&self.key, &Datagram::Renew { node, sequence }).unwrap_or_default()
    }

    /// Records a sealed answer as if `replica` had sent it.
    pub fn acknowledge(&mut self, answer: &[u8], replica: u64) {
        let answer = Sealed::open(&self.key, answer);
        if let Ok(Datagram::Renewed {
            sequence, commit, ..
        }) = answer
        {
            self.lease.acknowledge(replica, sequence, commit);
        }
    }

    /// Whether the lease is held.
    #[must_use]
    pub fn held(&self) -> bool {
        self.lease.held(NOW)
    }
}

/// A control replica that is the only one of its group, and therefore its
/// leader. Dropping it ends the thread.
#[derive(Debug)]
pub struct Leader {
    handle: replica::Handle,
}

impl Leader {
    /// Starts the replica with its files in `data` and proposes the `joins`.
    /// Returns the ids of the nodes that joined.
    ///
    /// # Errors
    ///
    /// Returns an error when the data directory cannot be used or a task
    /// fails.
    pub async fn start(
        data: std::path::PathBuf,
        joins: Vec<Command>,
    ) -> Result<(Self, Vec<Node>), Box<dyn std::error::Error>> {
        let (handle, _) = replica::start(replica::Options {
            id: 1,
            members: vec![1],
            data,
            seed: 1,
            state: wisteriaglade_control::Config::default(),
            planner: wisteriaglade_control::planner::Config::default(),
            clock: wisteriaglade_wire::Clock::new(),
            outbox: std::collections::HashMap::new(),
        })?;
        // The planner starts once the first entry of the term is applied.
        // Until then commands are proposed one at a time.
        let mut nodes = Vec::new();
        let mut joins = joins.into_iter();
        while !crate::read(&handle.status).leading {
            let Some(join) = joins.next() else { break };
            nodes.push(handle.propose(join).await);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let proposals = joins.map(|command| {
            let handle = handle.clone();
            tokio::spawn(async move { handle.propose(command).await })
        });
        for proposal in proposals.collect::<Vec<_>>() {
            nodes.push(proposal.await?);
        }
        let nodes = nodes.into_iter().filter_map(|outcome| match outcome {
            Proposed::Applied(Reply::Joined(node)) => Some(node),
            _ => None,
        });
        let nodes = nodes.collect();
        Ok((Self { handle }, nodes))
    }

    /// Tells the planner that a node has renewed its lease.
    pub fn renewed(&self, node: Node) {
        let event = wisteriaglade_control::planner::Event::Renewed { node };
        self.handle.observe(event);
    }

    /// Returns the number of nodes that are not fenced.
    #[must_use]
    pub fn live(&self) -> usize {
        let status = crate::read(&self.handle.status);
        let live = status.state.nodes().filter(|node| !node.is_fenced());
        live.count()
    }
}

impl Drop for Leader {
    fn drop(&mut self) {
        let _ = self.handle.inbox.send(replica::Input::Stop);
    }
}
