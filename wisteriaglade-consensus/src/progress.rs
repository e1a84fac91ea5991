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
        at: Duration,
    },
}

/// The leader's replication state for one follower.
#[derive(Debug)]
pub(crate) struct Progress {
    /// The last index known to be synced on the follower (`matchIndex`).
    pub(crate) matched: Index,
    /// The index of the next entry to send (`nextIndex`).
    pub(crate) next: Index,
    pub(crate) mode: Mode,
    /// When the follower last responded, or when it was added.
    pub(crate) heard: Duration,
}

impl Progress {
    /// Creates the state of a follower whose log is unknown.
    pub(crate) fn new(next: Index, now: Duration) -> Self {
        Self {
            matched: Index::new(0),
            next,
            mode: Mode::Probe { sent: false },
            heard: now,
        }
    }

    /// Records that the follower has accepted all entries up to `index`.
    pub(crate) fn matched(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        match &mut self.mode {
            Mode::Probe { .. } => self.pipeline(),
            Mode::Pipeline { sent } => {
                while sent.front().is_some_and(|last| *last <= index) {
                    sent.pop_front();
                }
            }
            Mode::Snapshot { snapshot, .. } => {
                if index >= snapshot.index {
                    self.pipeline();
                }
            }
        }
    }

    /// Records that the follower has rejected an append after `prev`, and
    /// continues with `next`. Returns false when the response is outdated, in
    /// which case nothing changes.
    pub(crate) fn mismatched(&mut self, prev: Index, next: Index) -> bool {
        let current = match self.mode {
            Mode::Probe { .. } => prev.next() == self.next,
            Mode::Pipeline { .. } => prev > self.matched,
            Mode::Snapshot { .. } => false,
        };
        if current {
            self.next = next.min(prev).max(self.matched.next());
            self.mode = Mode::Probe { sent: false };
        }
        current
    }

    fn pipeline(&mut self) {
        self.mode = Mode::Pipeline {
            sent: VecDeque::new(),
        };
    }
}
