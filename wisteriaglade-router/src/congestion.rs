//! Detection of congestion, that is, of a standing queue: one that does not
//! drain.

use std::time::Duration;

/// The fraction of the available time that the oldest request must have spent
/// in the queue, continuously for [`INTERVAL`]: one half. At a quarter, a queue
/// that would have drained in time was served newest first, and the slowest
/// answers of a load peak took 1.1 to 2.7 times as long as with first in, first
/// out.
const USED_FRACTION: (u32, u32) = (1, 2);

/// A burst that drains within this time is not a standing queue. It is the
/// interval of `CoDel` (Nichols and Jacobson, 2012).
const INTERVAL: Duration = Duration::from_millis(100);

/// Detects a standing queue (Nichols and Jacobson, 2012).
///
/// In a standing queue, oldest-first order would finish every request close to
/// its deadline, and one wrong estimate of a service time would make all of
/// them late. The router serves the newest requests first instead.
#[derive(Debug, Default)]
pub(crate) struct Congestion {
    /// Since when the oldest request has used more than the fraction
    /// [`USED_FRACTION`] of its time.
    delayed_since: Option<Duration>,
}

impl Congestion {
    /// Updates the state from the oldest waiting request: the time of its
    /// arrival and the last moment at which a dispatch can meet its deadline.
    pub(crate) fn update(&mut self, now: Duration, oldest: Option<(Duration, Duration)>) {
        let delayed = oldest.is_some_and(|(arrived, latest)| {
            let used = now.saturating_sub(arrived).saturating_mul(USED_FRACTION.1);
            used > latest
                .saturating_sub(arrived)
                .saturating_mul(USED_FRACTION.0)
        });
        self.delayed_since = if delayed {
            self.delayed_since.or(Some(now))
        } else {
            None
        };
    }

    /// Whether there is a standing queue.
    pub(crate) fn has_standing_queue(&self, now: Duration) -> bool {
        self.delayed_since.is_some_and(|at| now >= at + INTERVAL)
    }
}
