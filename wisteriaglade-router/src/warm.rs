//! The number of connections to the target that are opened ahead of demand.

use std::time::Duration;

/// The half-life of the recent peak.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// The ratio of the number of connections to the recent peak.
const SPARE: f64 = 1.25;

/// The number of connections to keep open. It follows the recent peak of
/// concurrency, which decays with [`HALF_LIFE`], and rises at a limited rate.
#[derive(Debug)]
pub(crate) struct Warm {
    /// The most connections to open per second.
    rate: u32,
    /// The most connections that the target accepts.
    most: u32,
    /// The decaying peak of concurrency.
    peak: f64,
    connections: u32,
    /// When the peak was last updated.
    at: Duration,
    /// When the number of connections was last raised, or did not have to rise.
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

    /// Records the current demand, which is the number of running and waiting
    /// requests up to the limit. Returns the number of connections if it has
    /// changed.
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

    /// Returns when the number of connections next rises.
    pub(crate) fn next(&self) -> Option<Duration> {
        (self.wanted() > self.connections).then(|| self.grown + self.gap())
    }

    /// The least time between two new connections.
    fn gap(&self) -> Duration {
        Duration::from_secs(1) / self.rate.max(1)
    }

    /// The number of connections for the current peak.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates and the value is not negative"
    )]
    fn wanted(&self) -> u32 {
        ((self.peak * SPARE).ceil() as u32).clamp(1, self.most)
    }
}
