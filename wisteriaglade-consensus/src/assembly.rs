//! The reassembly of a snapshot that a follower receives in chunks.

use wisteriaglade_types::{Index, Term};

use crate::{Replica, Snapshot};

/// A snapshot of which the first bytes have been received.
#[derive(Debug)]
pub(crate) struct Assembly {
    /// The last entry that the snapshot includes.
    index: Index,
    /// The term of that entry.
    term: Term,
    /// The size of the whole snapshot in bytes.
    total: u64,
    /// The bytes received so far, without gaps.
    data: Vec<u8>,
}

impl Assembly {
    pub(crate) fn new(index: Index, term: Term, total: u64) -> Self {
        Self {
            index,
            term,
            total,
            data: Vec::new(),
        }
    }

    /// Whether a chunk belongs to this snapshot.
    pub(crate) fn matches(&self, index: Index, term: Term, total: u64) -> bool {
        (self.index, self.term, self.total) == (index, term, total)
    }

    /// Appends a chunk that starts where the received data ends. Any other
    /// chunk, and one that exceeds the total size, is ignored.
    pub(crate) fn append(&mut self, offset: u64, chunk: &[u8]) {
        let fits = offset
            .checked_add(chunk.len() as u64)
            .is_some_and(|end| end <= self.total);
        if offset == self.len() && fits {
            self.data.extend_from_slice(chunk);
        }
    }

    /// Returns the number of bytes received so far.
    pub(crate) fn len(&self) -> u64 {
        self.data.len() as u64
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.len() == self.total
    }

    /// Converts the complete data into a snapshot.
    pub(crate) fn finish(self, members: Vec<Replica>) -> Snapshot {
        Snapshot {
            index: self.index,
            term: self.term,
            members,
            data: self.data.into(),
        }
    }
}
