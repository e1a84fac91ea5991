//! Transfers that balance the load of a pool.

use std::collections::BTreeMap;

use wisteriaglade_types::{Node, Shard};

use super::{Pass, Planner, assign::centres, roster::Entry, roster::Roster, tracker::Tracker};
use crate::{Command, Grant};

/// The maximum number of moves for balance in one pass over a pool.
const MAX_MOVES: usize = 64;

/// A shard that may be moved for balance.
#[derive(Debug, Clone, Copy)]
struct Item {
    grant: Grant,
    heat: f64,
    /// The demand of the shard in requests per second.
    rate: f64,
}

impl Planner {
    /// Transfers shards from the nodes with the highest pressure to those with
    /// the lowest, within the budget of the pool. Pressure is the load of a
    /// node divided by its capacity.
    pub(super) fn balance(
        &self,
        pass: &Pass<'_>,
        tracker: &mut Tracker,
        commands: &mut Vec<Command>,
    ) {
        let allowance = tracker
            .move_allowance(&self.config, pass.pool.shards())
            .min(MAX_MOVES);
        let entries = self.roster_entries(pass, tracker);
        if allowance == 0 || entries.len() < 2 {
            return;
        }
        let mut roster = Roster::new(entries);
        tracker.balancing = self.is_unequal(&roster, tracker.balancing);
        if !tracker.balancing {
            return;
        }
        let mut items = self.items(pass, tracker, &mut roster);
        for _ in 0..allowance {
            if !self.is_unequal(&roster, true) {
                break;
            }
            let Some((item, from, to)) = next(pass, &roster, &mut items) else {
                break;
            };
            roster.add(from, -item.heat);
            roster.add(to, item.heat);
            tracker.record_proposal(pass.now, &item.grant, to, item.rate);
            tracker.record_move(pass.now);
            commands.push(Command::Transfer {
                pool: pass.name.clone(),
                shard: item.grant.shard,
                epoch: item.grant.epoch,
                to,
            });
        }
    }

    /// Returns whether the pressures differ by more than the bound. The bound
    /// is lower while a run of moves is in progress, which gives hysteresis.
    fn is_unequal(&self, roster: &Roster, moving: bool) -> bool {
        let bound = if moving {
            self.config.imbalance_stop
        } else {
            self.config.imbalance_start
        };
        let mean = roster.mean();
        let pressures = || roster.entries().iter().map(Entry::pressure);
        let high = pressures().fold(0.0, f64::max);
        let low = pressures().fold(f64::MAX, f64::min);
        // The low side is checked too: among many nodes, a new one without
        // shards hardly changes the ratio of the highest pressure to the mean.
        mean > 0.0 && (high > mean * bound || low * bound < mean)
    }

    /// Returns the shards that may be moved, by owner, and adds the moves in
    /// progress to the loads of the roster.
    fn items(&self, pass: &Pass<'_>, tracker: &Tracker, roster: &mut Roster) -> Items {
        let min_residence = self.config.min_residence;
        let mut items = Items::new();
        let total: f64 = roster
            .entries()
            .iter()
            .map(|entry| self.rate(entry.node))
            .sum();
        let mean = total / f64::from(pass.pool.shards());
        for grant in pass.pool.grants() {
            let Some(owner) = grant.owner else { continue };
            let Some(heat) = roster.get(owner).map(|entry| entry.heat) else {
                continue;
            };
            if let Some(to) = tracker.destination(&grant) {
                roster.add(owner, -heat);
                roster.add(to, heat);
                continue;
            }
            let key = pass.pool.key(grant.shard);
            let unmoved = key.is_some_and(|key| tracker.keys.is_unmoved(key, grant.epoch));
            if unmoved || self.timeline.is_older(pass.now, min_residence, grant.epoch) {
                let known = key.map_or(0.0, |key| tracker.keys.rate(pass.now, key));
                let own = known > 0.0 && mean > 0.0;
                let heat = if own { known / mean } else { heat };
                let rate = heat * mean;
                let item = Item { grant, heat, rate };
                items.entry(owner).or_default().push(item);
            }
        }
        items
    }
}

type Items = BTreeMap<Node, Vec<Item>>;

/// Chooses the next move: to the node with the lowest pressure, from the node
/// with the highest pressure that owns a shard whose move does not merely
/// reverse the difference. Shards with no holder in the failure domain of the
/// destination are preferred, then those with the highest demand.
fn next(pass: &Pass<'_>, roster: &Roster, items: &mut Items) -> Option<(Item, Node, Node)> {
    let order = |one: &&Entry, two: &&Entry| one.pressure().total_cmp(&two.pressure());
    let to = roster.entries().iter().min_by(order)?;
    let mut sources: Vec<&Entry> = roster.entries().iter().collect();
    sources.sort_by(|one, two| order(two, one));
    for from in sources.into_iter().filter(|from| from.node != to.node) {
        let Some(owned) = items.get_mut(&from.node) else {
            continue;
        };
        let fits = |item: &Item| from.pressure_with(-item.heat) >= to.pressure_with(item.heat);
        let candidates = owned.iter().enumerate().filter(|(_, item)| fits(item));
        let best = candidates.min_by(|(_, one), (_, two)| {
            let near = |item: &Item| is_near(pass, item.grant.shard, to);
            let nearer = near(one).cmp(&near(two));
            nearer.then(two.heat.total_cmp(&one.heat))
        });
        if let Some((at, _)) = best {
            return Some((owned.swap_remove(at), from.node, to.node));
        }
    }
    None
}

/// Returns whether the loss of the destination node or of its data centre would
/// also take a holder of the shard.
fn is_near(pass: &Pass<'_>, shard: Shard, to: &Entry) -> bool {
    let holders = pass.pool.holders(shard);
    holders.contains(&to.node) || centres(pass, holders).contains(&to.data_centre)
}
