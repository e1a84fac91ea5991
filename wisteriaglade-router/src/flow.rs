//! The queue of one caller.

use std::collections::BTreeMap;

use crate::{Class, waiting::Waiting};

/// The waiting requests of one caller.
///
/// In fair queueing, a flow is a sequence of requests that share one queue and
/// one share of the service.
#[derive(Debug, Default)]
pub(crate) struct Flow {
    /// The start tag of the caller's next request in the virtual time of its
    /// member, in nanoseconds.
    pub(crate) start_tag: u64,
    /// The requests of each class by sequence number, which is their order of
    /// arrival.
    waiting: [BTreeMap<u64, Waiting>; 2],
}

impl Flow {
    pub(crate) fn push(&mut self, sequence: u64, waiting: Waiting) {
        self.waiting[waiting.class.index()].insert(sequence, waiting);
    }

    pub(crate) fn remove(&mut self, class: Class, sequence: u64) -> Option<Waiting> {
        self.waiting[class.index()].remove(&sequence)
    }

    /// Returns the sequence number of the oldest request of a class.
    pub(crate) fn oldest(&self, class: Class) -> Option<u64> {
        self.waiting[class.index()].keys().next().copied()
    }

    /// Returns the sequence number of the newest request of a class.
    pub(crate) fn newest(&self, class: Class) -> Option<u64> {
        self.waiting[class.index()].keys().next_back().copied()
    }

    pub(crate) fn len(&self, class: Class) -> usize {
        self.waiting[class.index()].len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.iter().all(BTreeMap::is_empty)
    }
}
