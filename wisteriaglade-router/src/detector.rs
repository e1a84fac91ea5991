//! Detection of a target that does not respond.
//!
//! The target's state passes dispatches and ends of requests to [`Detector`]
//! and checks it after each event.

use std::time::Duration;

use crate::{Class, Finish, estimator::Estimator, job::Job, running::Running};

/// The number of consecutive failures that makes a target suspect.
const MAX_FAILURES: u32 = 5;

/// The number of short requests that must be overdue at once for the shorter
/// timeout. With fewer, all of them could be stragglers.
const GROUP_SIZE: usize = 3;

/// The timeout without any answer while at least [`GROUP_SIZE`] short requests
/// run, as a multiple of the expected short service time.
const GROUP_TIMEOUT_FACTOR: u32 = 10;

/// The same timeout while fewer short requests run.
const SINGLE_TIMEOUT_FACTOR: u32 = 40;

/// The timeout without any answer while long requests run, as a multiple of the
/// expected long service time. The larger of this and the one from
/// [`LONGEST_TIMEOUT_FACTOR`] applies. Long service times vary widely: at a
/// multiple of 4, the last of many long requests made a working target suspect.
const LONG_TIMEOUT_FACTOR: u32 = 20;

/// The same timeout as a multiple of the longest recent long service time.
const LONGEST_TIMEOUT_FACTOR: u32 = 4;

/// The lowest short service time that is assumed until enough answers are
/// known. At 50 ms, three long requests right after the start made a working
/// target suspect.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(100);

/// A failure detector for the target. It uses answers only, because the
/// target's own reports can say that it is healthy while it answers nothing.
#[derive(Debug)]
pub(crate) struct Detector {
    /// The shortest time without an answer that makes the target suspect.
    min_silence: Duration,
    /// The end of the cold start, before which late answers are normal.
    active_from: Duration,
    /// The time of the last answer, or of the first dispatch after an idle
    /// period. `None` while no request runs.
    silent_since: Option<Duration>,
    /// Consecutive failures.
    failures: u32,
    suspect: bool,
    /// When the next trial request may be dispatched to a suspect target.
    next_trial: Duration,
}

impl Detector {
    pub(crate) const fn new(min_silence: Duration, active_from: Duration) -> Self {
        Self {
            min_silence,
            active_from,
            silent_since: None,
            failures: 0,
            suspect: false,
            next_trial: Duration::ZERO,
        }
    }

    pub(crate) const fn suspect(&self) -> bool {
        self.suspect
    }

    /// Whether the target is not suspect, its last request did not fail, and it
    /// answered recently or is idle.
    pub(crate) fn is_responsive(&self, now: Duration) -> bool {
        let silent = self
            .silent_since
            .is_some_and(|at| now >= at + self.min_silence);
        !self.suspect && self.failures == 0 && !silent
    }

    /// Whether a request may be dispatched: always, unless the target is
    /// suspect and the next trial is not due.
    pub(crate) fn may_dispatch(&self, now: Duration) -> bool {
        !self.suspect || now >= self.next_trial
    }

    pub(crate) fn dispatched(&mut self, now: Duration) {
        self.silent_since = self.silent_since.or(Some(now));
        self.next_trial = now + self.min_silence;
    }

    /// Records the end of a request. `idle` says that no other request runs.
    /// Returns whether a suspect target has recovered.
    pub(crate) fn finished(
        &mut self,
        now: Duration,
        job: &Job,
        result: Finish,
        estimator: &Estimator,
        idle: bool,
    ) -> bool {
        let answered = matches!(result, Finish::Served | Finish::Shed { .. });
        let timeout = estimator.service_time(job.waiting.class) * GROUP_TIMEOUT_FACTOR;
        let late = now.saturating_sub(job.started) >= timeout.max(MIN_SERVICE_TIME);
        if answered {
            self.failures = 0;
        } else if result == Finish::Failed || late {
            self.failures = self.failures.saturating_add(1);
        }
        if idle {
            self.silent_since = None;
        } else if answered {
            self.silent_since = Some(now);
        }
        let recovered = answered && self.suspect;
        self.suspect &= !answered;
        recovered
    }

    /// Marks the target as suspect if its timeout has passed or it failed too
    /// often, and returns whether it was not suspect before. `unhealthy` says
    /// that a reliable report calls the target unhealthy, which halves the
    /// timeouts.
    pub(crate) fn check(
        &mut self,
        now: Duration,
        running: &Running,
        estimator: &Estimator,
        unhealthy: bool,
    ) -> bool {
        let silent = self
            .suspect_at(running, estimator, unhealthy)
            .is_some_and(|due| now >= due);
        if self.suspect || !(silent || self.failures >= MAX_FAILURES) {
            return false;
        }
        self.suspect = true;
        self.next_trial = now + self.min_silence;
        true
    }

    /// Returns when the target becomes suspect if it gives no answer until
    /// then.
    pub(crate) fn suspect_at(
        &self,
        running: &Running,
        estimator: &Estimator,
        unhealthy: bool,
    ) -> Option<Duration> {
        let silent_since = self.silent_since.filter(|_| !self.suspect)?;
        let timeout = |time: Duration| if unhealthy { time / 2 } else { time };
        let mut short = estimator.short_service_time().unwrap_or(MIN_SERVICE_TIME);
        if estimator.long_threshold().is_none() {
            short = short.max(MIN_SERVICE_TIME);
        }
        let long = estimator.service_time(Class::Long).max(short) * LONG_TIMEOUT_FACTOR;
        let long = long.max(estimator.longest_long() * LONGEST_TIMEOUT_FACTOR);
        let (mut short_starts, mut first_long_start) = (Vec::new(), None::<Duration>);
        for job in running.jobs() {
            if job.waiting.class == Class::Short {
                short_starts.push(job.started);
            } else {
                first_long_start =
                    Some(first_long_start.map_or(job.started, |at| at.min(job.started)));
            }
        }
        short_starts.sort_unstable();
        let group = short_starts.get(GROUP_SIZE - 1).map(|at| {
            let time = (short * GROUP_TIMEOUT_FACTOR).max(self.min_silence);
            silent_since.max(*at) + timeout(time)
        });
        let single = short_starts.first().map(|at| {
            let time = (short * SINGLE_TIMEOUT_FACTOR)
                .max(long)
                .max(self.min_silence * 2);
            silent_since.max(*at) + timeout(time)
        });
        let long = first_long_start.map(|at| {
            let time = long.max(self.min_silence * 2);
            silent_since.max(at) + timeout(time)
        });
        let due = [group, single, long].into_iter().flatten().min();
        due.map(|due| due.max(self.active_from))
    }
}
