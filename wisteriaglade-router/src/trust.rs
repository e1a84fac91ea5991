//! The reliability of the load reports of a target.

use std::time::Duration;

use crate::Report;

/// The time over which the range of the concurrency is observed. Reports are
/// delayed, so each one is compared with the range over the last one to two
/// spans.
const SPAN: Duration = Duration::from_millis(500);

/// The score before the first report.
const START: f64 = 0.5;

/// The score from which reports are used. Reaching it takes at least two
/// correct reports.
const ENOUGH: f64 = 0.58;

/// The gain of the score, towards 1, for a correct report. The score rises
/// slowly and falls quickly, because using a false report costs throughput,
/// whereas ignoring a correct one only delays what the answers show anyway.
const GAIN: f64 = 0.1;

/// The factor by which a false report reduces the score.
const LOSS: f64 = 0.7;

/// The lowest and highest concurrency within a span of time.
#[derive(Debug, Clone, Copy)]
struct Range {
    /// The start of the span.
    from: Duration,
    low: u32,
    high: u32,
}

/// A score of how well the reports of a target agree with the observations of
/// the router.
#[derive(Debug)]
pub(crate) struct Trust {
    /// The score, from 0 to 1.
    value: f64,
    /// Whether the last report called the target healthy.
    healthy: bool,
    /// The ranges of the concurrency in the current and the previous span.
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

    /// Records the current concurrency.
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

    /// Compares a report with the observations and updates the score.
    /// `answering` says whether the target responds, and `refuted` whether its
    /// service times contradict the report.
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

    /// Whether the reports are reliable enough to be used.
    pub(crate) fn enough(&self) -> bool {
        self.value >= ENOUGH
    }

    /// Whether the reports are reliable and the last one calls the target
    /// unhealthy.
    pub(crate) fn sick(&self) -> bool {
        self.enough() && !self.healthy
    }
}
