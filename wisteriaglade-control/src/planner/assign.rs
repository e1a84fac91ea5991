//! Assignment of shards without a usable owner, and transfers away from nodes
//! that are draining or whose targets do not respond.

use wisteriaglade_types::{Name, Node};

use super::{Planner, Task, holders::Spread, plan::Plan, roster::Roster};
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
        task: &Task<'_>,
        plan: &mut Plan,
        room: &mut usize,
        commands: &mut Vec<Command>,
    ) -> bool {
        let needs = self.needs(task, plan);
        if needs.is_empty() {
            return !needs.gathering;
        }
        let mut roster = Roster::new(self.entries(task, plan));
        for grant in task.pool.grants() {
            if let Some(to) = plan.destination(&grant) {
                roster.add(to, 1.0);
            }
        }
        let spread = Spread::new(task.state);
        let mut assignments = Vec::new();
        let mut transfers = 0;
        for grant in task.pool.grants() {
            match needs.of(&grant) {
                Need::Owner if *room > 0 => {
                    if plan.in_flight(&grant).is_some() {
                        continue;
                    }
                    let Some(to) = choose(task, &mut roster, &grant) else {
                        break;
                    };
                    plan.propose(task.now, &grant, to, self.rate_of_grant(task, &grant));
                    *room -= 1;
                    let holders = task.pool.holders(grant.shard);
                    assignments.push(Assignment {
                        shard: grant.shard,
                        epoch: grant.epoch,
                        to,
                        holders: match holders {
                            [] => spread.first(task.name, grant.shard, to),
                            _ => Vec::new(),
                        },
                    });
                }
                Need::Room if transfers < MAX_TRANSFERS => {
                    if plan.destination(&grant).is_some() {
                        continue;
                    }
                    let Some(to) = choose(task, &mut roster, &grant) else {
                        break;
                    };
                    transfers += 1;
                    plan.propose(task.now, &grant, to, self.rate_of_grant(task, &grant));
                    commands.push(Command::Transfer {
                        pool: task.name.clone(),
                        shard: grant.shard,
                        epoch: grant.epoch,
                        to,
                    });
                }
                Need::None | Need::Owner | Need::Room => {}
            }
        }
        for batch in assignments.chunks(MAX_ASSIGNMENTS_PER_COMMAND) {
            commands.push(Command::Assign {
                pool: task.name.clone(),
                assignments: batch.to_vec(),
            });
        }
        false
    }

    fn rate_of_grant(&self, task: &Task<'_>, grant: &Grant) -> f64 {
        let owner = grant.owner.and_then(|owner| task.state.node(owner));
        owner.map_or(0.0, |owner| self.rate_of_shard(owner))
    }

    fn needs(&self, task: &Task<'_>, plan: &mut Plan) -> Needs {
        let held = |nodes: &[Node]| {
            let mut nodes = nodes.to_vec();
            nodes.retain(|node| {
                task.state
                    .node(*node)
                    .is_some_and(|own| own.shard_count() > 0)
            });
            nodes
        };
        let unresponsive = self.unresponsive(task.now, task.processes);
        let of = |wanted: &dyn Fn(&crate::Process) -> bool| -> Vec<Node> {
            let found = task.processes.iter().filter(|process| wanted(process));
            found.map(|process| process.node()).collect()
        };
        let free = of(&|process| {
            process.is_fenced()
                && self
                    .waits
                    .is_over(task.now, &self.config, task.state, process)
        });
        let leaving = of(&|process| {
            process.status() == Status::Draining
                || unresponsive.binary_search(&process.node()).is_ok()
        });
        let owned: usize = task
            .processes
            .iter()
            .map(|process| process.shard_count() as usize)
            .sum();
        let shards = task.pool.shards() as usize + task.pool.hot_keys().len();
        let ownerless = owned < shards;
        if !ownerless {
            plan.is_complete();
        }
        let ready = task.processes.iter();
        let ready = ready.filter(|process| process.status() == Status::Ready);
        let waiting = ownerless && ready.count() > 0;
        let gathered = waiting && plan.is_gathered(task.now, &self.config);
        Needs {
            free: held(&free),
            leaving: held(&leaving),
            ownerless: gathered,
            gathering: waiting && !gathered,
        }
    }
}

/// The change that a shard needs.
enum Need {
    None,
    /// The shard has no owner that could agree to a transfer, so it is
    /// assigned.
    Owner,
    /// The shard has an owner, which is asked to transfer it.
    Room,
}

/// The nodes of a pool whose shards need another owner, and the state of its
/// ownerless shards.
struct Needs {
    free: Vec<Node>,
    leaving: Vec<Node>,
    /// Whether ownerless shards are to be assigned now.
    ownerless: bool,
    /// Whether ownerless shards wait for further targets of a starting pool.
    gathering: bool,
}

impl Needs {
    fn is_empty(&self) -> bool {
        self.free.is_empty() && self.leaving.is_empty() && !self.ownerless
    }

    fn of(&self, grant: &Grant) -> Need {
        match grant.owner {
            None if self.ownerless => Need::Owner,
            Some(owner) if self.free.binary_search(&owner).is_ok() => Need::Owner,
            Some(owner) if self.leaving.binary_search(&owner).is_ok() => Need::Room,
            _ => Need::None,
        }
    }
}

fn choose(task: &Task<'_>, roster: &mut Roster, grant: &Grant) -> Option<Node> {
    let holders = task.pool.holders(grant.shard);
    roster.pick(holders, &centres(task, holders))
}

/// Returns the data centres of the holders of a shard.
pub(super) fn centres(task: &Task<'_>, holders: &[Node]) -> Vec<Name> {
    let holders = holders.iter().filter_map(|node| task.state.node(*node));
    holders.map(|holder| holder.data_centre().clone()).collect()
}
