//! The limit after the target shed a request.

use std::time::Duration;

/// The pause when the target does not say how long it wants to be spared.
const PAUSE: Duration = Duration::from_millis(100);

/// The longest pause that a target can ask for. A larger value is taken for a
/// mistake: it would keep the keys of the target unavailable for long.
const LONGEST: Duration = Duration::from_secs(30);

/// A cap on the concurrency: what the target was still running when it shed.
/// It holds for the time that the target asked for, then rises by one for
/// each round of answers.
#[derive(Debug)]
pub(crate) struct Brake {
    cap: f64,
    until: Duration,
}

impl Brake {
    pub(crate) fn new(now: Duration, running: u32, retry_after: Option<Duration>) -> Self {
        Self {
            cap: f64::from(running),
            until: now + retry_after.unwrap_or(PAUSE).min(LONGEST),
        }
    }

    /// Another request was shed.
    pub(crate) fn shed(&mut self, now: Duration, running: u32, retry_after: Option<Duration>) {
        let next = Self::new(now, running, retry_after);
        self.cap = self.cap.min(next.cap);
        self.until = self.until.max(next.until);
    }

    /// A request was served.
    pub(crate) fn served(&mut self, now: Duration) {
        if now >= self.until {
            let cap = self.cap.max(1.0);
            self.cap = cap + 1.0 / cap;
        }
    }

    /// The cap. After the pause at least one request can try the target.
    pub(crate) fn cap(&self, now: Duration) -> f64 {
        if now >= self.until {
            self.cap.max(1.0)
        } else {
            self.cap
        }
    }

    pub(crate) const fn until(&self) -> Duration {
        self.until
    }
}
