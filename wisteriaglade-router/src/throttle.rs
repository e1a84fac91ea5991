//! The rate limit of a target.
//!
//! [`Throttle`] is independent of [`Router`](crate::Router), which has one for the
//! target of its node.

use std::time::Duration;

/// The lowest rate that is applied, in requests per second. A target with a lower
/// limit, or one of 0, gets a request in four seconds, as only an answer tells that
/// the limit has ended.
pub const MIN_RATE: f64 = 0.25;

/// The most requests that may start at once, as a part of those that the limit
/// allows in a second, but at least 1.
const BURST_S: f64 = 0.5;

/// The longest time ahead for which returns of refused callers are planned. Few
/// callers wait longer.
const MAX_RETURN: Duration = Duration::from_secs(5);

/// Limits the rate at which requests start at a target that names a limit.
///
/// A token bucket: each start takes a token, and tokens come back at the rate of the
/// limit. It reads no clock: times are those that the caller passes, which must not
/// decrease.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use wisteriaglade_router::throttle::Throttle;
///
/// let mut throttle = Throttle::default();
/// assert!(throttle.try_take(Duration::ZERO), "no limit");
///
/// throttle.set_rate(Duration::ZERO, Some(2.0));
/// assert!(throttle.try_take(Duration::ZERO));
/// assert!(!throttle.try_take(Duration::ZERO));
/// assert_eq!(throttle.wait(Duration::ZERO, 0), Duration::from_millis(500));
/// assert!(throttle.try_take(Duration::from_millis(500)));
/// ```
#[derive(Debug, Default)]
pub struct Throttle {
    /// The limit in requests per second; `None` if the target names none.
    rate: Option<f64>,
    tokens: f64,
    /// The time for which `tokens` is.
    updated_at: Duration,
    /// When the next caller that is refused may return.
    next_return: Duration,
}

impl Throttle {
    /// Sets the limit in requests per second, or ends it. Under a new limit one request
    /// may start at once. A negative rate or one that is no number counts as 0.
    pub fn set_rate(&mut self, now: Duration, rate: Option<f64>) {
        self.refill(now);
        let rate = rate.map(|rate| rate.max(MIN_RATE));
        if self.rate.is_none() {
            self.tokens = 1.0;
        }
        self.rate = rate;
        self.tokens = self.tokens.min(self.burst());
    }

    /// Returns the limit that is applied, in requests per second.
    #[must_use]
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Takes the start of a request. Returns `false` if the limit allows none now.
    #[must_use]
    pub fn try_take(&mut self, now: Duration) -> bool {
        if self.rate.is_none() {
            return true;
        }
        self.refill(now);
        let is_free = self.tokens >= 1.0;
        if is_free {
            self.tokens -= 1.0;
        }
        is_free
    }

    /// Returns how long a request waits that starts after `ahead` others.
    #[must_use]
    pub fn wait(&self, now: Duration, ahead: usize) -> Duration {
        let Some(rate) = self.rate else {
            return Duration::ZERO;
        };
        let ahead = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX));
        let missing = ahead + 1.0 - self.tokens_at(now, rate);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX)
    }

    /// Returns after what time a refused caller should come back: not before `wait`
    /// is over, and each caller later than the one before, at the rate of the limit.
    pub fn plan_return(&mut self, now: Duration, wait: Duration) -> Duration {
        let Some(rate) = self.rate else {
            return wait;
        };
        let at = self.next_return.max(now + wait.min(MAX_RETURN));
        let at = at.min(now + MAX_RETURN);
        self.next_return = at + Duration::from_secs_f64(1.0 / rate);
        at.saturating_sub(now)
    }

    fn refill(&mut self, now: Duration) {
        if let Some(rate) = self.rate {
            self.tokens = self.tokens_at(now, rate);
        }
        self.updated_at = now;
    }

    fn tokens_at(&self, now: Duration, rate: f64) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        elapsed.mul_add(rate, self.tokens).min(self.burst())
    }

    /// Returns the most requests that may start at once.
    fn burst(&self) -> f64 {
        self.rate.map_or(1.0, |rate| (rate * BURST_S).max(1.0))
    }
}
