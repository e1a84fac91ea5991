//! The rates of the hottest keys of a pool.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::{Epoch, Hash};

use super::{Config, Load};
use crate::Pool;

/// The rate of a key that a node reported as one of its hottest.
#[derive(Debug, Clone, Copy)]
struct Key {
    /// Requests per second, as a moving average.
    rate: f64,
    /// When it was last reported.
    reported: Duration,
    /// Since when it has been hot, if it is.
    since: Option<Duration>,
    /// When it was last hot or nearly so.
    until: Duration,
}

/// The rates of the hottest keys of a pool.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    rates: BTreeMap<Hash, Key>,
    /// The keys with a dedicated shard, and the first epoch of the shard when
    /// it was made under this leadership.
    dedicated: BTreeMap<Hash, Option<Epoch>>,
    /// Whether `dedicated` has been filled.
    begun: bool,
}

impl Keys {
    /// The weight of a new report.
    const WEIGHT: f64 = 0.3;
    /// How long the last report of a key counts. Nodes report every second.
    const FRESH: Duration = Duration::from_secs(5);

    pub(crate) fn learn(&mut self, now: Duration, report: &Load) {
        let hottest = report.hottest.iter().take(Load::MOST_KEYS);
        for (hash, rate) in hottest.filter(|(_, rate)| rate.is_finite() && *rate > 0.0) {
            let key = self.rates.entry(*hash).or_insert(Key {
                rate: *rate,
                reported: now,
                since: None,
                until: now,
            });
            key.rate += Self::WEIGHT * (rate - key.rate);
            key.reported = now;
        }
    }

    /// Compares the rates with the bound of a hot key, and forgets keys that
    /// are no longer reported and have no dedicated shard.
    pub(crate) fn compare(&mut self, now: Duration, bound: f64, pool: &Pool) {
        self.dedicated
            .retain(|hash, _| pool.dedicated(*hash).is_some());
        for (hash, shard) in pool.hot() {
            let epoch = pool.grant(*shard).map(|grant| grant.epoch);
            let epoch = epoch.filter(|_| self.begun);
            self.dedicated.entry(*hash).or_insert(epoch);
            // A key that no node reports is cold from now on.
            self.rates.entry(*hash).or_insert(Key {
                rate: 0.0,
                reported: now,
                since: None,
                until: now,
            });
        }
        self.begun = true;
        self.rates.retain(|hash, key| {
            let fresh = now.saturating_sub(key.reported) < Self::FRESH;
            if fresh && key.rate > bound {
                key.since.get_or_insert(now);
            } else {
                key.since = None;
            }
            // Half of the bound, so that a key near the bound does not change
            // its shard back and forth.
            if fresh && key.rate > bound / 2.0 {
                key.until = now;
            }
            fresh || pool.dedicated(*hash).is_some()
        });
    }

    /// The keys that have been hot for long enough, hottest first.
    pub(crate) fn hot(&self, now: Duration, config: &Config) -> Vec<(Hash, f64)> {
        let hot = self.rates.iter().filter(|(_, key)| {
            let since = key.since.unwrap_or(now);
            key.since.is_some() && now.saturating_sub(since) >= config.hot_after
        });
        let mut hot: Vec<_> = hot.map(|(hash, key)| (*hash, key.rate)).collect();
        hot.sort_by(|one, two| two.1.total_cmp(&one.1));
        hot
    }

    /// Whether a dedicated shard has not moved since it was made. It may move
    /// at once, for making it was no move.
    pub(crate) fn is_unmoved(&self, hash: Hash, epoch: Epoch) -> bool {
        self.dedicated.get(&hash) == Some(&Some(epoch))
    }

    /// Whether a key has been cold for `after`.
    pub(crate) fn is_cold(&self, now: Duration, after: Duration, hash: Hash) -> bool {
        let key = self.rates.get(&hash);
        key.is_some_and(|key| now.saturating_sub(key.until) >= after)
    }

    /// The rate of a key, or zero when it is not reported.
    pub(crate) fn rate(&self, now: Duration, hash: Hash) -> f64 {
        let key = self.rates.get(&hash);
        let fresh = key.filter(|key| now.saturating_sub(key.reported) < Self::FRESH);
        fresh.map_or(0.0, |key| key.rate)
    }
}
