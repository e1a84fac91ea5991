//! What the router knows about its target.

use std::time::Duration;

use crate::{
    Capacity, Class, Config, Finish, Policy, Report, job::Job, lengths::Lengths, limit::Limit,
    running::Running, trust::Trust, warm::Warm, watch::Watch,
};

/// How long a report counts. Targets report several times as often.
const REPORT: Duration = Duration::from_millis(500);

/// An announced target: its limits, its health and its connections.
#[derive(Debug)]
pub(crate) struct Target {
    adaptive: bool,
    announced: Duration,
    capacity: Capacity,
    limit: Limit,
    watch: Watch,
    trust: Trust,
    warm: Warm,
}

impl Target {
    pub(crate) fn new(now: Duration, capacity: Capacity, config: &Config) -> Self {
        Self {
            adaptive: config.policy == Policy::Adaptive,
            announced: now,
            limit: Limit::new(&capacity, now),
            watch: Watch::new(config.silence, now + capacity.cold_start()),
            trust: Trust::new(now),
            warm: Warm::new(now, config.warm_rate, capacity.connections()),
            capacity,
        }
    }

    /// When the target was announced.
    pub(crate) const fn announced(&self) -> Duration {
        self.announced
    }

    pub(crate) const fn capacity(&self) -> &Capacity {
        &self.capacity
    }

    pub(crate) const fn adaptive(&self) -> bool {
        self.adaptive
    }

    /// The present concurrency limit while `long` long requests run.
    pub(crate) fn limit(&self, now: Duration, long: u32) -> u32 {
        if self.adaptive {
            self.limit.get(now, long)
        } else {
            self.capacity.slots()
        }
    }

    /// The most long requests that run at once. Short work keeps half of the
    /// slots, and half of the rest as well while it queues; one long request
    /// can always run.
    pub(crate) fn long_limit(&self, now: Duration, long: u32, short_queued: bool) -> u32 {
        let limit = self.limit(now, long);
        if !self.adaptive {
            return limit;
        }
        let most = limit.min(self.capacity.slots()) / 2;
        (if short_queued { most / 2 } else { most }).max(1)
    }

    /// How long nothing may be dispatched.
    pub(crate) fn pause(&self, now: Duration) -> Duration {
        self.limit.pause(now)
    }

    pub(crate) const fn suspect(&self) -> bool {
        self.watch.suspect()
    }

    /// Whether a new request may be dispatched as far as health goes.
    pub(crate) fn try_now(&self, now: Duration) -> bool {
        self.watch.try_now(now)
    }

    pub(crate) fn dispatched(&mut self, now: Duration, running: u32) {
        self.watch.dispatched(now);
        self.trust.observe(now, running);
    }

    /// A request ended and was removed from the running ones. Returns whether
    /// a suspected target has recovered.
    pub(crate) fn ended(
        &mut self,
        now: Duration,
        job: &Job,
        result: Finish,
        lengths: &Lengths,
        running: &Running,
        binding: bool,
    ) -> bool {
        let total = running.total();
        self.trust.observe(now, total);
        match result {
            Finish::Served => {
                self.limit.served(now);
                if job.waiting.class == Class::Short {
                    let long = running.count(Class::Long);
                    self.limit.learn(now, job, long, binding);
                }
            }
            Finish::Shed { retry_after } => self.limit.shed(now, total, retry_after),
            Finish::Failed | Finish::Cancelled => {}
        }
        self.watch.ended(now, job, result, lengths, total == 0) && self.adaptive
    }

    pub(crate) fn report(&mut self, now: Duration, report: Report, running: u32) {
        self.trust.observe(now, running);
        let refuted = report.queued > 0 && self.limit.refutes(report.running);
        let answering = self.watch.answering(now);
        self.trust.report(report, answering, refuted);
        if self.trust.enough() && report.queued > 0 {
            self.limit.report(report.running, now + REPORT);
        }
    }

    /// Returns whether the target has just become suspect.
    pub(crate) fn check(&mut self, now: Duration, running: &Running, lengths: &Lengths) -> bool {
        self.adaptive && self.watch.check(now, running, lengths, self.trust.sick())
    }

    /// The number of connections to keep when it has changed.
    pub(crate) fn warm(&mut self, now: Duration, demand: usize) -> Option<u32> {
        let limit = self.limit(now, 1).max(1);
        let demand = u32::try_from(demand).unwrap_or(u32::MAX).min(limit);
        self.warm.update(now, demand).filter(|_| self.adaptive)
    }

    /// When something changes without an event.
    pub(crate) fn next(
        &self,
        now: Duration,
        running: &Running,
        lengths: &Lengths,
        queued: bool,
    ) -> Option<Duration> {
        if !self.adaptive {
            return None;
        }
        let times = [
            self.limit.next(now).filter(|_| queued),
            self.warm.next(),
            self.watch.due(running, lengths, self.trust.sick()),
        ];
        times.into_iter().flatten().min()
    }
}
