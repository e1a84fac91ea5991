//! A shard that this process owns: takeover of its records, replication to its holders
//! and changes of the holders.
//!
//! [`Owner`](super::Owner) dispatches events to the grants. The submodules handle the
//! replies of holders and the requests.

mod replies;
mod requests;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    mem,
    time::Duration,
};

use wisteriaglade_types::{Epoch, Hash, Node};

use super::{
    Effect, Pending, ShardId,
    calls::{Call, Kind},
    context::Context,
    entry::{Entry, Revision, Stage},
    progress::Progress,
    quorum::{Quorum, majority},
};
use crate::{
    Key, Keyspace, Record, State,
    holder::{MAX_PAGE_BYTES, Message},
};

/// The progress of a takeover.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Fences and reads the holders, until a majority has replied.
    Reading,
    /// Writes the merged records back, until a majority has them.
    Writing,
    /// Requests may run.
    Ready,
}

/// The state of one shard while this process owns it.
#[derive(Debug)]
pub(super) struct Grant {
    shard_id: ShardId,
    epoch: Epoch,
    keyspace: Keyspace,
    quorum: Quorum,
    /// The replication progress of each node that receives writes.
    progress: BTreeMap<Node, Progress>,
    phase: Phase,
    /// Whether this process gave the shard up.
    closing: bool,
    /// Whether a holder reported a higher epoch of the shard.
    fenced: bool,
    /// Key hashes that a holder reported as fenced under another shard.
    moved: BTreeSet<Hash>,
    /// The records read from fenced holders so far, with the holders that returned the
    /// record in this state. Filled in [`Phase::Reading`].
    read: BTreeMap<Key, (Record, Vec<Node>)>,
    entries: BTreeMap<Key, Entry>,
    /// Keys of the entries that are not in [`Stage::Settled`].
    active: BTreeSet<Key>,
    /// Expiry and key of each entry.
    expiry: BTreeSet<(Duration, Key)>,
    /// Requests that wait until the shard is ready.
    queue: VecDeque<Pending>,
    /// The number of starts written under this epoch.
    attempt: u64,
    /// When the target was last proposed, since process start.
    proposed_at: Duration,
}

impl Grant {
    pub(super) fn new(shard_id: ShardId) -> Self {
        Self {
            shard_id,
            epoch: Epoch::default(),
            keyspace: Keyspace::Partition {
                shards: 1,
                excluded: Vec::new(),
            },
            quorum: Quorum::default(),
            progress: BTreeMap::new(),
            phase: Phase::Reading,
            closing: false,
            fenced: false,
            moved: BTreeSet::new(),
            read: BTreeMap::new(),
            entries: BTreeMap::new(),
            active: BTreeSet::new(),
            expiry: BTreeSet::new(),
            queue: VecDeque::new(),
            attempt: 0,
            proposed_at: Duration::ZERO,
        }
    }

    pub(super) const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether the shard was given up or fenced and no request depends on it any more, so
    /// that the grant can be dropped.
    pub(super) fn is_finished(&self) -> bool {
        let has_pending = |key| self.entries.get(key).is_some_and(Entry::has_pending);
        (self.closing || self.fenced)
            && self.queue.is_empty()
            && !self.active.iter().any(has_pending)
    }

    /// Applies a grant under a higher epoch, or a change of the current one. `inherited` are
    /// the entries and queued requests released by other grants of this process.
    pub(super) fn apply(
        &mut self,
        cx: &mut Context<'_>,
        epoch: Epoch,
        keyspace: Keyspace,
        holders: Vec<Node>,
        inherited: (Vec<Entry>, Vec<Pending>),
    ) {
        if epoch > self.epoch {
            self.begin_epoch(cx, epoch, keyspace, holders, inherited);
        } else if epoch == self.epoch {
            self.update(cx, keyspace, holders);
        }
        self.advance_phase(cx);
    }

    /// Removes and returns the entries and the queued requests whose keys are in `keyspace`,
    /// for another grant of this process.
    pub(super) fn extract(
        &mut self,
        to: &ShardId,
        keyspace: &Keyspace,
    ) -> (Vec<Entry>, Vec<Pending>) {
        let taken = |hash| keyspace.contains(to.shard, hash);
        let entries: Vec<_> = self
            .entries
            .extract_if(.., |key, _| taken(key.hash))
            .map(|(_, entry)| entry)
            .collect();
        self.active.retain(|key| !taken(key.hash));
        self.expiry.retain(|(_, key)| !taken(key.hash));
        let (queue, rest) = self
            .queue
            .drain(..)
            .partition(|pending| taken(pending.key.hash));
        self.queue = rest;
        (entries, queue.into())
    }

    /// Stops new starts and withdraws those that have not been dispatched.
    pub(super) fn give_up(&mut self, cx: &mut Context<'_>) {
        self.closing = true;
        self.recheck_all(cx);
    }

    /// Begins the replacement of the holders.
    pub(super) fn replace(&mut self, cx: &mut Context<'_>, holders: Vec<Node>) {
        if !self.quorum.replace(holders) {
            return;
        }
        self.track_nodes();
        for node in self.quorum.target().unwrap_or_default().to_vec() {
            self.resync(node);
        }
        self.flush_all(cx);
        for key in self.active.clone() {
            self.advance_entry(cx, &key);
        }
    }

    pub(super) fn tick(&mut self, cx: &mut Context<'_>) {
        self.tick_requests(cx);
        for node in self.progress.keys().copied().collect::<Vec<_>>() {
            if let Some(progress) = self.progress.get_mut(&node)
                && cx.now >= progress.retry_rejected_at
            {
                let rejected = mem::take(&mut progress.rejected);
                progress.outdated.extend(rejected);
            }
            self.flush(cx, node);
        }
        if cx.now >= self.proposed_at + cx.config.propose_interval {
            self.propose(cx);
        }
    }

    /// Begins a new epoch: fences the holders and keeps the entries and queued requests of
    /// the previous epoch.
    fn begin_epoch(
        &mut self,
        cx: &mut Context<'_>,
        epoch: Epoch,
        keyspace: Keyspace,
        holders: Vec<Node>,
        inherited: (Vec<Entry>, Vec<Pending>),
    ) {
        let former = mem::replace(self, Self::new(self.shard_id.clone()));
        self.epoch = epoch;
        self.keyspace = keyspace;
        self.quorum = Quorum::new(holders);
        let (entries, queue) = inherited;
        self.queue = former.queue.into_iter().chain(queue).collect();
        for entry in former.entries.into_values().chain(entries) {
            self.inherit(cx, entry);
        }
        for pending in &self.queue {
            let shard_id = self.shard_id.clone();
            cx.requests
                .insert(pending.request, (shard_id, pending.key.clone()));
        }
        self.track_nodes();
        self.flush_all(cx);
    }

    /// Takes over an entry from an earlier epoch of this process. The process knows for
    /// certain what became of its own starts, so the entry takes precedence over records
    /// read from holders.
    fn inherit(&mut self, cx: &mut Context<'_>, mut entry: Entry) {
        entry.acks.clear();
        entry.failed.clear();
        if let Stage::Starting { deadline } = entry.stage {
            self.queue.push_back(entry.to_pending(deadline));
            self.queue.extend(mem::take(&mut entry.waiters));
            entry.transition(State::Aborted, Stage::Settled);
            entry.expires = cx.now + cx.config.tombstone;
        }
        // The request of a settled entry may have been started again under another grant.
        let active = (entry.stage != Stage::Settled).then_some(entry.record.request);
        let waiters = entry.waiters.iter().map(|waiter| waiter.request);
        for request in waiters.chain(active) {
            if let Some((shard_id, _)) = cx.requests.get_mut(&request) {
                *shard_id = self.shard_id.clone();
            }
        }
        self.insert(entry);
    }

    /// Applies changed keys or holders within the current epoch.
    fn update(&mut self, cx: &mut Context<'_>, keyspace: Keyspace, holders: Vec<Node>) {
        self.keyspace = keyspace;
        self.recheck_all(cx);
        self.remove_foreign();
        if self.quorum.commit(holders) {
            let known: BTreeSet<_> = self.progress.keys().copied().collect();
            self.track_nodes();
            let holders = self.quorum.holders().to_vec();
            for node in holders.iter().filter(|node| !known.contains(node)) {
                self.resync(*node);
            }
            self.flush_all(cx);
            for key in self.active.clone() {
                self.advance_entry(cx, &key);
            }
        }
    }

    /// Removes the settled entries of keys that moved to a dedicated shard.
    fn remove_foreign(&mut self) {
        let (shard, keyspace) = (self.shard_id.shard, &self.keyspace);
        let foreign = |key: &Key| !keyspace.contains(shard, key.hash);
        let active = &self.active;
        self.entries
            .retain(|key, _| !foreign(key) || active.contains(key));
        self.expiry
            .retain(|(_, key)| !foreign(key) || active.contains(key));
    }

    /// Adds an entry, or replaces the one with the same key, and updates `active` and
    /// `expiry`.
    fn insert(&mut self, entry: Entry) {
        let key = entry.record.key.clone();
        if entry.stage == Stage::Settled {
            self.active.remove(&key);
        } else {
            self.active.insert(key.clone());
        }
        self.expiry.insert((entry.expires, key.clone()));
        if let Some(former) = self.entries.insert(key.clone(), entry)
            && former.expires != self.entries[&key].expires
        {
            self.expiry.remove(&(former.expires, key));
        }
    }

    /// Adds and removes progress entries, so that there is one for each node that receives
    /// writes.
    fn track_nodes(&mut self) {
        let nodes = self.quorum.nodes();
        self.progress.retain(|node, _| nodes.contains(node));
        for node in nodes {
            self.progress.entry(node).or_default();
        }
    }

    /// Schedules copies of all records whose current state a holder has not acknowledged.
    fn resync(&mut self, node: Node) {
        let lacks = |entry: &&Entry| !entry.acks.contains(&node);
        let keys = self.entries.values().filter(lacks);
        if let Some(progress) = self.progress.get_mut(&node) {
            progress
                .outdated
                .extend(keys.map(|entry| entry.record.key.clone()));
            progress.synced = false;
        }
    }

    fn flush_all(&mut self, cx: &mut Context<'_>) {
        for node in self.quorum.nodes() {
            self.flush(cx, node);
        }
    }

    /// Sends the next fence or copy to a holder, if one is due and none is in flight.
    fn flush(&mut self, cx: &mut Context<'_>, node: Node) {
        let is_holder = self.quorum.holders().contains(&node);
        let Some(progress) = self.progress.get_mut(&node) else {
            return;
        };
        if progress.in_flight || progress.stale || cx.now < progress.retry_at {
            return;
        }
        let ShardId { pool, shard } = self.shard_id.clone();
        let epoch = self.epoch;
        let (kind, message) = if self.phase == Phase::Reading {
            if progress.read || !is_holder {
                return;
            }
            let keyspace = self.keyspace.clone();
            let cursor = progress.cursor.clone();
            let message = Message::Fence {
                pool,
                shard,
                epoch,
                keyspace,
                cursor,
            };
            (Kind::Fence, message)
        } else {
            let (revisions, records) = next_page(cx, node, progress, &self.entries);
            if records.is_empty() && progress.synced {
                return;
            }
            let message = Message::Copy {
                pool,
                shard,
                epoch,
                records,
            };
            (Kind::Copy { revisions }, message)
        };
        progress.in_flight = true;
        let call = Call {
            to: node,
            shard_id: self.shard_id.clone(),
            epoch,
            kind,
        };
        cx.call(call, message);
    }

    /// Enters the next phase, or proposes the target, once the conditions are met. Called
    /// after every reply and every grant that is applied.
    fn advance_phase(&mut self, cx: &mut Context<'_>) {
        let read = |node| {
            self.progress
                .get(&node)
                .is_some_and(|progress| progress.read)
        };
        if self.phase == Phase::Reading && majority(self.quorum.holders(), read) {
            self.write_back(cx);
        }
        let synced = |node| {
            self.progress
                .get(&node)
                .is_some_and(|progress| progress.synced)
        };
        if self.phase == Phase::Writing && self.quorum.majority(synced) {
            self.phase = Phase::Ready;
            for pending in mem::take(&mut self.queue) {
                self.admit(cx, pending);
            }
        }
        if !self.quorum.is_proposed() {
            self.propose(cx);
        }
    }

    /// Merges the records read and sends each under the current epoch to the holders that
    /// did not return it, so that the next owner finds it in every majority.
    fn write_back(&mut self, cx: &mut Context<'_>) {
        self.phase = Phase::Writing;
        for (key, (mut record, nodes)) in mem::take(&mut self.read) {
            // The key may have moved to a dedicated shard since it was read.
            if !self.keyspace.contains(self.shard_id.shard, key.hash) {
                continue;
            }
            let revision = Revision::of(&record);
            if let Some(known) = self.entries.get_mut(&key) {
                if known.revision() == revision {
                    known.acks.clone_from(&nodes);
                }
                match known.stage {
                    // The work runs or ran in this process, so no other start of it did.
                    Stage::Running | Stage::Completing { .. } => continue,
                    _ if !record.supersedes(&known.record) => continue,
                    // Another owner started the key after this withdrawal.
                    Stage::Aborting { reason, .. } => self.refuse_withdrawn(cx, &key, reason),
                    Stage::Starting { .. } | Stage::Settled => {}
                }
            }
            if record.state == State::Started {
                record.state = State::Unknown;
            }
            let mut entry = Entry::new(cx.now, cx.config, record, Stage::Settled);
            if entry.revision() == revision {
                entry.acks = nodes;
            }
            self.insert(entry);
        }
        for node in self.quorum.nodes() {
            self.resync(node);
        }
        self.flush_all(cx);
        // The records read may complete the majority for an outcome.
        for key in self.active.clone() {
            self.advance_entry(cx, &key);
        }
    }

    /// Proposes the target to the control log, if each of its new holders and a majority of
    /// it have all records.
    fn propose(&mut self, cx: &mut Context<'_>) {
        let Some(target) = self.quorum.target().map(<[Node]>::to_vec) else {
            return;
        };
        let synced = |node| {
            self.progress
                .get(&node)
                .is_some_and(|progress| progress.synced)
        };
        let old = self.quorum.holders();
        let filled = target
            .iter()
            .all(|node| old.contains(node) || synced(*node));
        let may_propose = !self.closing && !self.fenced && self.phase != Phase::Reading;
        if may_propose && filled && majority(&target, synced) {
            cx.effects.push(Effect::Propose {
                pool: self.shard_id.pool.clone(),
                shard: self.shard_id.shard,
                epoch: self.epoch,
                base: old.to_vec(),
                holders: target,
            });
            self.quorum.mark_proposed();
            self.proposed_at = cx.now;
        }
    }
}

/// Removes the keys of the next copy to a holder from its outdated keys, and returns their
/// records.
fn next_page(
    cx: &Context<'_>,
    node: Node,
    progress: &mut Progress,
    entries: &BTreeMap<Key, Entry>,
) -> (Vec<(Key, Revision)>, Vec<Record>) {
    let mut revisions = Vec::new();
    let mut records = Vec::new();
    let mut size = 0;
    while let Some(key) = progress.outdated.pop_first() {
        let Some(entry) = entries.get(&key) else {
            continue;
        };
        if entry.acks.contains(&node) {
            continue;
        }
        size += entry.record.max_encoded_len();
        if !records.is_empty() && (size > MAX_PAGE_BYTES || progress.one_by_one) {
            progress.outdated.insert(key);
            break;
        }
        records.push(entry.export(cx.now, cx.config));
        revisions.push((key, entry.revision()));
    }
    (revisions, records)
}
