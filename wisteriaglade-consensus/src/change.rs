//! The changes of the durable state that a replica asks its driver to persist.

use wisteriaglade_types::Index;

use crate::{Entry, Snapshot, Vote};

/// A change of the durable state, carried out by
/// [`Storage::persist`](crate::storage::Storage::persist).
///
/// It must be on disk before any later output is carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Replaces the current term and the vote in it.
    Vote(Vote),
    /// Removes the entry at this index and all later ones.
    Truncate(Index),
    /// Appends entries that directly follow the last one of the log.
    Append(Vec<Entry>),
    /// Stores a snapshot of this replica's own state. Entries up to its index
    /// may be removed, later ones are kept.
    Compact(Snapshot),
    /// Stores a snapshot received from the leader and discards the whole log.
    Install(Snapshot),
}
