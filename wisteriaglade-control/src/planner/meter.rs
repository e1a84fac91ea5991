//! What the reports of a node teach about it.

use super::Load;

/// Moving averages over the reports of a node.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Meter {
    /// Completions per second.
    rate: f64,
    /// Completions per second of one busy slot.
    speed: f64,
    /// The reports that taught a speed.
    lessons: u32,
}

impl Meter {
    /// The weight of a new report.
    const WEIGHT: f64 = 0.3;
    /// The reports after which a speed is used.
    const LESSONS: u32 = 5;
    /// The number of busy slots from which a report teaches a speed. Below it,
    /// rounding of the utilisation decides the quotient.
    const BUSY: f64 = 0.5;

    pub(crate) fn learn(&mut self, load: &Load, slots: u32) {
        let rate = finite(load.completions);
        let weight = if self.rate == 0.0 { 1.0 } else { Self::WEIGHT };
        self.rate += weight * (rate - self.rate);
        let busy = finite(load.utilisation).min(1.0) * f64::from(slots);
        if busy < Self::BUSY || rate == 0.0 {
            return;
        }
        // A wrong utilisation makes the first figure too high, a wrong latency
        // the second one. The lower figure limits the harm of either.
        let latency = load.latency.as_secs_f64();
        let by_latency = if latency > 0.0 {
            1.0 / latency
        } else {
            f64::MAX
        };
        let speed = (rate / busy).min(by_latency);
        let weight = if self.lessons == 0 { 1.0 } else { Self::WEIGHT };
        self.speed += weight * (speed - self.speed);
        self.lessons = self.lessons.saturating_add(1);
    }

    /// Accounts for shards that came or went, ahead of the reports.
    pub(crate) fn shift(&mut self, rate: f64) {
        self.rate = (self.rate + rate).max(0.0);
    }

    pub(crate) const fn rate(&self) -> f64 {
        self.rate
    }

    /// Completions per second of one busy slot, once it is known well.
    pub(crate) fn speed(&self) -> Option<f64> {
        (self.lessons >= Self::LESSONS).then_some(self.speed)
    }
}

/// A figure from a report; negative and undefined ones count as zero.
fn finite(figure: f64) -> f64 {
    if figure.is_finite() {
        figure.max(0.0)
    } else {
        0.0
    }
}
