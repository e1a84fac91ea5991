//! The number of connections to the target that are opened ahead of demand.

use std::time::Duration;

/// The half-life of the recent peak.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// The ratio of the number of connections to the recent peak.
const HEADROOM_FACTOR: f64 = 1.25;

/// The number of connections to keep open. It follows the recent peak of
/// concurrency, which decays with [`HALF_LIFE`], and rises at a limited rate.
#[derive(Debug)]
pub(crate) struct Prewarm {
    /// The most connections to open per second.
    rate_per_second: u32,
    /// The most connections that the target accepts.
    max_connections: u32,
    /// The decaying peak of concurrency.
    peak: f64,
    connections: u32,
    /// When the peak was last updated.
    updated: Duration,
    /// When the number of connections was last raised, or did not have to rise.
    last_grown: Duration,
}

impl Prewarm {
    pub(crate) const fn new(now: Duration, rate_per_second: u32, max_connections: u32) -> Self {
        Self {
            rate_per_second,
            max_connections,
            peak: 0.0,
            connections: 0,
            updated: now,
            last_grown: now,
        }
    }

    /// Records the current demand, which is the number of running and waiting
    /// requests up to the limit. Returns the number of connections if it has
    /// changed.
    pub(crate) fn update(&mut self, now: Duration, demand: u32) -> Option<u32> {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = now;
        self.peak *= (-elapsed / HALF_LIFE.as_secs_f64()).exp2();
        self.peak = self.peak.max(f64::from(demand));
        let desired = self.desired();
        let before = self.connections;
        if desired <= before {
            self.last_grown = now;
            self.connections = desired;
        } else {
            let interval = self.interval();
            while self.connections < desired && self.last_grown + interval <= now {
                self.connections += 1;
                self.last_grown += interval;
            }
        }
        (self.connections != before).then_some(self.connections)
    }

    /// Returns when the number of connections next rises.
    pub(crate) fn next_rise(&self) -> Option<Duration> {
        (self.desired() > self.connections).then(|| self.last_grown + self.interval())
    }

    /// The least time between two new connections.
    fn interval(&self) -> Duration {
        Duration::from_secs(1) / self.rate_per_second.max(1)
    }

    /// The number of connections for the current peak.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates and the value is not negative"
    )]
    fn desired(&self) -> u32 {
        ((self.peak * HEADROOM_FACTOR).ceil() as u32).clamp(1, self.max_connections)
    }
}
