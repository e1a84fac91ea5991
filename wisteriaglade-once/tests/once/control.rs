//! The simulated control log, and the injection of faults.

use std::collections::BTreeSet;

use rand::RngExt;
use wisteriaglade_once::{Keyspace, owner::Event};
use wisteriaglade_types::{Epoch, Node, Shard};

use crate::{
    make::pool,
    world::{Faults, PARTS, Packet, Row, World, hash, host, node},
};

/// The number of the first dedicated shard.
const DEDICATED: u32 = 1000;

impl World {
    /// Appends an entry to the log. If `grant` is set, the shards get its index, counted
    /// from 1, as their epoch.
    pub fn commit(&mut self, mut rows: Vec<(Shard, Option<Row>)>, grant: bool) {
        let index = self.log.len();
        for (shard, row) in &mut rows {
            if let Some(row) = row {
                if grant {
                    row.epoch = Epoch::new(index as u64 + 1);
                }
                self.table.insert(*shard, row.clone());
            } else {
                self.table.remove(shard);
            }
        }
        self.log.push(rows);
        for to in 0..self.hosts.len() {
            let delay = self.delay();
            self.after(delay, Packet::Log(to, index));
        }
    }

    /// Applies a proposal of new holders if the shard still has its epoch and base.
    pub fn apply_proposal(
        &mut self,
        shard: Shard,
        epoch: Epoch,
        base: &[Node],
        holders: Vec<Node>,
    ) {
        let row = self.table.get(&shard).cloned();
        let valid = |row: &Row| row.epoch == epoch && row.holders == base;
        // The log knows which hosts are lost and accepts none of them as a new holder.
        let live = |node: &Node| base.contains(node) || self.hosts[host(*node)].alive;
        if let Some(row) = row.filter(valid)
            && holders.iter().all(live)
        {
            self.commit(vec![(shard, Some(Row { holders, ..row }))], false);
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
            let row = self.table[&shard].clone();
            if row.holders.iter().all(|node| self.hosts[host(*node)].alive) {
                let out = self.rng.random_range(0..row.holders.len());
                self.replace(shard, row.holders[out]);
            }
        }
        if self.rng.random_bool(split) {
            self.split();
        }
    }

    /// Gives the shards of lost owners new ones, replaces lost holders, and cancels
    /// replacements that are no longer needed.
    fn repair(&mut self) {
        for (shard, row) in self.table.clone() {
            if !self.hosts[row.owner].alive {
                self.reassign(shard);
            }
            let lost = |node: &&Node| !self.hosts[host(**node)].alive;
            let lost = row.holders.iter().find(lost).copied();
            let now = !self.active || self.rng.random_bool(0.3);
            match lost {
                Some(lost) if now => self.replace(shard, lost),
                None if now => self.propose(shard, row.holders),
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
        let row = self.table[&shard].clone();
        let row = Row {
            owner,
            holders,
            ..row
        };
        self.commit(vec![(shard, Some(row))], true);
    }

    /// Requests the replacement of one holder by a random live host.
    fn replace(&mut self, shard: Shard, out: Node) {
        let row = self.table[&shard].clone();
        let present = row.holders.iter().map(|node| host(*node)).collect();
        let new = node(self.pick_host(&present));
        let swap = |node| if node == out { new } else { node };
        let holders = row.holders.into_iter().map(swap).collect();
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
        self.table.values().all(|row| {
            let others = row.holders.iter().filter(|node| host(**node) != out);
            let alive = others.filter(|node| self.hosts[host(**node)].alive).count();
            alive > row.holders.len() / 2
        })
    }

    /// Ends a host. Its messages to holders that are in flight are lost.
    pub fn kill(&mut self, out: usize) {
        self.hosts[out].alive = false;
        self.hosts[out].paused = None;
        let sent = |packet: &Packet| matches!(packet, Packet::Ask(_, from, ..) if *from == out);
        self.queue.retain(|_, packet| !sent(packet));
    }

    /// Moves a key to a dedicated shard, or merges it back.
    fn split(&mut self) {
        let number = self.rng.random_range(0..2);
        let hash = hash(u64::from(number));
        let (parent, dedicated) = (hash.shard(PARTS), Shard::new(DEDICATED + number));
        let mut part = self.table[&parent].clone();
        let Keyspace::Partition { excluded, .. } = &mut part.keyspace else {
            unreachable!("the parent covers a part");
        };
        if let Some(row) = self.table.get(&dedicated) {
            if row.holders == part.holders {
                excluded.retain(|other| *other != hash);
                self.commit(vec![(parent, Some(part)), (dedicated, None)], true);
            }
        } else {
            excluded.push(hash);
            let keyspace = Keyspace::Dedicated(hash);
            let row = Row {
                keyspace,
                ..self.table[&parent].clone()
            };
            let epoch = Epoch::new(self.log.len() as u64 + 1);
            let row = Row { epoch, ..row };
            self.commit(vec![(dedicated, Some(row)), (parent, Some(part))], false);
        }
    }
}
