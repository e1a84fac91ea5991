//! What the files contain.

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Index;

use crate::{Entry, Snapshot};

/// A change of the log.
///
/// Each frame of a segment holds one. All entries of one sync are in one
/// record, so that an interrupted write can damage the last record only.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Record {
    /// Entries after the last one.
    Append(Vec<Entry>),
    /// The removal of entries from an index on.
    Truncate(Index),
}

/// The content of a snapshot file.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Stored {
    pub(super) snapshot: Snapshot,
    /// The first segment that is still needed. Earlier ones are removed.
    pub(super) first: u64,
}
