//! The records that segments and snapshot files contain.

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Index;

use crate::{Entry, Snapshot};

/// A change of the log, stored as one frame of a segment.
///
/// All entries of one sync are in one record, so that an interrupted write can
/// damage only the last record.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Record {
    /// Appends entries after the last one.
    Append(Vec<Entry>),
    /// Removes the entry at this index and all later ones.
    Truncate(Index),
}

/// The content of a snapshot file.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct StoredSnapshot {
    pub(super) snapshot: Snapshot,
    /// The number of the first segment that is needed in addition to the
    /// snapshot. Earlier segments are removed.
    pub(super) first_segment: u64,
}
