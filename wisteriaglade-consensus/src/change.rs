//! A change of the durable state.

use wisteriaglade_types::Index;

use crate::{Entry, Snapshot, Vote};

/// A change that must be on disk before any later output is carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Replaces the term and the vote.
    Vote(Vote),
    /// Removes the entries from this index on.
    Truncate(Index),
    /// Appends entries after the last one.
    Append(Vec<Entry>),
    /// Stores a snapshot of this replica's own state. Entries up to its index
    /// are no longer needed, later ones are kept.
    Compact(Snapshot),
    /// Stores a snapshot received from the leader, which replaces the whole
    /// log.
    Install(Snapshot),
}
