use std::collections::{BTreeMap, HashMap};

use wisteriaglade_types::{Epoch, Hash, Shard};

use super::Cursor;
use crate::{Cover, Record};

/// The records and fences of one pool.
#[derive(Debug, Default)]
pub(super) struct Pool {
    /// The highest epoch seen for each shard.
    floors: HashMap<Shard, Epoch>,
    /// The last fence of each shard that covers a part of the key space.
    parts: HashMap<Shard, (Epoch, Cover)>,
    /// The last fence of each key with a dedicated shard.
    singles: HashMap<Hash, Epoch>,
    /// The number of shards, or zero before the first fence of a part.
    shards: u32,
    pub(super) records: BTreeMap<Cursor, Stored>,
}

/// A record with the time at which its retention ends.
#[derive(Debug)]
pub(super) struct Stored {
    pub(super) record: Record,
    pub(super) expires: std::time::Duration,
    /// Distinguishes records that expire at the same time.
    pub(super) serial: u64,
}

impl Pool {
    /// Raises the floor of a shard to `epoch` and returns the floor.
    pub(super) fn raise(&mut self, shard: Shard, epoch: Epoch) -> Epoch {
        let floor = self.floors.entry(shard).or_default();
        *floor = epoch.max(*floor);
        *floor
    }

    /// Notes which keys the fence of a shard covers.
    pub(super) fn fence(&mut self, shard: Shard, epoch: Epoch, cover: Cover) {
        match &cover {
            Cover::Single(hash) => {
                let floor = self.singles.entry(*hash).or_default();
                *floor = epoch.max(*floor);
            }
            Cover::Part { shards, .. } => {
                self.shards = *shards;
                // The fence of the part replaces those of keys merged back into it.
                self.singles
                    .retain(|hash, floor| *floor > epoch || !cover.contains(shard, *hash));
                self.parts.insert(shard, (epoch, cover));
            }
        }
    }

    /// The lowest epoch that may write records with this hash.
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
