use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Epoch, Hash};

use super::Cursor;
use crate::Record;

/// What a holder replies to an owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The message took effect, now or when it arrived before.
    Done,
    /// A page of records in reply to a fence.
    Records {
        /// The records, at most [`PAGE`](super::PAGE) bytes.
        records: Vec<Record>,
        /// Where the next page starts; `None` after the last one.
        next: Option<Cursor>,
    },
    /// Refused: a higher epoch was seen.
    Stale {
        /// The highest epoch.
        epoch: Epoch,
        /// The key that another shard has fenced; `None` when the whole shard
        /// has a higher epoch.
        hash: Option<Hash>,
    },
    /// Refused: no room.
    Full,
    /// The start that was to be ended is not held here.
    Missing,
    /// The start was not recorded, because this record of its key counts more.
    Held(Box<Record>),
}
