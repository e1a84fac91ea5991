//! The time that the reducers see.

use std::time::{Duration, Instant};

/// Monotonic time since the process started.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the process started.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The moment of the tokio clock for a time of this clock.
    pub(crate) fn instant(&self, at: Duration) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + at)
    }
}
