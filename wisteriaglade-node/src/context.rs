//! The state that the tasks of a process share.

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
    notice::Notices,
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
    /// The cluster key, which authenticates peers and datagrams.
    pub(crate) key: Key,
    pub(crate) clock: Clock,
    pub(crate) addresses: Addresses,
    /// This process's copy of the control state.
    pub(crate) view: RwLock<View>,
    /// The last applied index of the control log. Changes with every batch of
    /// applied entries; tasks subscribe to it to learn of changes of the view.
    pub(crate) applied: watch::Sender<Index>,
    pub(crate) lease: Mutex<Lease>,
    /// The id of this process, or `None` until it has joined.
    pub(crate) node: watch::Sender<Option<Node>>,
    /// The latest announcement of this node's target, or `None` without a target.
    pub(crate) announced: watch::Sender<Option<Announcement>>,
    pub(crate) admission: Arc<Admission>,
    /// The requests that other nodes have forwarded to this one recently.
    pub(crate) deduplicator: Deduplicator,
    /// The retry budget of each member.
    pub(crate) retry_budget: Mutex<Budget>,
    /// The health of other nodes, as seen by forwarded requests.
    pub(crate) peer_health: Mutex<Health>,
    /// What targets have said of themselves.
    pub(crate) notices: Notices,
    pub(crate) records: Records,
    pub(crate) pool: Pool,
    pub(crate) client: target::Client,
    pub(crate) udp: UdpSocket,
    /// The control replica that runs in this process, if any.
    pub(crate) replica: Option<replica::Handle>,
    /// The id of the replica that was last known to be the leader. Proposals go
    /// to it first.
    pub(crate) leader: Mutex<Option<u64>>,
    pub(crate) metrics: Metrics,
    /// Cancelled when the process is asked to stop. Requests are still accepted,
    /// and each answer closes its connection.
    pub(crate) leaving: CancellationToken,
    /// Cancelled when the process stops accepting connections.
    pub(crate) draining: CancellationToken,
    /// Cancelled when all tasks must end.
    pub(crate) shutdown: CancellationToken,
    /// Tasks of requests in flight; the process waits for them before it exits.
    pub(crate) requests: TaskTracker,
}

/// The addresses that the listeners of this process are bound to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Addresses {
    pub(crate) caller: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) admin: SocketAddr,
}

/// The announcement of this node's target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Announcement {
    pub(crate) pool: Name,
    pub(crate) target: Target,
    pub(crate) draining: bool,
}

impl Announcement {
    /// Returns the capacity for the admission queue.
    pub(crate) const fn capacity(&self) -> Capacity {
        Capacity {
            slots: self.target.slots,
            connections: self.target.connections,
            cold_start: self.target.cold_start,
        }
    }
}

/// Timeout of one proposal. It is long enough for an election.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before a proposal is repeated.
const PROPOSAL_RETRY_DELAY: Duration = Duration::from_millis(50);

impl Context {
    /// Returns whether the local control state is recent enough to route by.
    pub(crate) fn current(&self) -> bool {
        let now = self.clock.now();
        let mut lease = lock(&self.lease);
        lease.applied(read(&self.view).applied);
        lease.current(now)
    }

    /// Returns whether this node holds its lease, without which it must not
    /// dispatch requests of its shards.
    pub(crate) fn holds_lease(&self) -> bool {
        lock(&self.lease).held(self.clock.now())
    }

    /// Returns the id of this process, or `None` until it has joined.
    pub(crate) fn node(&self) -> Option<Node> {
        *self.node.borrow()
    }

    /// Returns the id of the last known control leader.
    pub(crate) fn known_leader(&self) -> Option<u64> {
        *lock(&self.leader)
    }

    /// Whether this node's target is draining, or there is none.
    pub(crate) fn is_target_draining(&self) -> bool {
        let announced = self.announced.borrow();
        announced.as_ref().is_none_or(|known| known.draining)
    }

    /// Starts the drain of this node's target.
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

    /// Reports to every replica that the host of `node` is off, on behalf of an
    /// operator.
    pub(crate) async fn report_host_off(&self, node: Node) {
        let message = Message::Lost { node };
        for replica in &self.settings.replicas {
            // Only the leader acts on it. A failure is ignored, since the
            // operator can repeat the report.
            let _ = self
                .pool
                .call_unpooled(replica.peer, &message, PROPOSAL_TIMEOUT)
                .await;
        }
    }

    /// Updates the gauges. Called when the metrics are read.
    pub(crate) fn update_gauges(&self) {
        let metrics = &self.metrics;
        let held = self.node().map_or(0, |node| {
            let view = read(&self.view);
            view.state
                .node(node)
                .map_or(0, wisteriaglade_control::Process::shard_count)
        });
        metrics.shards.set(i64::from(held));
        metrics.lease.set(i64::from(self.holds_lease()));
        metrics
            .target_leaving
            .set(i64::from(self.is_target_draining()));
        self.admission.inspect(|router| {
            metrics.update_queue(&router.summary());
            metrics.members.update(router.members());
        });
        let view = read(&self.view);
        let signed = |number: u64| i64::try_from(number).unwrap_or(i64::MAX);
        metrics.applied.set(signed(view.applied.get()));
        metrics.rules.set(signed(view.state.rules().0.get()));
        metrics.pending.set(signed(self.admission.pending() as u64));
        metrics
            .records
            .set(signed(self.records.used_bytes() as u64));
    }

    /// Returns the grant of the shard that the key belongs to.
    pub(crate) fn locate(&self, pool: &str, hash: Hash) -> Option<Grant> {
        read(&self.view).state.locate(pool, hash)
    }

    /// Commits a command through the current leader. Returns `None` if it isn't
    /// known to be committed within `timeout`.
    ///
    /// Commands are idempotent, so one whose outcome is unknown is repeated.
    pub(crate) async fn propose(
        &self,
        command: Command,
        timeout: Duration,
    ) -> Option<wisteriaglade_control::Reply> {
        let message = Message::Propose(Box::new(command));
        let ids: Vec<u64> = self.settings.replicas.iter().map(|r| r.id).collect();
        let mut next = 0;
        let deadline = self.clock.now() + timeout;
        while self.clock.now() < deadline && !self.shutdown.is_cancelled() {
            let known = *lock(&self.leader);
            let id = known.unwrap_or_else(|| ids[next % ids.len()]);
            next += 1;
            let outcome = self.propose_to(id, &message).await;
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
                    tokio::time::sleep(PROPOSAL_RETRY_DELAY).await;
                }
            }
        }
        None
    }

    /// Proposes a command to one replica. Returns `None` if it doesn't answer in
    /// time.
    async fn propose_to(&self, id: u64, message: &Message) -> Option<Proposed> {
        if let (Some(replica), Message::Propose(command)) = (&self.replica, message)
            && replica.id == id
        {
            let propose = replica.propose(command.as_ref().clone());
            return tokio::time::timeout(PROPOSAL_TIMEOUT, propose).await.ok();
        }
        let peer = self.settings.replicas.iter().find(|r| r.id == id)?.peer;
        // The timeout is as long as an election, so a silent pooled connection
        // would be noticed only after that time. A new one is used instead.
        match self
            .pool
            .call_unpooled(peer, message, PROPOSAL_TIMEOUT)
            .await
        {
            Ok(Message::Proposed(outcome)) => Some(outcome),
            _ => None,
        }
    }
}
