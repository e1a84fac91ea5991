use std::collections::{BTreeMap, HashMap};

use wisteriaglade_types::{Epoch, Hash, Shard};

use super::Cursor;
use crate::{Cover, Record};

/// The records and fences of one pool.
#[derive(Debug, Default)]
pub(super) struct Pool {
    /// The highest epoch seen for each shard. Messages with a lower one are rejected.
    floors: HashMap<Shard, Epoch>,
    /// Epoch and keys of the last fence of each shard that isn't dedicated.
    parts: HashMap<Shard, (Epoch, Cover)>,
    /// The epoch of the last fence of each dedicated shard, by its key hash.
    singles: HashMap<Hash, Epoch>,
    /// The number of shards of the pool; zero before the first fence that names it.
    shards: u32,
    pub(super) records: BTreeMap<Cursor, Stored>,
}

/// A record with the time at which it expires.
#[derive(Debug)]
pub(super) struct Stored {
    pub(super) record: Record,
    pub(super) expires: std::time::Duration,
    /// Makes the expiry order unique among records that expire at the same time.
    pub(super) serial: u64,
}

impl Pool {
    /// Raises the minimum epoch of a shard to `epoch`, unless it is higher already, and
    /// returns the minimum.
    pub(super) fn raise(&mut self, shard: Shard, epoch: Epoch) -> Epoch {
        let floor = self.floors.entry(shard).or_default();
        *floor = epoch.max(*floor);
        *floor
    }

    /// Records the fence of a shard, with the keys that it applies to.
    pub(super) fn fence(&mut self, shard: Shard, epoch: Epoch, cover: Cover) {
        match &cover {
            Cover::Single(hash) => {
                let floor = self.singles.entry(*hash).or_default();
                *floor = epoch.max(*floor);
            }
            Cover::Part { shards, .. } => {
                self.shards = *shards;
                // Keys that were merged back into the shard no longer have a dedicated
                // shard, so this fence replaces theirs.
                self.singles
                    .retain(|hash, floor| *floor > epoch || !cover.contains(shard, *hash));
                self.parts.insert(shard, (epoch, cover));
            }
        }
    }

    /// The lowest epoch that may write a record with this hash.
    pub(super) fn floor(&self, hash: Hash) -> Epoch {
        let single = self.singles.get(&hash).copied().unwrap_or_default();
        let part = match self.shards {
            0 => None,
            shards => self.parts.get(&hash.shard(shards)),
        };
        let home = hash.shard(self.shards.max(1));
        match part {
            Some((epoch, cover)) if cover.contains(home, hash) => single.max(*epoch),
            _ => single,
        }
    }
}
