//! The concurrency limit of the target.

use std::time::Duration;

use crate::{Capacity, brake::Brake, job::Job, knee::Knee};

/// Answers of a round, at least. The level that a round tries then has enough
/// samples to be told from its neighbours.
const ROUND: u32 = 48;

/// Rounds between two probes: one at first and after each change, then twice
/// as many each time, so that a settled limit costs little throughput.
const PROBES: [u32; 2] = [1, 64];

/// How much weight older service times keep after a round.
const FADE: f64 = 0.99;

/// After this time in which the limit held nothing back, the earlier service
/// times are dropped. They come from other work, perhaps, and a comparison with
/// those under load took cheap single requests for a sign that the target
/// queues: the limit fell to 1 to 9 of 12 slots.
const QUIET: Duration = Duration::from_secs(1);

/// Samples that make a probe of a lower concurrency unnecessary.
const KNOWN: f64 = 48.0;

/// The concurrency limit. It starts at the announced slots and moves to the
/// knee that the service times show. As long as the limit is what holds work
/// back, short probes of half and of twice the limit provide
/// service times at other levels of concurrency.
#[derive(Debug)]
pub(crate) struct Limit {
    slots: u32,
    ceiling: u32,
    value: u32,
    knee: Knee,
    /// When the limit last held work back.
    bound: Option<Duration>,
    /// Answers that are still missing in this round.
    missing: u32,
    /// Rounds until the next probe, and the present number between probes.
    countdown: u32,
    period: u32,
    probe: Option<u32>,
    upward: bool,
    brake: Option<Brake>,
    cold: Option<(Duration, Duration)>,
    reported: Option<(u32, Duration)>,
}

impl Limit {
    pub(crate) fn new(capacity: &Capacity, now: Duration) -> Self {
        Self {
            slots: capacity.slots(),
            ceiling: capacity.ceiling(),
            value: capacity.slots(),
            knee: Knee::new(capacity.ceiling()),
            bound: None,
            missing: ROUND,
            countdown: PROBES[0],
            period: PROBES[0],
            probe: None,
            // The first probe goes down: too many announced slots harm more.
            upward: true,
            brake: None,
            cold: Some((now, capacity.cold_start())).filter(|(_, time)| !time.is_zero()),
            reported: None,
        }
    }

    /// The present limit while `long` long requests run. It is zero only while
    /// the target asked to be spared.
    pub(crate) fn get(&self, now: Duration, long: u32) -> u32 {
        let mut limit = self.probe(long).unwrap_or(self.value);
        if let Some(cap) = self.cold_cap(now) {
            limit = limit.min(cap);
        }
        if let Some((cap, _)) = self.reported.filter(|(_, until)| now < *until) {
            limit = limit.min(cap);
        }
        limit = limit.max(1);
        match &self.brake {
            Some(brake) => limit.min(whole(brake.cap(now))),
            None => limit,
        }
    }

    /// The limit of a probe that is in force. With long work in the slots, a
    /// probe of half of the limit would leave no slot to short work until the
    /// long work ends, and one of twice the limit would let short work wait
    /// behind it inside the target.
    fn probe(&self, long: u32) -> Option<u32> {
        self.probe.filter(|_| long == 0)
    }

    /// How long nothing may be dispatched.
    pub(crate) fn pause(&self, now: Duration) -> Duration {
        let brake = self.brake.as_ref().filter(|_| self.get(now, 0) == 0);
        brake.map_or(Duration::ZERO, |brake| brake.until().saturating_sub(now))
    }

    /// When the limit rises without an event.
    pub(crate) fn next(&self, now: Duration) -> Option<Duration> {
        let brake = self.brake.as_ref().map(Brake::until);
        let cold = self.cold.and_then(|(from, time)| {
            let reached = self.cold_cap(now)?.max(1);
            Some(from + time * (reached + 1) / self.slots)
        });
        let reported = self.reported.map(|(_, until)| until);
        let times = [brake, cold, reported].into_iter().flatten();
        times.filter(|at| *at > now).min()
    }

    /// Any request was served.
    pub(crate) fn served(&mut self, now: Duration) {
        if let Some(brake) = &mut self.brake {
            brake.served(now);
            if brake.cap(now) >= f64::from(self.value) && now >= brake.until() {
                self.brake = None;
            }
        }
        if self.cold.is_some_and(|(from, time)| now >= from + time) {
            self.cold = None;
        }
    }

    /// A short request was served while `long` long ones ran. `binding` says
    /// whether the limit held work back.
    pub(crate) fn learn(&mut self, now: Duration, job: &Job, long: u32, binding: bool) {
        if binding {
            if self.bound.is_none_or(|at| now > at + QUIET) {
                self.knee.fade(0.0);
            }
            self.bound = Some(now);
        }
        let busy = now.saturating_sub(job.started);
        // The concurrency at dispatch: the one at the end depends on how long
        // the request took, which would bias the service times.
        self.knee.observe(job.concurrency, busy.as_secs_f64());
        if !binding {
            // A probe must not outlast the load that started it: at twice the
            // limit, the next burst would wait inside the target.
            self.probe = None;
            return;
        }
        // With long work in the slots, short work can wait without the limit
        // being the reason.
        let wanted = self.probe.unwrap_or(self.value);
        if long == 0 && self.get(now, 0) == wanted {
            self.missing = self.missing.saturating_sub(1);
            if self.missing == 0 {
                self.end_round();
            }
        }
    }

    /// The target shed a request while it ran `running` others.
    pub(crate) fn shed(&mut self, now: Duration, running: u32, retry_after: Option<Duration>) {
        let running = running.min(self.get(now, 1).saturating_sub(1));
        match &mut self.brake {
            Some(brake) => brake.shed(now, running, retry_after),
            None => self.brake = Some(Brake::new(now, running, retry_after)),
        }
    }

    /// A trusted report says that the target queues while it runs `running`.
    pub(crate) fn report(&mut self, running: u32, until: Duration) {
        self.reported = Some((running.max(1), until));
    }

    /// Whether the service times contradict a target that runs only `running`
    /// requests at once.
    pub(crate) fn refutes(&self, running: u32) -> bool {
        running < self.value && self.knee.refutes(running.max(1))
    }

    fn end_round(&mut self) {
        self.knee.fade(FADE);
        self.probe = None;
        if let Some(knee) = self.knee.better(self.value, self.slots) {
            // A quarter at once: a short disturbance must not halve the limit.
            let lowest = self.value - (self.value / 4).max(1).min(self.value - 1);
            let highest = (self.value + (self.value / 4).max(1)).min(self.ceiling);
            let value = knee.clamp(lowest, highest);
            if value != self.value {
                self.value = value;
                self.period = PROBES[0];
                self.countdown = self.period;
            }
        } else if self.countdown == 0 {
            self.period = (self.period * 2).min(PROBES[1]);
            self.countdown = self.period;
        }
        if self.countdown > 0 {
            self.countdown -= 1;
            if self.countdown == 0 {
                self.start_probe();
            }
        }
        self.missing = ROUND.max(4 * self.probe.unwrap_or(self.value));
    }

    fn start_probe(&mut self) {
        self.upward = !self.upward;
        let half = self.value / 2;
        let more = (self.value * 2).min(self.ceiling);
        let down_known = half == 0 || self.knee.weight_up_to(half) >= KNOWN;
        let probe = if self.upward || down_known {
            more
        } else {
            half
        };
        self.probe = Some(probe).filter(|probe| *probe != self.value);
    }

    fn cold_cap(&self, now: Duration) -> Option<u32> {
        let (from, time) = self.cold?;
        let elapsed = now.saturating_sub(from);
        (elapsed < time).then(|| {
            let part = elapsed.as_secs_f64() / time.as_secs_f64();
            whole(f64::from(self.slots) * part)
        })
    }
}

/// The whole part of a small number that is not negative.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates and the value is not negative"
)]
const fn whole(value: f64) -> u32 {
    value as u32
}
