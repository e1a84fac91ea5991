//! The state that storage reads back at a start.

use crate::{Entry, Snapshot, Vote};

/// The durable state of a replica, as read back by
/// [`Storage::open`](crate::storage::Storage::open) and passed to
/// [`Raft::new`](crate::Raft::new). The default is the state of a new replica.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Restored {
    /// The current term and the vote in it.
    pub vote: Vote,
    /// The newest snapshot, or `None` when there is none.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}
