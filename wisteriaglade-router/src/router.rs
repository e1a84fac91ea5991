//! The state machine that turns events into effects.
//!
//! [`Router`] owns the queue, the running requests and the state of the target.
//! The driver of a node calls [`Router::step`] for every event and executes the
//! effects.

mod admission;

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::{Name, Request};

use crate::{
    Capacity, Class, Config, Effect, Event, Finish, Policy, Reason, Report, Summary, Usage,
    congestion::Congestion, estimator::Estimator, job::Job, queue::Queue, running::Running,
    statistics::Statistics, target::Target, throttle::Throttle, waiting::Waiting,
};

/// The retry-after time of refusals whose cause is short, such as a move of the
/// shard, which takes less than a second.
const SHORT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// After a short request had to wait, long requests may not use the slots
/// reserved for short work for this many short service times. At 0, with a
/// constant short service time, the 99th percentile latency of short work was
/// 2.05 times the one without long work.
const RESERVE_FACTOR: u32 = 3;

/// Schedules the requests to the target beside one node.
///
/// Every event is accepted in every state: there are no errors and no panics.
/// [`Event::Finish`] and [`Event::Depart`] for an unknown request are ignored,
/// and so is a second [`Event::Arrive`] for a request that waits or runs.
///
/// # Examples
///
/// See the [crate documentation](crate).
#[derive(Debug)]
pub struct Router {
    config: Config,
    now: Duration,
    target: Option<Target>,
    queue: Queue,
    running: Running,
    estimator: Estimator,
    statistics: Statistics,
    congestion: Congestion,
    /// When a short request last had to wait for a slot.
    last_short_wait: Option<Duration>,
    /// When the target started to drain.
    draining: Option<Duration>,
    /// The rate limit that the target names.
    throttle: Throttle,
}

impl Router {
    /// Creates a router without a target. It refuses every request until
    /// [`Event::Target`] announces a target.
    #[must_use]
    pub fn new(config: Config) -> Self {
        let fair = config.policy == Policy::Adaptive;
        Self {
            now: Duration::ZERO,
            target: None,
            queue: Queue::new(fair, config.max_callers_per_member),
            running: Running::default(),
            estimator: Estimator::new(),
            statistics: Statistics::new(config.max_members),
            congestion: Congestion::default(),
            last_short_wait: None,
            draining: None,
            throttle: Throttle::default(),
            config,
        }
    }

    /// Handles one event and appends the resulting effects to `effects` in the
    /// order in which the driver must execute them.
    ///
    /// `now` is the time since an arbitrary fixed moment and must not decrease
    /// between calls. Every arrival gets exactly one [`Effect::Dispatch`] or
    /// [`Effect::Refuse`], in this or a later call.
    pub fn step(&mut self, now: Duration, event: Event, effects: &mut Vec<Effect>) {
        self.now = now;
        match event {
            Event::Arrive(arrival) => self.arrive(now, arrival, effects),
            Event::Finish { request, result } => self.finish(now, request, result, effects),
            Event::Depart { request } => self.depart(request, effects),
            Event::Report(report) => self.report(now, report),
            Event::Tick => {}
            Event::Target(capacity) => self.announce(now, capacity, effects),
            Event::RateLimit(rate) => self.throttle.set_rate(now, rate),
            Event::Drain => self.draining = self.draining.or(Some(now)),
        }
        self.expire(now, effects);
        if self.adaptive() {
            self.reclassify(now);
            self.congestion.update(now, self.queue.oldest_short());
            self.check_health(now, effects);
        }
        self.dispatch(now, effects);
        if self.queue.waiting(Class::Short) > 0 {
            self.last_short_wait = Some(now);
        }
        self.prewarm(now, effects);
    }

    /// Returns whether the rate limit of the target allows a running request to be sent
    /// to it once more at `now`, and counts the copy if so.
    pub fn start_copy(&mut self, now: Duration) -> bool {
        self.throttle.try_take(now)
    }

    /// Returns when the driver must pass the next [`Event::Tick`], unless
    /// another event comes first. `None` means that no tick is needed.
    #[must_use]
    pub fn wake(&self) -> Option<Duration> {
        let queued = self.queue.len() > 0;
        let target = self.target.as_ref();
        let times = [
            self.queue.next_expiry(),
            self.running.next_deadline(),
            self.next_reclassification(),
            self.draining
                .filter(|_| queued)
                .map(|at| at + self.config.drain_grace),
            target.and_then(|t| t.next_change(self.now, &self.running, &self.estimator, queued)),
            (queued && self.running.total() < self.limit(self.now))
                .then(|| self.throttle.wait(self.now, 0))
                .filter(|wait| !wait.is_zero())
                .map(|wait| self.now.saturating_add(wait)),
            self.reserved_until()
                .filter(|at| *at > self.now && self.queue.waiting(Class::Long) > 0),
        ];
        times.into_iter().flatten().min()
    }

    /// Returns the state after the last step, for metrics and load reports.
    #[must_use]
    pub fn summary(&self) -> Summary {
        Summary {
            queued_short: self.queue.waiting(Class::Short),
            queued_long: self.queue.waiting(Class::Long),
            running_short: self.running.count(Class::Short),
            running_long: self.running.count(Class::Long),
            limit: self.limit(self.now),
            limit_long: self.long_limit(self.now),
            service_time: self.estimator.short_service_time(),
            standing_queue: self.congestion.has_standing_queue(self.now),
            suspect: self.target.as_ref().is_some_and(Target::suspect),
            rate_limit: self.rate_limit(),
        }
    }

    /// Returns the rate limit that is applied, in requests per second; `None` if the
    /// target names none.
    #[must_use]
    pub fn rate_limit(&self) -> Option<f64> {
        self.throttle.rate()
    }

    /// Returns the statistics of each member, keyed by its name. At most
    /// [`Config::max_members`] members have an entry of their own; the requests
    /// of all others are counted under `other`.
    #[must_use]
    pub const fn members(&self) -> &BTreeMap<Name, Usage> {
        self.statistics.members()
    }

    fn finish(
        &mut self,
        now: Duration,
        request: Request,
        result: Finish,
        effects: &mut Vec<Effect>,
    ) {
        let Some(job) = self.running.remove(request) else {
            return;
        };
        let busy = now.saturating_sub(job.started);
        let usage = self.statistics.entry(&job.waiting.arrival.member);
        usage.busy += busy;
        match result {
            Finish::Served => usage.served += 1,
            Finish::Shed { .. } => usage.shed += 1,
            Finish::Failed => usage.failed += 1,
            Finish::Cancelled => usage.cancelled += 1,
        }
        match result {
            Finish::Served => self.estimator.observe(&job, busy),
            Finish::Cancelled => self.estimator.observe_cancelled(&job, busy),
            Finish::Shed { .. } | Finish::Failed => {}
        }
        self.queue.correct_charge(&job.waiting, job.charged, busy);
        let binding = self.queue.waiting(Class::Short) > 0;
        let (estimator, running) = (&self.estimator, &self.running);
        // A request that was dispatched to an earlier target must not change
        // the state of the current one.
        let target = self.target.as_mut();
        let target = target.filter(|t| t.announced() <= job.started);
        let recovered =
            target.is_some_and(|t| t.finished(now, &job, result, estimator, running, binding));
        if recovered {
            effects.push(Effect::Recovered);
        }
    }

    fn depart(&mut self, request: Request, effects: &mut Vec<Effect>) {
        if let Some(waiting) = self.queue.remove(request) {
            self.refuse(&waiting, Reason::Departed, None, effects);
        } else if let Some(job) = self.running.get_mut(request)
            && !job.cancelled
        {
            job.cancelled = true;
            let reason = Reason::Departed;
            effects.push(Effect::Cancel { request, reason });
        }
    }

    fn report(&mut self, now: Duration, report: Report) {
        let running = self.running.total();
        if let Some(target) = self.target.as_mut().filter(|t| t.adaptive()) {
            target.report(now, report, running);
        }
    }

    fn announce(&mut self, now: Duration, capacity: Option<Capacity>, effects: &mut Vec<Effect>) {
        let Some(capacity) = capacity else {
            self.draining = None;
            self.target = None;
            self.throttle.set_rate(now, None);
            return self.refuse_all(Reason::Absent, Some(SHORT_RETRY_AFTER), effects);
        };
        if let Some(target) = &self.target {
            if target.suspect() {
                effects.push(Effect::Recovered);
            } else if *target.capacity() == capacity {
                // A repeated announcement must not reset the learned limit.
                return;
            }
        }
        self.target = Some(Target::new(now, capacity, &self.config));
    }

    /// Marks a target that does not respond as suspect and refuses all waiting
    /// requests.
    fn check_health(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let target = self.target.as_mut();
        if target.is_some_and(|t| t.check(now, &self.running, &self.estimator)) {
            effects.push(Effect::Suspect);
            self.refuse_all(Reason::Unresponsive, Some(SHORT_RETRY_AFTER), effects);
        }
    }

    fn prewarm(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let demand = self.running.total() as usize + self.queue.len();
        let target = self.target.as_mut();
        if let Some(connections) = target.and_then(|t| t.prewarm(now, demand)) {
            effects.push(Effect::Prewarm { connections });
        }
    }

    /// Counts short requests that have run for too long as long ones, and
    /// charges their members the expected service time of long work.
    fn reclassify(&mut self, now: Duration) {
        let Some(limit) = self.estimator.long_threshold() else {
            return;
        };
        let long = self.estimator.service_time(Class::Long);
        for request in self.running.reclassify(now, limit) {
            if let Some(job) = self.running.get_mut(request) {
                self.estimator.observe_overrun(&job.waiting.arrival, limit);
                self.queue.correct_charge(&job.waiting, job.charged, long);
                job.charged = long;
            }
        }
    }

    /// Refuses waiting requests that can no longer meet their deadline, and all
    /// of them after the grace period of a drain. Cancels running requests
    /// whose deadline has passed.
    fn expire(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if self.grace_elapsed(now) {
            self.refuse_all(Reason::Draining, Some(SHORT_RETRY_AFTER), effects);
        }
        while let Some(waiting) = self.queue.pop_expired(now) {
            self.refuse(&waiting, Reason::Expired, Some(SHORT_RETRY_AFTER), effects);
        }
        for request in self.running.cancel_overdue(now) {
            let reason = Reason::Expired;
            effects.push(Effect::Cancel { request, reason });
        }
    }

    fn dispatch(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let cost = [Class::Short, Class::Long].map(|class| self.estimator.service_time(class));
        while self.running.total() < self.limit(now) && self.throttle.wait(now, 0).is_zero() {
            let allowed = [true, self.long_allowed(now)];
            let newest_first = self.newest_first(now);
            let Some(waiting) = self.queue.pop(allowed, cost, newest_first) else {
                return;
            };
            let late = waiting.arrival.deadline < now + cost[waiting.class.index()];
            if late && !waiting.expected.is_zero() {
                // The expected service time has risen since the arrival, so
                // the deadline can no longer be met.
                self.refuse(&waiting, Reason::Expired, Some(SHORT_RETRY_AFTER), effects);
                continue;
            }
            self.start(now, waiting, cost, effects);
        }
    }

    fn start(
        &mut self,
        now: Duration,
        waiting: Waiting,
        cost: [Duration; 2],
        effects: &mut Vec<Effect>,
    ) {
        let wait = now.saturating_sub(waiting.arrived);
        self.statistics
            .entry(&waiting.arrival.member)
            .dispatched_after(wait);
        let (request, class) = (waiting.request(), waiting.class);
        self.running.insert(Job {
            class,
            started: now,
            charged: cost[class.index()],
            concurrency: self.running.total() + 1,
            cancelled: false,
            waiting,
        });
        // The caller has checked that the limit allows it.
        let _ = self.throttle.try_take(now);
        let running = self.running.total();
        if let Some(target) = &mut self.target {
            target.dispatched(now, running);
        }
        effects.push(Effect::Dispatch { request, class });
    }

    fn refuse_all(
        &mut self,
        reason: Reason,
        retry_after: Option<Duration>,
        effects: &mut Vec<Effect>,
    ) {
        while let Some(waiting) = self.queue.pop_any() {
            self.refuse(&waiting, reason, retry_after, effects);
        }
    }

    fn refuse(
        &mut self,
        waiting: &Waiting,
        reason: Reason,
        retry_after: Option<Duration>,
        effects: &mut Vec<Effect>,
    ) {
        self.statistics.entry(&waiting.arrival.member).refused[reason.index()] += 1;
        effects.push(Effect::Refuse {
            request: waiting.request(),
            reason,
            retry_after,
        });
    }

    /// Whether the grace period of a draining target has passed.
    fn grace_elapsed(&self, now: Duration) -> bool {
        self.draining
            .is_some_and(|at| now >= at + self.config.drain_grace)
    }

    fn limit(&self, now: Duration) -> u32 {
        let long = self.running.count(Class::Long);
        let target = self.target.as_ref();
        target.map_or(0, |target| target.limit(now, long))
    }

    fn long_limit(&self, now: Duration) -> u32 {
        let reserved = self.reserved_until().is_some_and(|at| now < at);
        let short_queued = reserved || self.queue.waiting(Class::Short) > 0;
        let long = self.running.count(Class::Long);
        let target = self.target.as_ref();
        target.map_or(0, |target| target.long_limit(now, long, short_queued))
    }

    /// Returns until when slots are reserved for short work after a short
    /// request had to wait. Long requests may use them afterwards.
    fn reserved_until(&self) -> Option<Duration> {
        let reservation = self.estimator.service_time(Class::Short) * RESERVE_FACTOR;
        self.last_short_wait.map(|at| at + reservation)
    }

    fn long_allowed(&self, now: Duration) -> bool {
        self.running.count(Class::Long) < self.long_limit(now)
    }

    fn next_reclassification(&self) -> Option<Duration> {
        let limit = self
            .estimator
            .long_threshold()
            .filter(|_| self.adaptive())?;
        self.running.next_reclassification(limit)
    }

    fn newest_first(&self, now: Duration) -> bool {
        self.config.newest_first && self.congestion.has_standing_queue(now)
    }

    const fn adaptive(&self) -> bool {
        matches!(self.config.policy, Policy::Adaptive)
    }
}
