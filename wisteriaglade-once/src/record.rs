use std::time::Duration;

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Epoch, Request};

use crate::{Answer, Fingerprint, Key, State};

/// The replicated state of one request that runs at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identifies the work.
    pub key: Key,
    /// The epoch of the grant under which the start was written.
    pub epoch: Epoch,
    /// The number of the start within the epoch, counted from 1. A start with a higher
    /// number replaces a withdrawn one, also when the two arrive out of order.
    pub attempt: u64,
    /// The hash of the request's method and path.
    pub fingerprint: Fingerprint,
    /// The request that started the work.
    pub request: Request,
    /// The known progress of the work.
    pub state: State,
    /// The age of the record when it was sent. Processes share no clock, so a point in
    /// time would have no meaning for the receiver.
    pub age: Duration,
}

impl Record {
    /// The memory counted for a record in addition to its idempotency key and its
    /// response, in bytes: the record itself, its entries in the two B-trees (by key and
    /// by expiry) with their unused capacity, and the allocator's headers. The benchmark
    /// `records` compares the count with the resident memory.
    pub const OVERHEAD_BYTES: usize = 600;

    /// An upper bound for the encoded size of all fields of fixed length, in bytes.
    const MAX_FIXED_BYTES: usize = 128;

    /// The memory that a holder counts for the record, in bytes. For a started request
    /// it includes the memory reserved for the response.
    #[must_use]
    pub fn size(&self) -> usize {
        let answer = match &self.state {
            State::Started => Answer::RESERVED_BYTES,
            State::Completed(answer) => answer.size(),
            State::Unknown | State::Aborted => 0,
        };
        Self::OVERHEAD_BYTES + self.key.id.len() + answer
    }

    /// An upper bound for the encoded size of the record, in bytes.
    #[must_use]
    pub fn max_encoded_len(&self) -> usize {
        let answer = match &self.state {
            State::Completed(answer) => answer.size(),
            State::Started | State::Unknown | State::Aborted => 0,
        };
        Self::MAX_FIXED_BYTES + self.key.pool.as_str().len() + self.key.id.len() + answer
    }

    /// Epoch and attempt of the start that the record belongs to. Later starts compare
    /// greater.
    #[must_use]
    pub const fn version(&self) -> (Epoch, u64) {
        (self.epoch, self.attempt)
    }

    /// Whether this record replaces `other`, a record with the same key.
    ///
    /// A recorded outcome always wins, because it proves that the work ran. Otherwise
    /// the later start wins: an owner starts a key only after it learned that no earlier
    /// start ran. Within one start, [`State::Aborted`] replaces [`State::Unknown`], which
    /// replaces [`State::Started`].
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let completed = |record: &Self| matches!(record.state, State::Completed(_));
        let rank = |record: &Self| match record.state {
            State::Started => 0,
            State::Unknown => 1,
            State::Aborted => 2,
            State::Completed(_) => 3,
        };
        (completed(self), self.version(), rank(self))
            > (completed(other), other.version(), rank(other))
    }
}
