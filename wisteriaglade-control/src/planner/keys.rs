//! Tracking of the hottest keys of a pool.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_types::{Epoch, Hash};

use super::{Config, Load};
use crate::Pool;

/// The rate of one key that a node reported as one of its hottest.
#[derive(Debug, Clone, Copy)]
struct Key {
    /// Requests per second, as an exponential moving average.
    rate: f64,
    /// The time of the last report of the key.
    reported_at: Duration,
    /// The time since which the key has been hot, or `None` when it is not.
    hot_since: Option<Duration>,
    /// The last time at which the key was above half of the bound of a hot key.
    last_hot: Duration,
}

/// The rates of the hottest keys of a pool, and which of them have dedicated
/// shards.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    rates: BTreeMap<Hash, Key>,
    /// The keys with a dedicated shard. The value is the first epoch of the
    /// shard, or `None` when the shard is older than this leadership.
    dedicated: BTreeMap<Hash, Option<Epoch>>,
    /// Whether `dedicated` has been filled from the state under this
    /// leadership.
    initialized: bool,
}

impl Keys {
    /// The weight of a new report in the moving average, from 0 to 1.
    const SMOOTHING: f64 = 0.3;
    /// The time for which the last report of a key is valid. Nodes report every
    /// second.
    const REPORT_LIFETIME: Duration = Duration::from_secs(5);

    pub(crate) fn record(&mut self, now: Duration, report: &Load) {
        let hottest = report.hottest.iter().take(Load::MAX_HOT_KEYS);
        for (hash, rate) in hottest.filter(|(_, rate)| rate.is_finite() && *rate > 0.0) {
            let key = self.rates.entry(*hash).or_insert(Key {
                rate: *rate,
                reported_at: now,
                hot_since: None,
                last_hot: now,
            });
            key.rate += Self::SMOOTHING * (rate - key.rate);
            key.reported_at = now;
        }
    }

    /// Compares the rates with the bound of a hot key in requests per second.
    /// Drops keys that are no longer reported and have no dedicated shard.
    pub(crate) fn update(&mut self, now: Duration, bound: f64, pool: &Pool) {
        self.dedicated
            .retain(|hash, _| pool.dedicated(*hash).is_some());
        for (hash, shard) in pool.hot_keys() {
            let epoch = pool.grant(*shard).map(|grant| grant.epoch);
            let epoch = epoch.filter(|_| self.initialized);
            self.dedicated.entry(*hash).or_insert(epoch);
            // A key that no node reports counts as cold from now on.
            self.rates.entry(*hash).or_insert(Key {
                rate: 0.0,
                reported_at: now,
                hot_since: None,
                last_hot: now,
            });
        }
        self.initialized = true;
        self.rates.retain(|hash, key| {
            let is_recent = now.saturating_sub(key.reported_at) < Self::REPORT_LIFETIME;
            if is_recent && key.rate > bound {
                key.hot_since.get_or_insert(now);
            } else {
                key.hot_since = None;
            }
            // The lower bound is half of the upper one, so that a key near the
            // bound does not get and lose its dedicated shard repeatedly.
            if is_recent && key.rate > bound / 2.0 {
                key.last_hot = now;
            }
            is_recent || pool.dedicated(*hash).is_some()
        });
    }

    /// Returns the keys that have been hot for at least `hot_after`, with their
    /// rates in requests per second, hottest first.
    pub(crate) fn hot(&self, now: Duration, config: &Config) -> Vec<(Hash, f64)> {
        let hot = self.rates.iter().filter(|(_, key)| {
            let hot_since = key.hot_since.unwrap_or(now);
            key.hot_since.is_some() && now.saturating_sub(hot_since) >= config.hot_after
        });
        let mut hot: Vec<_> = hot.map(|(hash, key)| (*hash, key.rate)).collect();
        hot.sort_by(|one, two| two.1.total_cmp(&one.1));
        hot
    }

    /// Returns whether a dedicated shard has not moved since its creation. It
    /// may then be moved at once, because its creation moved nothing.
    pub(crate) fn is_unmoved(&self, hash: Hash, epoch: Epoch) -> bool {
        self.dedicated.get(&hash) == Some(&Some(epoch))
    }

    /// Returns whether a key has been cold for at least `after`.
    pub(crate) fn is_cold(&self, now: Duration, after: Duration, hash: Hash) -> bool {
        let key = self.rates.get(&hash);
        key.is_some_and(|key| now.saturating_sub(key.last_hot) >= after)
    }

    /// Returns the rate of a key in requests per second, or zero when it is not
    /// reported.
    pub(crate) fn rate(&self, now: Duration, hash: Hash) -> f64 {
        let key = self.rates.get(&hash);
        let recent = key.filter(|key| now.saturating_sub(key.reported_at) < Self::REPORT_LIFETIME);
        recent.map_or(0.0, |key| key.rate)
    }
}
