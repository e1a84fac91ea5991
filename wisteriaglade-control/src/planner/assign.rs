//! Assignment of shards without a usable owner, and transfers away from nodes
//! that are draining or whose targets do not respond.

use wisteriaglade_types::{Name, Node};

use super::{Pass, Planner, holders::Placement, roster::Roster, tracker::Tracker};
use crate::{Assignment, Command, Grant, Status};

/// The maximum number of assignments in one command. An assignment takes about
/// 25 bytes in the log, and a frame between replicas carries at most 1 MiB.
const MAX_ASSIGNMENTS_PER_COMMAND: usize = 1_024;

/// The maximum number of transfers proposed in one pass over a pool.
const MAX_TRANSFERS: usize = 512;

impl Planner {
    /// Assigns shards that have no owner or a fenced one whose wait is over,
    /// and transfers shards away from nodes that are draining or whose targets
    /// do not respond. Returns whether nothing is left to do until the state
    /// changes.
    pub(super) fn assign(
        &self,
        pass: &Pass<'_>,
        tracker: &mut Tracker,
        remaining: &mut usize,
        commands: &mut Vec<Command>,
    ) -> bool {
        let pending = self.pending(pass, tracker);
        if pending.is_empty() {
            return !pending.gathering;
        }
        let mut roster = Roster::new(self.roster_entries(pass, tracker));
        for grant in pass.pool.grants() {
            if let Some(to) = tracker.destination(&grant) {
                roster.add_load(to, 1.0);
            }
        }
        let placement = Placement::new(pass.state);
        let mut assignments = Vec::new();
        let mut transfers = 0;
        for grant in pass.pool.grants() {
            match pending.action(&grant) {
                Action::Assign if *remaining > 0 => {
                    if tracker.in_flight(&grant).is_some() {
                        continue;
                    }
                    let Some(to) = choose_owner(pass, &mut roster, &grant) else {
                        break;
                    };
                    tracker.record_proposal(pass.now, &grant, to, self.rate_of_grant(pass, &grant));
                    *remaining -= 1;
                    let holders = pass.pool.holders(grant.shard);
                    assignments.push(Assignment {
                        shard: grant.shard,
                        epoch: grant.epoch,
                        to,
                        holders: match holders {
                            [] => placement.initial_holders(pass.name, grant.shard, to),
                            _ => Vec::new(),
                        },
                    });
                }
                Action::Transfer if transfers < MAX_TRANSFERS => {
                    if tracker.destination(&grant).is_some() {
                        continue;
                    }
                    let Some(to) = choose_owner(pass, &mut roster, &grant) else {
                        break;
                    };
                    transfers += 1;
                    tracker.record_proposal(pass.now, &grant, to, self.rate_of_grant(pass, &grant));
                    commands.push(Command::Transfer {
                        pool: pass.name.clone(),
                        shard: grant.shard,
                        epoch: grant.epoch,
                        to,
                    });
                }
                Action::Keep | Action::Assign | Action::Transfer => {}
            }
        }
        for batch in assignments.chunks(MAX_ASSIGNMENTS_PER_COMMAND) {
            commands.push(Command::Assign {
                pool: pass.name.clone(),
                assignments: batch.to_vec(),
            });
        }
        false
    }

    /// Returns the estimated rate of a shard in requests per second, or zero
    /// when it has no owner.
    fn rate_of_grant(&self, pass: &Pass<'_>, grant: &Grant) -> f64 {
        let owner = grant.owner.and_then(|owner| pass.state.node(owner));
        owner.map_or(0.0, |owner| self.mean_shard_rate(owner))
    }

    /// Determines which shards of the pool need another owner.
    fn pending(&self, pass: &Pass<'_>, tracker: &mut Tracker) -> Pending {
        let with_shards = |nodes: &[Node]| {
            let mut nodes = nodes.to_vec();
            nodes.retain(|node| {
                pass.state
                    .node(*node)
                    .is_some_and(|own| own.shard_count() > 0)
            });
            nodes
        };
        let unresponsive = self.unresponsive(pass.now, pass.processes);
        let select = |wanted: &dyn Fn(&crate::Process) -> bool| -> Vec<Node> {
            let found = pass.processes.iter().filter(|process| wanted(process));
            found.map(|process| process.node()).collect()
        };
        let expired = select(&|process| {
            process.is_fenced()
                && self
                    .waits
                    .is_over(pass.now, &self.config, pass.state, process)
        });
        let evacuating = select(&|process| {
            process.status() == Status::Draining
                || unresponsive.binary_search(&process.node()).is_ok()
        });
        let owned: usize = pass
            .processes
            .iter()
            .map(|process| process.shard_count() as usize)
            .sum();
        let shards = pass.pool.shards() as usize + pass.pool.hot_keys().len();
        let ownerless = owned < shards;
        if !ownerless {
            tracker.mark_assigned();
        }
        let ready = pass.processes.iter();
        let ready = ready.filter(|process| process.status() == Status::Ready);
        let waiting = ownerless && ready.count() > 0;
        let gathered = waiting && tracker.is_gathered(pass.now, &self.config);
        Pending {
            expired: with_shards(&expired),
            evacuating: with_shards(&evacuating),
            assign_ownerless: gathered,
            gathering: waiting && !gathered,
        }
    }
}

/// The change that a shard needs.
enum Action {
    Keep,
    /// The shard has no owner that could agree to a transfer, so it is
    /// assigned.
    Assign,
    /// The shard has an owner, which is asked to transfer it.
    Transfer,
}

/// The nodes of a pool whose shards need another owner, and the state of its
/// ownerless shards.
struct Pending {
    /// The fenced nodes with shards whose wait is over, in the order of their
    /// ids.
    expired: Vec<Node>,
    /// The nodes with shards that are draining or whose targets do not respond,
    /// in the order of their ids.
    evacuating: Vec<Node>,
    /// Whether ownerless shards are to be assigned now.
    assign_ownerless: bool,
    /// Whether ownerless shards wait for further targets of a starting pool.
    gathering: bool,
}

impl Pending {
    fn is_empty(&self) -> bool {
        self.expired.is_empty() && self.evacuating.is_empty() && !self.assign_ownerless
    }

    fn action(&self, grant: &Grant) -> Action {
        match grant.owner {
            None if self.assign_ownerless => Action::Assign,
            Some(owner) if self.expired.binary_search(&owner).is_ok() => Action::Assign,
            Some(owner) if self.evacuating.binary_search(&owner).is_ok() => Action::Transfer,
            _ => Action::Keep,
        }
    }
}

/// Chooses a new owner for a shard and adds the shard to its load. Returns
/// `None` when no node may receive shards.
fn choose_owner(pass: &Pass<'_>, roster: &mut Roster, grant: &Grant) -> Option<Node> {
    let holders = pass.pool.holders(grant.shard);
    roster.choose(holders, &data_centres(pass, holders))
}

/// Returns the data centres of the holders of a shard.
pub(super) fn data_centres(pass: &Pass<'_>, holders: &[Node]) -> Vec<Name> {
    let holders = holders.iter().filter_map(|node| pass.state.node(*node));
    holders.map(|holder| holder.data_centre().clone()).collect()
}
