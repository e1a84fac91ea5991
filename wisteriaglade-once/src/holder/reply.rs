use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Epoch, Hash};

use super::Cursor;
use crate::Record;

/// The reply of a holder to a [`Message`](super::Message).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The message took effect, either now or when it arrived earlier.
    Done,
    /// A page of records in reply to a fence.
    Records {
        /// The records, encoded at most [`MAX_PAGE_BYTES`](super::MAX_PAGE_BYTES) bytes.
        records: Vec<Record>,
        /// The cursor for the next page; `None` if this is the last page.
        next: Option<Cursor>,
    },
    /// Rejected, because the holder has seen a higher epoch.
    Stale {
        /// The highest epoch that the holder has seen.
        epoch: Epoch,
        /// The key hash that is fenced under another shard; `None` when the shard itself
        /// has a higher epoch.
        hash: Option<Hash>,
    },
    /// Rejected, because the memory for records is full.
    Full,
    /// Rejected, because the holder lacks the start that the outcome belongs to.
    Missing,
    /// Rejected, because the holder has this record of the same key, which the start does
    /// not supersede.
    Superseded(Box<Record>),
}
