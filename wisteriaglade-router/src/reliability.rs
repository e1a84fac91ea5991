//! The reliability of the load reports of a target.

use std::time::Duration;

use crate::Report;

/// The time over which the range of the concurrency is observed. Reports are
/// delayed, so each one is compared with the range over the last one to two
/// spans.
const RANGE_SPAN: Duration = Duration::from_millis(500);

/// The score before the first report.
const INITIAL_SCORE: f64 = 0.5;

/// The score from which reports are used. Reaching it takes at least two
/// correct reports.
const MIN_SCORE: f64 = 0.58;

/// The gain of the score, towards 1, for a correct report. The score rises
/// slowly and falls quickly, because using a false report costs throughput,
/// whereas ignoring a correct one only delays what the answers show anyway.
const GAIN: f64 = 0.1;

/// The factor by which a false report reduces the score.
const LOSS_FACTOR: f64 = 0.7;

/// The lowest and highest concurrency within a span of time.
#[derive(Debug, Clone, Copy)]
struct Range {
    /// The start of the span.
    start: Duration,
    low: u32,
    high: u32,
}

/// A score of how well the reports of a target agree with the observations of
/// the router.
#[derive(Debug)]
pub(crate) struct Reliability {
    /// The score, from 0 to 1.
    score: f64,
    /// Whether the last report called the target healthy.
    healthy: bool,
    /// The ranges of the concurrency in the current and the previous span.
    ranges: [Range; 2],
}

impl Reliability {
    pub(crate) const fn new(now: Duration) -> Self {
        let range = Range {
            start: now,
            low: 0,
            high: 0,
        };
        Self {
            score: INITIAL_SCORE,
            healthy: true,
            ranges: [range; 2],
        }
    }

    /// Records the current concurrency.
    pub(crate) fn observe(&mut self, now: Duration, running: u32) {
        let [current, previous] = &mut self.ranges;
        if now >= current.start + RANGE_SPAN {
            *previous = *current;
            *current = Range {
                start: now,
                low: running,
                high: running,
            };
        }
        current.low = current.low.min(running);
        current.high = current.high.max(running);
    }

    /// Compares a report with the observations and updates the score.
    /// `responsive` says whether the target responds, and `contradicted` whether
    /// its service times contradict the report.
    pub(crate) fn report(&mut self, report: Report, responsive: bool, contradicted: bool) {
        let [a, b] = self.ranges;
        let (low, high) = (a.low.min(b.low), a.high.max(b.high));
        let total = report.running.saturating_add(report.queued);
        let tolerance = (high / 4).max(2);
        let plausible = total.saturating_add(tolerance) >= low && total <= high + tolerance;
        self.healthy = report.healthy;
        if plausible && report.healthy == responsive && !contradicted {
            self.score += GAIN * (1.0 - self.score);
        } else {
            self.score *= LOSS_FACTOR;
        }
    }

    /// Whether the reports are reliable enough to be used.
    pub(crate) fn is_sufficient(&self) -> bool {
        self.score >= MIN_SCORE
    }

    /// Whether the reports are reliable and the last one calls the target
    /// unhealthy.
    pub(crate) fn reports_unhealthy(&self) -> bool {
        self.is_sufficient() && !self.healthy
    }
}
