//! A sliding window of recent service times.

use std::{collections::VecDeque, time::Duration};

/// The number of samples in the window. The median of 64 samples is robust to a
/// few stragglers and follows a change of the service time within 32 answers.
const SAMPLES: usize = 64;

/// Samples above this multiple of the median are left out of the mean.
const OUTLIER_FACTOR: u32 = 6;

/// A sliding window of service times with their median and trimmed mean.
#[derive(Debug, Default)]
pub(crate) struct Window {
    /// The samples in order of arrival.
    order: VecDeque<Duration>,
    /// The samples in ascending order.
    sorted: Vec<Duration>,
    /// The mean without outliers.
    mean: Duration,
}

impl Window {
    /// Adds a sample and drops the oldest one if the window is full.
    pub(crate) fn push(&mut self, sample: Duration) {
        if self.order.len() == SAMPLES
            && let Some(old) = self.order.pop_front()
        {
            let at = self.sorted.partition_point(|s| *s < old);
            self.sorted.remove(at);
        }
        self.order.push_back(sample);
        let at = self.sorted.partition_point(|s| *s < sample);
        self.sorted.insert(at, sample);
        self.mean = self.trimmed_mean();
    }

    pub(crate) const fn len(&self) -> usize {
        self.sorted.len()
    }

    pub(crate) fn median(&self) -> Option<Duration> {
        self.sorted.get(self.sorted.len() / 2).copied()
    }

    pub(crate) fn longest(&self) -> Duration {
        self.sorted.last().copied().unwrap_or_default()
    }

    /// Returns the mean without outliers, or `None` if the window is empty.
    pub(crate) const fn mean(&self) -> Option<Duration> {
        if self.sorted.is_empty() {
            None
        } else {
            Some(self.mean)
        }
    }

    fn trimmed_mean(&self) -> Duration {
        let limit = self.median().unwrap_or_default() * OUTLIER_FACTOR;
        let kept = self.sorted.iter().take_while(|s| **s <= limit);
        let (sum, count) = kept.fold((Duration::ZERO, 0_u32), |(sum, n), s| (sum + *s, n + 1));
        sum / count.max(1)
    }
}
