//! The router's state for the announced target.

use std::time::Duration;

use crate::{
    Capacity, Class, Config, Finish, Policy, Report, detector::Detector, estimator::Estimator,
    job::Job, limit::Limit, prewarm::Prewarm, reliability::Reliability, running::Running,
};

/// How long a report caps the limit. Targets send several reports in this time.
const REPORT_LIFETIME: Duration = Duration::from_millis(500);

/// The announced target, with its concurrency limit, its health and the number
/// of its connections.
#[derive(Debug)]
pub(crate) struct Target {
    /// Whether the policy is [`Policy::Adaptive`].
    adaptive: bool,
    /// When the target was announced.
    announced: Duration,
    capacity: Capacity,
    limit: Limit,
    detector: Detector,
    reliability: Reliability,
    prewarm: Prewarm,
}

impl Target {
    pub(crate) fn new(now: Duration, capacity: Capacity, config: &Config) -> Self {
        Self {
            adaptive: config.policy == Policy::Adaptive,
            announced: now,
            limit: Limit::new(&capacity, now),
            detector: Detector::new(config.min_silence, now + capacity.cold_start()),
            reliability: Reliability::new(now),
            prewarm: Prewarm::new(now, config.prewarm_rate, capacity.connections()),
            capacity,
        }
    }

    /// Returns when the target was announced.
    pub(crate) const fn announced(&self) -> Duration {
        self.announced
    }

    pub(crate) const fn capacity(&self) -> &Capacity {
        &self.capacity
    }

    pub(crate) const fn adaptive(&self) -> bool {
        self.adaptive
    }

    /// Returns the current concurrency limit while `long` long requests run.
    pub(crate) fn limit(&self, now: Duration, long: u32) -> u32 {
        if self.adaptive {
            self.limit.current(now, long)
        } else {
            self.capacity.slots()
        }
    }

    /// Returns the concurrency limit of long requests: half of the current
    /// limit or of the announced slots, whichever is lower, and half of that
    /// again while short requests queue. It is at least 1.
    pub(crate) fn long_limit(&self, now: Duration, long: u32, short_queued: bool) -> u32 {
        let limit = self.limit(now, long);
        if !self.adaptive {
            return limit;
        }
        let most = limit.min(self.capacity.slots()) / 2;
        (if short_queued { most / 2 } else { most }).max(1)
    }

    /// Returns how long the limit stays at zero after a shed request.
    pub(crate) fn pause(&self, now: Duration) -> Duration {
        self.limit.pause(now)
    }

    pub(crate) const fn suspect(&self) -> bool {
        self.detector.suspect()
    }

    /// Whether the health of the target permits a dispatch: always, unless it
    /// is suspect and the next trial is not due.
    pub(crate) fn may_dispatch(&self, now: Duration) -> bool {
        self.detector.may_dispatch(now)
    }

    /// Records a dispatch, after which `running` requests run.
    pub(crate) fn dispatched(&mut self, now: Duration, running: u32) {
        self.detector.dispatched(now);
        self.reliability.observe(now, running);
    }

    /// Records the end of a request, which the router has already removed from
    /// `running`. `binding` says whether short requests wait for a slot.
    /// Returns whether a suspect target has recovered.
    pub(crate) fn finished(
        &mut self,
        now: Duration,
        job: &Job,
        result: Finish,
        estimator: &Estimator,
        running: &Running,
        binding: bool,
    ) -> bool {
        let total = running.total();
        self.reliability.observe(now, total);
        match result {
            Finish::Served => {
                self.limit.served(now);
                if job.waiting.class == Class::Short {
                    let long = running.count(Class::Long);
                    self.limit.observe(now, job, long, binding);
                }
            }
            Finish::Shed { retry_after } => self.limit.shed(now, total, retry_after),
            Finish::Failed | Finish::Cancelled => {}
        }
        self.detector
            .finished(now, job, result, estimator, total == 0)
            && self.adaptive
    }

    /// Checks a load report against the observations, and caps the limit if the
    /// reports are reliable and this one shows a queue inside the target.
    pub(crate) fn report(&mut self, now: Duration, report: Report, running: u32) {
        self.reliability.observe(now, running);
        let contradicted = report.queued > 0 && self.limit.contradicts(report.running);
        let responsive = self.detector.is_responsive(now);
        self.reliability.report(report, responsive, contradicted);
        if self.reliability.is_sufficient() && report.queued > 0 {
            self.limit.report(report.running, now + REPORT_LIFETIME);
        }
    }

    /// Marks the target as suspect if it does not respond, and returns whether
    /// it was not suspect before.
    pub(crate) fn check(
        &mut self,
        now: Duration,
        running: &Running,
        estimator: &Estimator,
    ) -> bool {
        self.adaptive
            && self.detector.check(
                now,
                running,
                estimator,
                self.reliability.reports_unhealthy(),
            )
    }

    /// Updates the number of connections to keep open for `demand` running and
    /// waiting requests, and returns it if it has changed.
    pub(crate) fn prewarm(&mut self, now: Duration, demand: usize) -> Option<u32> {
        let limit = self.limit(now, 1).max(1);
        let demand = u32::try_from(demand).unwrap_or(u32::MAX).min(limit);
        self.prewarm.update(now, demand).filter(|_| self.adaptive)
    }

    /// Returns when the state next changes without an event.
    pub(crate) fn next_change(
        &self,
        now: Duration,
        running: &Running,
        estimator: &Estimator,
        queued: bool,
    ) -> Option<Duration> {
        if !self.adaptive {
            return None;
        }
        let times = [
            self.limit.next_rise(now).filter(|_| queued),
            self.prewarm.next_rise(),
            self.detector
                .suspect_at(running, estimator, self.reliability.reports_unhealthy()),
        ];
        times.into_iter().flatten().min()
    }
}
