//! The monotonic clock of a process, used for leases and deadlines.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock that starts at zero and advances while the host is suspended.
///
/// `Instant` stops during a suspension. A lease measured with it would still seem
/// valid afterwards, although its shards have been moved to another owner.
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
    /// Creates a clock whose zero is now.
    #[must_use]
    pub fn new() -> Self {
        Self { start: boot_time() }
    }

    /// Time since the clock was created.
    #[must_use]
    pub fn now(&self) -> Duration {
        boot_time().saturating_sub(self.start)
    }

    /// Converts a time of this clock to an instant of the tokio clock. A time in the
    /// past gives the current instant.
    #[must_use]
    pub fn instant(&self, at: Duration) -> tokio::time::Instant {
        tokio::time::Instant::now() + at.saturating_sub(self.now())
    }
}

/// Time since the host started, including suspensions (`CLOCK_BOOTTIME`).
fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
