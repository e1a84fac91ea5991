use std::{
    collections::{BTreeMap, HashMap},
    ops::Bound,
    time::Duration,
};

use wisteriaglade_types::{Name, Shard};

use super::{
    Config, Cursor, MAX_PAGE_BYTES,
    pool::{Pool, Stored},
};
use crate::{Key, Keyspace, Record, State};

/// The records of all pools, within the limits of retention and memory.
#[derive(Debug)]
pub(super) struct Store {
    config: Config,
    pools: HashMap<Name, Pool>,
    /// The keys of all records, ordered by expiry.
    expiry: BTreeMap<(Duration, u64), Key>,
    sequence: u64,
    used: usize,
}

impl Store {
    pub(super) fn new(config: Config) -> Self {
        Self {
            config,
            pools: HashMap::new(),
            expiry: BTreeMap::new(),
            sequence: 0,
            used: 0,
        }
    }

    pub(super) const fn memory_used(&self) -> usize {
        self.used
    }

    pub(super) fn len(&self) -> usize {
        self.expiry.len()
    }

    pub(super) fn pool(&mut self, name: &Name) -> &mut Pool {
        if !self.pools.contains_key(name) {
            self.pools.insert(name.clone(), Pool::default());
        }
        self.pools.get_mut(name).expect("inserted above")
    }

    /// Returns the record of a key, with its current age.
    pub(super) fn get(&self, now: Duration, key: &Key) -> Option<Record> {
        let position = Cursor::new(key.hash, key.id.clone());
        let stored = self.pools.get(&key.pool)?.records.get(&position)?;
        Some(self.export(now, stored))
    }

    /// Stores a record if it supersedes the stored one. Returns `false` if there was no
    /// room for it.
    pub(super) fn merge(&mut self, now: Duration, mut record: Record) -> bool {
        // Decoding allocates a name for each record. Sharing one saves memory.
        if let Some((name, _)) = self.pools.get_key_value(&record.key.pool) {
            record.key.pool = name.clone();
        }
        let position = Cursor::new(record.key.hash, record.key.id.clone());
        let current = self.pool(&record.key.pool).records.get(&position);
        if current.is_some_and(|current| !record.supersedes(&current.record)) {
            return true;
        }
        let freed = current.map_or(0, |current| current.record.size());
        // A record that is no larger than the one it replaces is always accepted: an
        // outcome fits in the memory that was reserved for it at the start.
        if record.size() > freed && self.used - freed + record.size() > self.config.memory {
            return false;
        }
        self.remove(&record.key);
        let lifetime = self.lifetime(&record).saturating_sub(record.age);
        let expires = now + lifetime;
        self.sequence += 1;
        self.used += record.size();
        self.expiry
            .insert((expires, self.sequence), record.key.clone());
        let sequence = self.sequence;
        let pool = record.key.pool.clone();
        let stored = Stored {
            record,
            expires,
            sequence,
        };
        self.pool(&pool).records.insert(position, stored);
        true
    }

    /// Removes the records whose retention has ended.
    pub(super) fn expire(&mut self, now: Duration) {
        while let Some(entry) = self.expiry.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let key = entry.get().clone();
            self.remove(&key);
        }
    }

    /// Returns the records of a shard after `cursor`, up to the size of a page, with the
    /// cursor for the next page if there is one.
    pub(super) fn page(
        &self,
        now: Duration,
        pool: &Name,
        shard: Shard,
        keyspace: &Keyspace,
        cursor: Option<&Cursor>,
    ) -> (Vec<Record>, Option<Cursor>) {
        let mut records = Vec::new();
        let mut last = None;
        let mut size = 0;
        let Some(pool) = self.pools.get(pool) else {
            return (records, None);
        };
        let (first, end) = hash_bounds(shard, keyspace);
        let first = Cursor::first(first);
        let from = match cursor {
            Some(cursor) if *cursor >= first => Bound::Excluded(cursor),
            _ => Bound::Included(&first),
        };
        for (position, stored) in pool.records.range((from, Bound::Unbounded)) {
            if position.reversed() > end {
                break;
            }
            if !keyspace.contains(shard, stored.record.key.hash) {
                continue;
            }
            size += stored.record.max_encoded_len();
            if size > MAX_PAGE_BYTES && !records.is_empty() {
                return (records, last);
            }
            records.push(self.export(now, stored));
            last = Some(position.clone());
        }
        (records, None)
    }

    fn remove(&mut self, key: &Key) {
        let position = Cursor::new(key.hash, key.id.clone());
        if let Some(stored) = self.pool(&key.pool).records.remove(&position) {
            self.used -= stored.record.size();
            self.expiry.remove(&(stored.expires, stored.sequence));
        }
    }

    fn export(&self, now: Duration, stored: &Stored) -> Record {
        let left = stored.expires.saturating_sub(now);
        Record {
            age: self.lifetime(&stored.record).saturating_sub(left),
            ..stored.record.clone()
        }
    }

    const fn lifetime(&self, record: &Record) -> Duration {
        match record.state {
            State::Aborted => self.config.tombstone,
            State::Started | State::Completed(_) | State::Unknown => self.config.retention,
        }
    }
}

/// The bounds, both inclusive, of the reversed hashes of the keys of a shard.
fn hash_bounds(shard: Shard, keyspace: &Keyspace) -> (u64, u64) {
    match keyspace {
        Keyspace::Dedicated(hash) => (hash.get().reverse_bits(), hash.get().reverse_bits()),
        Keyspace::Partition { shards, .. } if shards.is_power_of_two() => {
            let first = u64::from(shard.get()).reverse_bits();
            let rest = u64::MAX.checked_shr(shards.trailing_zeros()).unwrap_or(0);
            (first, first | rest)
        }
        Keyspace::Partition { .. } => (0, u64::MAX),
    }
}
