use std::time::Duration;

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Epoch, Request};

use crate::{Answer, Fingerprint, Key, State};

/// What is known of one request that runs at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The work.
    pub key: Key,
    /// The epoch of the owner that wrote the start.
    pub epoch: Epoch,
    /// Counts the starts within the epoch. A start with a higher number
    /// replaces one that was withdrawn, also when they arrive in the other order.
    pub attempt: u64,
    /// The method and path.
    pub fingerprint: Fingerprint,
    /// The request that started the work.
    pub request: Request,
    /// How far the work has come.
    pub state: State,
    /// The age of the record at the moment of sending. Processes share no
    /// clock, so a point in time would have no meaning for the receiver.
    pub written: Duration,
}

impl Record {
    /// The memory counted for a record besides its strings and its answer, in
    /// bytes: the record itself, its places in the map and in the expiry order with
    /// the slack of their tree nodes, and the headers of its allocations. The
    /// benchmark `records` compares the count with the resident memory.
    pub const OVERHEAD: usize = 600;

    /// An upper bound for the encoded size of the fields of fixed length.
    const FIXED: usize = 128;

    /// The memory that a holder counts for the record, in bytes, with the room
    /// reserved for the answer of a started request.
    #[must_use]
    pub fn size(&self) -> usize {
        let answer = match &self.state {
            State::Started => Answer::RESERVE,
            State::Ended(answer) => answer.size(),
            State::Unknown | State::Aborted => 0,
        };
        Self::OVERHEAD + self.key.id.len() + answer
    }

    /// An upper bound for the encoded size of the record, in bytes.
    #[must_use]
    pub fn encoded(&self) -> usize {
        let answer = match &self.state {
            State::Ended(answer) => answer.size(),
            State::Started | State::Unknown | State::Aborted => 0,
        };
        Self::FIXED + self.key.pool.as_str().len() + self.key.id.len() + answer
    }

    /// The start that the record belongs to. Later starts are greater.
    #[must_use]
    pub const fn version(&self) -> (Epoch, u64) {
        (self.epoch, self.attempt)
    }

    /// Whether this record says more than `other`, which has the same key.
    ///
    /// An end is final, because it proves the outcome. Otherwise the later start
    /// counts: an owner starts a key only after it learned that no earlier start
    /// ran. Within one start, a withdrawal counts more than a start or a guess.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let ended = |record: &Self| matches!(record.state, State::Ended(_));
        let rank = |record: &Self| match record.state {
            State::Started => 0,
            State::Unknown => 1,
            State::Aborted => 2,
            State::Ended(_) => 3,
        };
        (ended(self), self.version(), rank(self)) > (ended(other), other.version(), rank(other))
    }
}
