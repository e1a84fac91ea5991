//! Execution of each command against the state.

use wisteriaglade_types::{Epoch, Hash, Index, Name, Node, Shard};

use super::{Pool, Process, Row, State, Status};
use crate::{Assignment, Command, Config, Reason, Reply, Target};

type Execution = std::result::Result<Reply, Reason>;

impl State {
    /// Applies the command of the log entry at `index`.
    ///
    /// The result depends only on the state, the index and the command. An
    /// index that is not above the last applied one has no effect.
    pub fn apply(&mut self, index: Index, command: &Command) -> Reply {
        if index <= self.index {
            return Reply::Refused(Reason::AlreadyApplied);
        }
        self.index = index;
        self.execute(command).unwrap_or_else(Reply::Refused)
    }

    /// Advances the index past an entry without a command, such as the no-op
    /// entry of a new leader.
    pub fn skip(&mut self, index: Index) {
        self.index = self.index.max(index);
    }

    fn execute(&mut self, command: &Command) -> Execution {
        match command {
            Command::Join { .. } => self.join(command),
            Command::Announce { node, pool, target } => self.announce(*node, pool, *target),
            Command::Drain { node } => self.drain(*node),
            Command::Leave { node } => self.leave(*node),
            Command::Fence { node } => self.fence(*node),
            Command::Remove { node } => self.remove(*node),
            Command::Assign { pool, assignments } => self.assign(pool, assignments),
            Command::Transfer {
                pool,
                shard,
                epoch,
                to,
            } => self.transfer(pool, *shard, *epoch, *to),
            Command::Release { node, shards } => self.release(*node, shards),
            Command::SetHolders {
                node,
                pool,
                shard,
                epoch,
                base,
                holders,
            } => self.set_holders(*node, pool, *shard, *epoch, (base, holders)),
            Command::Dedicate { pool, hash } => self.dedicate(pool, *hash),
            Command::Merge { pool, hash } => self.merge(pool, *hash),
            Command::ChangeRules {
                id,
                base,
                operator,
                text,
                longest_deadlines,
            } => Ok(self
                .rules
                .change(*id, *base, operator, text, longest_deadlines)),
            Command::Configure { config } => self.configure(*config),
        }
    }

    fn configure(&mut self, config: Config) -> Execution {
        // The number of shards of an existing pool cannot change.
        if self.configured || !self.pools.is_empty() {
            let same = self.config == config;
            return same.then_some(Reply::Accepted).ok_or(Reason::Invalid);
        }
        self.config = config;
        self.configured = true;
        Ok(Reply::Accepted)
    }

    fn join(&mut self, command: &Command) -> Execution {
        let Command::Join {
            nonce,
            host,
            data_centre,
            caller,
            peer,
            admin,
        } = command
        else {
            return Err(Reason::Invalid);
        };
        if let Some(first) = self.nodes.values().find(|first| first.nonce == *nonce) {
            return Ok(Reply::Joined(first.node));
        }
        let node = Node::new(self.index.get());
        let process = Process {
            node,
            nonce: *nonce,
            host: host.clone(),
            data_centre: data_centre.clone(),
            caller: *caller,
            peer: *peer,
            admin: *admin,
            status: Status::Joined,
            announcement: None,
            shard_count: 0,
        };
        self.nodes.insert(node, process);
        Ok(Reply::Joined(node))
    }

    fn announce(&mut self, node: Node, pool: &Name, target: Target) -> Execution {
        if target.slots == 0 || pool.as_str().is_empty() {
            return Err(Reason::Invalid);
        }
        let process = self.nodes.get_mut(&node).ok_or(Reason::UnknownNode)?;
        match process.status {
            Status::Fenced { .. } => return Err(Reason::Fenced),
            // A repeated announcement must not undo a drain.
            Status::Draining => return Err(Reason::Draining),
            Status::Joined | Status::Ready => {}
        }
        if process.pool().is_some_and(|own| own != pool) {
            return Err(Reason::OtherPool);
        }
        process.status = Status::Ready;
        process.announcement = Some((pool.clone(), target));
        if !self.pools.contains_key(pool) {
            let shards = self.config.pool_shards();
            self.pools.insert(pool.clone(), Pool::new(shards));
        }
        Ok(Reply::Accepted)
    }

    fn drain(&mut self, node: Node) -> Execution {
        let process = self.nodes.get_mut(&node).ok_or(Reason::UnknownNode)?;
        if process.is_fenced() {
            return Err(Reason::Fenced);
        }
        process.status = Status::Draining;
        self.cancel_transfers(node);
        Ok(Reply::Accepted)
    }

    fn leave(&mut self, node: Node) -> Execution {
        let process = self.nodes.get(&node).ok_or(Reason::UnknownNode)?;
        if process.shard_count > 0 {
            return Err(Reason::HasShards);
        }
        self.cancel_transfers(node);
        self.nodes.remove(&node);
        Ok(Reply::Accepted)
    }

    fn fence(&mut self, node: Node) -> Execution {
        let index = self.index;
        let process = self.nodes.get_mut(&node).ok_or(Reason::UnknownNode)?;
        if !process.is_fenced() {
            process.status = Status::Fenced { index };
            self.cancel_transfers(node);
        }
        Ok(Reply::Accepted)
    }

    fn remove(&mut self, node: Node) -> Execution {
        let process = self.nodes.get(&node).ok_or(Reason::UnknownNode)?;
        if !process.is_fenced() {
            return Err(Reason::NotFenced);
        }
        self.leave(node)
    }

    fn assign(&mut self, pool: &Name, assignments: &[Assignment]) -> Execution {
        if !self.pools.contains_key(pool) {
            return Err(Reason::UnknownPool);
        }
        let results = assignments
            .iter()
            .map(|assignment| self.assign_one(pool, assignment));
        combine(&results.collect::<Vec<_>>())
    }

    fn assign_one(&mut self, pool: &Name, assignment: &Assignment) -> Result<(), Reason> {
        let row = *self.row(pool, assignment.shard)?;
        if row.epoch != assignment.epoch {
            return Err(Reason::StaleEpoch);
        }
        if row.owner != Row::NONE && !self.is_fenced(row.owner) {
            return Err(Reason::Owned);
        }
        self.require_ready(pool, assignment.to)?;
        let first = row.holders().is_empty() && !assignment.holders.is_empty();
        if first {
            self.require_holders(&assignment.holders)?;
        }
        self.grant(pool, assignment.shard, assignment.to);
        if first && let Ok(row) = self.row_mut(pool, assignment.shard) {
            row.set_holders(&assignment.holders);
        }
        Ok(())
    }

    fn transfer(&mut self, pool: &Name, shard: Shard, epoch: Epoch, to: Node) -> Execution {
        let row = *self.row(pool, shard)?;
        if row.epoch != epoch {
            return Err(Reason::StaleEpoch);
        }
        if row.owner == Row::NONE || self.is_fenced(row.owner) {
            return Err(Reason::NoOwner);
        }
        if row.moving_to != Row::NONE {
            return Err(Reason::Moving);
        }
        if row.owner == to {
            return Err(Reason::Owned);
        }
        self.require_ready(pool, to)?;
        self.row_mut(pool, shard)?.moving_to = to;
        Ok(Reply::Accepted)
    }

    fn release(&mut self, node: Node, shards: &[(Shard, Epoch)]) -> Execution {
        let process = self.nodes.get(&node).ok_or(Reason::UnknownNode)?;
        let pool = process.pool().ok_or(Reason::NotOwner)?.clone();
        let results = shards
            .iter()
            .map(|(shard, epoch)| self.release_one(node, &pool, *shard, *epoch));
        combine(&results.collect::<Vec<_>>())
    }

    fn release_one(
        &mut self,
        node: Node,
        pool: &Name,
        shard: Shard,
        epoch: Epoch,
    ) -> Result<(), Reason> {
        let row = *self.row(pool, shard)?;
        if row.owner != node {
            return Err(Reason::NotOwner);
        }
        if row.epoch != epoch {
            return Err(Reason::StaleEpoch);
        }
        if row.moving_to == Row::NONE {
            return Err(Reason::NotMoving);
        }
        self.require_ready(pool, row.moving_to)?;
        self.grant(pool, shard, row.moving_to);
        Ok(())
    }

    fn set_holders(
        &mut self,
        node: Node,
        pool: &Name,
        shard: Shard,
        epoch: Epoch,
        (base, holders): (&[Node], &[Node]),
    ) -> Execution {
        let row = *self.row(pool, shard)?;
        if row.owner != node || node == Row::NONE {
            return Err(Reason::NotOwner);
        }
        if row.epoch != epoch {
            return Err(Reason::StaleEpoch);
        }
        if self.is_fenced(node) {
            return Err(Reason::Fenced);
        }
        if row.holders() != base {
            return Err(Reason::InvalidHolders);
        }
        self.require_holders(holders)?;
        self.row_mut(pool, shard)?.set_holders(holders);
        Ok(Reply::Accepted)
    }

    fn dedicate(&mut self, pool: &Name, hash: Hash) -> Execution {
        let epoch = Epoch::new(self.index.get());
        let table = self.pools.get(pool).ok_or(Reason::UnknownPool)?;
        if table.dedicated(hash).is_some() {
            return Err(Reason::Dedicated);
        }
        let shard = hash.shard(table.shards());
        let row = *table.row(shard).ok_or(Reason::UnknownShard)?;
        if row.owner == Row::NONE || self.is_fenced(row.owner) {
            return Err(Reason::NoOwner);
        }
        if row.moving_to != Row::NONE {
            return Err(Reason::Moving);
        }
        let table = self.pools.get_mut(pool).ok_or(Reason::UnknownPool)?;
        let row = Row { epoch, ..row };
        table
            .add_dedicated(hash, row)
            .ok_or(Reason::TooManyDedicated)?;
        self.adjust_shard_count(row.owner, 1);
        Ok(Reply::Accepted)
    }

    fn merge(&mut self, pool: &Name, hash: Hash) -> Execution {
        let epoch = Epoch::new(self.index.get());
        let table = self.pools.get(pool).ok_or(Reason::UnknownPool)?;
        let dedicated = table.dedicated(hash).ok_or(Reason::NotDedicated)?;
        let shard = hash.shard(table.shards());
        let from = *table.row(dedicated).ok_or(Reason::UnknownShard)?;
        let into = *table.row(shard).ok_or(Reason::UnknownShard)?;
        if from.moving_to != Row::NONE || into.moving_to != Row::NONE {
            return Err(Reason::Moving);
        }
        if from.owner != into.owner {
            return Err(Reason::Owned);
        }
        if self.is_fenced(into.owner) {
            return Err(Reason::Fenced);
        }
        let holds = |node| into.holders().contains(node);
        if from.holders().len() != into.holders().len() || !from.holders().iter().all(holds) {
            return Err(Reason::InvalidHolders);
        }
        let table = self.pools.get_mut(pool).ok_or(Reason::UnknownPool)?;
        table.remove_dedicated(hash);
        // A target that compares the epochs of a key must not see it decrease.
        if let Some(row) = table.row_mut(shard) {
            row.epoch = epoch;
        }
        self.adjust_shard_count(from.owner, -1);
        Ok(Reply::Accepted)
    }

    /// Makes `to` the owner of a shard, with the index of the entry as epoch,
    /// and ends a pending transfer.
    fn grant(&mut self, pool: &Name, shard: Shard, to: Node) {
        let epoch = Epoch::new(self.index.get());
        let Ok(row) = self.row_mut(pool, shard) else {
            return;
        };
        let from = std::mem::replace(&mut row.owner, to);
        row.epoch = epoch;
        row.moving_to = Row::NONE;
        self.adjust_shard_count(from, -1);
        self.adjust_shard_count(to, 1);
    }

    fn adjust_shard_count(&mut self, node: Node, change: i32) {
        if let Some(process) = self.nodes.get_mut(&node) {
            process.shard_count = process.shard_count.saturating_add_signed(change);
        }
    }

    fn cancel_transfers(&mut self, to: Node) {
        let pool = self.nodes.get(&to).and_then(Process::pool);
        if let Some(pool) = pool.and_then(|pool| self.pools.get_mut(pool)) {
            pool.cancel_transfers(to);
        }
    }

    fn row(&self, pool: &Name, shard: Shard) -> Result<&Row, Reason> {
        let pool = self.pools.get(pool).ok_or(Reason::UnknownPool)?;
        pool.row(shard).ok_or(Reason::UnknownShard)
    }

    fn row_mut(&mut self, pool: &Name, shard: Shard) -> Result<&mut Row, Reason> {
        let pool = self.pools.get_mut(pool).ok_or(Reason::UnknownPool)?;
        pool.row_mut(shard).ok_or(Reason::UnknownShard)
    }

    fn require_ready(&self, pool: &Name, node: Node) -> Result<(), Reason> {
        let process = self.nodes.get(&node).ok_or(Reason::UnknownNode)?;
        let ready = process.is_ready(pool.as_str());
        ready.then_some(()).ok_or(Reason::NotReady)
    }

    fn require_holders(&self, holders: &[Node]) -> Result<(), Reason> {
        let max = self.config.holders.clamp(1, Self::MAX_HOLDERS);
        let distinct = (1..holders.len()).all(|at| !holders[..at].contains(&holders[at]));
        let live = |node: &Node| self.nodes.get(node).is_some_and(|own| !own.is_fenced());
        if !holders.is_empty() && holders.len() <= max && distinct && holders.iter().all(live) {
            Ok(())
        } else {
            Err(Reason::InvalidHolders)
        }
    }
}

/// Combines the results for several shards: accepted when there are none or
/// when at least one succeeded, otherwise refused with the first reason.
fn combine(results: &[Result<(), Reason>]) -> Execution {
    let refused = results.iter().copied().find_map(Result::err);
    match refused {
        Some(reason) if results.iter().all(Result::is_err) => Err(reason),
        _ => Ok(Reply::Accepted),
    }
}
