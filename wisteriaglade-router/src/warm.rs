//! Connections that are kept open ahead of demand.

use std::time::Duration;

/// The time after which a past peak counts half.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Connections beyond the recent peak.
const SPARE: f64 = 1.25;

/// Follows the recent peak of concurrency. The number rises at a bounded rate
/// and decays slowly.
#[derive(Debug)]
pub(crate) struct Warm {
    rate: u32,
    most: u32,
    peak: f64,
    connections: u32,
    /// When the peak was last updated, and when a connection was last added.
    at: Duration,
    grown: Duration,
}

impl Warm {
    pub(crate) const fn new(now: Duration, rate: u32, most: u32) -> Self {
        Self {
            rate,
            most,
            peak: 0.0,
            connections: 0,
            at: now,
            grown: now,
        }
    }

    /// Records the present demand, which is running and waiting work within
    /// the limit. Returns the number of connections when it has changed.
    pub(crate) fn update(&mut self, now: Duration, demand: u32) -> Option<u32> {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        self.peak *= (-elapsed / HALF_LIFE.as_secs_f64()).exp2();
        self.peak = self.peak.max(f64::from(demand));
        let wanted = self.wanted();
        let before = self.connections;
        if wanted <= before {
            self.grown = now;
            self.connections = wanted;
        } else {
            let gap = self.gap();
            while self.connections < wanted && self.grown + gap <= now {
                self.connections += 1;
                self.grown += gap;
            }
        }
        (self.connections != before).then_some(self.connections)
    }

    /// When the number can rise again.
    pub(crate) fn next(&self) -> Option<Duration> {
        (self.wanted() > self.connections).then(|| self.grown + self.gap())
    }

    fn gap(&self) -> Duration {
        Duration::from_secs(1) / self.rate.max(1)
    }

    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates and the value is not negative"
    )]
    fn wanted(&self) -> u32 {
        ((self.peak * SPARE).ceil() as u32).clamp(1, self.most)
    }
}
