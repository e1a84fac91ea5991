//! Detection of hot keys in bounded memory, for the load reports.

use std::{collections::HashMap, time::Duration};

use wisteriaglade_types::Hash;

/// Number of counters. A key with more than one in this many of the requests
/// always has one.
const MAX_COUNTERS: usize = 512;

/// Most keys in a report.
const MAX_REPORTED_KEYS: usize = 16;

/// Lowest rate of a reported key, in requests per second. It keeps the reports
/// of lightly loaded nodes short.
const MIN_REPORTED_RATE: u32 = 20;

/// Counts requests by key over one report interval.
///
/// A variant of the Space-Saving algorithm (Metwally, Agrawal and El Abbadi,
/// 2005) that evicts counters in batches.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    counts: HashMap<Hash, u32>,
    /// The largest evicted count. A new key starts from it, since the key may
    /// have been evicted before.
    floor: u32,
}

impl Counters {
    /// Counts one request of a key.
    pub(crate) fn record(&mut self, key: Hash) {
        if let Some(count) = self.counts.get_mut(&key) {
            *count += 1;
            return;
        }
        if self.counts.len() >= MAX_COUNTERS {
            self.evict_cold();
        }
        self.counts.insert(key, self.floor + 1);
    }

    /// Returns the hash of each of the hottest keys with its requests per second,
    /// highest first, and resets all counts.
    pub(crate) fn take_hottest(&mut self, interval: Duration) -> Vec<(u64, u32)> {
        let mut counts: Vec<(Hash, u32)> = self.counts.drain().collect();
        self.floor = 0;
        counts.sort_unstable_by_key(|&(_, count)| std::cmp::Reverse(count));
        let millis = interval.as_millis().max(1);
        counts
            .into_iter()
            .take(MAX_REPORTED_KEYS)
            .map(|(key, count)| {
                let rate = u128::from(count) * 1_000 / millis;
                (key.get(), u32::try_from(rate).unwrap_or(u32::MAX))
            })
            .filter(|&(_, rate)| rate >= MIN_REPORTED_RATE)
            .collect()
    }

    /// Evicts the keys whose count is at most the median. Evicting half of the
    /// keys at once keeps the amortised cost per request small when most keys
    /// are cold.
    fn evict_cold(&mut self) {
        let mut counts: Vec<u32> = self.counts.values().copied().collect();
        let middle = counts.len() / 2;
        let (_, &mut median, _) = counts.select_nth_unstable(middle);
        self.counts.retain(|_, count| *count > median);
        self.floor = self.floor.max(median);
    }
}

#[cfg(test)]
mod tests;
