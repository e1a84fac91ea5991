//! Load balancing of requests over targets.
//!
//! A host process owns one [`Balancer`]. It asks for a ranking before it sends a
//! request and records how the request went.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use wisteriaglade_types::Name;

use crate::Load;

/// The cost added for a target in another data centre, as a fraction of the mean
/// time of a request. Traffic between data centres is charged.
const REMOTE_COST: f64 = 0.6;

/// The age up to which a load report is taken to show whether a slot is free
/// now.
const MAX_FULL_REPORT_AGE: Duration = Duration::from_millis(150);

/// The time constant by which the confidence in a load report decays.
const LOAD_DECAY: Duration = Duration::from_millis(400);

/// How long a target is ranked last after it could not take a request.
const AVOID_TIME: Duration = Duration::from_millis(400);

/// The weight of a new sample in the moving average of the transit time.
const TRANSIT_GAIN: f64 = 0.3;

/// The time constant in seconds by which a measured transit time decays, as a
/// congested link may have recovered since.
const TRANSIT_DECAY_S: f64 = 1.5;

/// The mean time of a request in milliseconds that is assumed for a target
/// without measurements.
const DEFAULT_MEAN_MS: f64 = 100.0;

/// A target that may serve a request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The id of the target.
    pub target: Name,
    /// Whether the target is in the data centre of this host.
    pub is_local: bool,
}

/// What this host has measured or was told about a target.
#[derive(Debug, Default)]
struct TargetStats {
    /// The last reported load.
    load: Load,
    /// When the load was reported.
    updated_at: Duration,
    /// The number of requests of this host that the target has not answered.
    in_flight: u32,
    /// The time until which the target is ranked last.
    avoid_until: Duration,
    /// A moving average of the round-trip network time of requests, in
    /// milliseconds.
    transit_ms: f64,
}

impl TargetStats {
    /// Returns how long a request would wait for the limit of the target.
    fn limit_wait(&self, now: Duration) -> Duration {
        let age = now.saturating_sub(self.updated_at);
        self.load.limit_wait.saturating_sub(age)
    }
}

/// Ranks targets by the expected time of a request, from reported loads and
/// measured transit times.
#[derive(Debug, Default)]
pub struct Balancer {
    targets: HashMap<Name, TargetStats>,
    /// The kinds of work that are nested.
    nested: HashSet<u64>,
}

impl Balancer {
    /// Returns the indices of the candidates, best first.
    ///
    /// `draws` has a random number between 0 and 1 for each candidate, which
    /// keeps hosts with the same load reports from choosing the same target.
    /// Targets that could not take a request a moment ago come last.
    #[must_use]
    pub fn rank(&self, now: Duration, candidates: &[Candidate], draws: &[f64]) -> Vec<usize> {
        let mut ranked: Vec<(f64, usize)> = candidates
            .iter()
            .enumerate()
            .map(|(at, candidate)| {
                let draw = draws.get(at).copied().unwrap_or(0.5);
                (self.cost(now, candidate, draw), at)
            })
            .collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        ranked.into_iter().map(|(_, at)| at).collect()
    }

    /// Returns the expected time of a request in milliseconds, with penalties
    /// for distance and recent failures and a random spread.
    fn cost(&self, now: Duration, candidate: &Candidate, draw: f64) -> f64 {
        let remote = if candidate.is_local { 0.0 } else { REMOTE_COST };
        let Some(stats) = self.targets.get(&candidate.target) else {
            return DEFAULT_MEAN_MS * (0.5 + draw + remote);
        };
        let limit = f64::from(stats.load.limit.max(1));
        let mean = match stats.load.mean {
            Duration::ZERO => DEFAULT_MEAN_MS,
            mean => mean.as_secs_f64() * 1000.0,
        };
        let age = now.saturating_sub(stats.updated_at).as_secs_f64() / LOAD_DECAY.as_secs_f64();
        let reported = f64::from(stats.load.running + stats.load.waiting);
        // The older the report, the closer the estimate is to a target with
        // half of its slots in use.
        let confidence = (-age).exp();
        let requests = reported * confidence + limit * 0.5 * (1.0 - confidence);
        let requests = requests.max(f64::from(stats.in_flight)) + 1.0;
        let utilization = requests / limit;
        let overload = if utilization > 1.0 {
            utilization - 1.0
        } else {
            0.0
        };
        let spread = (1.0 - confidence).mul_add(0.5, 0.1) * (draw - 0.5);
        // A link with a long transit time is congested, and more requests
        // would slow it down further.
        let elapsed = now.saturating_sub(stats.updated_at).as_secs_f64();
        let transit = 2.0 * stats.transit_ms * (-elapsed / TRANSIT_DECAY_S).exp();
        let limit_wait = stats.limit_wait(now).as_secs_f64() * 1000.0;
        let avoid = if now < stats.avoid_until {
            10_000.0
        } else {
            0.0
        };
        // The cubic term avoids targets that are nearly full, as they may be
        // full when the request arrives.
        mean * (1.0 + utilization.powi(3) + 2.0 * overload + spread + remote)
            + transit
            + limit_wait
            + avoid
    }

    /// Returns whether a request that reaches a target now would wait: a recent load
    /// report shows no free slot, or the limit of the target allows none yet.
    #[must_use]
    pub fn is_full(&self, now: Duration, target: &Name) -> bool {
        self.targets.get(target).is_some_and(|stats| {
            let is_recent = now.saturating_sub(stats.updated_at) < MAX_FULL_REPORT_AGE;
            let has_no_slot = stats.load.limit > 0 && stats.load.running >= stats.load.limit;
            (is_recent && has_no_slot) || !stats.limit_wait(now).is_zero()
        })
    }

    /// Records whether a kind of work is nested, as a target's host reported.
    pub fn set_nested(&mut self, kind: u64, nested: bool) {
        if nested {
            self.nested.insert(kind);
        } else {
            self.nested.remove(&kind);
        }
    }

    /// Returns whether a kind of work is known to be nested: sent by a target
    /// as part of another request, which keeps its slot meanwhile.
    #[must_use]
    pub fn is_nested(&self, kind: u64) -> bool {
        self.nested.contains(&kind)
    }

    /// Records that a request was sent to a target.
    pub fn request_sent(&mut self, target: &Name) {
        self.targets.entry(target.clone()).or_default().in_flight += 1;
    }

    /// Records that a request to a target has ended. `load` is the load that the
    /// target's host reported with it, if it answered.
    pub fn request_ended(&mut self, now: Duration, target: &Name, load: Option<Load>) {
        let stats = self.targets.entry(target.clone()).or_default();
        stats.in_flight = stats.in_flight.saturating_sub(1);
        if let Some(load) = load {
            stats.load = load;
            stats.updated_at = now;
        }
    }

    /// Records the round-trip network time of a request to a target.
    pub fn record_transit(&mut self, target: &Name, time: Duration) {
        let stats = self.targets.entry(target.clone()).or_default();
        stats.transit_ms += (time.as_secs_f64() * 1000.0 - stats.transit_ms) * TRANSIT_GAIN;
    }

    /// Records that a target could not take a request, so that it is ranked last
    /// for a moment.
    pub fn avoid(&mut self, now: Duration, target: &Name) {
        self.targets.entry(target.clone()).or_default().avoid_until = now + AVOID_TIME;
    }

    /// Removes targets for which `keep` is false and that have no open requests.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.targets
            .retain(|target, stats| keep(target) || stats.in_flight > 0);
    }
}
