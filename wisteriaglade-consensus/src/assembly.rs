//! A snapshot that arrives in chunks.

use wisteriaglade_types::{Index, Term};

use crate::{Replica, Snapshot};

/// The part of a snapshot that has arrived.
#[derive(Debug)]
pub(crate) struct Assembly {
    index: Index,
    term: Term,
    total: u64,
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
    pub(crate) fn is(&self, index: Index, term: Term, total: u64) -> bool {
        (self.index, self.term, self.total) == (index, term, total)
    }

    /// Adds a chunk that continues the data; another one is passed over.
    pub(crate) fn add(&mut self, offset: u64, chunk: &[u8]) {
        let fits = offset
            .checked_add(chunk.len() as u64)
            .is_some_and(|end| end <= self.total);
        if offset == self.len() && fits {
            self.data.extend_from_slice(chunk);
        }
    }

    /// The number of bytes held.
    pub(crate) fn len(&self) -> u64 {
        self.data.len() as u64
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.len() == self.total
    }

    pub(crate) fn finish(self, members: Vec<Replica>) -> Snapshot {
        Snapshot {
            index: self.index,
            term: self.term,
            members,
            data: self.data.into(),
        }
    }
}
