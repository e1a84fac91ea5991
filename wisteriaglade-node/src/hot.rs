//! Finds the hottest keys in bounded memory.

use std::{collections::HashMap, time::Duration};

use wisteriaglade_types::Hash;

/// Keys that are counted at once. A key with more than one in this many of
/// the requests is always among them.
const COUNTED: usize = 512;

/// Keys in a report.
const REPORTED: usize = 16;

/// Requests per second below which a key is not reported, which keeps reports
/// of quiet nodes short.
const QUIET: u32 = 20;

/// Counts requests by key over one report interval, after the space-saving
/// algorithm (Metwally, Agrawal and El Abbadi, 2005).
#[derive(Debug, Default)]
pub(crate) struct Hot {
    counts: HashMap<Hash, u32>,
    /// The count that a new key inherits, since it may have been dropped.
    floor: u32,
}

impl Hot {
    /// Counts one request.
    pub(crate) fn add(&mut self, key: Hash) {
        if let Some(count) = self.counts.get_mut(&key) {
            *count += 1;
            return;
        }
        if self.counts.len() >= COUNTED {
            self.shrink();
        }
        self.counts.insert(key, self.floor + 1);
    }

    /// The hottest keys with their requests per second; starts a new interval.
    pub(crate) fn take(&mut self, interval: Duration) -> Vec<(u64, u32)> {
        let mut counts: Vec<(Hash, u32)> = self.counts.drain().collect();
        self.floor = 0;
        counts.sort_unstable_by_key(|&(_, count)| std::cmp::Reverse(count));
        let millis = interval.as_millis().max(1);
        counts
            .into_iter()
            .take(REPORTED)
            .map(|(key, count)| {
                let rate = u128::from(count) * 1_000 / millis;
                (key.get(), u32::try_from(rate).unwrap_or(u32::MAX))
            })
            .filter(|&(_, rate)| rate >= QUIET)
            .collect()
    }

    /// Drops the colder half at once, so that a stream of cold keys costs
    /// little for each.
    fn shrink(&mut self) {
        let mut counts: Vec<u32> = self.counts.values().copied().collect();
        let middle = counts.len() / 2;
        let (_, &mut median, _) = counts.select_nth_unstable(middle);
        self.counts.retain(|_, count| *count > median);
        self.floor = self.floor.max(median);
    }
}

#[cfg(test)]
mod tests;
