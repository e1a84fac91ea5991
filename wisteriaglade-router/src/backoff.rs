//! Backoff after the target shed a request.

use std::time::Duration;

/// The pause when the target sends no retry-after time with the refusal.
const DEFAULT_PAUSE: Duration = Duration::from_millis(100);

/// The longest pause that a target can ask for. Longer values are treated as
/// errors and reduced, since the keys of the target are unavailable meanwhile.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// A cap on the concurrency: the number of requests that were still running
/// when the target shed one.
///
/// The cap is constant during the pause that the target asked for. Afterwards
/// it rises by one each time as many requests as the cap were served.
#[derive(Debug)]
pub(crate) struct Backoff {
    cap: f64,
    /// The end of the pause.
    until: Duration,
}

impl Backoff {
    pub(crate) fn new(now: Duration, running: u32, retry_after: Option<Duration>) -> Self {
        Self {
            cap: f64::from(running),
            until: now + retry_after.unwrap_or(DEFAULT_PAUSE).min(MAX_PAUSE),
        }
    }

    /// Records that another request was shed.
    pub(crate) fn shed(&mut self, now: Duration, running: u32, retry_after: Option<Duration>) {
        let next = Self::new(now, running, retry_after);
        self.cap = self.cap.min(next.cap);
        self.until = self.until.max(next.until);
    }

    /// Records that a request was served, which raises the cap after the pause.
    pub(crate) fn served(&mut self, now: Duration) {
        if now >= self.until {
            let cap = self.cap.max(1.0);
            self.cap = cap + 1.0 / cap;
        }
    }

    /// Returns the cap. After the pause it is at least 1, so that a request can
    /// test whether the target accepts work again.
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
