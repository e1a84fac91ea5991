//! Transfers that balance the load of a pool.

use std::collections::BTreeMap;

use wisteriaglade_types::{Node, Shard};

use super::{Pass, Planner, assign::data_centres, roster::Entry, roster::Roster, tracker::Tracker};
use crate::{Command, Grant};

/// The maximum number of moves for balance in one pass over a pool.
const MAX_MOVES: usize = 64;

/// A shard that may be moved for balance.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    grant: Grant,
    /// The demand of the shard relative to the mean of its pool.
    demand: f64,
    /// The demand of the shard in requests per second.
    rate: f64,
}

impl Planner {
    /// Transfers shards from the nodes with the highest load factor to those
    /// with the lowest, within the budget of the pool. The load factor is the
    /// load of a node divided by its capacity.
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
        tracker.balancing = self.is_imbalanced(&roster, tracker.balancing);
        if !tracker.balancing {
            return;
        }
        let mut candidates = self.candidates(pass, tracker, &mut roster);
        for _ in 0..allowance {
            if !self.is_imbalanced(&roster, true) {
                break;
            }
            let Some((candidate, from, to)) = next_move(pass, &roster, &mut candidates) else {
                break;
            };
            roster.add_load(from, -candidate.demand);
            roster.add_load(to, candidate.demand);
            tracker.record_proposal(pass.now, &candidate.grant, to, candidate.rate);
            tracker.record_move(pass.now);
            commands.push(Command::Transfer {
                pool: pass.name.clone(),
                shard: candidate.grant.shard,
                epoch: candidate.grant.epoch,
                to,
            });
        }
    }

    /// Returns whether the load factors differ by more than the bound. The
    /// bound is lower while a run of moves is in progress, which gives
    /// hysteresis.
    fn is_imbalanced(&self, roster: &Roster, moving: bool) -> bool {
        let bound = if moving {
            self.config.imbalance_stop
        } else {
            self.config.imbalance_start
        };
        let mean = roster.mean_load_factor();
        let load_factors = || roster.entries().iter().map(Entry::load_factor);
        let high = load_factors().fold(0.0, f64::max);
        let low = load_factors().fold(f64::MAX, f64::min);
        // The low side is checked too: among many nodes, a new one without
        // shards hardly changes the ratio of the highest load factor to the
        // mean.
        mean > 0.0 && (high > mean * bound || low * bound < mean)
    }

    /// Returns the shards that may be moved, by owner, and adds the moves in
    /// progress to the loads of the roster.
    fn candidates(&self, pass: &Pass<'_>, tracker: &Tracker, roster: &mut Roster) -> Candidates {
        let min_residence = self.config.min_residence;
        let mut candidates = Candidates::new();
        let total: f64 = roster
            .entries()
            .iter()
            .map(|entry| self.rate(entry.node))
            .sum();
        let mean = total / f64::from(pass.pool.shards());
        for grant in pass.pool.grants() {
            let Some(owner) = grant.owner else { continue };
            let Some(demand) = roster.get(owner).map(|entry| entry.demand) else {
                continue;
            };
            if let Some(to) = tracker.destination(&grant) {
                roster.add_load(owner, -demand);
                roster.add_load(to, demand);
                continue;
            }
            let key = pass.pool.key(grant.shard);
            let unmoved = key.is_some_and(|key| tracker.keys.is_unmoved(key, grant.epoch));
            if unmoved || self.timeline.is_older(pass.now, min_residence, grant.epoch) {
                let key_rate = key.map_or(0.0, |key| tracker.keys.rate(pass.now, key));
                let use_key_rate = key_rate > 0.0 && mean > 0.0;
                let demand = if use_key_rate {
                    key_rate / mean
                } else {
                    demand
                };
                let rate = demand * mean;
                let candidate = Candidate {
                    grant,
                    demand,
                    rate,
                };
                candidates.entry(owner).or_default().push(candidate);
            }
        }
        candidates
    }
}

/// The shards that may be moved, by owner.
type Candidates = BTreeMap<Node, Vec<Candidate>>;

/// Chooses the next move: to the node with the lowest load factor, from the
/// node with the highest load factor that owns a shard whose move does not
/// merely reverse the difference. Shards with no holder in the failure domain
/// of the destination are preferred, then those with the highest demand.
fn next_move(
    pass: &Pass<'_>,
    roster: &Roster,
    candidates: &mut Candidates,
) -> Option<(Candidate, Node, Node)> {
    let by_load_factor =
        |one: &&Entry, two: &&Entry| one.load_factor().total_cmp(&two.load_factor());
    let to = roster.entries().iter().min_by(by_load_factor)?;
    let mut sources: Vec<&Entry> = roster.entries().iter().collect();
    sources.sort_by(|one, two| by_load_factor(two, one));
    for from in sources.into_iter().filter(|from| from.node != to.node) {
        let Some(owned) = candidates.get_mut(&from.node) else {
            continue;
        };
        let fits = |candidate: &Candidate| {
            from.load_factor_with(-candidate.demand) >= to.load_factor_with(candidate.demand)
        };
        let fitting = owned
            .iter()
            .enumerate()
            .filter(|(_, candidate)| fits(candidate));
        let best = fitting.min_by(|(_, one), (_, two)| {
            let is_shared =
                |candidate: &Candidate| shares_failure_domain(pass, candidate.grant.shard, to);
            let by_domain = is_shared(one).cmp(&is_shared(two));
            by_domain.then(two.demand.total_cmp(&one.demand))
        });
        if let Some((at, _)) = best {
            return Some((owned.swap_remove(at), from.node, to.node));
        }
    }
    None
}

/// Returns whether the loss of the destination node or of its data centre would
/// also take a holder of the shard.
fn shares_failure_domain(pass: &Pass<'_>, shard: Shard, to: &Entry) -> bool {
    let holders = pass.pool.holders(shard);
    holders.contains(&to.node) || data_centres(pass, holders).contains(&to.data_centre)
}
