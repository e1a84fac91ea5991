//! The adaptive concurrency limit of the target.
//!
//! The target's state passes served and shed requests and load reports to
//! [`Limit`]; the router dispatches while fewer requests run than it allows.

use std::time::Duration;

use crate::{Capacity, backoff::Backoff, job::Job, knee::Knee};

/// The least number of answers in a round, so that the concurrency used in the
/// round has enough samples to be distinguished from neighbouring levels.
const ROUND_ANSWERS: u32 = 48;

/// The lowest and highest number of rounds between two probes. The number
/// starts at 1, doubles after each probe that changes nothing, and returns to 1
/// after each change of the limit, so that probes of a stable limit cost little
/// throughput.
const PROBE_INTERVAL_ROUNDS: [u32; 2] = [1, 64];

/// The factor by which each round reduces the weight of earlier samples.
const ROUND_DECAY: f64 = 0.99;

/// Earlier service times are dropped when the limit delayed no request for this
/// time. They may come from other kinds of work: compared with service times
/// under load, those of cheap single requests made it look as if requests
/// queued inside the target, and the limit fell to 1 to 9 of 12 slots.
const SAMPLE_TIMEOUT: Duration = Duration::from_secs(1);

/// With samples of this weight at or below half of the limit, a downward probe
/// is unnecessary.
const KNOWN_WEIGHT: f64 = 48.0;

/// A concurrency limit that starts at the announced slots and moves to the knee
/// of the latency curve, which is estimated from the service times.
///
/// While the limit delays requests, short probes at half and at twice the limit
/// sample service times at other levels of concurrency. A round is the number
/// of answers after which the limit is reconsidered.
#[derive(Debug)]
pub(crate) struct Limit {
    /// The announced slots.
    slots: u32,
    /// The highest limit.
    ceiling: u32,
    /// The limit without probes, cold start, reports and backoff.
    value: u32,
    knee: Knee,
    /// When the limit last delayed a request.
    last_binding: Option<Duration>,
    /// Answers until the end of the current round.
    answers_left: u32,
    /// Rounds until the next probe.
    rounds_left: u32,
    /// Rounds between two probes.
    probe_interval: u32,
    /// The limit during the current probe.
    probe: Option<u32>,
    /// Whether the last probe raised the limit.
    probe_up: bool,
    backoff: Option<Backoff>,
    /// The start and the duration of the cold start.
    cold_start: Option<(Duration, Duration)>,
    /// A cap from a load report, and when it ends.
    report_cap: Option<(u32, Duration)>,
}

impl Limit {
    pub(crate) fn new(capacity: &Capacity, now: Duration) -> Self {
        Self {
            slots: capacity.slots(),
            ceiling: capacity.ceiling(),
            value: capacity.slots(),
            knee: Knee::new(capacity.ceiling()),
            last_binding: None,
            answers_left: ROUND_ANSWERS,
            rounds_left: PROBE_INTERVAL_ROUNDS[0],
            probe_interval: PROBE_INTERVAL_ROUNDS[0],
            probe: None,
            // The first probe goes down, because announcing too many slots
            // does more harm than announcing too few.
            probe_up: true,
            backoff: None,
            cold_start: Some((now, capacity.cold_start())).filter(|(_, time)| !time.is_zero()),
            report_cap: None,
        }
    }

    /// Returns the current limit while `long` long requests run. It can be zero
    /// only during the pause after a shed request.
    pub(crate) fn current(&self, now: Duration, long: u32) -> u32 {
        let mut limit = self.active_probe(long).unwrap_or(self.value);
        if let Some(cap) = self.cold_cap(now) {
            limit = limit.min(cap);
        }
        if let Some((cap, _)) = self.report_cap.filter(|(_, until)| now < *until) {
            limit = limit.min(cap);
        }
        limit = limit.max(1);
        match &self.backoff {
            Some(backoff) => limit.min(truncate(backoff.cap(now))),
            None => limit,
        }
    }

    /// Returns the limit of the current probe, unless long requests run. With
    /// these in the slots, a probe at half the limit could leave no slot for
    /// short requests until the long ones end, and a probe at twice the limit
    /// would let short requests wait behind them inside the target.
    fn active_probe(&self, long: u32) -> Option<u32> {
        self.probe.filter(|_| long == 0)
    }

    /// Returns how long the limit stays at zero after a shed request.
    pub(crate) fn pause(&self, now: Duration) -> Duration {
        let backoff = self.backoff.as_ref().filter(|_| self.current(now, 0) == 0);
        backoff.map_or(Duration::ZERO, |backoff| {
            backoff.until().saturating_sub(now)
        })
    }

    /// Returns when the limit next rises without an event.
    pub(crate) fn next_rise(&self, now: Duration) -> Option<Duration> {
        let backoff = self.backoff.as_ref().map(Backoff::until);
        let cold_start = self.cold_start.and_then(|(from, time)| {
            let reached = self.cold_cap(now)?.max(1);
            Some(from + time * (reached + 1) / self.slots)
        });
        let report_cap = self.report_cap.map(|(_, until)| until);
        let times = [backoff, cold_start, report_cap].into_iter().flatten();
        times.filter(|at| *at > now).min()
    }

    /// Records that a request of either class was served.
    pub(crate) fn served(&mut self, now: Duration) {
        if let Some(backoff) = &mut self.backoff {
            backoff.served(now);
            if backoff.cap(now) >= f64::from(self.value) && now >= backoff.until() {
                self.backoff = None;
            }
        }
        if self
            .cold_start
            .is_some_and(|(from, time)| now >= from + time)
        {
            self.cold_start = None;
        }
    }

    /// Records the service time of a short request that was served. `long` is
    /// the number of long requests that run; `binding` says whether short
    /// requests wait for a slot.
    pub(crate) fn observe(&mut self, now: Duration, job: &Job, long: u32, binding: bool) {
        if binding {
            if self.last_binding.is_none_or(|at| now > at + SAMPLE_TIMEOUT) {
                self.knee.decay(0.0);
            }
            self.last_binding = Some(now);
        }
        let busy = now.saturating_sub(job.started);
        // Uses the concurrency at dispatch, because the concurrency at the end
        // depends on how long the request took, which would bias the samples.
        self.knee.observe(job.concurrency, busy.as_secs_f64());
        if !binding {
            // A probe must not outlast the load during which it started. At
            // twice the limit, the next burst would queue inside the target.
            self.probe = None;
            return;
        }
        // While long requests run, short ones can wait for other reasons than
        // the limit, so these answers don't count towards the round.
        let wanted = self.probe.unwrap_or(self.value);
        if long == 0 && self.current(now, 0) == wanted {
            self.answers_left = self.answers_left.saturating_sub(1);
            if self.answers_left == 0 {
                self.end_round();
            }
        }
    }

    /// Records that the target shed a request while `running` others ran.
    pub(crate) fn shed(&mut self, now: Duration, running: u32, retry_after: Option<Duration>) {
        let running = running.min(self.current(now, 1).saturating_sub(1));
        match &mut self.backoff {
            Some(backoff) => backoff.shed(now, running, retry_after),
            None => self.backoff = Some(Backoff::new(now, running, retry_after)),
        }
    }

    /// Caps the limit at `running` until the time `until`, because a reliable
    /// report says that requests queue inside the target while it works on
    /// `running` of them.
    pub(crate) fn report(&mut self, running: u32, until: Duration) {
        self.report_cap = Some((running.max(1), until));
    }

    /// Whether the service times contradict a report that the target works on
    /// only `running` requests at once.
    pub(crate) fn contradicts(&self, running: u32) -> bool {
        running < self.value && self.knee.contradicts(running.max(1))
    }

    /// Moves the limit towards the estimated knee, or starts a probe if one is
    /// due.
    fn end_round(&mut self) {
        self.knee.decay(ROUND_DECAY);
        self.probe = None;
        if let Some(knee) = self.knee.propose(self.value, self.slots) {
            // Changes the limit by at most a quarter in one round, so that a
            // short disturbance does not halve it.
            let lowest = self.value - (self.value / 4).max(1).min(self.value - 1);
            let highest = (self.value + (self.value / 4).max(1)).min(self.ceiling);
            let value = knee.clamp(lowest, highest);
            if value != self.value {
                self.value = value;
                self.probe_interval = PROBE_INTERVAL_ROUNDS[0];
                self.rounds_left = self.probe_interval;
            }
        } else if self.rounds_left == 0 {
            self.probe_interval = (self.probe_interval * 2).min(PROBE_INTERVAL_ROUNDS[1]);
            self.rounds_left = self.probe_interval;
        }
        if self.rounds_left > 0 {
            self.rounds_left -= 1;
            if self.rounds_left == 0 {
                self.start_probe();
            }
        }
        self.answers_left = ROUND_ANSWERS.max(4 * self.probe.unwrap_or(self.value));
    }

    fn start_probe(&mut self) {
        self.probe_up = !self.probe_up;
        let half = self.value / 2;
        let more = (self.value * 2).min(self.ceiling);
        let skip_down = half == 0 || self.knee.weight_up_to(half) >= KNOWN_WEIGHT;
        let probe = if self.probe_up || skip_down {
            more
        } else {
            half
        };
        self.probe = Some(probe).filter(|probe| *probe != self.value);
    }

    /// The cap during the cold start, which rises linearly to the slots.
    fn cold_cap(&self, now: Duration) -> Option<u32> {
        let (from, time) = self.cold_start?;
        let elapsed = now.saturating_sub(from);
        (elapsed < time).then(|| {
            let part = elapsed.as_secs_f64() / time.as_secs_f64();
            truncate(f64::from(self.slots) * part)
        })
    }
}

/// The integer part of a small non-negative number.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates and the value is not negative"
)]
const fn truncate(value: f64) -> u32 {
    value as u32
}
