//! The simulated control log, and the injection of faults.

use std::collections::BTreeSet;

use rand::RngExt;
use wisteriaglade_once::{Keyspace, owner::Event};
use wisteriaglade_types::{Epoch, Node, Shard};

use crate::{
    fixtures::pool,
    simulation::{Assignment, Faults, Packet, SHARDS, Simulation, hash, host, node},
};

/// The number of the first dedicated shard.
const DEDICATED: u32 = 1000;

impl Simulation {
    /// Appends an entry to the log. If `grant` is set, the shards get its index, counted
    /// from 1, as their epoch.
    pub fn commit(&mut self, mut assignments: Vec<(Shard, Option<Assignment>)>, grant: bool) {
        let index = self.log.len();
        for (shard, assignment) in &mut assignments {
            if let Some(assignment) = assignment {
                if grant {
                    assignment.epoch = Epoch::new(index as u64 + 1);
                }
                self.table.insert(*shard, assignment.clone());
            } else {
                self.table.remove(shard);
            }
        }
        self.log.push(assignments);
        for to in 0..self.hosts.len() {
            let delay = self.delay();
            self.after(delay, Packet::Log(to, index));
        }
    }

    /// Applies a proposal of new holders if the shard still has its epoch and base.
    pub fn accept(&mut self, shard: Shard, epoch: Epoch, base: &[Node], holders: Vec<Node>) {
        let assignment = self.table.get(&shard).cloned();
        let valid =
            |assignment: &Assignment| assignment.epoch == epoch && assignment.holders == base;
        // The log knows which hosts are lost and accepts none of them as a new holder.
        let live = |node: &Node| base.contains(node) || self.hosts[host(*node)].alive;
        if let Some(assignment) = assignment.filter(valid)
            && holders.iter().all(live)
        {
            self.commit(
                vec![(
                    shard,
                    Some(Assignment {
                        holders,
                        ..assignment
                    }),
                )],
                false,
            );
        }
    }

    /// Repairs the table and injects random faults. Runs every 100 ms.
    pub fn fault(&mut self) {
        self.after(100, Packet::Faults);
        self.repair();
        if !self.active {
            return;
        }
        let Faults {
            pause,
            kill,
            reassign,
            replace,
            split,
            ..
        } = self.faults.clone();
        if self.rng.random_bool(pause) {
            let to = self.rng.random_range(0..self.hosts.len());
            let length = self.rng.random_range(50..1500);
            if self.hosts[to].alive && self.hosts[to].paused.is_none() {
                self.hosts[to].paused = Some(Vec::new());
                self.after(length, Packet::Resume(to));
            }
        }
        if self.rng.random_bool(kill) {
            let out = self.pick_host(&BTreeSet::new());
            if self.may_lose(out) {
                self.kill(out);
                self.spawn();
            }
        }
        if self.rng.random_bool(reassign) {
            let shard = self.pick_shard();
            self.reassign(shard);
        }
        if self.rng.random_bool(replace) {
            let shard = self.pick_shard();
            let assignment = self.table[&shard].clone();
            if assignment
                .holders
                .iter()
                .all(|node| self.hosts[host(*node)].alive)
            {
                let out = self.rng.random_range(0..assignment.holders.len());
                self.replace(shard, assignment.holders[out]);
            }
        }
        if self.rng.random_bool(split) {
            self.split();
        }
    }

    /// Gives the shards of lost owners new ones, replaces lost holders, and cancels
    /// replacements that are no longer needed.
    fn repair(&mut self) {
        for (shard, assignment) in self.table.clone() {
            if !self.hosts[assignment.owner].alive {
                self.reassign(shard);
            }
            let lost = |node: &&Node| !self.hosts[host(**node)].alive;
            let lost = assignment.holders.iter().find(lost).copied();
            let now = !self.active || self.rng.random_bool(0.3);
            match lost {
                Some(lost) if now => self.replace(shard, lost),
                None if now => self.propose(shard, assignment.holders),
                _ => {}
            }
        }
    }

    /// Gives every shard a random owner under a new epoch.
    pub fn reassign_all(&mut self) {
        for shard in self.table.keys().copied().collect::<Vec<_>>() {
            self.reassign(shard);
        }
    }

    /// Gives a shard a random owner under a new epoch.
    fn reassign(&mut self, shard: Shard) {
        let holders = self.table[&shard].holders.clone();
        let owner = self.pick_host(&BTreeSet::new());
        self.assign(shard, owner, holders);
    }

    /// Appends a grant with this owner and these holders.
    pub fn assign(&mut self, shard: Shard, owner: usize, holders: Vec<Node>) {
        let assignment = self.table[&shard].clone();
        let assignment = Assignment {
            owner,
            holders,
            ..assignment
        };
        self.commit(vec![(shard, Some(assignment))], true);
    }

    /// Requests the replacement of one holder by a random live host.
    fn replace(&mut self, shard: Shard, out: Node) {
        let assignment = self.table[&shard].clone();
        let present = assignment.holders.iter().map(|node| host(*node)).collect();
        let new = node(self.pick_host(&present));
        let swap = |node| if node == out { new } else { node };
        let holders = assignment.holders.into_iter().map(swap).collect();
        self.propose(shard, holders);
    }

    /// Sends the owner of a shard the holders that it is to propose.
    pub fn propose(&mut self, shard: Shard, holders: Vec<Node>) {
        let to = self.table[&shard].owner;
        let pool = pool();
        let event = Event::Replace {
            pool,
            shard,
            holders,
        };
        self.after(1, Packet::Event(to, event));
    }

    /// Whether every shard keeps a majority of its holders alive without this host.
    fn may_lose(&self, out: usize) -> bool {
        self.table.values().all(|assignment| {
            let others = assignment.holders.iter().filter(|node| host(**node) != out);
            let alive = others.filter(|node| self.hosts[host(**node)].alive).count();
            alive > assignment.holders.len() / 2
        })
    }

    /// Ends a host. Its messages to holders that are in flight are lost.
    pub fn kill(&mut self, out: usize) {
        self.hosts[out].alive = false;
        self.hosts[out].paused = None;
        let sent = |packet: &Packet| matches!(packet, Packet::Call(_, from, ..) if *from == out);
        self.queue.retain(|_, packet| !sent(packet));
    }

    /// Moves a key to a dedicated shard, or merges it back.
    fn split(&mut self) {
        let number = self.rng.random_range(0..2);
        let hash = hash(u64::from(number));
        let (parent, dedicated) = (hash.shard(SHARDS), Shard::new(DEDICATED + number));
        let mut partition = self.table[&parent].clone();
        let Keyspace::Partition { excluded, .. } = &mut partition.keyspace else {
            unreachable!("the parent covers a part");
        };
        if let Some(assignment) = self.table.get(&dedicated) {
            if assignment.holders == partition.holders {
                excluded.retain(|other| *other != hash);
                self.commit(vec![(parent, Some(partition)), (dedicated, None)], true);
            }
        } else {
            excluded.push(hash);
            let keyspace = Keyspace::Dedicated(hash);
            let assignment = Assignment {
                keyspace,
                ..self.table[&parent].clone()
            };
            let epoch = Epoch::new(self.log.len() as u64 + 1);
            let assignment = Assignment {
                epoch,
                ..assignment
            };
            self.commit(
                vec![(dedicated, Some(assignment)), (parent, Some(partition))],
                false,
            );
        }
    }
}
