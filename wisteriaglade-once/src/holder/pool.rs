use std::collections::{BTreeMap, HashMap};

use wisteriaglade_types::{Epoch, Hash, Shard};

use super::Cursor;
use crate::{Keyspace, Record};

/// The records and fences of one pool.
#[derive(Debug, Default)]
pub(super) struct Pool {
    /// The highest epoch seen for each shard. Messages with a lower one are rejected.
    min_epochs: HashMap<Shard, Epoch>,
    /// Epoch and keys of the last fence of each shard that isn't dedicated.
    partitions: HashMap<Shard, (Epoch, Keyspace)>,
    /// The epoch of the last fence of each dedicated shard, by its key hash.
    dedicated: HashMap<Hash, Epoch>,
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
    pub(super) sequence: u64,
}

impl Pool {
    /// Raises the minimum epoch of a shard to `epoch`, unless it is higher already, and
    /// returns the minimum.
    pub(super) fn raise_min_epoch(&mut self, shard: Shard, epoch: Epoch) -> Epoch {
        let min_epoch = self.min_epochs.entry(shard).or_default();
        *min_epoch = epoch.max(*min_epoch);
        *min_epoch
    }

    /// Records the fence of a shard, with the keys that it applies to.
    pub(super) fn fence(&mut self, shard: Shard, epoch: Epoch, keyspace: Keyspace) {
        match &keyspace {
            Keyspace::Dedicated(hash) => {
                let min_epoch = self.dedicated.entry(*hash).or_default();
                *min_epoch = epoch.max(*min_epoch);
            }
            Keyspace::Partition { shards, .. } => {
                self.shards = *shards;
                // Keys that were merged back into the shard no longer have a dedicated
                // shard, so this fence replaces theirs.
                self.dedicated.retain(|hash, min_epoch| {
                    *min_epoch > epoch || !keyspace.contains(shard, *hash)
                });
                self.partitions.insert(shard, (epoch, keyspace));
            }
        }
    }

    /// The lowest epoch that may write a record with this hash.
    pub(super) fn min_epoch(&self, hash: Hash) -> Epoch {
        let dedicated = self.dedicated.get(&hash).copied().unwrap_or_default();
        let partition = match self.shards {
            0 => None,
            shards => self.partitions.get(&hash.shard(shards)),
        };
        let home = hash.shard(self.shards.max(1));
        match partition {
            Some((epoch, keyspace)) if keyspace.contains(home, hash) => dedicated.max(*epoch),
            _ => dedicated,
        }
    }
}
