//! How long ago an index of the log was reached.

use std::{collections::VecDeque, time::Duration};

use wisteriaglade_types::{Epoch, Index};

/// The last applied index at several times. It dates grants by their epochs
/// without a record for each shard.
#[derive(Debug, Default)]
pub(crate) struct Ages {
    marks: VecDeque<(Duration, Index)>,
}

impl Ages {
    /// The time between two marks.
    const STEP: Duration = Duration::from_secs(1);

    pub(crate) fn observe(&mut self, now: Duration, residence: Duration, index: Index) {
        let last = self.marks.back().map(|(at, _)| *at);
        if last.is_none_or(|at| now >= at.saturating_add(Self::STEP)) {
            self.marks.push_back((now, index));
        }
        // The newest mark that is old enough stays.
        while self.marks.len() > 1 && self.marks[1].0.saturating_add(residence) <= now {
            self.marks.pop_front();
        }
    }

    /// The time of the oldest mark.
    pub(crate) fn start(&self) -> Option<Duration> {
        self.marks.front().map(|(at, _)| *at)
    }

    /// Whether a grant is certainly older than `residence`.
    pub(crate) fn is_older(&self, now: Duration, residence: Duration, epoch: Epoch) -> bool {
        let oldest = self.marks.front();
        oldest.is_some_and(|(at, index)| {
            at.saturating_add(residence) <= now && epoch.get() <= index.get()
        })
    }
}
