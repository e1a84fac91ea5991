//! What storage holds when a replica starts.

use crate::{Entry, Snapshot, Vote};

/// The durable state of a replica, as read back at its start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Restored {
    /// The current term and vote.
    pub vote: Vote,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}
