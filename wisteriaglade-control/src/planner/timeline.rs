//! The times at which indexes of the log were reached.

use std::{collections::VecDeque, time::Duration};

use wisteriaglade_types::{Epoch, Index};

/// Samples of the last applied index. They bound the age of a grant by its
/// epoch, without a timestamp for each shard.
#[derive(Debug, Default)]
pub(crate) struct Timeline {
    samples: VecDeque<(Duration, Index)>,
}

impl Timeline {
    /// The minimum time between two samples.
    const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

    pub(crate) fn record(&mut self, now: Duration, min_residence: Duration, index: Index) {
        let last = self.samples.back().map(|(at, _)| *at);
        if last.is_none_or(|at| now >= at.saturating_add(Self::SAMPLE_INTERVAL)) {
            self.samples.push_back((now, index));
        }
        // Keeps the newest sample that is at least `min_residence` old.
        while self.samples.len() > 1 && self.samples[1].0.saturating_add(min_residence) <= now {
            self.samples.pop_front();
        }
    }

    /// Returns the time of the oldest sample, or `None` before the first.
    pub(crate) fn start(&self) -> Option<Duration> {
        self.samples.front().map(|(at, _)| *at)
    }

    /// Returns whether a grant is known to be older than `min_residence`.
    /// It may return false for a somewhat older one.
    pub(crate) fn is_older(&self, now: Duration, min_residence: Duration, epoch: Epoch) -> bool {
        let oldest = self.samples.front();
        oldest.is_some_and(|(at, index)| {
            at.saturating_add(min_residence) <= now && epoch.get() <= index.get()
        })
    }
}
