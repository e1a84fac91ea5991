//! The work of a control replica while it is the leader: it renews leases, assigns
//! key ranges, publishes the plan and the directory, and changes the group.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tracing::{info, warn};
use wisteriaglade_mesh::{
    Change, Command, Condition, Directory, EntryUpdate, Keyspace, KeyspaceUpdate, Owner, Plan,
    Planner, Report, Roster, State,
};
use wisteriaglade_wire::Clock;

use super::{
    group::Group,
    replica::{Handle, Input, Proposed},
};
use crate::{
    Settings,
    frame::Frame,
    host::LEASE,
    link::{Connection, EncodedFrame, Handler},
    lock,
    settings::GrantChannel,
};

/// How long a replica of the group has to be disconnected before one that wants
/// to join replaces it. A restart takes less time.
const REPLACE_AFTER: Duration = Duration::from_millis(1_500);

/// How long a new leader rejects plans while the group has fewer replicas than it
/// should. After that time it accepts plans in any case.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(6);

/// The shortest interval between two publications to the hosts.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(80);

/// The shortest interval between two runs of the planner, whose time grows with
/// the fleet.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(20);

/// The number of published plans that are kept. A host that has one of them is
/// sent only the changes since then.
const KEPT_PLANS: usize = 16;

/// The interval at which a replica that does not lead sends [`Frame::Join`].
const JOIN_INTERVAL: Duration = Duration::from_millis(300);

/// Handles the frames of a replica's links, and does the work of the leader while
/// the replica leads.
#[derive(Debug, Clone)]
pub(super) struct Leader {
    settings: Arc<Settings>,
    clock: Clock,
    handle: Handle,
    group: Group,
    inner: Arc<Mutex<Inner>>,
}

/// The state that all clones of a [`Leader`] share.
#[derive(Debug)]
struct Inner {
    /// The term in which this replica leads; `None` while it does not lead.
    term: Option<u64>,
    /// The latest report of each host.
    roster: Roster,
    /// Decides which target gets which key range.
    planner: Planner,
    /// The hosts that have reported to this replica since it leads.
    subscribers: Vec<Subscriber>,
    /// Whether commands of the planner have been proposed and not all of them
    /// have a result yet.
    proposing: bool,
    /// Whether a change of the group, or of a replica's registered addresses, is
    /// in progress.
    reconfiguring: bool,
    /// The replicas of the group that are disconnected, and since when.
    disconnected: BTreeMap<u64, Duration>,
    /// When this replica last sent [`Frame::Join`].
    join_sent: Duration,
    /// The link address of the leader that another replica has named, while this
    /// one is not in the group and knows no other addresses than the seeds.
    named_leader: Option<SocketAddr>,
    /// The targets whose ranges are being taken back by commands without a result.
    revoking: BTreeSet<Owner>,
    /// When the planner last ran.
    planned_at: Duration,
    /// When the leader last published to the hosts.
    published_at: Duration,
    /// The last published plans by version.
    plans: BTreeMap<u64, Plan>,
}

/// A host that reports to this leader, and what it has been sent.
#[derive(Debug)]
struct Subscriber {
    connection: Connection,
    /// The last sent targets: the roster's revision, and whether the roster was
    /// complete.
    sent_targets: Option<(u64, bool)>,
    /// The last sent key ranges: the index of the log entry that they reflect.
    sent_keys: Option<u64>,
    /// The version of the last sent plan; 0 to have the whole plan sent.
    sent_version: u64,
    /// The version of an older plan that the host's last report named.
    reported_version: Option<u64>,
}

impl Leader {
    pub(super) fn new(settings: Arc<Settings>, clock: Clock, handle: Handle, group: Group) -> Self {
        let inner = Inner {
            term: None,
            roster: Roster::default(),
            planner: planner(&settings),
            subscribers: Vec::new(),
            proposing: false,
            revoking: BTreeSet::new(),
            planned_at: Duration::ZERO,
            reconfiguring: false,
            disconnected: BTreeMap::new(),
            join_sent: Duration::ZERO,
            named_leader: None,
            published_at: Duration::ZERO,
            plans: BTreeMap::new(),
        };
        Self {
            settings,
            clock,
            handle,
            group,
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Whether a plan may be accepted: the group has as many replicas as it
    /// should, so that the plan survives the configured number of losses, or this
    /// replica has been the leader for [`COMPLETION_TIMEOUT`].
    pub(super) fn is_complete(&self) -> bool {
        let since = lock(&self.inner).roster.since();
        let late = self.clock.now().saturating_sub(since) > COMPLETION_TIMEOUT;
        late || self.handle.status().members().len() >= self.settings.replicas
    }

    /// Follows changes of leadership, and does the work that is due. Called after
    /// every change of the replica's state and every report, and periodically.
    pub(super) fn step(&self) {
        let now = self.clock.now();
        self.connect();
        let status = self.handle.status();
        let leading = status.is_leading().then(|| status.term());
        let keyspaces_index = status.state().keyspaces_index();
        drop(status);
        let mut inner = lock(&self.inner);
        if inner.term != leading {
            inner.term = leading;
            inner.roster = Roster::new(now).at_index(keyspaces_index);
            inner.planner = planner(&self.settings);
            inner.subscribers.clear();
            inner.disconnected.clear();
            inner.revoking.clear();
            info!(
                event = if leading.is_some() { "lead" } else { "follow" },
                term = leading.unwrap_or(0)
            );
        }
        if leading.is_none() {
            self.request_join(now, &mut inner);
            return;
        }
        self.propose(now, &mut inner);
        self.publish(now, &mut inner);
    }

    /// Opens links to all known replicas, to a leader that was named and to the seeds
    /// of the settings, unless they are open, and closes all other links.
    fn connect(&self) {
        let mut addresses = self.handle.status().links();
        let mut inner = lock(&self.inner);
        if !addresses.is_empty() {
            inner.named_leader = None;
        }
        addresses.extend(inner.named_leader);
        drop(inner);
        addresses.extend(self.settings.seeds.iter().copied());
        self.group.connect(self, &addresses);
    }

    /// Asks the leader to add this replica to the group, or to record its
    /// addresses. Called by each step of a replica that does not lead, and sends
    /// [`Frame::Join`] at most once per [`JOIN_INTERVAL`].
    fn request_join(&self, now: Duration, inner: &mut Inner) {
        if now.saturating_sub(inner.join_sent) >= JOIN_INTERVAL {
            inner.join_sent = now;
            self.group.request_join(self.settings.control);
        }
    }

    /// Proposes the commands of the planner, one after the other, unless earlier
    /// ones are still in progress. Drops the rest when this replica is no longer
    /// the leader.
    fn propose(&self, now: Duration, inner: &mut Inner) {
        self.register(inner);
        if inner.proposing || now.saturating_sub(inner.planned_at) < MIN_PLAN_INTERVAL {
            return;
        }
        inner.planned_at = now;
        let status = self.handle.status();
        let state = status.state();
        let ranges = state.keyspaces().values().flat_map(Keyspace::ranges);
        let referenced: BTreeSet<&Owner> = ranges
            .flat_map(|range| range.owner.iter().chain(&range.next))
            .collect();
        inner.roster.prune(now, |owner| referenced.contains(owner));
        let commands = inner.planner.step(now, state, &inner.roster);
        drop(status);
        if commands.is_empty() {
            return;
        }
        inner.proposing = true;
        let revoked = commands.iter().filter_map(|command| match command {
            Command::Revoke { owner } => Some(owner.clone()),
            _ => None,
        });
        inner.revoking.extend(revoked);
        let leader = self.clone();
        let term = inner.term;
        tokio::spawn(async move {
            for command in commands {
                log_command(&command);
                let owner = match &command {
                    Command::Revoke { owner } => Some(owner.clone()),
                    _ => None,
                };
                let result = leader.handle.propose(command).await;
                if result == Proposed::NotLeader {
                    break;
                }
                if let (Some(owner), Proposed::Applied(_)) = (owner, result) {
                    leader.finish_revocation(owner, term);
                }
            }
            lock(&leader.inner).proposing = false;
        });
    }

    /// Lets a revoked target have leases again, once its host knows of the
    /// revocation.
    fn finish_revocation(&self, owner: Owner, term: Option<u64>) {
        let index = self.handle.status().state().keyspaces_index();
        let mut inner = lock(&self.inner);
        if inner.term == term {
            inner.revoking.remove(&owner);
            inner.roster.record_revocation(owner, index);
        }
    }

    /// Proposes a command with the addresses of this replica, unless the state has
    /// its link address already.
    fn register(&self, inner: &mut Inner) {
        let id = self.id();
        let status = self.handle.status();
        let known = status.state().members().get(&id);
        let is_known = known.is_some_and(|member| member.peer_address == self.settings.link);
        drop(status);
        if is_known || inner.reconfiguring {
            return;
        }
        inner.reconfiguring = true;
        let leader = self.clone();
        let command = Command::Register {
            replica: id,
            peer_address: self.settings.link,
            admin_address: self.settings.control,
        };
        tokio::spawn(async move {
            leader.handle.propose(command).await;
            lock(&leader.inner).reconfiguring = false;
        });
    }

    fn id(&self) -> u64 {
        self.group.id()
    }

    /// Sends the plan and the directory to the subscribers that do not have the
    /// latest ones, at most once per [`MIN_PUBLISH_INTERVAL`].
    fn publish(&self, now: Duration, inner: &mut Inner) {
        if now.saturating_sub(inner.published_at) < MIN_PUBLISH_INTERVAL {
            return;
        }
        let status = self.handle.status();
        let state = status.state();
        let targets = (inner.roster.revision(), inner.roster.is_complete(now));
        let index = state.keyspaces_index();
        let version = state.plan().version;
        let is_current = |other: &Subscriber| {
            other.sent_targets == Some(targets)
                && other.sent_keys == Some(index)
                && other.sent_version >= version
        };
        if inner.subscribers.iter().all(is_current) {
            return;
        }
        inner.published_at = now;
        // Version 0 stands for no plan. It is never kept, so a host that reports
        // it is sent the whole plan.
        if version > 0 && !inner.plans.contains_key(&version) {
            inner.plans.insert(version, state.plan().clone());
            while inner.plans.len() > KEPT_PLANS {
                inner.plans.pop_first();
            }
        }
        let replicas: Vec<_> = state
            .members()
            .values()
            .map(|member| member.peer_address)
            .collect();
        let hosts = u32::try_from(inner.roster.reports().count()).unwrap_or(u32::MAX);
        // Most hosts have the same versions, so each message is built and encoded
        // once.
        let mut plans: BTreeMap<u64, EncodedFrame> = BTreeMap::new();
        let mut directories: BTreeMap<_, EncodedFrame> = BTreeMap::new();
        for subscriber in &mut inner.subscribers {
            if subscriber.sent_version < version {
                let known = std::mem::replace(&mut subscriber.sent_version, version);
                let message = plans.entry(known).or_insert_with(|| {
                    let old = inner.plans.get(&known);
                    let change = old.and_then(|old| Change::between(old, state.plan()));
                    EncodedFrame::new(&match change {
                        Some(change) => Frame::PlanChange(change),
                        None => Frame::Plan(state.plan().clone()),
                    })
                });
                subscriber.connection.send_encoded(message);
            }
            let sent = subscriber.sent_targets.replace(targets);
            let known = subscriber.sent_keys.replace(index);
            if sent != Some(targets) || known != Some(index) {
                let message = directories.entry((sent, known)).or_insert_with(|| {
                    EncodedFrame::new(&Frame::Publish {
                        replicas: replicas.clone(),
                        hosts,
                        directory: Directory {
                            index,
                            complete: targets.1,
                            entries: match sent {
                                Some(sent) if sent == targets => EntryUpdate::Unchanged,
                                Some((revision, _)) => inner.roster.entries_since(revision),
                                None => EntryUpdate::Full(inner.roster.entries()),
                            },
                            keyspaces: key_changes(state, known),
                        },
                    })
                });
                subscriber.connection.send_encoded(message);
            }
        }
    }

    /// Handles [`Frame::Renew`], a host's report. `seq` is repeated in the response,
    /// `version` is that of the host's plan, and `index` that of its key ranges. The
    /// response, which may renew the lease, is sent after a majority has confirmed
    /// that this replica still leads.
    fn renew(&self, connection: &Connection, seq: u64, report: Report, version: u64, index: u64) {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        if inner.term.is_none() {
            let leader = self.handle.status().leader_link();
            let leader = leader.filter(|leader| *leader != self.settings.link);
            connection.send(Frame::Redirect { leader });
            return;
        }
        // Only a ready or draining target gets a lease.
        let leased = report.target.as_ref().is_some_and(|target| {
            matches!(target.condition, Condition::Ready | Condition::Draining)
        });
        let owner = report.target.as_ref().map(|target| target.owner.clone());
        let revision = inner.roster.revision();
        let target = report.target.as_ref();
        let has_released = target.is_some_and(|target| !target.released.is_empty());
        if !inner.roster.report(now, report) {
            return;
        }
        // Other reports wait for the next periodic step, so that the work of the
        // leader does not grow with the square of the fleet.
        let mut is_urgent = has_released || inner.roster.revision() != revision;
        if !inner
            .subscribers
            .iter()
            .any(|other| other.connection.is_same(connection))
        {
            is_urgent = true;
            // A host that has key ranges is sent only what has changed since.
            let known_index = self.handle.status().state().keyspaces_index();
            inner.subscribers.push(Subscriber {
                connection: connection.clone(),
                sent_targets: None,
                sent_keys: (1..=known_index).contains(&index).then_some(index),
                sent_version: version,
                reported_version: None,
            });
        } else if let Some(known) = inner
            .subscribers
            .iter_mut()
            .find(|other| other.connection.is_same(connection))
            && version < known.sent_version
            && known.reported_version.replace(version) == Some(version)
        {
            // Two reports in a row name the same older plan, so the host could not
            // apply the change that it was sent.
            known.sent_version = 0;
        }
        let owner = owner.filter(|owner| leased && !inner.roster.ended().contains(owner));
        let leader = self.clone();
        let connection = connection.clone();
        let term = inner.term;
        drop(inner);
        tokio::spawn(async move {
            if leader.handle.confirm().await {
                leader.respond(&connection, seq, owner.as_ref(), index, term);
            }
        });
        if is_urgent {
            self.step();
        }
    }

    /// Responds to a report, and renews the lease of `owner` if there is one. `index`
    /// is that of the host's key ranges, and `term` the one in which the report
    /// arrived; nothing is sent in another term.
    fn respond(
        &self,
        connection: &Connection,
        seq: u64,
        owner: Option<&Owner>,
        index: u64,
        term: Option<u64>,
    ) {
        let mut inner = lock(&self.inner);
        if inner.term != term {
            return;
        }
        let owner = owner.filter(|owner| {
            !inner.revoking.contains(*owner) && inner.roster.may_lease(owner, index)
        });
        if let Some(owner) = owner {
            inner.roster.record_lease(self.clock.now(), owner);
        }
        let leased = owner.is_some();
        connection.send(Frame::Renewed { seq, leased });
    }

    /// Handles [`Frame::Join`]: records the replica's addresses, and adds it to the
    /// group if there is room or if it replaces another replica.
    fn join(&self, connection: &Connection, replica: u64, admin_address: SocketAddr) {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        if inner.term.is_none() {
            // The seeds that the new replica knows may all be followers.
            let leader = self.handle.status().leader_link();
            connection.send(Frame::Redirect { leader });
            return;
        }
        if inner.reconfiguring {
            return;
        }
        let status = self.handle.status();
        let members = status.members().to_vec();
        let state = status.state();
        let known = state.members().get(&replica);
        let peer_address = connection.hello.address;
        let is_known = known.is_some_and(|member| {
            member.peer_address == peer_address && member.admin_address == admin_address
        });
        let former = state
            .members()
            .iter()
            .find(|(id, member)| member.peer_address == peer_address && **id != replica)
            .map(|(id, _)| *id);
        drop(status);
        for member in &members {
            if self.group.is_connected(*member) || *member == self.id() {
                inner.disconnected.remove(member);
            } else {
                inner.disconnected.entry(*member).or_insert(now);
            }
        }
        let absent = members.iter().copied().find(|member| {
            let since = inner.disconnected.get(member);
            since.is_some_and(|since| now.saturating_sub(*since) >= REPLACE_AFTER)
        });
        let next = if members.contains(&replica) {
            None
        } else if let Some(former) = former.filter(|former| members.contains(former)) {
            // The process at this address lost its disk and with it the record of
            // its votes, so it takes part under a new number.
            Some(replace(&members, former, replica))
        } else if members.len() < self.settings.replicas {
            Some(members.iter().copied().chain([replica]).collect())
        } else {
            absent.map(|absent| replace(&members, absent, replica))
        };
        if is_known && next.is_none() {
            return;
        }
        inner.reconfiguring = true;
        drop(inner);
        let leader = self.clone();
        let command = Command::Register {
            replica,
            peer_address,
            admin_address,
        };
        tokio::spawn(async move {
            if !is_known {
                leader.handle.propose(command).await;
            }
            if let Some(next) = next {
                let result = leader.handle.change_members(next.clone()).await;
                info!(event = "group", members = ?next, joined = replica, result = ?result);
            }
            lock(&leader.inner).reconfiguring = false;
        });
    }
}

fn planner(settings: &Settings) -> Planner {
    Planner::new(LEASE).with_grants_by_call(settings.grants == GrantChannel::Call)
}

/// Returns the key ranges to send to a host that was last sent those of the log
/// index `known`, or that was sent none yet (`None`).
fn key_changes(state: &State, known: Option<u64>) -> KeyspaceUpdate {
    match known {
        None => KeyspaceUpdate::Full(state.keyspaces().clone()),
        Some(index) if index == state.keyspaces_index() => KeyspaceUpdate::Unchanged,
        Some(index) => KeyspaceUpdate::Changed(
            state
                .keyspaces()
                .iter()
                .map(|(pool, keyspace)| (pool.clone(), keyspace.changed_since(index)))
                .collect(),
        ),
    }
}

/// Returns the replica ids `members` with `new` in place of `old`.
fn replace(members: &[u64], old: u64, new: u64) -> Vec<u64> {
    let kept = members.iter().copied().filter(|member| *member != old);
    kept.chain([new]).collect()
}

/// Logs a command of the planner before it is proposed.
fn log_command(command: &Command) {
    match command {
        Command::Grant { pool, grants } => {
            info!(event = "grant", pool = %pool, ranges = grants.len());
        }
        Command::Move { pool, moves } => {
            for (span, to) in moves {
                info!(
                    event = "shift", pool = %pool,
                    from = span.from, to = span.to, target = %to.target
                );
            }
        }
        Command::Release {
            pool,
            owner,
            released,
        } => {
            info!(event = "free", pool = %pool, target = %owner.target, ranges = released.len());
        }
        Command::Revoke { owner } => {
            info!(event = "forget", target = %owner.target, born = owner.started_ms);
        }
        Command::Configure { .. } | Command::Register { .. } => {}
    }
}

impl Handler for Leader {
    fn receive(&self, connection: &Connection, frame: Frame) {
        match frame {
            Frame::Raft { from, message } => self.handle.send(Input::Message { from, message }),
            Frame::Confirm { from, term, round } => {
                self.handle
                    .send(Input::ConfirmRequest { from, term, round });
            }
            Frame::Confirmed { from, term, round } => {
                self.handle.send(Input::Confirmed { from, term, round });
            }
            Frame::Join { replica, control } => self.join(connection, replica, control),
            Frame::Redirect { leader } => {
                lock(&self.inner).named_leader = leader;
                self.connect();
            }
            Frame::Renew {
                seq,
                report,
                version,
                index,
            } => self.renew(connection, seq, report, version, index),
            other => {
                warn!(event = "frame-unexpected", peer = %connection.hello.address, frame = ?std::mem::discriminant(&other));
            }
        }
    }

    fn connected(&self, connection: &Connection) {
        self.group.connected(connection);
    }

    fn disconnected(&self, connection: &Connection) {
        self.group.disconnected(connection);
        let mut inner = lock(&self.inner);
        inner
            .subscribers
            .retain(|other| !other.connection.is_same(connection));
    }
}
