//! Detection of a target that does not respond.

use std::time::Duration;

use crate::{Class, Finish, job::Job, lengths::Lengths, running::Running};

/// Consecutive failures after which a target is suspected.
const FAILURES: u32 = 5;

/// Short requests that must be late together: fewer can all be stragglers.
const TOGETHER: usize = 3;

/// The expected service times that short requests may take, together or one
/// alone, without any answer of the target.
const SHORT: u32 = 10;
const ALONE: u32 = 40;

/// The same for long requests, in expected service times and in the longest
/// recent ones; the larger counts. Long work varies widely, and with 4 expected
/// times the last one of many was taken for a silent target.
const LONG: u32 = 20;
const LONGEST: u32 = 4;

/// The least service time that is assumed until enough answers are known. With
/// 50 ms, three long requests at the start were taken for a silent target.
const UNKNOWN: Duration = Duration::from_millis(100);

/// Watches whether the target responds. Only answers count: the target's own
/// reports can say that it is healthy while it answers nothing.
#[derive(Debug)]
pub(crate) struct Watch {
    /// The shortest silence that leads to suspicion.
    silence: Duration,
    /// Silence counts from here on: a cold target answers late.
    from: Duration,
    /// The last answer, or the first dispatch after an idle period.
    quiet: Option<Duration>,
    failures: u32,
    suspect: bool,
    /// When the next trial request may be dispatched.
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

    /// Whether the target answered within the last `time`, or is idle.
    pub(crate) fn answering(&self, now: Duration) -> bool {
        let silent = self.quiet.is_some_and(|at| now >= at + self.silence);
        !self.suspect && self.failures == 0 && !silent
    }

    /// Whether a request may try a suspected target.
    pub(crate) fn try_now(&self, now: Duration) -> bool {
        !self.suspect || now >= self.trial
    }

    pub(crate) fn dispatched(&mut self, now: Duration) {
        self.quiet = self.quiet.or(Some(now));
        self.trial = now + self.silence;
    }

    /// A request ended. Returns whether a suspected target has recovered.
    pub(crate) fn ended(
        &mut self,
        now: Duration,
        job: &Job,
        result: Finish,
        lengths: &Lengths,
        idle: bool,
    ) -> bool {
        let answered = matches!(result, Finish::Served | Finish::Shed { .. });
        let patience = lengths.expected(job.waiting.class) * SHORT;
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

    /// Returns whether the target has just become suspect. `sick` says that a
    /// trusted report calls it unhealthy, which halves the patience.
    pub(crate) fn check(
        &mut self,
        now: Duration,
        running: &Running,
        lengths: &Lengths,
        sick: bool,
    ) -> bool {
        let silent = self
            .due(running, lengths, sick)
            .is_some_and(|due| now >= due);
        if self.suspect || !(silent || self.failures >= FAILURES) {
            return false;
        }
        self.suspect = true;
        self.trial = now + self.silence;
        true
    }

    /// When the target becomes suspect without an answer.
    pub(crate) fn due(&self, running: &Running, lengths: &Lengths, sick: bool) -> Option<Duration> {
        let quiet = self.quiet.filter(|_| !self.suspect)?;
        let patience = |time: Duration| if sick { time / 2 } else { time };
        let mut short = lengths.service().unwrap_or(UNKNOWN);
        if lengths.threshold().is_none() {
            short = short.max(UNKNOWN);
        }
        let long = lengths.expected(Class::Long).max(short) * LONG;
        let long = long.max(lengths.longest() * LONGEST);
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
