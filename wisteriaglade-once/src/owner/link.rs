use std::{collections::BTreeSet, time::Duration};

use crate::{Key, holder::Cursor};

/// What the owner knows of one holder of one shard.
#[derive(Debug, Default)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "independent facts, not the states of one machine"
)]
pub(super) struct Link {
    /// Whether all pages of its records were read.
    pub(super) read: bool,
    /// Where the next page starts.
    pub(super) cursor: Option<Cursor>,
    /// Keys whose present state the holder may lack.
    pub(super) todo: BTreeSet<Key>,
    /// Keys that found no room there at the last try.
    pub(super) blocked: BTreeSet<Key>,
    /// Whether a fence or a copy is under way.
    pub(super) busy: bool,
    /// Whether records are copied one by one, to find those without room.
    pub(super) single: bool,
    /// Whether the holder got every record since it was last asked to.
    pub(super) synced: bool,
    /// Whether the holder has seen a higher epoch.
    pub(super) stale: bool,
    /// When the keys without room are tried again.
    pub(super) unblock: Duration,
    /// When the next fence or copy may be sent.
    pub(super) retry: Duration,
}
