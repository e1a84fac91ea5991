//! The shards of a pool.

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Hash, Node, Shard};

use super::{Grant, Row};

/// The shards of a pool: a fixed number that divide the key space, followed by
/// the dedicated ones of hot keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    shards: u32,
    rows: Vec<Row>,
    /// The key of each dedicated shard. A freed one keeps its row, so that the
    /// epochs of a reused shard go on growing.
    dedicated: Vec<Option<Hash>>,
    /// The dedicated shards in the order of their hashes.
    hot: Vec<(Hash, Shard)>,
}

impl Pool {
    /// The largest number of dedicated shards of a pool.
    pub const MOST_DEDICATED: usize = 512;

    pub(crate) fn new(shards: u32) -> Self {
        Self {
            shards,
            rows: vec![Row::default(); shards as usize],
            dedicated: Vec::new(),
            hot: Vec::new(),
        }
    }

    /// The number of shards that divide the key space, without dedicated ones.
    #[must_use]
    pub const fn shards(&self) -> u32 {
        self.shards
    }

    /// The hot keys and their dedicated shards, in the order of the hashes.
    #[must_use]
    pub fn hot(&self) -> &[(Hash, Shard)] {
        &self.hot
    }

    /// The shard of a key.
    #[must_use]
    pub fn shard(&self, hash: Hash) -> Shard {
        self.dedicated(hash)
            .unwrap_or_else(|| hash.shard(self.shards))
    }

    /// The dedicated shard of a key.
    #[must_use]
    pub fn dedicated(&self, hash: Hash) -> Option<Shard> {
        let at = self.hot.binary_search_by_key(&hash, |(hot, _)| *hot).ok()?;
        Some(self.hot[at].1)
    }

    /// The key of a dedicated shard.
    #[must_use]
    pub fn key(&self, shard: Shard) -> Option<Hash> {
        let at = shard.get().checked_sub(self.shards)?;
        *self.dedicated.get(at as usize)?
    }

    /// The ownership of a shard.
    #[must_use]
    pub fn grant(&self, shard: Shard) -> Option<Grant> {
        self.row(shard).map(|row| row.grant(shard))
    }

    /// The holders of the records of a shard.
    #[must_use]
    pub fn holders(&self, shard: Shard) -> &[Node] {
        self.row(shard).map_or(&[], Row::holders)
    }

    /// The ownership of each shard, dedicated ones last.
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

    /// Stops every move to a node that may not receive shards any more.
    pub(crate) fn stop_moves(&mut self, to: Node) {
        for row in self.rows.iter_mut().filter(|row| row.to == to) {
            row.to = Row::NONE;
        }
    }

    /// Adds a dedicated shard, or nothing when there are too many.
    pub(crate) fn add_dedicated(&mut self, hash: Hash, mut row: Row) -> Option<Shard> {
        let at = match self.dedicated.iter().position(Option::is_none) {
            Some(at) => at,
            None if self.dedicated.len() < Self::MOST_DEDICATED => {
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
        let place = self.hot.partition_point(|(hot, _)| *hot < hash);
        self.hot.insert(place, (hash, shard));
        Some(shard)
    }

    pub(crate) fn remove_dedicated(&mut self, hash: Hash) {
        let Some(shard) = self.dedicated(hash) else {
            return;
        };
        self.hot.retain(|(hot, _)| *hot != hash);
        self.dedicated[(shard.get() - self.shards) as usize] = None;
        let row = &mut self.rows[shard.get() as usize];
        *row = Row {
            epoch: row.epoch,
            ..Row::default()
        };
    }

    /// Whether the parts of the table agree, for a table from a snapshot.
    pub(crate) fn is_consistent(&self) -> bool {
        let mut hot: Vec<_> = (self.shards..)
            .map(Shard::new)
            .zip(&self.dedicated)
            .filter_map(|(shard, hash)| hash.map(|hash| (hash, shard)))
            .collect();
        hot.sort_unstable();
        self.shards > 0
            && self.rows.len() == self.shards as usize + self.dedicated.len()
            && self.dedicated.len() <= Self::MOST_DEDICATED
            && hot == self.hot
            && hot.windows(2).all(|pair| pair[0].0 != pair[1].0)
    }
}
