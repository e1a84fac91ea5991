//! What the planner remembers of a pool.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use wisteriaglade_types::{Epoch, Node, Shard};

use super::{Config, keys::Keys};
use crate::{Grant, Pool, Process};

/// A proposed owner of a shard, until its effect is visible.
#[derive(Debug, Clone, Copy)]
struct Proposal {
    at: Duration,
    epoch: Epoch,
    to: Node,
}

/// The demand that a shard takes along to its new owner.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shift {
    epoch: Epoch,
    pub(crate) from: Node,
    pub(crate) to: Node,
    /// Requests per second.
    pub(crate) rate: f64,
}

/// What the planner remembers of a pool.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    /// The ready nodes with the time at which they became ready; nothing for
    /// those that were ready when the leadership began.
    ready: BTreeMap<Node, Option<Duration>>,
    /// When a node became ready last.
    grown: Duration,
    /// When ownerless shards and a ready node were first seen together.
    starting: Option<Duration>,
    proposals: BTreeMap<Shard, Proposal>,
    shifts: BTreeMap<Shard, Shift>,
    /// The times of the moves for balance in the last minute.
    spent: VecDeque<Duration>,
    /// Whether moves for balance have begun and not reached their end.
    pub(crate) balancing: bool,
    pub(crate) keys: Keys,
}

impl Plan {
    const MINUTE: Duration = Duration::from_mins(1);
    /// One look may use the budget of a minute divided by this.
    const PARTS: usize = 12;

    /// Notes the ready nodes, in the order of their ids. `first` tells that the
    /// leadership begins.
    pub(crate) fn observe(&mut self, now: Duration, first: bool, ready: &[Node]) {
        self.ready
            .retain(|node, _| ready.binary_search(node).is_ok());
        for node in ready {
            self.ready.entry(*node).or_insert_with(|| {
                self.grown = now;
                (!first).then_some(now)
            });
        }
    }

    /// How fast a target is, from 0 to 1, while it warms up.
    pub(crate) fn warmth(&self, now: Duration, process: &Process) -> f64 {
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

    /// Whether a starting pool has gathered its targets.
    pub(crate) fn is_gathered(&mut self, now: Duration, config: &Config) -> bool {
        let start = *self.starting.get_or_insert(now);
        let quiet = now.saturating_sub(self.grown.max(start)) >= config.gather;
        quiet || now.saturating_sub(start) >= config.gather_limit
    }

    /// Notes that every shard has an owner.
    pub(crate) fn is_complete(&mut self) {
        self.starting = None;
    }

    /// Notes a proposed owner, and the rate of requests of the shard.
    pub(crate) fn propose(&mut self, now: Duration, grant: &Grant, to: Node, rate: f64) {
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

    /// The demand of the shards that have arrived at the proposed owners. The
    /// reports show it some seconds later; until then the same demand would be
    /// moved again.
    pub(crate) fn arrived(&mut self, pool: &Pool) -> Vec<Shift> {
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

    /// The node that a proposal in flight gives the shard to.
    pub(crate) fn in_flight(&self, grant: &Grant) -> Option<Node> {
        let proposal = self.proposals.get(&grant.shard)?;
        (proposal.epoch == grant.epoch).then_some(proposal.to)
    }

    /// The node that a shard goes to, by the state or by a proposal in flight.
    pub(crate) fn destination(&self, grant: &Grant) -> Option<Node> {
        grant.moving_to.or_else(|| self.in_flight(grant))
    }

    /// Drops the proposals that had their effect, or have been in flight for so
    /// long that they may be repeated.
    pub(crate) fn settle(&mut self, now: Duration, config: &Config, pool: &Pool) {
        self.proposals.retain(|shard, proposal| {
            let grant = pool.grant(*shard);
            let open = grant
                .is_some_and(|grant| grant.epoch == proposal.epoch && grant.moving_to.is_none());
            open && now.saturating_sub(proposal.at) < config.resend
        });
        while self
            .spent
            .front()
            .is_some_and(|at| at.saturating_add(Self::MINUTE) <= now)
        {
            self.spent.pop_front();
        }
    }

    /// The number of shards that may move for balance now: what is left of the
    /// budget of the minute, and not much of it at once, because a shard is
    /// unavailable while it moves.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the budget is positive and saturates"
    )]
    pub(crate) fn allowance(&self, config: &Config, shards: u32) -> usize {
        let budget = (f64::from(shards) * config.budget).max(1.0) as usize;
        let at_once = (budget / Self::PARTS).max(1);
        budget.saturating_sub(self.spent.len()).min(at_once)
    }

    pub(crate) fn spend(&mut self, now: Duration) {
        self.spent.push_back(now);
    }
}
