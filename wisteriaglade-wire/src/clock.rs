//! The clock of a process.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since the process started, on a clock that never runs backwards and
/// goes on while the host is suspended.
///
/// `Instant` stops during a suspension, so a lease would seem to be valid
/// after it although its shards have moved.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self { start: boot() }
    }

    /// Time since the process started.
    #[must_use]
    pub fn now(&self) -> Duration {
        boot().saturating_sub(self.start)
    }

    /// The moment of the tokio clock for a time of this clock.
    #[must_use]
    pub fn instant(&self, at: Duration) -> tokio::time::Instant {
        tokio::time::Instant::now() + at.saturating_sub(self.now())
    }
}

/// Time since the host started, with suspensions.
fn boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
