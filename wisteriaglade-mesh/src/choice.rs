//! Which target a request is offered to.

use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use wisteriaglade_types::Name;

use crate::Load;

/// The part of a request's time that is accepted to stay in the data centre:
/// traffic between data centres is paid for.
const REMOTE: f64 = 0.6;

/// A load report younger than this shows whether a slot is free now.
const RECENT: Duration = Duration::from_millis(150);

/// After this time a load report says little about the present.
const STALE: Duration = Duration::from_millis(400);

/// How long a target is passed over after it could not take a request.
const AVOID: Duration = Duration::from_millis(400);

/// The weight of a new sample of the time on the way.
const TRANSIT_GAIN: f64 = 0.3;

/// After this time a slow link may have room again.
const TRANSIT_STALE: f64 = 1.5;

/// The mean time of a request at a target that was never measured, in
/// milliseconds.
const FIRST: f64 = 100.0;

/// A target that may serve a request.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// Its id.
    pub target: Name,
    /// Whether it is in the same data centre.
    pub is_near: bool,
}

#[derive(Debug, Default)]
struct Known {
    load: Load,
    at: Duration,
    /// Requests of this host that it has not answered.
    open: u32,
    avoid: Duration,
    /// The time of recent requests on the way there and back, in milliseconds.
    transit: f64,
}

/// What a host knows of the targets it sends requests to.
#[derive(Debug, Default)]
pub struct Choice {
    targets: HashMap<Name, Known>,
    /// Kinds of work that are parts of other work.
    nested: HashSet<u64>,
}

impl Choice {
    /// Orders candidates, best first.
    ///
    /// `draw` is a random number for each candidate; it keeps hosts with the
    /// same knowledge from choosing the same target. Targets that could not
    /// take a request just now come last.
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

    /// The expected time of a request, in milliseconds.
    fn cost(&self, now: Duration, candidate: &Candidate, draw: f64) -> f64 {
        let remote = if candidate.is_near { 0.0 } else { REMOTE };
        let Some(known) = self.targets.get(&candidate.target) else {
            return FIRST * (0.5 + draw + remote);
        };
        let limit = f64::from(known.load.limit.max(1));
        let mean = match known.load.mean {
            Duration::ZERO => FIRST,
            mean => mean.as_secs_f64() * 1000.0,
        };
        let age = now.saturating_sub(known.at).as_secs_f64() / STALE.as_secs_f64();
        let reported = f64::from(known.load.running + known.load.waiting);
        // An old report is drawn towards a half used target.
        let trust = (-age).exp();
        let jobs = reported * trust + limit * 0.5 * (1.0 - trust);
        let jobs = jobs.max(f64::from(known.open)) + 1.0;
        let busy = jobs / limit;
        let wait = if busy > 1.0 { busy - 1.0 } else { 0.0 };
        let spread = (1.0 - trust).mul_add(0.5, 0.1) * (draw - 0.5);
        // A link that delays requests is full; more would make it slower.
        let idle = now.saturating_sub(known.at).as_secs_f64();
        let transit = 2.0 * known.transit * (-idle / TRANSIT_STALE).exp();
        let avoid = if now < known.avoid { 10_000.0 } else { 0.0 };
        // A target that is nearly full may be full when the request arrives.
        mean * (1.0 + busy.powi(3) + 2.0 * wait + spread + remote) + transit + avoid
    }

    /// Whether a target had no free slot a moment ago.
    #[must_use]
    pub fn is_full(&self, now: Duration, target: &Name) -> bool {
        self.targets.get(target).is_some_and(|known| {
            let is_recent = now.saturating_sub(known.at) < RECENT;
            is_recent && known.load.limit > 0 && known.load.running >= known.load.limit
        })
    }

    /// Notes whether a kind of work is part of other work.
    pub fn learn(&mut self, kind: u64, nested: bool) {
        if nested {
            self.nested.insert(kind);
        } else {
            self.nested.remove(&kind);
        }
    }

    /// Whether a kind of work is part of other work, as far as is known. Its
    /// requests hold a slot of their caller's target while they are placed.
    #[must_use]
    pub fn is_nested(&self, kind: u64) -> bool {
        self.nested.contains(&kind)
    }

    /// Notes that a request was sent.
    pub fn sent(&mut self, target: &Name) {
        self.targets.entry(target.clone()).or_default().open += 1;
    }

    /// Notes that a request has ended, with what the target's host said.
    pub fn ended(&mut self, now: Duration, target: &Name, load: Option<Load>) {
        let known = self.targets.entry(target.clone()).or_default();
        known.open = known.open.saturating_sub(1);
        if let Some(load) = load {
            known.load = load;
            known.at = now;
        }
    }

    /// Notes how long a request was on the way to a target and back.
    pub fn transit(&mut self, target: &Name, time: Duration) {
        let known = self.targets.entry(target.clone()).or_default();
        known.transit += (time.as_secs_f64() * 1000.0 - known.transit) * TRANSIT_GAIN;
    }

    /// Notes that a target could not take a request.
    pub fn avoid(&mut self, now: Duration, target: &Name) {
        self.targets.entry(target.clone()).or_default().avoid = now + AVOID;
    }

    /// Forgets targets that are gone.
    pub fn retain(&mut self, keep: impl Fn(&Name) -> bool) {
        self.targets
            .retain(|target, known| keep(target) || known.open > 0);
    }
}
