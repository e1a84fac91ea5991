//! The planner: which changes the leader of the control log proposes.
//!
//! [`Planner`] turns observations of the nodes and the replicated state into
//! commands. It fences silent nodes, assigns shards that have no usable owner,
//! empties draining nodes, balances the load, and isolates hot keys. It keeps
//! only what can be learned again within seconds, so a new leader starts with
//! nothing.
//!
//! The safety of ownership rests on the waits of the planner between `Fence`
//! and `Assign`, and on the checks of [`State::apply`](crate::State::apply),
//! which refuse a proposal that rests on an old state.

mod ages;
mod assign;
mod balance;
mod config;
mod event;
mod holders;
mod hot;
mod keys;
mod load;
mod meter;
mod plan;
mod roster;
mod sent;
mod waits;
mod watch;

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::{Index, Name, Node};

use self::{
    ages::Ages,
    meter::Meter,
    plan::Plan,
    roster::Entry,
    sent::{Sent, Subject},
    waits::Waits,
    watch::Watch,
};
pub use self::{config::Config, event::Event, holders::replacement, load::Load};
use crate::{Command, Process, State, Status};

/// The largest number of assignments of one step, so that the start of all
/// pools, with 230,000 shards, does not delay the heartbeats of the leader.
const MOST_ASSIGNMENTS: usize = 16_384;

/// Proposes the changes of the control state.
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
    watch: Watch,
    waits: Waits,
    ages: Ages,
    sent: Sent,
    /// When a node first and last reported that its target does not respond.
    refused: BTreeMap<Node, (Duration, Duration)>,
    meters: BTreeMap<Node, Meter>,
    plans: BTreeMap<Name, Plan>,
    /// When balance and hot keys were looked at last.
    reviewed: Duration,
    /// The index of the state at the last look.
    index: Option<Index>,
    /// Whether the last look left nothing to do before the state changes. Most
    /// ticks then cost no look at the pools.
    quiet: bool,
}

impl Planner {
    /// A planner of a replica that does not lead.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            config,
            leading: false,
            watch: Watch::default(),
            waits: Waits::default(),
            ages: Ages::default(),
            sent: Sent::default(),
            refused: BTreeMap::new(),
            meters: BTreeMap::new(),
            plans: BTreeMap::new(),
            reviewed: Duration::ZERO,
            index: None,
            quiet: false,
        }
    }

    /// Takes one observation at the time `now` since the start of the process,
    /// and appends the changes to propose.
    ///
    /// `state` is the state at the last committed entry that this replica
    /// applied. `Renewed` and `Load` are only noted; the other events lead to
    /// proposals.
    pub fn step(
        &mut self,
        now: Duration,
        event: Event,
        state: &State,
        commands: &mut Vec<Command>,
    ) {
        match event {
            Event::Lead => self.lead(now),
            Event::Follow => self.leading = false,
            Event::Renewed { node } => return self.watch.renewed(now, node),
            Event::Load { node, report } => return self.learn(now, node, &report, state),
            Event::Refused { node } => {
                self.refused.entry(node).or_insert((now, now)).1 = now;
            }
            Event::Lost { node } => self.waits.lost(node),
            Event::Ceased { node, last } => self.waits.ceased(node, last),
            Event::Tick => {}
        }
        if self.leading {
            self.plan(now, state, commands);
        }
    }

    /// Starts all waits again: what was observed before may have been observed
    /// while another replica led.
    fn lead(&mut self, now: Duration) {
        self.leading = true;
        self.watch = Watch::default();
        self.waits.restart();
        self.ages = Ages::default();
        self.sent = Sent::default();
        self.plans.clear();
        self.reviewed = now;
        self.index = None;
        self.quiet = false;
    }

    fn learn(&mut self, now: Duration, node: Node, report: &Load, state: &State) {
        let Some(process) = state.node(node) else {
            return;
        };
        let (Some(pool), Some(target)) = (process.pool(), process.target()) else {
            return;
        };
        let meter = self.meters.entry(node).or_default();
        meter.learn(report, target.slots);
        if self.leading {
            let plan = self.plans.entry(pool.clone()).or_default();
            plan.keys.learn(now, report);
        }
    }

    fn plan(&mut self, now: Duration, state: &State, commands: &mut Vec<Command>) {
        let refusal = self.config.refusal;
        self.refused
            .retain(|_, (_, last)| now.saturating_sub(*last) < refusal);
        self.sent.expire(now, self.config.resend);
        let changed = self.index.replace(state.index()) != Some(state.index());
        if changed {
            self.meters.retain(|node, _| state.node(*node).is_some());
            self.watch.forget(state);
            self.waits.observe(now, state);
        }
        let residence = self.config.residence;
        self.ages.observe(now, residence, state.index());

        self.fence(now, state, commands);
        let review = now.saturating_sub(self.reviewed) >= self.config.interval;
        if review {
            self.reviewed = now;
        }
        if self.quiet && !changed && !review && self.refused.is_empty() {
            return;
        }
        self.quiet = !state.nodes().any(Process::is_fenced);
        let mut room = MOST_ASSIGNMENTS;
        let mut pools = BTreeMap::<&Name, Vec<&Process>>::new();
        for process in state.nodes() {
            if let Some(pool) = process.pool() {
                pools.entry(pool).or_default().push(process);
            }
        }
        for (name, processes) in pools {
            // The plan is taken out, so that the duties can use the rest.
            let first = !self.plans.contains_key(name);
            let mut plan = self.plans.remove(name).unwrap_or_default();
            if let Some(pool) = state.pool(name.as_str()) {
                let task = Task {
                    now,
                    state,
                    name,
                    pool,
                    processes: &processes,
                };
                plan.settle(now, &self.config, pool);
                for shift in plan.arrived(pool) {
                    self.shift(shift.from, -shift.rate);
                    self.shift(shift.to, shift.rate);
                }
                plan.observe(now, first && self.is_new(now), &ready(&processes));
                let done = self.assign(&task, &mut plan, &mut room, commands);
                self.quiet &= done;
                if review {
                    self.isolate(&task, &mut plan, commands);
                    self.balance(&task, &mut plan, commands);
                }
            }
            self.plans.insert(name.clone(), plan);
        }
    }

    fn fence(&mut self, now: Duration, state: &State, commands: &mut Vec<Command>) {
        for node in self.watch.lost(now, &self.config, state) {
            if self.sent.note(now, Subject::Fence(node)) {
                commands.push(Command::Fence { node });
            }
        }
        let fenced = state.nodes().filter(|process| process.is_fenced());
        for process in fenced.filter(|process| process.held() == 0) {
            let node = process.node();
            if self.sent.note(now, Subject::Remove(node)) {
                commands.push(Command::Remove { node });
            }
        }
    }

    /// The nodes whose targets do not respond. When that is more than half of
    /// the pool, a common cause is likelier than so many failures, and nothing
    /// would be better off elsewhere. The reports of a common cause arrive one
    /// after the other, so the first ones are not acted on at once.
    fn refusing(&self, now: Duration, processes: &[&Process]) -> Vec<Node> {
        let ready = ready(processes);
        let mut refusing = ready.clone();
        refusing.retain(|node| self.refused.contains_key(node));
        if refusing.len() * 2 > ready.len() {
            return Vec::new();
        }
        refusing.retain(|node| {
            let (first, _) = self.refused[node];
            now.saturating_sub(first) >= self.config.confirm
        });
        refusing
    }

    /// The nodes of a pool that may receive shards.
    fn entries(&self, task: &Task<'_>, plan: &Plan) -> Vec<Entry> {
        let refusing = self.refusing(task.now, task.processes);
        let usable = task.processes.iter().filter(|process| {
            process.status() == Status::Ready
                && refusing.binary_search(&process.node()).is_err()
                && !self.watch.is_silent(task.now, &self.config, process.node())
        });
        let usable: Vec<&&Process> = usable.collect();
        let speeds: Vec<f64> = usable
            .iter()
            .filter_map(|process| self.meters.get(&process.node())?.speed())
            .collect();
        let speed = mean(&speeds);
        let held: f64 = usable.iter().map(|process| f64::from(process.held())).sum();
        let rate: f64 = usable.iter().map(|process| self.rate(process.node())).sum();
        let of_shard = if held > 0.0 { rate / held } else { 0.0 };
        let entry = |process: &&&Process| {
            let own = self.meters.get(&process.node()).and_then(Meter::speed);
            let factor = own.map_or(1.0, |own| (own / speed).clamp(0.25, 4.0));
            let slots = process.target().map_or(1, |target| target.slots);
            let shards = f64::from(process.held());
            let heat = heat(self.rate(process.node()), shards * of_shard);
            Entry {
                node: process.node(),
                data_centre: process.data_centre().clone(),
                capacity: f64::from(slots) * factor * plan.warmth(task.now, process),
                load: shards * heat,
                heat,
            }
        };
        usable.iter().map(entry).collect()
    }

    fn shift(&mut self, node: Node, rate: f64) {
        if let Some(meter) = self.meters.get_mut(&node) {
            meter.shift(rate);
        }
    }

    /// The mean rate of the shards of a node.
    fn rate_of_shard(&self, process: &Process) -> f64 {
        self.rate(process.node()) / f64::from(process.held().max(1))
    }

    fn rate(&self, node: Node) -> f64 {
        self.meters.get(&node).map_or(0.0, Meter::rate)
    }

    /// Whether the leadership has just begun, so that the age of what is seen
    /// for the first time is not known.
    fn is_new(&self, now: Duration) -> bool {
        self.ages.start().is_none_or(|start| start == now)
    }
}

/// The look at one pool at one time.
struct Task<'a> {
    now: Duration,
    state: &'a State,
    name: &'a Name,
    pool: &'a crate::Pool,
    /// The nodes with a target in the pool.
    processes: &'a [&'a Process],
}

fn ready(processes: &[&Process]) -> Vec<Node> {
    let ready = processes.iter();
    let ready = ready.filter(|process| process.status() == Status::Ready);
    ready.map(|process| process.node()).collect()
}

fn mean(figures: &[f64]) -> f64 {
    let sum: f64 = figures.iter().sum();
    #[allow(clippy::cast_precision_loss, reason = "there are few nodes")]
    let count = figures.len() as f64;
    sum / count
}

/// The demand of a shard relative to the mean. The constant keeps a few
/// requests per second, which vary by chance, from moving shards.
fn heat(rate: f64, expected: f64) -> f64 {
    const CHANCE: f64 = 50.0;
    ((rate + CHANCE) / (expected + CHANCE)).clamp(0.25, 8.0)
}
