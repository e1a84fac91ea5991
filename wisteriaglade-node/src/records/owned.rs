//! The shards that the owner reducer has been told of.

use std::collections::BTreeMap;

use wisteriaglade_control::{Pool, State, planner};
use wisteriaglade_once::{Keyspace, owner::Event};
use wisteriaglade_types::{Epoch, Hash, Name, Node, Shard};

/// The shards of this node, as last reported to the owner reducer.
#[derive(Debug, Default)]
pub(super) struct Owned {
    shards: BTreeMap<(Name, Shard), Reported>,
    /// Grants since the last call of `take_granted`, for the metrics.
    granted: u64,
}

/// The last reported state of a shard.
#[derive(Debug, PartialEq, Eq)]
struct Reported {
    epoch: Epoch,
    keyspace: Keyspace,
    holders: Vec<Node>,
    /// The last requested set of replacement holders, so that the same set isn't
    /// requested twice.
    replacement: Option<Vec<Node>>,
}

impl Owned {
    /// Returns the number of grants since the last call.
    pub(super) const fn take_granted(&mut self) -> u64 {
        std::mem::replace(&mut self.granted, 0)
    }

    /// Compares the control state with the last report, and returns the events
    /// that bring the owner reducer up to date.
    pub(super) fn update(&mut self, state: &State, node: Node) -> Vec<Event> {
        let mut events = Vec::new();
        let Some(process) = state.node(node) else {
            return events;
        };
        let Some((name, pool)) = process
            .pool()
            .and_then(|name| Some((name, state.pool(name)?)))
        else {
            return events;
        };
        let mut present: Vec<_> = state.shards_of(node).collect();
        // Dedicated shards have the highest numbers, so that they are reported
        // before the shards from which their keys were split off.
        present.sort_by_key(|grant| std::cmp::Reverse(grant.shard));
        self.release(name, &present, &mut events);
        for grant in present {
            self.grant(state, name, pool, grant.shard, grant.epoch, &mut events);
        }
        events
    }

    /// Adds a release event for every reported shard that this node no longer owns.
    fn release(
        &mut self,
        pool: &Name,
        present: &[wisteriaglade_control::Grant],
        events: &mut Vec<Event>,
    ) {
        let kept: std::collections::BTreeSet<Shard> =
            present.iter().map(|grant| grant.shard).collect();
        self.shards.retain(|(name, shard), _| {
            let keep = name == pool && kept.contains(shard);
            if !keep {
                events.push(Event::Release {
                    pool: name.clone(),
                    shard: *shard,
                });
            }
            keep
        });
    }

    /// Adds a grant event if the epoch, keyspace or holders have changed, and requests
    /// replacements of lost holders.
    fn grant(
        &mut self,
        state: &State,
        name: &Name,
        pool: &Pool,
        shard: Shard,
        epoch: Epoch,
        events: &mut Vec<Event>,
    ) {
        let holders = pool.holders(shard).to_vec();
        let keyspace = keyspace(pool, shard);
        let lost = holders
            .iter()
            .any(|&holder| state.node(holder).is_none() || state.is_fenced(holder));
        let shard_key = (name.clone(), shard);
        let reported = self.shards.get(&shard_key);
        if reported.is_none_or(|reported| reported.epoch != epoch) {
            self.granted += 1;
        }
        if reported.is_none_or(|reported| {
            reported.epoch != epoch || reported.keyspace != keyspace || reported.holders != holders
        }) {
            events.push(Event::Grant {
                pool: name.clone(),
                shard,
                epoch,
                keyspace: keyspace.clone(),
                holders: holders.clone(),
            });
            let reported = Reported {
                epoch,
                keyspace,
                holders: holders.clone(),
                replacement: None,
            };
            self.shards.insert(shard_key.clone(), reported);
        }
        if !lost {
            return;
        }
        let replacement = planner::replacement(state, name, shard);
        if let Some(reported) = self.shards.get_mut(&shard_key)
            && replacement.is_some()
            && reported.replacement != replacement
        {
            reported.replacement.clone_from(&replacement);
            events.extend(replacement.map(|holders| Event::Replace {
                pool: name.clone(),
                shard,
                holders,
            }));
        }
    }
}

/// Returns the keys of a shard: the one key of a dedicated shard, or else all
/// keys that hash to it without those that have a dedicated shard.
fn keyspace(pool: &Pool, shard: Shard) -> Keyspace {
    if let Some(hash) = pool.key(shard) {
        return Keyspace::Dedicated(hash);
    }
    let shards = pool.shards();
    let excluded: Vec<Hash> = pool
        .hot_keys()
        .iter()
        .map(|&(hash, _)| hash)
        .filter(|hash| hash.shard(shards) == shard)
        .collect();
    Keyspace::Partition { shards, excluded }
}
