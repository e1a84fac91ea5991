//! Assignment of dedicated shards to hot keys, and their removal.

use std::time::Duration;

use wisteriaglade_types::Hash;

use super::{Pass, Planner, Subject, roster::Roster, tracker::Tracker};
use crate::{Command, Grant, Pool};

/// The maximum number of keys that get a dedicated shard in one pass over a
/// pool.
const MAX_SPLITS: usize = 16;

/// The minimum rate of a hot key in requests per second. Below it, a move costs
/// more than it gains, whatever the size of the pool.
const MIN_HOT_RATE: f64 = 10.0;

impl Planner {
    /// Gives hot keys dedicated shards and removes the dedicated shards of cold
    /// keys.
    pub(super) fn review_hot_keys(
        &mut self,
        pass: &Pass<'_>,
        tracker: &mut Tracker,
        commands: &mut Vec<Command>,
    ) {
        let roster = Roster::new(self.roster_entries(pass, tracker));
        let rates = roster.entries().iter().map(|entry| self.rate(entry.node));
        let total: f64 = rates.sum();
        #[allow(clippy::cast_precision_loss, reason = "there are few nodes")]
        let count = roster.entries().len().max(1) as f64;
        let bound = (total / count * self.config.hot_ratio).max(MIN_HOT_RATE);
        tracker.keys.update(pass.now, bound, pass.pool);
        self.dedicate_hot_keys(pass, tracker, &roster, commands);
        self.merge_cold_keys(pass, tracker, commands);
    }

    fn dedicate_hot_keys(
        &mut self,
        pass: &Pass<'_>,
        tracker: &Tracker,
        roster: &Roster,
        commands: &mut Vec<Command>,
    ) {
        let remaining = Pool::MAX_DEDICATED.saturating_sub(pass.pool.hot_keys().len());
        let hot = tracker.keys.hot(pass.now, &self.config);
        let hot = hot
            .into_iter()
            .filter(|(hash, _)| pass.pool.dedicated(*hash).is_none());
        let worthwhile: Vec<Hash> = hot
            .filter(|(hash, rate)| self.is_worthwhile(pass, tracker, roster, *hash, *rate))
            .map(|(hash, _)| hash)
            .take(MAX_SPLITS.min(remaining))
            .collect();
        for hash in worthwhile {
            let pool = pass.name.clone();
            if self
                .in_flight
                .insert(pass.now, Subject::Dedicate(pool.clone(), hash))
            {
                commands.push(Command::Dedicate { pool, hash });
            }
        }
    }

    /// Returns whether a dedicated shard helps: the load factor of the owner is
    /// above the mean, and the owner has other work that can be separated from
    /// the key.
    fn is_worthwhile(
        &self,
        pass: &Pass<'_>,
        tracker: &Tracker,
        roster: &Roster,
        hash: Hash,
        rate: f64,
    ) -> bool {
        let grant = pass.pool.grant(pass.pool.shard(hash));
        let Some(grant) = grant.filter(|grant| tracker.destination(grant).is_none()) else {
            return false;
        };
        let owner = grant.owner.and_then(|owner| roster.get(owner));
        owner.is_some_and(|owner| {
            owner.load_factor() > roster.mean_load_factor() && rate < 0.9 * self.rate(owner.node)
        })
    }

    fn merge_cold_keys(
        &mut self,
        pass: &Pass<'_>,
        tracker: &mut Tracker,
        commands: &mut Vec<Command>,
    ) {
        let after = cold_after(self.config.cold_after, pass.pool);
        for (hash, shard) in pass.pool.hot_keys() {
            if !tracker.keys.is_cold(pass.now, after, *hash) {
                continue;
            }
            let base = pass.pool.grant(hash.shard(pass.pool.shards()));
            let (Some(from), Some(into)) = (pass.pool.grant(*shard), base) else {
                continue;
            };
            let is_stationary = |grant: &Grant| tracker.destination(grant).is_none();
            if is_stationary(&from) && is_stationary(&into) {
                self.merge_key(pass, tracker, *hash, (from, into), commands);
            }
        }
    }

    /// Transfers a dedicated shard to the owner of the shard that the key
    /// returns to, and merges it once the holders are equal. In between, the
    /// owner replaces the holders of the dedicated shard.
    fn merge_key(
        &mut self,
        pass: &Pass<'_>,
        tracker: &mut Tracker,
        hash: Hash,
        (from, into): (Grant, Grant),
        commands: &mut Vec<Command>,
    ) {
        let pool = pass.name.clone();
        let Some(to) = into.owner else { return };
        if from.owner != into.owner {
            let ready = pass.state.node(to);
            if ready.is_some_and(|node| node.is_ready(pass.name.as_str())) {
                tracker.record_proposal(pass.now, &from, to, tracker.keys.rate(pass.now, hash));
                commands.push(Command::Transfer {
                    pool,
                    shard: from.shard,
                    epoch: from.epoch,
                    to,
                });
            }
            return;
        }
        let (one, two) = (pass.pool.holders(from.shard), pass.pool.holders(into.shard));
        let equal = one.len() == two.len() && one.iter().all(|node| two.contains(node));
        if equal
            && self
                .in_flight
                .insert(pass.now, Subject::Merge(pool.clone(), hash))
        {
            commands.push(Command::Merge { pool, hash });
        }
    }
}

/// Returns the time after which a key counts as cold. It shortens as the free
/// dedicated shards run out, because the hottest keys of a pool can change
/// within minutes.
fn cold_after(longest: Duration, pool: &Pool) -> Duration {
    const MIN_COLD_AFTER: Duration = Duration::from_secs(30);
    let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
    let left = Pool::MAX_DEDICATED.saturating_sub(pool.hot_keys().len());
    // Divides first, so that no setting can overflow.
    let shortened = longest / count(Pool::MAX_DEDICATED) * count(left);
    shortened.max(MIN_COLD_AFTER.min(longest))
}
