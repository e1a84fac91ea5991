//! How far the reports of a target are believed.

use std::time::Duration;

use crate::Report;

/// Reports are delayed, so each is compared with the concurrency over this
/// time at least, and over twice this time at most.
const SPAN: Duration = Duration::from_millis(500);

/// Trust before the first report, and what is needed to act on one. A target
/// must be right at least twice first.
const START: f64 = 0.5;
const ENOUGH: f64 = 0.58;

/// Trust grows slowly and is lost quickly: acting on a false report costs
/// throughput, ignoring a true one only delays what the answers show anyway.
const GAIN: f64 = 0.1;
const LOSS: f64 = 0.7;

/// The lowest and highest concurrency within a span of time.
#[derive(Debug, Clone, Copy)]
struct Range {
    from: Duration,
    low: u32,
    high: u32,
}

/// The trust in the reports of a target, from their agreement with what the
/// router observed.
#[derive(Debug)]
pub(crate) struct Trust {
    value: f64,
    healthy: bool,
    ranges: [Range; 2],
}

impl Trust {
    pub(crate) const fn new(now: Duration) -> Self {
        let range = Range {
            from: now,
            low: 0,
            high: 0,
        };
        Self {
            value: START,
            healthy: true,
            ranges: [range; 2],
        }
    }

    /// Records the present concurrency.
    pub(crate) fn observe(&mut self, now: Duration, running: u32) {
        let [current, previous] = &mut self.ranges;
        if now >= current.from + SPAN {
            *previous = *current;
            *current = Range {
                from: now,
                low: running,
                high: running,
            };
        }
        current.low = current.low.min(running);
        current.high = current.high.max(running);
    }

    /// Compares a report with the observations. `answering` says whether the
    /// target answers, `refuted` whether its service times contradict the
    /// report.
    pub(crate) fn report(&mut self, report: Report, answering: bool, refuted: bool) {
        let [a, b] = self.ranges;
        let (low, high) = (a.low.min(b.low), a.high.max(b.high));
        let total = report.running.saturating_add(report.queued);
        let slack = (high / 4).max(2);
        let plausible = total.saturating_add(slack) >= low && total <= high + slack;
        self.healthy = report.healthy;
        if plausible && report.healthy == answering && !refuted {
            self.value += GAIN * (1.0 - self.value);
        } else {
            self.value *= LOSS;
        }
    }

    /// Whether reports are believed.
    pub(crate) fn enough(&self) -> bool {
        self.value >= ENOUGH
    }

    /// Whether a trusted report says that the target is unhealthy.
    pub(crate) fn sick(&self) -> bool {
        self.enough() && !self.healthy
    }
}
