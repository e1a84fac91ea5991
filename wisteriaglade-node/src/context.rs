//! What the tasks of one process share.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, RwLock},
    time::Duration,
};

use tokio::{net::UdpSocket, sync::watch};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use wisteriaglade_control::{Command, Grant, Target};
use wisteriaglade_router::{Capacity, peer::Health, retry::Budget};
use wisteriaglade_types::{Hash, Index, Name, Node};
use wisteriaglade_wire::{Clock, Key};

use crate::{
    admission::Admission,
    deduplicator::Deduplicator,
    lease::Lease,
    lock,
    message::{Message, Proposed},
    metrics::Metrics,
    pool::Pool,
    read,
    records::Records,
    replica,
    settings::Settings,
    target,
    view::View,
};

/// The shared state of one process.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) key: Key,
    pub(crate) clock: Clock,
    pub(crate) addresses: Addresses,
    pub(crate) view: RwLock<View>,
    /// Changes with every batch of applied entries.
    pub(crate) applied: watch::Sender<Index>,
    pub(crate) lease: Mutex<Lease>,
    /// The id of this process, once it has joined.
    pub(crate) node: watch::Sender<Option<Node>>,
    /// What the target beside this process announced.
    pub(crate) announced: watch::Sender<Option<Announced>>,
    pub(crate) admission: Arc<Admission>,
    pub(crate) seen: Deduplicator,
    /// How many retries each member has left.
    pub(crate) budget: Mutex<Budget>,
    /// How the nodes answer that requests are forwarded to.
    pub(crate) health: Mutex<Health>,
    pub(crate) records: Records,
    pub(crate) pool: Pool,
    pub(crate) client: target::Client,
    pub(crate) udp: UdpSocket,
    pub(crate) replica: Option<replica::Handle>,
    /// The replica that was last known to lead, to propose to it first.
    pub(crate) leader: Mutex<Option<u64>>,
    pub(crate) metrics: Metrics,
    /// No new requests are taken.
    pub(crate) draining: CancellationToken,
    /// Everything ends.
    pub(crate) shutdown: CancellationToken,
    /// Requests in flight.
    pub(crate) requests: TaskTracker,
}

/// The addresses that this process is bound to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Addresses {
    pub(crate) caller: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) admin: SocketAddr,
}

/// The announcement of the target beside this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Announced {
    pub(crate) pool: Name,
    pub(crate) target: Target,
    pub(crate) draining: bool,
}

impl Announced {
    /// What the admission queue needs of it.
    pub(crate) const fn capacity(&self) -> Capacity {
        Capacity {
            slots: self.target.slots,
            connections: self.target.connections,
            cold_start: self.target.cold_start,
        }
    }
}

/// The wait for the answer to a proposal. It covers an election.
const PROPOSE: Duration = Duration::from_secs(3);

/// The pause before a proposal is sent again.
const PAUSE: Duration = Duration::from_millis(50);

impl Context {
    /// Whether the state here is recent enough to serve by.
    pub(crate) fn current(&self) -> bool {
        let now = self.clock.now();
        let mut lease = lock(&self.lease);
        lease.applied(read(&self.view).applied);
        lease.current(now)
    }

    /// Whether this process may dispatch for its shards now.
    pub(crate) fn holds_lease(&self) -> bool {
        lock(&self.lease).held(self.clock.now())
    }

    /// The id of this process, once it has joined.
    pub(crate) fn node(&self) -> Option<Node> {
        *self.node.borrow()
    }

    /// The control leader, as far as this process knows.
    pub(crate) fn known_leader(&self) -> Option<u64> {
        *lock(&self.leader)
    }

    /// Starts to empty the target beside this process.
    pub(crate) fn drain_target(&self) {
        self.announced
            .send_if_modified(|announced| match announced {
                Some(announced) if !announced.draining => {
                    announced.draining = true;
                    true
                }
                _ => false,
            });
        self.admission.event(wisteriaglade_router::Event::Drain);
    }

    /// Tells every replica that the host of a node is off.
    pub(crate) async fn assert_lost(&self, node: Node) {
        let message = Message::Lost { node };
        for replica in &self.settings.replicas {
            // Only the leader acts on it, and the operator may repeat it.
            let _ = self.pool.call_anew(replica.peer, &message, PROPOSE).await;
        }
    }

    /// Brings the gauges up to date.
    pub(crate) fn measure(&self) {
        let metrics = &self.metrics;
        let held = self.node().map_or(0, |node| {
            let view = read(&self.view);
            view.state
                .node(node)
                .map_or(0, wisteriaglade_control::Process::shard_count)
        });
        metrics.shards.set(i64::from(held));
        metrics.lease.set(i64::from(self.holds_lease()));
        self.admission.inspect(|router| {
            metrics.summarise(&router.summary());
            metrics.members.update(router.members());
        });
        let view = read(&self.view);
        let signed = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        metrics.applied.set(signed(view.applied.get()));
        metrics.rules.set(signed(view.state.rules().0.get()));
        metrics.pending.set(signed(self.admission.pending() as u64));
        metrics.records.set(signed(self.records.used() as u64));
    }

    /// The ownership of a key.
    pub(crate) fn locate(&self, pool: &str, hash: Hash) -> Option<Grant> {
        read(&self.view).state.locate(pool, hash)
    }

    /// Commits a command through whichever replica leads, until `give_up`.
    ///
    /// Commands are idempotent, so one whose outcome is unknown is sent again.
    pub(crate) async fn propose(
        &self,
        command: Command,
        give_up: Duration,
    ) -> Option<wisteriaglade_control::Reply> {
        let message = Message::Propose(Box::new(command));
        let ids: Vec<u64> = self.settings.replicas.iter().map(|r| r.id).collect();
        let mut next = 0;
        let deadline = self.clock.now() + give_up;
        while self.clock.now() < deadline && !self.shutdown.is_cancelled() {
            let guess = *lock(&self.leader);
            let id = guess.unwrap_or_else(|| ids[next % ids.len()]);
            next += 1;
            let outcome = self.ask(id, &message).await;
            match outcome {
                Some(Proposed::Applied(reply)) => {
                    *lock(&self.leader) = Some(id);
                    return Some(reply);
                }
                Some(Proposed::NotLeader(Some(leader))) if leader != id => {
                    *lock(&self.leader) = Some(leader);
                }
                Some(Proposed::NotLeader(_) | Proposed::Unknown) | None => {
                    *lock(&self.leader) = None;
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
        None
    }

    async fn ask(&self, id: u64, message: &Message) -> Option<Proposed> {
        if let (Some(replica), Message::Propose(command)) = (&self.replica, message)
            && replica.id == id
        {
            let propose = replica.propose(command.as_ref().clone());
            return tokio::time::timeout(PROPOSE, propose).await.ok();
        }
        let peer = self.settings.replicas.iter().find(|r| r.id == id)?.peer;
        // An answer takes as long as an election, so a kept connection that has
        // gone silent would be noticed only after that time.
        match self.pool.call_anew(peer, message, PROPOSE).await {
            Ok(Message::Proposed(outcome)) => Some(outcome),
            _ => None,
        }
    }
}
