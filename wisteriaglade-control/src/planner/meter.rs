//! Moving averages over the load reports of a node.

use super::Load;

/// Exponential moving averages over the load reports of a node.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Meter {
    /// Completed requests per second.
    rate: f64,
    /// Completed requests per second of one busy slot.
    speed: f64,
    /// The number of reports that `speed` is based on.
    samples: u32,
}

impl Meter {
    /// The weight of a new report in the averages, from 0 to 1.
    const SMOOTHING: f64 = 0.3;
    /// The number of reports from which on `speed` is used.
    const MIN_SAMPLES: u32 = 5;
    /// The number of busy slots from which on a report contributes to `speed`.
    /// With fewer, the quotient depends mainly on the rounding of the
    /// utilisation.
    const MIN_BUSY_SLOTS: f64 = 0.5;

    pub(crate) fn record(&mut self, load: &Load, slots: u32) {
        let rate = sanitize(load.completions);
        let weight = if self.rate == 0.0 {
            1.0
        } else {
            Self::SMOOTHING
        };
        self.rate += weight * (rate - self.rate);
        let busy = sanitize(load.utilisation).min(1.0) * f64::from(slots);
        if busy < Self::MIN_BUSY_SLOTS || rate == 0.0 {
            return;
        }
        // A wrong utilisation makes the first estimate too high, a wrong
        // latency the second one. The lower estimate limits the error of
        // either.
        let latency = load.latency.as_secs_f64();
        let by_latency = if latency > 0.0 {
            1.0 / latency
        } else {
            f64::MAX
        };
        let speed = (rate / busy).min(by_latency);
        let weight = if self.samples == 0 {
            1.0
        } else {
            Self::SMOOTHING
        };
        self.speed += weight * (speed - self.speed);
        self.samples = self.samples.saturating_add(1);
    }

    /// Adds the rate of shards that the node received, or subtracts that of
    /// shards it gave away, before the reports show it.
    pub(crate) fn adjust_rate(&mut self, rate: f64) {
        self.rate = (self.rate + rate).max(0.0);
    }

    pub(crate) const fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the completed requests per second of one busy slot, or `None`
    /// while there are too few reports.
    pub(crate) fn speed(&self) -> Option<f64> {
        (self.samples >= Self::MIN_SAMPLES).then_some(self.speed)
    }
}

/// Returns a number from a report, with negative and non-finite ones replaced
/// by zero.
fn sanitize(value: f64) -> f64 {
    if value.is_finite() {
        value.max(0.0)
    } else {
        0.0
    }
}
