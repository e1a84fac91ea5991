//! The shard table of a pool.

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Hash, Node, Shard};

use super::{Grant, Row};

/// The shard table of a pool: a fixed number of shards that partition the key
/// space, followed by the dedicated shards of hot keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    shards: u32,
    rows: Vec<Row>,
    /// The key of each dedicated shard, or `None` for a free one. A free
    /// dedicated shard keeps its row, so that epochs keep increasing when its
    /// number is reused.
    dedicated: Vec<Option<Hash>>,
    /// The hot keys with their dedicated shards, sorted by hash.
    hot_keys: Vec<(Hash, Shard)>,
}

impl Pool {
    /// The maximum number of dedicated shards of a pool.
    pub const MAX_DEDICATED: usize = 512;

    pub(crate) fn new(shards: u32) -> Self {
        Self {
            shards,
            rows: vec![Row::default(); shards as usize],
            dedicated: Vec::new(),
            hot_keys: Vec::new(),
        }
    }

    /// Returns the number of shards that partition the key space, without
    /// dedicated ones.
    #[must_use]
    pub const fn shards(&self) -> u32 {
        self.shards
    }

    /// Returns the hot keys with their dedicated shards, sorted by hash.
    #[must_use]
    pub fn hot_keys(&self) -> &[(Hash, Shard)] {
        &self.hot_keys
    }

    /// Returns the shard that a key belongs to: its dedicated shard if it has
    /// one, or else the shard of its hash.
    #[must_use]
    pub fn shard(&self, hash: Hash) -> Shard {
        self.dedicated(hash)
            .unwrap_or_else(|| hash.shard(self.shards))
    }

    /// Returns the dedicated shard of a key, if it has one.
    #[must_use]
    pub fn dedicated(&self, hash: Hash) -> Option<Shard> {
        let at = self
            .hot_keys
            .binary_search_by_key(&hash, |(key, _)| *key)
            .ok()?;
        Some(self.hot_keys[at].1)
    }

    /// Returns the key of a dedicated shard, or `None` for a free or other
    /// shard.
    #[must_use]
    pub fn key(&self, shard: Shard) -> Option<Hash> {
        let at = shard.get().checked_sub(self.shards)?;
        *self.dedicated.get(at as usize)?
    }

    /// Returns the grant of a shard, or `None` when the pool has no such shard.
    #[must_use]
    pub fn grant(&self, shard: Shard) -> Option<Grant> {
        self.row(shard).map(|row| row.grant(shard))
    }

    /// Returns the holders of the records of a shard; empty when the pool has
    /// no such shard or no holders have been set.
    #[must_use]
    pub fn holders(&self, shard: Shard) -> &[Node] {
        self.row(shard).map_or(&[], Row::holders)
    }

    /// Returns the grant of each shard, dedicated shards last.
    pub fn grants(&self) -> impl Iterator<Item = Grant> {
        (0..)
            .map(Shard::new)
            .zip(&self.rows)
            .filter(|(shard, _)| self.is_used(*shard))
            .map(|(shard, row)| row.grant(shard))
    }

    fn is_used(&self, shard: Shard) -> bool {
        shard.get() < self.shards || self.key(shard).is_some()
    }

    pub(crate) fn row(&self, shard: Shard) -> Option<&Row> {
        let used = self.is_used(shard);
        self.rows.get(shard.get() as usize).filter(|_| used)
    }

    pub(crate) fn row_mut(&mut self, shard: Shard) -> Option<&mut Row> {
        let used = self.is_used(shard);
        self.rows.get_mut(shard.get() as usize).filter(|_| used)
    }

    /// Cancels every pending transfer to a node that may no longer receive
    /// shards.
    pub(crate) fn cancel_transfers(&mut self, to: Node) {
        for row in self.rows.iter_mut().filter(|row| row.moving_to == to) {
            row.moving_to = Row::NONE;
        }
    }

    /// Adds a dedicated shard for a key and returns it, or `None` when the pool
    /// has the maximum number. The epoch does not fall below that of an earlier
    /// use of the same shard number.
    pub(crate) fn add_dedicated(&mut self, hash: Hash, mut row: Row) -> Option<Shard> {
        let at = match self.dedicated.iter().position(Option::is_none) {
            Some(at) => at,
            None if self.dedicated.len() < Self::MAX_DEDICATED => {
                self.dedicated.push(None);
                self.rows.push(Row::default());
                self.dedicated.len() - 1
            }
            None => return None,
        };
        let shard = Shard::new(self.shards + u32::try_from(at).ok()?);
        let slot = &mut self.rows[shard.get() as usize];
        row.epoch = row.epoch.max(slot.epoch);
        *slot = row;
        self.dedicated[at] = Some(hash);
        let position = self.hot_keys.partition_point(|(key, _)| *key < hash);
        self.hot_keys.insert(position, (hash, shard));
        Some(shard)
    }

    pub(crate) fn remove_dedicated(&mut self, hash: Hash) {
        let Some(shard) = self.dedicated(hash) else {
            return;
        };
        self.hot_keys.retain(|(key, _)| *key != hash);
        self.dedicated[(shard.get() - self.shards) as usize] = None;
        let row = &mut self.rows[shard.get() as usize];
        *row = Row {
            epoch: row.epoch,
            ..Row::default()
        };
    }

    /// Returns whether the parts of a table decoded from a snapshot agree.
    pub(crate) fn is_consistent(&self) -> bool {
        let mut hot_keys: Vec<_> = (self.shards..)
            .map(Shard::new)
            .zip(&self.dedicated)
            .filter_map(|(shard, hash)| hash.map(|hash| (hash, shard)))
            .collect();
        hot_keys.sort_unstable();
        self.shards > 0
            && self.rows.len() == self.shards as usize + self.dedicated.len()
            && self.dedicated.len() <= Self::MAX_DEDICATED
            && hot_keys == self.hot_keys
            && hot_keys.windows(2).all(|pair| pair[0].0 != pair[1].0)
    }
}
