//! Detection of a target that does not respond.
//!
//! The target's state passes dispatches and ends of requests to [`Watch`] and
//! checks it after each event.

use std::time::Duration;

use crate::{Class, Finish, estimator::Estimator, job::Job, running::Running};

/// The number of consecutive failures that makes a target suspect.
const FAILURES: u32 = 5;

/// The number of short requests that must be overdue at once for the shorter
/// timeout. With fewer, all of them could be stragglers.
const TOGETHER: usize = 3;

/// The timeout without any answer while at least [`TOGETHER`] short requests
/// run, as a multiple of the expected short service time.
const SHORT: u32 = 10;

/// The same timeout while fewer short requests run.
const ALONE: u32 = 40;

/// The timeout without any answer while long requests run, as a multiple of the
/// expected long service time. The larger of this and the one from [`LONGEST`]
/// applies. Long service times vary widely: at a multiple of 4, the last of
/// many long requests made a working target suspect.
const LONG: u32 = 20;

/// The same timeout as a multiple of the longest recent long service time.
const LONGEST: u32 = 4;

/// The lowest short service time that is assumed until enough answers are
/// known. At 50 ms, three long requests right after the start made a working
/// target suspect.
const UNKNOWN: Duration = Duration::from_millis(100);

/// A failure detector for the target. It uses answers only, because the
/// target's own reports can say that it is healthy while it answers nothing.
#[derive(Debug)]
pub(crate) struct Watch {
    /// The shortest time without an answer that makes the target suspect.
    silence: Duration,
    /// The end of the cold start, before which late answers are normal.
    from: Duration,
    /// The time of the last answer, or of the first dispatch after an idle
    /// period. `None` while no request runs.
    quiet: Option<Duration>,
    /// Consecutive failures.
    failures: u32,
    suspect: bool,
    /// When the next trial request may be dispatched to a suspect target.
    trial: Duration,
}

impl Watch {
    pub(crate) const fn new(silence: Duration, from: Duration) -> Self {
        Self {
            silence,
            from,
            quiet: None,
            failures: 0,
            suspect: false,
            trial: Duration::ZERO,
        }
    }

    pub(crate) const fn suspect(&self) -> bool {
        self.suspect
    }

    /// Whether the target is not suspect, its last request did not fail, and it
    /// answered recently or is idle.
    pub(crate) fn answering(&self, now: Duration) -> bool {
        let silent = self.quiet.is_some_and(|at| now >= at + self.silence);
        !self.suspect && self.failures == 0 && !silent
    }

    /// Whether a request may be dispatched: always, unless the target is
    /// suspect and the next trial is not due.
    pub(crate) fn try_now(&self, now: Duration) -> bool {
        !self.suspect || now >= self.trial
    }

    pub(crate) fn dispatched(&mut self, now: Duration) {
        self.quiet = self.quiet.or(Some(now));
        self.trial = now + self.silence;
    }

    /// Records the end of a request. `idle` says that no other request runs.
    /// Returns whether a suspect target has recovered.
    pub(crate) fn ended(
        &mut self,
        now: Duration,
        job: &Job,
        result: Finish,
        estimator: &Estimator,
        idle: bool,
    ) -> bool {
        let answered = matches!(result, Finish::Served | Finish::Shed { .. });
        let patience = estimator.service_time(job.waiting.class) * SHORT;
        let late = now.saturating_sub(job.started) >= patience.max(UNKNOWN);
        if answered {
            self.failures = 0;
        } else if result == Finish::Failed || late {
            self.failures = self.failures.saturating_add(1);
        }
        if idle {
            self.quiet = None;
        } else if answered {
            self.quiet = Some(now);
        }
        let recovered = answered && self.suspect;
        self.suspect &= !answered;
        recovered
    }

    /// Marks the target as suspect if its timeout has passed or it failed too
    /// often, and returns whether it was not suspect before. `sick` says that a
    /// reliable report calls the target unhealthy, which halves the timeouts.
    pub(crate) fn check(
        &mut self,
        now: Duration,
        running: &Running,
        estimator: &Estimator,
        sick: bool,
    ) -> bool {
        let silent = self
            .due(running, estimator, sick)
            .is_some_and(|due| now >= due);
        if self.suspect || !(silent || self.failures >= FAILURES) {
            return false;
        }
        self.suspect = true;
        self.trial = now + self.silence;
        true
    }

    /// Returns when the target becomes suspect if it gives no answer until then.
    pub(crate) fn due(
        &self,
        running: &Running,
        estimator: &Estimator,
        sick: bool,
    ) -> Option<Duration> {
        let quiet = self.quiet.filter(|_| !self.suspect)?;
        let patience = |time: Duration| if sick { time / 2 } else { time };
        let mut short = estimator.short_service_time().unwrap_or(UNKNOWN);
        if estimator.long_threshold().is_none() {
            short = short.max(UNKNOWN);
        }
        let long = estimator.service_time(Class::Long).max(short) * LONG;
        let long = long.max(estimator.longest_long() * LONGEST);
        let (mut starts, mut first_long) = (Vec::new(), None::<Duration>);
        for job in running.jobs() {
            if job.waiting.class == Class::Short {
                starts.push(job.started);
            } else {
                first_long = Some(first_long.map_or(job.started, |at| at.min(job.started)));
            }
        }
        starts.sort_unstable();
        let together = starts.get(TOGETHER - 1).map(|at| {
            let time = (short * SHORT).max(self.silence);
            quiet.max(*at) + patience(time)
        });
        let alone = starts.first().map(|at| {
            let time = (short * ALONE).max(long).max(self.silence * 2);
            quiet.max(*at) + patience(time)
        });
        let long = first_long.map(|at| {
            let time = long.max(self.silence * 2);
            quiet.max(at) + patience(time)
        });
        let due = [together, alone, long].into_iter().flatten().min();
        due.map(|due| due.max(self.from))
    }
}
