//! The choice of the nodes that hold the records of a shard.

use std::collections::BTreeMap;

use wisteriaglade_types::{Name, Node, Shard};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Process, State, Status};

/// The nodes that can hold records, grouped by data centre. It chooses the
/// initial holders of shards.
#[derive(Debug)]
pub(crate) struct Placement {
    /// The nodes of each data centre, in the order of their ids.
    data_centres: Vec<Vec<Node>>,
    /// The number of holders of a shard.
    count: usize,
}

impl Placement {
    pub(crate) fn new(state: &State) -> Self {
        let mut data_centres = BTreeMap::<&Name, Vec<Node>>::new();
        for process in state.nodes().filter(|process| can_hold(process)) {
            let nodes = data_centres.entry(process.data_centre()).or_default();
            nodes.push(process.node());
        }
        Self {
            data_centres: data_centres.into_values().collect(),
            count: state.config().holders.clamp(1, State::MAX_HOLDERS),
        }
    }

    /// Returns the initial holders of a shard: in different data centres if
    /// there are enough of them, and without the owner if there are enough
    /// nodes. The choice does not scan all nodes, so it is fast enough for a
    /// whole pool at once.
    pub(crate) fn initial_holders(&self, pool: &Name, shard: Shard, owner: Node) -> Vec<Node> {
        let seed = score(pool.as_str(), shard, 0);
        let mut chosen = Vec::with_capacity(self.count);
        // The data centre of the owner comes last, so that one failure does not
        // take both the owner and a holder. The owner itself is chosen only
        // when nothing else is left.
        let owner_data_centre = self
            .data_centres
            .iter()
            .position(|data_centre| data_centre.binary_search(&owner).is_ok());
        let mut order: Vec<_> = (0..self.data_centres.len()).collect();
        order.sort_by_cached_key(|at| {
            let own = owner_data_centre == Some(*at);
            (own, score(pool.as_str(), shard, *at as u64 + 1))
        });
        for round in 0..self.count {
            for at in &order {
                let data_centre = &self.data_centres[*at];
                let others = data_centre.len() - usize::from(owner_data_centre == Some(*at));
                if chosen.len() < self.count && round < others {
                    chosen.push(nth_other(data_centre, seed, round, owner));
                }
            }
        }
        if chosen.len() < self.count && owner_data_centre.is_some() {
            chosen.push(owner);
        }
        chosen
    }
}

/// Returns the node `round` places after a hashed position in a data centre,
/// leaving out the owner.
fn nth_other(data_centre: &[Node], seed: u64, round: usize, owner: Node) -> Node {
    let own = data_centre.binary_search(&owner).ok();
    let others = data_centre.len() - usize::from(own.is_some());
    #[allow(
        clippy::cast_possible_truncation,
        reason = "the remainder is below a length"
    )]
    let start = (seed % others as u64) as usize;
    let at = (start + round) % others;
    data_centre[at + usize::from(own.is_some_and(|own| at >= own))]
}

/// Returns the holders that a shard should have, or `None` when it has them
/// already.
///
/// The owner of the shard calls this after each change of the nodes. When it
/// returns a set, the owner copies the records to the new holders and then
/// proposes [`Command::SetHolders`](crate::Command::SetHolders). Present
/// holders stay where possible. New ones are chosen by rendezvous hashing,
/// which spreads the shards of a lost node over all the others.
///
/// A dedicated shard gets the holders of the shard that its key returns to,
/// because a merge requires equal holders.
#[must_use]
pub fn replacement(state: &State, pool: &str, shard: Shard) -> Option<Vec<Node>> {
    let table = state.pool(pool)?;
    let present = table.holders(shard);
    let desired = if let Some(key) = table.key(shard) {
        let base = key.shard(table.shards());
        desired_holders(state, pool, base, table.holders(base))
    } else {
        desired_holders(state, pool, shard, present)
    };
    let equal = desired.len() == present.len() && desired.iter().all(|node| present.contains(node));
    (!equal && !desired.is_empty()).then_some(desired)
}

/// Returns the present holders that can stay, completed by new ones.
fn desired_holders(state: &State, pool: &str, shard: Shard, present: &[Node]) -> Vec<Node> {
    let count = state.config().holders.clamp(1, State::MAX_HOLDERS);
    let owner = state.pool(pool).and_then(|table| table.grant(shard)?.owner);
    let live: Vec<&Process> = state.nodes().filter(|process| can_hold(process)).collect();
    let mut chosen: Vec<&Process> = Vec::with_capacity(count);
    // One holder of each data centre stays. A second holder in the same data
    // centre is replaced when another data centre has a node.
    let staying = live
        .iter()
        .filter(|process| present.contains(&process.node()));
    let mut duplicates = Vec::new();
    for process in staying.copied() {
        if shares_data_centre(&chosen, process) {
            duplicates.push(process);
        } else {
            chosen.push(process);
        }
    }
    while chosen.len() < count {
        let rest = live.iter().copied();
        let rest = rest.filter(|process| chosen.iter().all(|own| own.node() != process.node()));
        let next = rest.min_by_key(|process| {
            let node = process.node();
            (
                shares_data_centre(&chosen, process),
                !duplicates.iter().any(|duplicate| duplicate.node() == node),
                owner == Some(node),
                process.status() != Status::Ready,
                std::cmp::Reverse(score(pool, shard, node.get())),
            )
        });
        let Some(next) = next else { break };
        chosen.push(next);
    }
    chosen.into_iter().map(Process::node).collect()
}

/// Returns whether a chosen node is in the data centre of `process`.
fn shares_data_centre(chosen: &[&Process], process: &Process) -> bool {
    let data_centre = process.data_centre();
    chosen.iter().any(|own| own.data_centre() == data_centre)
}

const fn can_hold(process: &Process) -> bool {
    matches!(process.status(), Status::Joined | Status::Ready)
}

/// Returns a hash of a pool, a shard and a salt, for rendezvous hashing.
fn score(pool: &str, shard: Shard, salt: u64) -> u64 {
    let seed = u64::from(shard.get()) << 32 ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    xxh3_64_with_seed(pool.as_bytes(), seed)
}
