//! Admission of requests to one target.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Name;

use crate::callers::Callers;

/// The weight of a new sample in a mean.
const GAIN: f64 = 0.1;

/// The mean time of a request before any was measured.
const FIRST: Duration = Duration::from_millis(100);

/// Waiting requests for each request that runs. More would wait longer than
/// their callers do.
const BACKLOG: usize = 6;

/// The part of the time to the objective that a request may be expected to
/// wait. A longer queue serves no more requests, but more of them late.
const WAIT_PART: f64 = 0.35;

/// Waiting requests whose content is asked for ahead. It takes tens of
/// milliseconds on a slow link, in which a slot would stand idle.
const AHEAD: usize = 4;

/// The shortest Retry-After: an earlier return finds the same queue.
const RETURN_MIN: Duration = Duration::from_millis(50);

/// A request that a host offers to a target.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The number that the driver gave it.
    pub id: u64,
    /// The kind of work, for its mean time.
    pub kind: u64,
    /// The rank; 0 is the highest.
    pub priority: u32,
    /// The pool of the target beside which it began.
    pub caller: Name,
    /// When its answer stops being worth most.
    pub objective: Duration,
    /// When its caller leaves.
    pub deadline: Duration,
    /// Whether it may wait for a slot.
    pub waits: bool,
}

/// What the queue decides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send the request to the target.
    Start {
        /// The request.
        id: u64,
        /// How long it has waited.
        waited: Duration,
    },
    /// Ask for the content of the request, which starts soon.
    Prefetch {
        /// The request.
        id: u64,
    },
    /// Tell the caller's host that it will not run.
    Reject {
        /// The request.
        id: u64,
        /// Why.
        reason: Reason,
        /// When room is expected.
        retry: Duration,
    },
}

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// No slot is free, and the request may not wait.
    Full,
    /// It could not be answered within its time.
    Late,
    /// Its time ended in the queue.
    Expired,
    /// The target takes no new work.
    Draining,
    /// The target does not hold the key.
    NotHolder,
    /// The target is another one, or another life of it.
    NotTarget,
    /// The target does not run.
    Down,
    /// The target rejected it.
    Shed,
    /// The host of the target cannot be reached.
    Unreachable,
    /// No target may serve it.
    NoTarget,
}

impl Reason {
    /// The word for logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Late => "late",
            Self::Expired => "expired",
            Self::Draining => "draining",
            Self::NotHolder => "not-holder",
            Self::NotTarget => "not-target",
            Self::Down => "down",
            Self::Shed => "shed",
            Self::Unreachable => "unreachable",
            Self::NoTarget => "no-target",
        }
    }
}

/// How a request ended at the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
    /// It was answered.
    Done,
    /// The target rejected it without running it.
    Shed,
    /// The connection broke, or the answer was not one.
    Broken,
    /// The caller left or the deadline passed.
    Cancelled,
}

/// How much a target has to do.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at the same time.
    pub limit: u32,
    /// The mean time of a request.
    pub mean: Duration,
}

/// The order of waiting requests: nested ones first, then by rank, then by
/// arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    outer: bool,
    priority: u32,
    number: u64,
}

#[derive(Debug)]
struct Waiting {
    arrival: Arrival,
    since: Duration,
    /// Whether its content was asked for.
    asked: bool,
}

#[derive(Debug)]
struct Running {
    kind: u64,
    since: Duration,
}

/// Decides which requests run at a target, which wait and which are rejected.
#[derive(Debug)]
pub struct Queue {
    slots: u32,
    next: u64,
    callers: Callers,
    waiting: BTreeMap<Place, Waiting>,
    running: HashMap<u64, Running>,
    /// The mean time of each kind of work, in seconds.
    means: HashMap<u64, f64>,
    mean: f64,
    /// The mean time between two ends while all slots are in use, in seconds.
    interval: f64,
    /// When a request last ended while all slots were in use.
    ended: Option<Duration>,
}

impl Queue {
    /// A queue for a target that runs `slots` requests at the same time.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            next: 0,
            callers: Callers::default(),
            waiting: BTreeMap::new(),
            running: HashMap::new(),
            means: HashMap::new(),
            mean: FIRST.as_secs_f64(),
            interval: 0.0,
            ended: None,
        }
    }

    /// Takes the number of slots that the target announces.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// How much the target has to do.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
            limit: self.room(),
            mean: Duration::from_secs_f64(self.mean),
        }
    }

    /// The mean time of a request, once some were measured.
    #[must_use]
    pub fn measured(&self) -> Option<Duration> {
        (!self.means.is_empty()).then(|| Duration::from_secs_f64(self.mean))
    }

    /// Whether nothing runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Takes a request.
    pub fn arrive(&mut self, now: Duration, arrival: Arrival, effects: &mut Vec<Effect>) {
        self.expire(now, effects);
        let id = arrival.id;
        let nested = self.callers.note(arrival.kind, &arrival.caller);
        if self.running.len() < self.room() as usize && self.waiting.is_empty() {
            let kind = arrival.kind;
            self.running.insert(id, Running { kind, since: now });
            effects.push(Effect::Start {
                id,
                waited: Duration::ZERO,
            });
            return;
        }
        let place = Place {
            outer: !nested,
            priority: arrival.priority,
            number: self.next,
        };
        self.next += 1;
        let wait = self.wait(now, place);
        let retry = wait.max(RETURN_MIN);
        let work = self.mean_of(arrival.kind);
        let is_full = self.waiting.len() >= self.room() as usize * BACKLOG;
        // A nested request that is turned away fails the request that waits for
        // it and the work already done for that one.
        let end = if nested {
            arrival.deadline
        } else {
            arrival.objective.min(arrival.deadline)
        };
        let left = arrival.objective.saturating_sub(now);
        let reason = if !arrival.waits {
            Some(Reason::Full)
        } else if (!nested && (is_full || wait > left.mul_f64(WAIT_PART)))
            || now + wait + work > end
        {
            Some(Reason::Late)
        } else {
            None
        };
        if let Some(reason) = reason {
            effects.push(Effect::Reject { id, reason, retry });
            return;
        }
        let since = now;
        let asked = false;
        let waiting = Waiting {
            arrival,
            since,
            asked,
        };
        self.waiting.insert(place, waiting);
        self.prefetch(effects);
    }

    /// Whether requests of a kind are part of other work.
    #[must_use]
    pub fn is_nested(&self, kind: u64) -> bool {
        self.callers.is_nested(kind)
    }

    fn prefetch(&mut self, effects: &mut Vec<Effect>) {
        let first = self.waiting.values_mut().take(AHEAD);
        for waiting in first.filter(|waiting| !waiting.asked) {
            waiting.asked = true;
            let id = waiting.arrival.id;
            effects.push(Effect::Prefetch { id });
        }
    }

    /// Takes the end of a request that ran.
    pub fn finish(&mut self, now: Duration, id: u64, finish: Finish, effects: &mut Vec<Effect>) {
        let was_full = self.running.len() >= self.room() as usize;
        if let Some(running) = self.running.remove(&id) {
            self.measure(now, &running, finish);
        }
        if let Some(last) = self.ended.take().filter(|_| finish != Finish::Shed) {
            let interval = now.saturating_sub(last).as_secs_f64();
            self.interval += (interval - self.interval) * GAIN;
        }
        self.fill(now, effects);
        // The time to the next end counts when no slot is free until then.
        if was_full && self.running.len() >= self.room() as usize {
            self.ended = Some(now);
        }
    }

    /// Takes the time of a request. One that was cut off would have taken
    /// longer, so its time counts only when it raises the mean.
    fn measure(&mut self, now: Duration, running: &Running, finish: Finish) {
        let time = now.saturating_sub(running.since).as_secs_f64();
        let known = self.means.get(&running.kind).copied().unwrap_or(self.mean);
        let counts = match finish {
            Finish::Done => true,
            Finish::Broken | Finish::Cancelled => time > known,
            Finish::Shed => false,
        };
        if counts {
            let mean = self.means.entry(running.kind).or_insert(time);
            *mean += (time - *mean) * GAIN;
            self.mean += (time - self.mean) * GAIN;
        }
    }

    /// Removes a request whose caller has left. Returns whether it was waiting.
    pub fn leave(&mut self, id: u64) -> bool {
        let place = self
            .waiting
            .iter()
            .find(|(_, waiting)| waiting.arrival.id == id)
            .map(|(place, _)| *place);
        place.is_some_and(|place| self.waiting.remove(&place).is_some())
    }

    /// Rejects everything that waits.
    pub fn clear(&mut self, reason: Reason, effects: &mut Vec<Effect>) {
        for (_, waiting) in std::mem::take(&mut self.waiting) {
            effects.push(Effect::Reject {
                id: waiting.arrival.id,
                reason,
                retry: RETURN_MIN,
            });
        }
    }

    /// Rejects what can no longer be answered in time. Call it about every
    /// 20 ms while requests wait.
    pub fn expire(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let mut late = Vec::new();
        for (place, waiting) in &self.waiting {
            let work = self.mean_of(waiting.arrival.kind).mul_f64(0.5);
            if now + work > waiting.arrival.deadline {
                late.push(*place);
            }
        }
        for place in late {
            if let Some(waiting) = self.waiting.remove(&place) {
                effects.push(Effect::Reject {
                    id: waiting.arrival.id,
                    reason: Reason::Expired,
                    retry: RETURN_MIN,
                });
            }
        }
    }

    /// Starts waiting requests while slots are free.
    fn fill(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.expire(now, effects);
        while self.running.len() < self.room() as usize {
            let Some(waiting) = self.next(now).and_then(|place| self.waiting.remove(&place)) else {
                break;
            };
            let Arrival { id, kind, .. } = waiting.arrival;
            self.running.insert(id, Running { kind, since: now });
            let waited = now.saturating_sub(waiting.since);
            effects.push(Effect::Start { id, waited });
        }
        self.prefetch(effects);
    }

    /// The request to start next: the first one in order that can still be
    /// answered within its objective, or the first one if none can.
    fn next(&self, now: Duration) -> Option<Place> {
        let is_timely = |place: &Place, waiting: &Waiting| {
            let arrival = &waiting.arrival;
            !place.outer || now + self.mean_of(arrival.kind) <= arrival.objective
        };
        let timely = self
            .waiting
            .iter()
            .find(|(place, waiting)| is_timely(place, waiting));
        let (place, _) = timely.or_else(|| self.waiting.first_key_value())?;
        Some(*place)
    }

    /// How long a request at this place is expected to wait.
    fn wait(&self, now: Duration, place: Place) -> Duration {
        let ahead = self.waiting.range(..place);
        let work: f64 = ahead
            .map(|(_, waiting)| self.mean_of(waiting.arrival.kind).as_secs_f64())
            .sum();
        let left: f64 = self
            .running
            .values()
            .map(|running| {
                let mean = self.mean_of(running.kind).as_secs_f64();
                let spent = now.saturating_sub(running.since).as_secs_f64();
                (mean - spent).max(mean * 0.2)
            })
            .sum();
        let room = f64::from(self.room());
        // The next slot frees when the first of the running requests ends.
        let planned = work / room + left / room / (room + 1.0);
        // The target may have become slower than the means show.
        let ahead = f64::from(count(self.waiting.range(..place).count())) + 1.0;
        let paced = ahead * self.interval;
        Duration::from_secs_f64(planned.max(paced))
    }

    fn mean_of(&self, kind: u64) -> Duration {
        Duration::from_secs_f64(self.means.get(&kind).copied().unwrap_or(self.mean))
    }

    fn room(&self) -> u32 {
        self.slots
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
