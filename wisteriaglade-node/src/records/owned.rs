//! Which shards the owner's side knows of.

use std::collections::BTreeMap;

use wisteriaglade_control::{Pool, State, planner};
use wisteriaglade_once::{Keyspace, owner::Event};
use wisteriaglade_types::{Epoch, Hash, Name, Node, Shard};

/// The shards of this node as they were last told to the owner's side.
#[derive(Debug, Default)]
pub(super) struct Owned {
    shards: BTreeMap<(Name, Shard), Told>,
    /// Grants since they were last taken, for the metrics.
    granted: u64,
}

#[derive(Debug, PartialEq, Eq)]
struct Told {
    epoch: Epoch,
    cover: Keyspace,
    holders: Vec<Node>,
    /// The replacement that was asked for, so that it is asked for once.
    replacement: Option<Vec<Node>>,
}

impl Owned {
    /// The number of grants since the last call.
    pub(super) const fn take_granted(&mut self) -> u64 {
        std::mem::replace(&mut self.granted, 0)
    }

    /// The events that bring the owner's side up to date.
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
        // Dedicated shards have the highest numbers and come before the shards
        // that their keys were taken from.
        present.sort_by_key(|grant| std::cmp::Reverse(grant.shard));
        self.disown(name, &present, &mut events);
        for grant in present {
            self.own(state, name, pool, grant.shard, grant.epoch, &mut events);
        }
        events
    }

    fn disown(
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

    fn own(
        &mut self,
        state: &State,
        name: &Name,
        pool: &Pool,
        shard: Shard,
        epoch: Epoch,
        events: &mut Vec<Event>,
    ) {
        let holders = pool.holders(shard).to_vec();
        let cover = cover(pool, shard);
        let lost = holders
            .iter()
            .any(|&holder| state.node(holder).is_none() || state.is_fenced(holder));
        let place = (name.clone(), shard);
        let told = self.shards.get(&place);
        if told.is_none_or(|told| told.epoch != epoch) {
            self.granted += 1;
        }
        if told.is_none_or(|told| {
            told.epoch != epoch || told.cover != cover || told.holders != holders
        }) {
            events.push(Event::Grant {
                pool: name.clone(),
                shard,
                epoch,
                keyspace: cover.clone(),
                holders: holders.clone(),
            });
            let told = Told {
                epoch,
                cover,
                holders: holders.clone(),
                replacement: None,
            };
            self.shards.insert(place.clone(), told);
        }
        if !lost {
            return;
        }
        let replacement = planner::replacement(state, name, shard);
        if let Some(told) = self.shards.get_mut(&place)
            && replacement.is_some()
            && told.replacement != replacement
        {
            told.replacement.clone_from(&replacement);
            events.extend(replacement.map(|holders| Event::Replace {
                pool: name.clone(),
                shard,
                holders,
            }));
        }
    }
}

fn cover(pool: &Pool, shard: Shard) -> Keyspace {
    if let Some(hash) = pool.key(shard) {
        return Keyspace::Dedicated(hash);
    }
    let shards = pool.shards();
    let excluded: Vec<Hash> = pool
        .hot()
        .iter()
        .map(|&(hash, _)| hash)
        .filter(|hash| hash.shard(shards) == shard)
        .collect();
    Keyspace::Partition { shards, excluded }
}
