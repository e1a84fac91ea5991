//! What a leader knows about one follower.

use std::{collections::VecDeque, time::Duration};

use wisteriaglade_types::Index;

use crate::Snapshot;

/// How entries are sent to a follower.
#[derive(Debug)]
pub(crate) enum Mode {
    /// The matching index is unknown: one message at a time.
    Probe {
        /// Whether the message was sent.
        sent: bool,
    },
    /// Several messages at once, each with its last index.
    Pipeline { sent: VecDeque<Index> },
    /// The follower needs entries that are no longer in memory.
    Snapshot {
        snapshot: Snapshot,
        /// The bytes that the follower holds.
        offset: usize,
        /// When the latest chunk was sent.
        at: Duration,
    },
}

/// What a leader knows about one follower.
#[derive(Debug)]
pub(crate) struct Progress {
    /// The last entry known to be on the follower's disk.
    pub(crate) matched: Index,
    /// The next entry to send.
    pub(crate) next: Index,
    pub(crate) mode: Mode,
    /// When the follower last responded.
    pub(crate) heard: Duration,
}

impl Progress {
    /// A follower about which nothing is known yet.
    pub(crate) fn new(next: Index, now: Duration) -> Self {
        Self {
            matched: Index::new(0),
            next,
            mode: Mode::Probe { sent: false },
            heard: now,
        }
    }

    /// Records that the follower has all entries up to `index`.
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

    /// Records that the follower has no match for `prev`. Returns false for a
    /// late response.
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
