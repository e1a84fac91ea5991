//! What a control replica does for the hosts while it leads.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tracing::{info, warn};
use wisteriaglade_mesh::{
    Change, Command, Condition, Directory, Keyspace, KeyspaceUpdate, Owner, Plan, Planner, Report,
    Roster, State,
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
    link::{Encoded, Port, Sink},
    lock,
};

/// How long a member has to be out of reach before a spare replica takes its
/// place. A restart takes less.
const ABSENT: Duration = Duration::from_millis(1_500);

/// How long a new leader waits for the group to become complete before it
/// accepts a plan with fewer replicas.
const COMPLETE: Duration = Duration::from_secs(6);

/// The shortest time between two directories for a host.
const PUBLISH: Duration = Duration::from_millis(80);

/// Plans of which the changes are sent to hosts that have an earlier one.
const PLANS: usize = 16;

/// How often a replica without a place in the group asks for one.
const ASK: Duration = Duration::from_millis(300);

/// What a control replica does for the hosts while it leads.
#[derive(Debug, Clone)]
pub(super) struct Leader {
    settings: Arc<Settings>,
    clock: Clock,
    handle: Handle,
    group: Group,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug)]
struct Inner {
    /// The term in which this replica leads.
    term: Option<u64>,
    roster: Roster,
    planner: Planner,
    subscribers: Vec<Subscriber>,
    /// Whether commands of the planner are under way.
    busy: bool,
    /// Whether a change of the group is under way.
    changing: bool,
    /// Since when each member is out of reach.
    absent: BTreeMap<u64, Duration>,
    asked: Duration,
    published: Duration,
    /// The last plans that were published, by version.
    plans: BTreeMap<u64, Plan>,
}

/// A host that reports to this leader.
#[derive(Debug)]
struct Subscriber {
    port: Port,
    /// The revision of the targets that it was sent.
    targets: Option<(u64, bool)>,
    /// The log entry of the key ranges that it was sent.
    keys: Option<u64>,
    /// The plan that it was sent.
    version: u64,
    /// An older plan that its last report named.
    behind: Option<u64>,
}

impl Leader {
    pub(super) fn new(settings: Arc<Settings>, clock: Clock, handle: Handle, group: Group) -> Self {
        let inner = Inner {
            term: None,
            roster: Roster::default(),
            planner: Planner::new(LEASE),
            subscribers: Vec::new(),
            busy: false,
            changing: false,
            absent: BTreeMap::new(),
            asked: Duration::ZERO,
            published: Duration::ZERO,
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

    /// Whether the group has as many replicas as it should, so that what is
    /// accepted now survives the losses that the operators agreed to.
    pub(super) fn is_complete(&self) -> bool {
        let since = lock(&self.inner).roster.since();
        let late = self.clock.now().saturating_sub(since) > COMPLETE;
        late || self.handle.board().members().len() >= self.settings.replicas
    }

    /// Does what is due.
    pub(super) fn step(&self) {
        let now = self.clock.now();
        self.connect();
        let board = self.handle.board();
        let leading = board.is_leading().then(|| board.term());
        drop(board);
        let mut inner = lock(&self.inner);
        if inner.term != leading {
            inner.term = leading;
            inner.roster = Roster::new(now);
            inner.planner = Planner::new(LEASE);
            inner.subscribers.clear();
            inner.absent.clear();
            info!(
                event = if leading.is_some() { "lead" } else { "follow" },
                term = leading.unwrap_or(0)
            );
        }
        if leading.is_none() {
            self.ask(now, &mut inner);
            return;
        }
        self.plan(now, &mut inner);
        self.publish(now, &mut inner);
    }

    /// Keeps links to every known replica.
    fn connect(&self) {
        let mut addresses = self.handle.board().links();
        addresses.extend(self.settings.seeds.iter().copied());
        self.group.connect(self, &addresses);
    }

    /// Asks for a place in the group, or makes the own addresses known.
    fn ask(&self, now: Duration, inner: &mut Inner) {
        if now.saturating_sub(inner.asked) >= ASK {
            inner.asked = now;
            self.group.ask(self.settings.control);
        }
    }

    /// Proposes what the planner decides.
    fn plan(&self, now: Duration, inner: &mut Inner) {
        self.register(inner);
        let board = self.handle.board();
        let state = board.state();
        let named = |owner: &_| {
            let ranges = state.keyspaces().values().flat_map(Keyspace::ranges);
            let mut owners = ranges.flat_map(|range| range.owner.iter().chain(&range.next));
            owners.any(|other| other == owner)
        };
        inner.roster.prune(now, named);
        if inner.busy {
            return;
        }
        let commands = inner.planner.step(now, state, &inner.roster);
        drop(board);
        if commands.is_empty() {
            return;
        }
        inner.busy = true;
        let leader = self.clone();
        tokio::spawn(async move {
            for command in commands {
                note(&command);
                if leader.handle.propose(command).await == Proposed::NotLeader {
                    break;
                }
            }
            lock(&leader.inner).busy = false;
        });
    }

    /// Makes the addresses of this replica known.
    fn register(&self, inner: &mut Inner) {
        let id = self.group_id();
        let board = self.handle.board();
        let known = board.state().members().get(&id);
        let is_known = known.is_some_and(|member| member.peer_address == self.settings.link);
        drop(board);
        if is_known || inner.changing {
            return;
        }
        inner.changing = true;
        let leader = self.clone();
        let command = Command::Register {
            replica: id,
            peer_address: self.settings.link,
            admin_address: self.settings.control,
        };
        tokio::spawn(async move {
            leader.handle.propose(command).await;
            lock(&leader.inner).changing = false;
        });
    }

    fn group_id(&self) -> u64 {
        self.group.id()
    }

    /// Tells the hosts what has changed.
    fn publish(&self, now: Duration, inner: &mut Inner) {
        if now.saturating_sub(inner.published) < PUBLISH {
            return;
        }
        let board = self.handle.board();
        let state = board.state();
        let targets = (inner.roster.revision(), inner.roster.is_complete(now));
        let index = state.keyspaces_index();
        let version = state.plan().version;
        let is_told = |other: &Subscriber| {
            other.targets == Some(targets) && other.keys == Some(index) && other.version >= version
        };
        if inner.subscribers.iter().all(is_told) {
            return;
        }
        inner.published = now;
        // A host without a plan, of version 0, is sent the whole one.
        if version > 0 && !inner.plans.contains_key(&version) {
            inner.plans.insert(version, state.plan().clone());
            while inner.plans.len() > PLANS {
                inner.plans.pop_first();
            }
        }
        let replicas: Vec<_> = state
            .members()
            .values()
            .map(|member| member.peer_address)
            .collect();
        let hosts = u32::try_from(inner.roster.reports().count()).unwrap_or(u32::MAX);
        let entries = inner.roster.entries();
        // Most hosts know the same, so each message is built and encoded once.
        let mut plans: BTreeMap<u64, Encoded> = BTreeMap::new();
        let mut directories: BTreeMap<(bool, Option<u64>), Encoded> = BTreeMap::new();
        for subscriber in &mut inner.subscribers {
            if subscriber.version < version {
                let known = std::mem::replace(&mut subscriber.version, version);
                let message = plans.entry(known).or_insert_with(|| {
                    let old = inner.plans.get(&known);
                    let change = old.and_then(|old| Change::between(old, state.plan()));
                    Encoded::new(&match change {
                        Some(change) => Frame::PlanChange(change),
                        None => Frame::Plan(state.plan().clone()),
                    })
                });
                subscriber.port.share(message);
            }
            let new_targets = subscriber.targets.replace(targets) != Some(targets);
            let known = subscriber.keys.replace(index);
            if new_targets || known != Some(index) {
                let message = directories.entry((new_targets, known)).or_insert_with(|| {
                    Encoded::new(&Frame::Publish {
                        replicas: replicas.clone(),
                        hosts,
                        directory: Directory {
                            index,
                            complete: targets.1,
                            entries: new_targets.then(|| entries.clone()),
                            keyspaces: changes(state, known),
                        },
                    })
                });
                subscriber.port.share(message);
            }
        }
    }

    /// Takes a report. The lease is given once the other replicas have
    /// confirmed that this one leads.
    fn renew(&self, port: &Port, seq: u64, report: Report, version: u64) {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        if inner.term.is_none() {
            let leader = self.handle.board().leader_link();
            let leader = leader.filter(|leader| *leader != self.settings.link);
            port.send(Frame::Redirect { leader });
            return;
        }
        let leased = report.target.as_ref().is_some_and(|target| {
            matches!(target.condition, Condition::Ready | Condition::Draining)
        });
        let owner = report.target.as_ref().map(|target| target.owner.clone());
        if !inner.roster.report(now, report) {
            return;
        }
        if !inner.subscribers.iter().any(|other| other.port.is(port)) {
            inner.subscribers.push(Subscriber {
                port: port.clone(),
                targets: None,
                keys: None,
                version,
                behind: None,
            });
        } else if let Some(known) = inner
            .subscribers
            .iter_mut()
            .find(|other| other.port.is(port))
            && version < known.version
            && known.behind.replace(version) == Some(version)
        {
            // Two reports in a row name an older plan: what was sent did not fit.
            known.version = 0;
        }
        let owner = owner.filter(|owner| leased && !inner.roster.ended().contains(owner));
        let leader = self.clone();
        let port = port.clone();
        let term = inner.term;
        drop(inner);
        tokio::spawn(async move {
            if leader.handle.confirm().await {
                leader.answer(&port, seq, owner.as_ref(), term);
            }
        });
        self.step();
    }

    fn answer(&self, port: &Port, seq: u64, owner: Option<&Owner>, term: Option<u64>) {
        let mut inner = lock(&self.inner);
        // A key range that is being taken away must not get a new lease.
        let owner = owner.filter(|_| !inner.busy);
        if inner.term != term {
            return;
        }
        if let Some(owner) = owner {
            inner.roster.record_lease(self.clock.now(), owner);
        }
        let leased = owner.is_some();
        port.send(Frame::Renewed { seq, leased });
    }

    /// Gives a replica a place in the group.
    fn join(&self, port: &Port, replica: u64, admin_address: SocketAddr) {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        if inner.term.is_none() || inner.changing {
            return;
        }
        let board = self.handle.board();
        let members = board.members().to_vec();
        let state = board.state();
        let known = state.members().get(&replica);
        let peer_address = port.hello.address;
        let is_known = known.is_some_and(|member| {
            member.peer_address == peer_address && member.admin_address == admin_address
        });
        let former = state
            .members()
            .iter()
            .find(|(id, member)| member.peer_address == peer_address && **id != replica)
            .map(|(id, _)| *id);
        drop(board);
        for member in &members {
            if self.group.reaches(*member) || *member == self.group_id() {
                inner.absent.remove(member);
            } else {
                inner.absent.entry(*member).or_insert(now);
            }
        }
        let absent = members.iter().copied().find(|member| {
            let since = inner.absent.get(member);
            since.is_some_and(|since| now.saturating_sub(*since) >= ABSENT)
        });
        let next = if members.contains(&replica) {
            None
        } else if let Some(former) = former.filter(|former| members.contains(former)) {
            // The process at this address lost its disk, and with it its votes.
            Some(replace(&members, former, replica))
        } else if members.len() < self.settings.replicas {
            Some(members.iter().copied().chain([replica]).collect())
        } else {
            absent.map(|absent| replace(&members, absent, replica))
        };
        if is_known && next.is_none() {
            return;
        }
        inner.changing = true;
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
                let result = leader.handle.change(next.clone()).await;
                info!(event = "group", members = ?next, joined = replica, result = ?result);
            }
            lock(&leader.inner).changing = false;
        });
    }
}

/// What a host that knows the key ranges as of a log entry has to be told.
fn changes(state: &State, known: Option<u64>) -> KeyspaceUpdate {
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

fn replace(members: &[u64], old: u64, new: u64) -> Vec<u64> {
    let kept = members.iter().copied().filter(|member| *member != old);
    kept.chain([new]).collect()
}

/// Logs a decision about key ranges.
fn note(command: &Command) {
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

impl Sink for Leader {
    fn receive(&self, port: &Port, frame: Frame) {
        match frame {
            Frame::Raft { from, message } => self.handle.tell(Input::Message { from, message }),
            Frame::Confirm { from, term, round } => {
                self.handle.tell(Input::Asked { from, term, round });
            }
            Frame::Confirmed { from, term, round } => {
                self.handle.tell(Input::Confirmed { from, term, round });
            }
            Frame::Join { replica, control } => self.join(port, replica, control),
            Frame::Renew {
                seq,
                report,
                version,
            } => self.renew(port, seq, report, version),
            other => {
                warn!(event = "frame-unexpected", peer = %port.hello.address, frame = ?std::mem::discriminant(&other));
            }
        }
    }

    fn up(&self, port: &Port) {
        self.group.up(port);
    }

    fn down(&self, port: &Port) {
        self.group.down(port);
        let mut inner = lock(&self.inner);
        inner.subscribers.retain(|other| !other.port.is(port));
    }
}
