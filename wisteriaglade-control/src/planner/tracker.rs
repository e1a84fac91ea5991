//! The bookkeeping of the planner for one pool.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use wisteriaglade_types::{Epoch, Node, Shard};

use super::{Config, keys::Keys};
use crate::{Grant, Pool, Process};

/// A proposed owner of a shard, kept until the state shows the change.
#[derive(Debug, Clone, Copy)]
struct Proposal {
    at: Duration,
    epoch: Epoch,
    to: Node,
}

/// The demand that moves to the new owner together with a shard.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shift {
    epoch: Epoch,
    pub(crate) from: Node,
    pub(crate) to: Node,
    /// The demand in requests per second.
    pub(crate) rate: f64,
}

/// The bookkeeping of the planner for one pool: ready nodes, proposals in
/// flight, the budget of moves for balance, and the rates of keys.
#[derive(Debug, Default)]
pub(crate) struct Tracker {
    /// The ready nodes with the times at which they became ready, or `None` for
    /// those that were ready when the leadership began.
    ready: BTreeMap<Node, Option<Duration>>,
    /// The last time at which a node became ready.
    last_ready: Duration,
    /// The time at which ownerless shards and a ready node were first seen
    /// together; `None` when there are none.
    start: Option<Duration>,
    proposals: BTreeMap<Shard, Proposal>,
    shifts: BTreeMap<Shard, Shift>,
    /// The times of the moves for balance in the last minute, oldest first.
    recent_moves: VecDeque<Duration>,
    /// Whether a run of moves for balance is in progress.
    pub(crate) balancing: bool,
    pub(crate) keys: Keys,
}

impl Tracker {
    const BUDGET_WINDOW: Duration = Duration::from_mins(1);
    /// One pass may use the budget of a minute divided by this number.
    const BUDGET_DIVISOR: usize = 12;

    /// Records the ready nodes, which are sorted by id. `first` is true at the
    /// start of a leadership.
    pub(crate) fn record_ready(&mut self, now: Duration, first: bool, ready: &[Node]) {
        self.ready
            .retain(|node, _| ready.binary_search(node).is_ok());
        for node in ready {
            self.ready.entry(*node).or_insert_with(|| {
                self.last_ready = now;
                (!first).then_some(now)
            });
        }
    }

    /// Returns the speed of a target as a fraction of its full speed. It grows
    /// from 0.1 to 1 over the cold start of the target, counted from when it
    /// became ready.
    pub(crate) fn warm_fraction(&self, now: Duration, process: &Process) -> f64 {
        let since = self.ready.get(&process.node()).copied().flatten();
        let (Some(since), Some(target)) = (since, process.target()) else {
            return 1.0;
        };
        if target.cold_start.is_zero() {
            return 1.0;
        }
        let age = now.saturating_sub(since).as_secs_f64();
        (age / target.cold_start.as_secs_f64()).clamp(0.1, 1.0)
    }

    /// Returns whether a starting pool has waited long enough for its targets.
    pub(crate) fn is_gathered(&mut self, now: Duration, config: &Config) -> bool {
        let start = *self.start.get_or_insert(now);
        let quiet = now.saturating_sub(self.last_ready.max(start)) >= config.gather_quiet;
        quiet || now.saturating_sub(start) >= config.gather_limit
    }

    /// Records that every shard has an owner.
    pub(crate) fn mark_assigned(&mut self) {
        self.start = None;
    }

    /// Records a proposed owner, and the demand of the shard in requests per
    /// second.
    pub(crate) fn record_proposal(&mut self, now: Duration, grant: &Grant, to: Node, rate: f64) {
        let (at, epoch) = (now, grant.epoch);
        let proposal = Proposal { at, epoch, to };
        self.proposals.insert(grant.shard, proposal);
        if let Some(from) = grant.owner.filter(|_| rate > 0.0) {
            let shift = Shift {
                epoch,
                from,
                to,
                rate,
            };
            self.shifts.insert(grant.shard, shift);
        }
    }

    /// Removes and returns the demand of the shards that have arrived at their
    /// proposed owners. Load reports show it some seconds later; until then,
    /// the planner would move the same demand again.
    pub(crate) fn take_arrived(&mut self, pool: &Pool) -> Vec<Shift> {
        let mut arrived = Vec::new();
        self.shifts.retain(|shard, shift| {
            let Some(grant) = pool.grant(*shard) else {
                return false;
            };
            if grant.epoch != shift.epoch && grant.owner == Some(shift.to) {
                arrived.push(*shift);
            }
            grant.epoch == shift.epoch
        });
        arrived
    }

    /// Returns the new owner in a proposal in flight for the shard.
    pub(crate) fn in_flight(&self, grant: &Grant) -> Option<Node> {
        let proposal = self.proposals.get(&grant.shard)?;
        (proposal.epoch == grant.epoch).then_some(proposal.to)
    }

    /// Returns the node that a shard is moving to, according to the state or to
    /// a proposal in flight.
    pub(crate) fn destination(&self, grant: &Grant) -> Option<Node> {
        grant.moving_to.or_else(|| self.in_flight(grant))
    }

    /// Drops the proposals whose effect the state shows, those that are due to
    /// be repeated, and the moves for balance that are older than a minute.
    pub(crate) fn expire(&mut self, now: Duration, config: &Config, pool: &Pool) {
        self.proposals.retain(|shard, proposal| {
            let grant = pool.grant(*shard);
            let open = grant
                .is_some_and(|grant| grant.epoch == proposal.epoch && grant.moving_to.is_none());
            open && now.saturating_sub(proposal.at) < config.resend_after
        });
        while self
            .recent_moves
            .front()
            .is_some_and(|at| at.saturating_add(Self::BUDGET_WINDOW) <= now)
        {
            self.recent_moves.pop_front();
        }
    }

    /// Returns the number of shards that may be moved for balance now. It is
    /// limited by the rest of the budget of the minute, and by a fraction of
    /// that budget, because a shard is unavailable while it moves.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the budget is positive and saturates"
    )]
    pub(crate) fn move_allowance(&self, config: &Config, shards: u32) -> usize {
        let budget = (f64::from(shards) * config.move_budget).max(1.0) as usize;
        let max_per_pass = (budget / Self::BUDGET_DIVISOR).max(1);
        budget
            .saturating_sub(self.recent_moves.len())
            .min(max_per_pass)
    }

    pub(crate) fn record_move(&mut self, now: Duration) {
        self.recent_moves.push_back(now);
    }
}
