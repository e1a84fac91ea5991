use std::{collections::BTreeSet, time::Duration};

use crate::{Key, holder::Cursor};

/// The replication progress of one holder of one shard, as the owner knows it.
#[derive(Debug, Default)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "independent facts, not the states of one machine"
)]
pub(super) struct Progress {
    /// Whether the holder is fenced and all pages of its records were read.
    pub(super) read: bool,
    /// The cursor for the next page to read.
    pub(super) cursor: Option<Cursor>,
    /// Keys whose current state the holder may lack and that are to be copied to it.
    pub(super) outdated: BTreeSet<Key>,
    /// Keys whose records the holder rejected for lack of room.
    pub(super) rejected: BTreeSet<Key>,
    /// Whether a fence or a copy is in flight. At most one is at a time.
    pub(super) in_flight: bool,
    /// Whether each copy carries one record only, after the holder had no room for several.
    pub(super) one_by_one: bool,
    /// Whether the holder has acknowledged a copy that left no record to send since the last
    /// resynchronization.
    pub(super) synced: bool,
    /// Whether the holder has seen a higher epoch of the shard.
    pub(super) stale: bool,
    /// When the keys rejected for lack of room are sent again, since process start.
    pub(super) retry_rejected_at: Duration,
    /// The earliest time for the next fence or copy, since process start.
    pub(super) retry_at: Duration,
}
