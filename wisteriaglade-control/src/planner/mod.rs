//! The planner, which decides what the leader of the control log proposes.
//!
//! [`Planner`] derives commands from observations of the nodes and the
//! replicated state. It fences silent nodes, assigns shards without a usable
//! owner, empties draining nodes, balances the load, and gives hot keys
//! dedicated shards. Everything it stores can be observed again within seconds,
//! so a new leader needs no data from its predecessor.
//!
//! The safety of ownership depends on the wait that the planner keeps between
//! `Fence` and `Assign`, and on the checks of
//! [`State::apply`](crate::State::apply), which refuses a proposal that was
//! based on an outdated state.

mod assign;
mod balance;
mod config;
mod event;
mod holders;
mod hot_keys;
mod in_flight;
mod keys;
mod liveness;
mod load;
mod meter;
mod roster;
mod timeline;
mod tracker;
mod waits;

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::{Index, Name, Node};

pub use self::{config::Config, event::Event, holders::replacement, load::Load};
use self::{
    in_flight::{InFlight, Subject},
    liveness::Liveness,
    meter::Meter,
    roster::Entry,
    timeline::Timeline,
    tracker::Tracker,
    waits::Waits,
};
use crate::{Command, Process, State, Status};

/// The maximum number of assignments of one step. Without it, the first
/// assignment of all pools, with 230,000 shards, would delay the heartbeats of
/// the leader.
const MAX_ASSIGNMENTS: usize = 16_384;

/// Proposes changes of the control state while its replica leads.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use wisteriaglade_control::{State, planner::{Config, Event, Planner}};
///
/// let state = State::new(wisteriaglade_control::Config::default());
/// let mut planner = Planner::new(Config::default());
/// let mut commands = Vec::new();
/// planner.step(Duration::ZERO, Event::Lead, &state, &mut commands);
/// planner.step(Duration::from_millis(50), Event::Tick, &state, &mut commands);
/// assert!(commands.is_empty());
/// ```
#[derive(Debug)]
pub struct Planner {
    config: Config,
    leading: bool,
    liveness: Liveness,
    waits: Waits,
    timeline: Timeline,
    in_flight: InFlight,
    /// For each node whose target does not respond, the times of the first and
    /// the last report of it.
    unresponsive: BTreeMap<Node, (Duration, Duration)>,
    /// The moving averages of the load reports of each node.
    meters: BTreeMap<Node, Meter>,
    trackers: BTreeMap<Name, Tracker>,
    /// When the balance and the hot keys were last reviewed.
    last_review: Duration,
    /// The index of the state when the planner last ran.
    index: Option<Index>,
    /// Whether the planner last left nothing to do until the state changes.
    /// Most ticks can then skip the pools.
    idle: bool,
}

impl Planner {
    /// Creates the planner of a replica that does not lead.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            config,
            leading: false,
            liveness: Liveness::default(),
            waits: Waits::default(),
            timeline: Timeline::default(),
            in_flight: InFlight::default(),
            unresponsive: BTreeMap::new(),
            meters: BTreeMap::new(),
            trackers: BTreeMap::new(),
            last_review: Duration::ZERO,
            index: None,
            idle: false,
        }
    }

    /// Handles one event at the time `now`, measured since the start of the
    /// process, and appends the commands to propose.
    ///
    /// `state` is the state at the last committed entry that this replica
    /// applied. `Renewed` and `Load` are only recorded; after any other event,
    /// a leader plans and may append commands.
    pub fn step(
        &mut self,
        now: Duration,
        event: Event,
        state: &State,
        commands: &mut Vec<Command>,
    ) {
        match event {
            Event::Lead => self.become_leader(now),
            Event::Follow => self.leading = false,
            Event::Renewed { node } => return self.liveness.record_renewal(now, node),
            Event::Load { node, report } => return self.record_load(now, node, &report, state),
            Event::TargetUnresponsive { node } => {
                self.unresponsive.entry(node).or_insert((now, now)).1 = now;
            }
            Event::HostOff { node } => self.waits.host_off(node),
            Event::RenewalsEnded { node, last } => self.waits.renewals_ended(node, last),
            Event::Tick => {}
        }
        if self.leading {
            self.plan(now, state, commands);
        }
    }

    /// Resets all waits at the start of a leadership: earlier observations may
    /// date from a time when another replica led.
    fn become_leader(&mut self, now: Duration) {
        self.leading = true;
        self.liveness = Liveness::default();
        self.waits.restart();
        self.timeline = Timeline::default();
        self.in_flight = InFlight::default();
        self.trackers.clear();
        self.last_review = now;
        self.index = None;
        self.idle = false;
    }

    /// Records a load report of a node that has a target.
    fn record_load(&mut self, now: Duration, node: Node, report: &Load, state: &State) {
        let Some(process) = state.node(node) else {
            return;
        };
        let (Some(pool), Some(target)) = (process.pool(), process.target()) else {
            return;
        };
        let meter = self.meters.entry(node).or_default();
        meter.record(report, target.slots);
        if self.leading {
            let tracker = self.trackers.entry(pool.clone()).or_default();
            tracker.keys.record(now, report);
        }
    }

    /// Runs one planning pass over every pool, or only fences silent nodes when
    /// nothing else has changed, and appends the commands to propose.
    fn plan(&mut self, now: Duration, state: &State, commands: &mut Vec<Command>) {
        let lifetime = self.config.unresponsive_lifetime;
        self.unresponsive
            .retain(|_, (_, last)| now.saturating_sub(*last) < lifetime);
        self.in_flight.expire(now, self.config.resend_after);
        let changed = self.index.replace(state.index()) != Some(state.index());
        if changed {
            self.meters.retain(|node, _| state.node(*node).is_some());
            self.liveness.retain_known(state);
            self.waits.observe(now, state);
        }
        let min_residence = self.config.min_residence;
        self.timeline.record(now, min_residence, state.index());

        self.fence(now, state, commands);
        let review_due = now.saturating_sub(self.last_review) >= self.config.review_interval;
        if review_due {
            self.last_review = now;
        }
        if self.idle && !changed && !review_due && self.unresponsive.is_empty() {
            return;
        }
        self.idle = !state.nodes().any(Process::is_fenced);
        let mut remaining = MAX_ASSIGNMENTS;
        let mut pools = BTreeMap::<&Name, Vec<&Process>>::new();
        for process in state.nodes() {
            if let Some(pool) = process.pool() {
                pools.entry(pool).or_default().push(process);
            }
        }
        for (name, processes) in pools {
            // Removed from the map for the time of the pass, so that `self` can
            // be borrowed as well.
            let is_unseen = !self.trackers.contains_key(name);
            let mut tracker = self.trackers.remove(name).unwrap_or_default();
            if let Some(pool) = state.pool(name.as_str()) {
                let pass = Pass {
                    now,
                    state,
                    name,
                    pool,
                    processes: &processes,
                };
                tracker.expire(now, &self.config, pool);
                for shift in tracker.take_arrived(pool) {
                    self.shift_rate(shift.from, -shift.rate);
                    self.shift_rate(shift.to, shift.rate);
                }
                tracker.record_ready(
                    now,
                    is_unseen && self.is_first_pass(now),
                    &ready(&processes),
                );
                let done = self.assign(&pass, &mut tracker, &mut remaining, commands);
                self.idle &= done;
                if review_due {
                    self.review_hot_keys(&pass, &mut tracker, commands);
                    self.balance(&pass, &mut tracker, commands);
                }
            }
            self.trackers.insert(name.clone(), tracker);
        }
    }

    /// Proposes to fence silent nodes, and to remove fenced ones that own no
    /// shards.
    fn fence(&mut self, now: Duration, state: &State, commands: &mut Vec<Command>) {
        for node in self.liveness.silent_nodes(now, &self.config, state) {
            if self.in_flight.insert(now, Subject::Fence(node)) {
                commands.push(Command::Fence { node });
            }
        }
        let fenced = state.nodes().filter(|process| process.is_fenced());
        for process in fenced.filter(|process| process.shard_count() == 0) {
            let node = process.node();
            if self.in_flight.insert(now, Subject::Remove(node)) {
                commands.push(Command::Remove { node });
            }
        }
    }

    /// Returns the nodes whose targets do not respond, and whose shards are
    /// therefore to be moved. When they are more than half of the ready nodes
    /// of the pool, a common cause is likelier than that many separate
    /// failures, and moving the shards would not help; then none are returned.
    /// Reports with a common cause arrive one after the other, so a node is
    /// returned only after a confirmation time.
    fn unresponsive(&self, now: Duration, processes: &[&Process]) -> Vec<Node> {
        let ready = ready(processes);
        let mut unresponsive = ready.clone();
        unresponsive.retain(|node| self.unresponsive.contains_key(node));
        if unresponsive.len() * 2 > ready.len() {
            return Vec::new();
        }
        unresponsive.retain(|node| {
            let (first, _) = self.unresponsive[node];
            now.saturating_sub(first) >= self.config.unresponsive_after
        });
        unresponsive
    }

    /// Returns the nodes of a pool that may receive shards, with their
    /// capacities and loads.
    fn roster_entries(&self, pass: &Pass<'_>, tracker: &Tracker) -> Vec<Entry> {
        let unresponsive = self.unresponsive(pass.now, pass.processes);
        let usable = pass.processes.iter().filter(|process| {
            process.status() == Status::Ready
                && unresponsive.binary_search(&process.node()).is_err()
                && !self
                    .liveness
                    .is_silent(pass.now, &self.config, process.node())
        });
        let usable: Vec<&&Process> = usable.collect();
        let speeds: Vec<f64> = usable
            .iter()
            .filter_map(|process| self.meters.get(&process.node())?.speed())
            .collect();
        let speed = mean(&speeds);
        let total_shards: f64 = usable
            .iter()
            .map(|process| f64::from(process.shard_count()))
            .sum();
        let total_rate: f64 = usable.iter().map(|process| self.rate(process.node())).sum();
        let rate_per_shard = if total_shards > 0.0 {
            total_rate / total_shards
        } else {
            0.0
        };
        let entry = |process: &&&Process| {
            let own_speed = self.meters.get(&process.node()).and_then(Meter::speed);
            let factor = own_speed.map_or(1.0, |own_speed| (own_speed / speed).clamp(0.25, 4.0));
            let slots = process.target().map_or(1, |target| target.slots);
            let shards = f64::from(process.shard_count());
            let demand = demand(self.rate(process.node()), shards * rate_per_shard);
            Entry {
                node: process.node(),
                data_centre: process.data_centre().clone(),
                capacity: f64::from(slots) * factor * tracker.warm_fraction(pass.now, process),
                load: shards * demand,
                demand,
            }
        };
        usable.iter().map(entry).collect()
    }

    /// Adds to the rate of a node ahead of its reports, as shards move.
    fn shift_rate(&mut self, node: Node, rate: f64) {
        if let Some(meter) = self.meters.get_mut(&node) {
            meter.adjust_rate(rate);
        }
    }

    /// Returns the mean rate of a shard of a node, in requests per second.
    fn mean_shard_rate(&self, process: &Process) -> f64 {
        self.rate(process.node()) / f64::from(process.shard_count().max(1))
    }

    /// Returns the rate of a node in requests per second, or zero before its
    /// first report.
    fn rate(&self, node: Node) -> f64 {
        self.meters.get(&node).map_or(0.0, Meter::rate)
    }

    /// Returns whether the leadership has just begun. The age of anything first
    /// seen then is unknown.
    fn is_first_pass(&self, now: Duration) -> bool {
        self.timeline.start().is_none_or(|start| start == now)
    }
}

/// The inputs of one planning pass over one pool.
struct Pass<'a> {
    now: Duration,
    state: &'a State,
    name: &'a Name,
    pool: &'a crate::Pool,
    /// The nodes with a target in the pool, in the order of their ids.
    processes: &'a [&'a Process],
}

/// Returns the ready nodes among `processes`, in the order of their ids.
fn ready(processes: &[&Process]) -> Vec<Node> {
    let ready = processes.iter();
    let ready = ready.filter(|process| process.status() == Status::Ready);
    ready.map(|process| process.node()).collect()
}

fn mean(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    #[allow(clippy::cast_precision_loss, reason = "there are few nodes")]
    let count = values.len() as f64;
    sum / count
}

/// Returns the demand of a shard relative to the mean of its pool, from the
/// rate of its node and the rate expected of that many shards. `NOISE_RATE`, in
/// requests per second, damps random variation of low rates, which would
/// otherwise move shards.
fn demand(rate: f64, expected: f64) -> f64 {
    const NOISE_RATE: f64 = 50.0;
    ((rate + NOISE_RATE) / (expected + NOISE_RATE)).clamp(0.25, 8.0)
}
