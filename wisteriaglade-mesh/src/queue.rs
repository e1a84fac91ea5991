//! Admission control for one target.
//!
//! The host process of a target owns its [`Queue`], reports arrivals and ends
//! of requests to it and carries out the [`Effect`]s that it returns.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use wisteriaglade_router::throttle::Throttle;
use wisteriaglade_types::Name;

use crate::{Notice, nesting::Nesting};

/// The weight of a new sample in an exponential moving average.
const MEAN_GAIN: f64 = 0.1;

/// The mean time of a request that is assumed before any was measured.
const DEFAULT_MEAN: Duration = Duration::from_millis(100);

/// The most waiting requests for each slot. Requests behind them would wait
/// longer than their callers do.
const MAX_WAITING_PER_SLOT: usize = 6;

/// The largest expected wait of an admitted request, as a fraction of the time
/// left to its objective. A longer queue serves no more requests, but more of
/// them late.
const MAX_WAIT_RATIO: f64 = 0.35;

/// The time, as a multiple of the mean time of a request, that has to be left to its
/// deadline when the limit of the target lets it start. The start comes neither
/// sooner nor later than expected, so without a margin half of the requests that just
/// fit would be cut off.
const LIMITED_WORK_RATIO: f64 = 2.0;

/// The number of waiting requests whose body is fetched in advance. On a slow
/// link a body takes tens of milliseconds, during which a slot would be idle.
const PREFETCH_COUNT: usize = 4;

/// The shortest Retry-After. A request that is sent again sooner finds the same
/// queue.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A request that a host offers to a target, as the queue sees it.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The id that the caller of the queue gave the request.
    pub id: u64,
    /// The kind of work. Requests of one kind take similar times, so means are
    /// kept for each kind.
    pub kind: u64,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The pool of the target on the host where the request entered.
    pub caller_pool: Name,
    /// When its latency objective ends.
    pub objective: Duration,
    /// When its caller stops waiting.
    pub deadline: Duration,
    /// Whether it may wait for a slot. Otherwise it is rejected if none is free.
    pub may_wait: bool,
    /// Whether another target could take it.
    pub has_alternative: bool,
}

/// An action that the queue requires of its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send the request to the target.
    Start {
        /// The id of the request.
        id: u64,
        /// How long it has waited in the queue.
        waited: Duration,
    },
    /// Fetch the body of a waiting request that starts soon.
    Prefetch {
        /// The id of the request.
        id: u64,
    },
    /// Tell the caller's host that the request will not run.
    Reject {
        /// The id of the request.
        id: u64,
        /// Why it is rejected.
        reason: Reason,
        /// The time after which a slot is expected to be free.
        retry: Duration,
    },
}

/// The reason why a request is rejected or could not be sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// No slot is free, and the request may not wait for one.
    Full,
    /// The request would not be answered in time, or the queue is full.
    Late,
    /// The request waited until it could no longer meet its deadline.
    Expired,
    /// The target is draining and accepts no requests.
    Draining,
    /// The target does not hold the key of the request.
    NotHolder,
    /// The host runs another target, or another run of the same one.
    NotTarget,
    /// The target does not respond, or its host cannot connect to it.
    Down,
    /// The target itself rejected the request.
    Shed,
    /// The host of the target cannot be reached.
    Unreachable,
    /// No target is available for the request.
    NoTarget,
    /// The target would get more requests than the limit that it names.
    Limited,
}

impl Reason {
    /// Returns the name of the reason in logs and metrics.
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
            Self::Limited => "limited",
        }
    }
}

/// How a request that was sent to the target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The target answered it.
    Done,
    /// The target did not run it: it rejected the request or could not be
    /// reached.
    Shed,
    /// The connection failed, or the answer was invalid.
    Broken,
    /// The caller stopped waiting, or the deadline passed.
    Cancelled,
}

/// The load of a target, which its host reports with each answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The number of requests that may run at the same time.
    pub limit: u32,
    /// The moving average of the execution time of a request.
    pub mean: Duration,
    /// How long the next request would wait for the limit that the target names.
    pub limit_wait: Duration,
    /// What the target last said of itself; `None` if its host does not know it yet.
    pub notice: Option<Notice>,
}

/// The position of a waiting request in the queue: nested requests come first,
/// then the order is by priority and by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    independent: bool,
    priority: u32,
    number: u64,
}

/// A request in the queue.
#[derive(Debug)]
struct Waiting {
    arrival: Arrival,
    since: Duration,
    /// Whether its body was requested with [`Effect::Prefetch`].
    prefetched: bool,
}

/// A request that was sent to the target.
#[derive(Debug)]
struct Running {
    kind: u64,
    since: Duration,
}

/// Decides which requests run at a target, which wait and which are rejected.
///
/// At most as many requests run as the target has slots. A request that would
/// wait too long to meet its objective is rejected on arrival, so that its
/// caller can try another target at once.
#[derive(Debug)]
pub struct Queue {
    slots: u32,
    /// The arrival number of the next waiting request.
    next_number: u64,
    nesting: Nesting,
    /// The waiting requests in the order in which they start.
    waiting: BTreeMap<Position, Waiting>,
    /// The running requests, by id.
    running: HashMap<u64, Running>,
    /// The moving average of the execution time of each kind of work, in
    /// seconds.
    kind_means_s: HashMap<u64, f64>,
    /// The same over all kinds, in seconds.
    mean_s: f64,
    /// The moving average of the time between two completions while all slots
    /// are in use, in seconds.
    completion_interval_s: f64,
    /// When the last request completed, if all slots were in use before and
    /// after it.
    last_completion: Option<Duration>,
    /// What the target last said of itself, if it is known.
    notice: Option<Notice>,
    throttle: Throttle,
}

impl Queue {
    /// Creates a queue for a target that runs `slots` requests at the same time.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            next_number: 0,
            nesting: Nesting::default(),
            waiting: BTreeMap::new(),
            running: HashMap::new(),
            kind_means_s: HashMap::new(),
            mean_s: DEFAULT_MEAN.as_secs_f64(),
            completion_interval_s: 0.0,
            last_completion: None,
            notice: None,
            throttle: Throttle::default(),
        }
    }

    /// Sets the number of requests that the target runs at the same time.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Sets what the target last said of itself; `None` if it is not known.
    pub fn set_notice(&mut self, now: Duration, notice: Option<Notice>) {
        self.notice = notice;
        let rate_limit = notice.and_then(|notice| notice.rate_limit);
        self.throttle.set_rate(now, rate_limit);
    }

    /// Returns the load of the target at `now`.
    #[must_use]
    pub fn load(&self, now: Duration) -> Load {
        Load {
            running: saturating_u32(self.running.len()),
            waiting: saturating_u32(self.waiting.len()),
            limit: self.capacity(),
            mean: Duration::from_secs_f64(self.mean_s),
            limit_wait: self.throttle.wait(now, self.waiting.len()),
            notice: self.notice,
        }
    }

    /// Returns the mean time of a request, or `None` before any was measured.
    #[must_use]
    pub fn measured_mean(&self) -> Option<Duration> {
        (!self.kind_means_s.is_empty()).then(|| Duration::from_secs_f64(self.mean_s))
    }

    /// Returns whether no request runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Starts, queues or rejects a request that arrives at `now`.
    pub fn arrive(&mut self, now: Duration, arrival: Arrival, effects: &mut Vec<Effect>) {
        self.expire(now, effects);
        let id = arrival.id;
        let nested = self.nesting.record(arrival.kind, &arrival.caller_pool);
        let has_slot = self.running.len() < self.capacity() as usize;
        if has_slot && self.waiting.is_empty() && self.throttle.try_take(now) {
            let kind = arrival.kind;
            self.running.insert(id, Running { kind, since: now });
            effects.push(Effect::Start {
                id,
                waited: Duration::ZERO,
            });
            return;
        }
        let position = Position {
            independent: !nested,
            priority: arrival.priority,
            number: self.next_number,
        };
        self.next_number += 1;
        let slot_wait = self.expected_wait(now, position);
        let ahead = self.waiting.range(..position).count();
        let limit_wait = self.throttle.wait(now, ahead);
        let wait = slot_wait.max(limit_wait);
        let is_limited = limit_wait > slot_wait;
        let mut work = self.mean_of(arrival.kind);
        if is_limited {
            work = work.mul_f64(LIMITED_WORK_RATIO);
        }
        let is_full = self.waiting.len() >= self.capacity() as usize * MAX_WAITING_PER_SLOT;
        // Rejecting a nested request fails the request that waits for it, and
        // the work already done for that one is lost.
        let end = if nested {
            arrival.deadline
        } else {
            arrival.objective.min(arrival.deadline)
        };
        let left = arrival.objective.saturating_sub(now);
        let must_be_short = !nested || (is_limited && arrival.has_alternative);
        let reason = if !arrival.may_wait {
            Some(if has_slot {
                Reason::Limited
            } else {
                Reason::Full
            })
        } else if (must_be_short && wait > left.mul_f64(MAX_WAIT_RATIO))
            || (!nested && is_full)
            || now + wait + work > end
        {
            Some(if is_limited {
                Reason::Limited
            } else {
                Reason::Late
            })
        } else {
            None
        };
        if let Some(reason) = reason {
            // A request that may not wait is offered to another target next.
            let retry = if is_limited && arrival.may_wait {
                self.throttle.plan_return(now, wait)
            } else {
                wait
            };
            let retry = retry.max(MIN_RETRY_AFTER);
            effects.push(Effect::Reject { id, reason, retry });
            return;
        }
        let since = now;
        let prefetched = false;
        let waiting = Waiting {
            arrival,
            since,
            prefetched,
        };
        self.waiting.insert(position, waiting);
        self.prefetch(effects);
    }

    /// Returns whether a kind of work is nested: sent by a target as part of
    /// another request that it is running.
    #[must_use]
    pub fn is_nested(&self, kind: u64) -> bool {
        self.nesting.is_nested(kind)
    }

    /// Requests the bodies of the first waiting requests.
    fn prefetch(&mut self, effects: &mut Vec<Effect>) {
        let first = self.waiting.values_mut().take(PREFETCH_COUNT);
        for waiting in first.filter(|waiting| !waiting.prefetched) {
            waiting.prefetched = true;
            let id = waiting.arrival.id;
            effects.push(Effect::Prefetch { id });
        }
    }

    /// Records that a running request has ended, and starts waiting ones.
    pub fn finish(
        &mut self,
        now: Duration,
        id: u64,
        completion: Completion,
        effects: &mut Vec<Effect>,
    ) {
        let was_full = self.running.len() >= self.capacity() as usize;
        if let Some(running) = self.running.remove(&id) {
            self.record_time(now, &running, completion);
        }
        if let Some(last) = self
            .last_completion
            .take()
            .filter(|_| completion != Completion::Shed)
        {
            let interval = now.saturating_sub(last).as_secs_f64();
            self.completion_interval_s += (interval - self.completion_interval_s) * MEAN_GAIN;
        }
        self.start_waiting(now, effects);
        // The time to the next completion counts only if no slot is free until
        // then.
        if was_full && self.running.len() >= self.capacity() as usize {
            self.last_completion = Some(now);
        }
    }

    /// Adds the execution time of a request to the means. A request that was cut
    /// off would have taken longer, so its time counts only if it raises the
    /// mean.
    fn record_time(&mut self, now: Duration, running: &Running, completion: Completion) {
        let time = now.saturating_sub(running.since).as_secs_f64();
        let known = self
            .kind_means_s
            .get(&running.kind)
            .copied()
            .unwrap_or(self.mean_s);
        let counts = match completion {
            Completion::Done => true,
            Completion::Broken | Completion::Cancelled => time > known,
            Completion::Shed => false,
        };
        if counts {
            let mean = self.kind_means_s.entry(running.kind).or_insert(time);
            *mean += (time - *mean) * MEAN_GAIN;
            self.mean_s += (time - self.mean_s) * MEAN_GAIN;
        }
    }

    /// Removes a request whose caller no longer waits. Returns whether it was in
    /// the queue.
    pub fn cancel(&mut self, id: u64) -> bool {
        let position = self
            .waiting
            .iter()
            .find(|(_, waiting)| waiting.arrival.id == id)
            .map(|(position, _)| *position);
        position.is_some_and(|position| self.waiting.remove(&position).is_some())
    }

    /// Rejects all waiting requests.
    pub fn reject_all(&mut self, reason: Reason, effects: &mut Vec<Effect>) {
        for (_, waiting) in std::mem::take(&mut self.waiting) {
            effects.push(Effect::Reject {
                id: waiting.arrival.id,
                reason,
                retry: MIN_RETRY_AFTER,
            });
        }
    }

    /// Rejects waiting requests that can no longer be answered before their
    /// deadline, also because the limit of the target lets others start before them.
    fn expire(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let mut late = Vec::new();
        let mut ahead = 0;
        for (position, waiting) in &self.waiting {
            let work = self.mean_of(waiting.arrival.kind).mul_f64(0.5);
            let start = now.saturating_add(self.throttle.wait(now, ahead));
            if start + work > waiting.arrival.deadline {
                late.push(*position);
            } else {
                ahead += 1;
            }
        }
        for position in late {
            if let Some(waiting) = self.waiting.remove(&position) {
                effects.push(Effect::Reject {
                    id: waiting.arrival.id,
                    reason: Reason::Expired,
                    retry: MIN_RETRY_AFTER,
                });
            }
        }
    }

    /// Returns the time until the limit of the target lets the next waiting request
    /// start; `None` if no request waits for it.
    #[must_use]
    pub fn limit_wait(&self, now: Duration) -> Option<Duration> {
        let has_slot = self.running.len() < self.capacity() as usize;
        (has_slot && !self.waiting.is_empty()).then(|| self.throttle.wait(now, 0))
    }

    /// Starts waiting requests while slots are free and the limit of the target
    /// allows it. Call it about every 50 ms while requests wait, and when the time of
    /// [`Queue::limit_wait`] has passed.
    pub fn start_waiting(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        self.expire(now, effects);
        while !self.waiting.is_empty()
            && self.running.len() < self.capacity() as usize
            && self.throttle.try_take(now)
        {
            let Some(waiting) = self
                .next_to_start(now)
                .and_then(|position| self.waiting.remove(&position))
            else {
                break;
            };
            let Arrival { id, kind, .. } = waiting.arrival;
            self.running.insert(id, Running { kind, since: now });
            let waited = now.saturating_sub(waiting.since);
            effects.push(Effect::Start { id, waited });
        }
        self.prefetch(effects);
    }

    /// Returns the request to start next: the first one in order that is nested
    /// or can still meet its objective, or the first one if none can.
    fn next_to_start(&self, now: Duration) -> Option<Position> {
        let is_timely = |position: &Position, waiting: &Waiting| {
            let arrival = &waiting.arrival;
            !position.independent || now + self.mean_of(arrival.kind) <= arrival.objective
        };
        let timely = self
            .waiting
            .iter()
            .find(|(position, waiting)| is_timely(position, waiting));
        let (position, _) = timely.or_else(|| self.waiting.first_key_value())?;
        Some(*position)
    }

    /// Returns how long a request at a position is expected to wait.
    fn expected_wait(&self, now: Duration, position: Position) -> Duration {
        let ahead = self.waiting.range(..position);
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
        let slots = f64::from(self.capacity());
        // The next slot is free when the first of the running requests ends.
        let planned = work / slots + left / slots / (slots + 1.0);
        // The completion rate shows sooner than the means if the target has
        // become slower.
        let ahead = f64::from(saturating_u32(self.waiting.range(..position).count())) + 1.0;
        let paced = ahead * self.completion_interval_s;
        Duration::from_secs_f64(planned.max(paced))
    }

    /// Returns the mean time of a kind of work, or that of all kinds if the kind
    /// was not measured yet.
    fn mean_of(&self, kind: u64) -> Duration {
        Duration::from_secs_f64(self.kind_means_s.get(&kind).copied().unwrap_or(self.mean_s))
    }

    fn capacity(&self) -> u32 {
        self.slots
    }
}

fn saturating_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
