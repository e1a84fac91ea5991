//! The leader's replication state for one follower.
//!
//! It corresponds to `nextIndex` and `matchIndex` of the Raft paper.

use std::{collections::VecDeque, time::Duration};

use wisteriaglade_types::Index;

use crate::Snapshot;

/// How the leader sends entries to a follower.
#[derive(Debug)]
pub(crate) enum Mode {
    /// The last matching index is unknown: one append at a time, until the
    /// follower accepts one.
    Probe {
        /// Whether an append was sent and its response is outstanding.
        sent: bool,
    },
    /// Several appends may be outstanding. `sent` holds the last index of each,
    /// in ascending order.
    Pipeline { sent: VecDeque<Index> },
    /// The follower lacks entries that the leader no longer has in memory, and
    /// receives a snapshot in chunks.
    Snapshot {
        snapshot: Snapshot,
        /// The number of bytes that the follower has acknowledged.
        offset: usize,
        /// When the last chunk was sent.
        sent_at: Duration,
    },
}

/// The leader's replication state for one follower.
#[derive(Debug)]
pub(crate) struct Progress {
    /// The last index known to be synced on the follower (`matchIndex`).
    pub(crate) match_index: Index,
    /// The index of the next entry to send (`nextIndex`).
    pub(crate) next_index: Index,
    pub(crate) mode: Mode,
    /// When the follower last responded, or when it was added.
    pub(crate) last_contact: Duration,
}

impl Progress {
    /// Creates the state of a follower whose log is unknown.
    pub(crate) fn new(next_index: Index, now: Duration) -> Self {
        Self {
            match_index: Index::new(0),
            next_index,
            mode: Mode::Probe { sent: false },
            last_contact: now,
        }
    }

    /// Records that the follower has accepted all entries up to `index`.
    pub(crate) fn record_match(&mut self, index: Index) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index.next());
        match &mut self.mode {
            Mode::Probe { .. } => self.enter_pipeline(),
            Mode::Pipeline { sent } => {
                while sent.front().is_some_and(|last| *last <= index) {
                    sent.pop_front();
                }
            }
            Mode::Snapshot { snapshot, .. } => {
                if index >= snapshot.index {
                    self.enter_pipeline();
                }
            }
        }
    }

    /// Records that the follower has rejected an append after `prev`, and
    /// continues with `next`. Returns false when the response is outdated, in
    /// which case nothing changes.
    pub(crate) fn record_mismatch(&mut self, prev: Index, next: Index) -> bool {
        let current = match self.mode {
            Mode::Probe { .. } => prev.next() == self.next_index,
            Mode::Pipeline { .. } => prev > self.match_index,
            Mode::Snapshot { .. } => false,
        };
        if current {
            self.next_index = next.min(prev).max(self.match_index.next());
            self.mode = Mode::Probe { sent: false };
        }
        current
    }

    fn enter_pipeline(&mut self) {
        self.mode = Mode::Pipeline {
            sent: VecDeque::new(),
        };
    }
}
