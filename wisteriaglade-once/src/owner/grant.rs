//! A shard that this process owns: its holders and how they get its records.

mod replies;
mod work;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    mem,
    time::Duration,
};

use wisteriaglade_types::{Epoch, Hash, Node};

use super::{
    Begin, Effect, Place,
    calls::{Call, Kind},
    context::Context,
    entry::{Entry, Mark, Stage},
    link::Link,
    sets::{Sets, majority},
};
use crate::{
    Cover, Key, Record, State,
    holder::{Message, PAGE},
};

/// How far a new owner has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// A majority of the holders has yet to be fenced and read.
    Reading,
    /// A majority has yet to receive what was read.
    Writing,
    /// Requests may run.
    Ready,
}

/// One shard for the time that this process owns it.
#[derive(Debug)]
pub(super) struct Grant {
    place: Place,
    epoch: Epoch,
    cover: Cover,
    sets: Sets,
    links: BTreeMap<Node, Link>,
    phase: Phase,
    /// Whether the shard was given up.
    closing: bool,
    /// Whether a holder reported a higher epoch of the shard.
    fenced: bool,
    /// Keys that a holder reported as fenced by another shard.
    moved: BTreeSet<Hash>,
    /// What the fence has returned so far, with the holders that returned it.
    read: BTreeMap<Key, (Record, Vec<Node>)>,
    entries: BTreeMap<Key, Entry>,
    /// Keys of the entries that are not settled.
    active: BTreeSet<Key>,
    expiry: BTreeSet<(Duration, Key)>,
    /// Requests that wait until the shard is ready.
    queue: VecDeque<Begin>,
    attempt: u64,
    proposed: Duration,
}

impl Grant {
    pub(super) fn new(place: Place) -> Self {
        Self {
            place,
            epoch: Epoch::default(),
            cover: Cover::Part {
                shards: 1,
                except: Vec::new(),
            },
            sets: Sets::default(),
            links: BTreeMap::new(),
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
            proposed: Duration::ZERO,
        }
    }

    pub(super) const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether the shard is given up and nothing waits for it any more.
    pub(super) fn is_over(&self) -> bool {
        let open = |key| self.entries.get(key).is_some_and(Entry::is_open);
        (self.closing || self.fenced) && self.queue.is_empty() && !self.active.iter().any(open)
    }

    /// Takes a grant, or a change of it. `carried` comes from other shards of this
    /// process whose keys this one takes over.
    pub(super) fn own(
        &mut self,
        cx: &mut Context<'_>,
        epoch: Epoch,
        cover: Cover,
        holders: Vec<Node>,
        carried: (Vec<Entry>, Vec<Begin>),
    ) {
        if epoch > self.epoch {
            self.renew(cx, epoch, cover, holders, carried);
        } else if epoch == self.epoch {
            self.update(cx, cover, holders);
        }
        self.progress(cx);
    }

    /// Gives up the entries and the waiting requests whose keys `cover` contains.
    pub(super) fn release(&mut self, to: &Place, cover: &Cover) -> (Vec<Entry>, Vec<Begin>) {
        let taken = |hash| cover.contains(to.shard, hash);
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
            .partition(|begin| taken(begin.key.hash));
        self.queue = rest;
        (entries, queue.into())
    }

    pub(super) fn disown(&mut self, cx: &mut Context<'_>) {
        self.closing = true;
        self.withdraw_all(cx);
    }

    pub(super) fn replace(&mut self, cx: &mut Context<'_>, holders: Vec<Node>) {
        if !self.sets.replace(holders) {
            return;
        }
        self.relink();
        for node in self.sets.target().unwrap_or_default().to_vec() {
            self.resync(node);
        }
        self.flush_all(cx);
        for key in self.active.clone() {
            self.advance(cx, &key);
        }
    }

    pub(super) fn tick(&mut self, cx: &mut Context<'_>) {
        self.tick_work(cx);
        for node in self.links.keys().copied().collect::<Vec<_>>() {
            if let Some(link) = self.links.get_mut(&node)
                && cx.now >= link.unblock
            {
                let blocked = mem::take(&mut link.blocked);
                link.todo.extend(blocked);
            }
            self.flush(cx, node);
        }
        if cx.now >= self.proposed + cx.config.propose {
            self.propose(cx);
        }
    }

    fn renew(
        &mut self,
        cx: &mut Context<'_>,
        epoch: Epoch,
        cover: Cover,
        holders: Vec<Node>,
        carried: (Vec<Entry>, Vec<Begin>),
    ) {
        let former = mem::replace(self, Self::new(self.place.clone()));
        self.epoch = epoch;
        self.cover = cover;
        self.sets = Sets::new(holders);
        let (entries, queue) = carried;
        self.queue = former.queue.into_iter().chain(queue).collect();
        for entry in former.entries.into_values().chain(entries) {
            self.carry(cx, entry);
        }
        for begin in &self.queue {
            let place = self.place.clone();
            cx.requests
                .insert(begin.request, (place, begin.key.clone()));
        }
        self.relink();
        self.flush_all(cx);
    }

    /// Takes over an entry of an earlier epoch of this process. What this process
    /// knows of its own starts is certain, so it counts more than the records that
    /// are read from the holders.
    fn carry(&mut self, cx: &mut Context<'_>, mut entry: Entry) {
        entry.acks.clear();
        entry.failed.clear();
        if let Stage::Starting { deadline } = entry.stage {
            self.queue.push_back(entry.begin(deadline));
            self.queue.extend(mem::take(&mut entry.waiters));
            entry.change(State::Aborted, Stage::Settled);
            entry.expires = cx.now + cx.config.tombstone;
        }
        // The request of a settled entry may have begun anew elsewhere.
        let active = (entry.stage != Stage::Settled).then_some(entry.record.request);
        let waiters = entry.waiters.iter().map(|waiter| waiter.request);
        for request in waiters.chain(active) {
            if let Some((place, _)) = cx.requests.get_mut(&request) {
                *place = self.place.clone();
            }
        }
        self.insert(entry);
    }

    fn update(&mut self, cx: &mut Context<'_>, cover: Cover, holders: Vec<Node>) {
        self.cover = cover;
        self.withdraw_all(cx);
        self.drop_foreign();
        if self.sets.own(holders) {
            let known: BTreeSet<_> = self.links.keys().copied().collect();
            self.relink();
            let holders = self.sets.holders().to_vec();
            for node in holders.iter().filter(|node| !known.contains(node)) {
                self.resync(*node);
            }
            self.flush_all(cx);
            for key in self.active.clone() {
                self.advance(cx, &key);
            }
        }
    }

    /// Drops the settled entries of keys that have a dedicated shard by now.
    fn drop_foreign(&mut self) {
        let (shard, cover) = (self.place.shard, &self.cover);
        let foreign = |key: &Key| !cover.contains(shard, key.hash);
        let active = &self.active;
        self.entries
            .retain(|key, _| !foreign(key) || active.contains(key));
        self.expiry
            .retain(|(_, key)| !foreign(key) || active.contains(key));
    }

    /// Adds an entry, or replaces the one with its key.
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

    /// Keeps one link for each node that receives writes.
    fn relink(&mut self) {
        let nodes = self.sets.nodes();
        self.links.retain(|node, _| nodes.contains(node));
        for node in nodes {
            self.links.entry(node).or_default();
        }
    }

    /// Plans to send a holder every record whose present state it may lack.
    fn resync(&mut self, node: Node) {
        let lacks = |entry: &&Entry| !entry.acks.contains(&node);
        let keys = self.entries.values().filter(lacks);
        if let Some(link) = self.links.get_mut(&node) {
            link.todo.extend(keys.map(|entry| entry.record.key.clone()));
            link.synced = false;
        }
    }

    fn flush_all(&mut self, cx: &mut Context<'_>) {
        for node in self.sets.nodes() {
            self.flush(cx, node);
        }
    }

    /// Sends a holder the next fence or page of records, if one is due.
    fn flush(&mut self, cx: &mut Context<'_>, node: Node) {
        let is_holder = self.sets.holders().contains(&node);
        let Some(link) = self.links.get_mut(&node) else {
            return;
        };
        if link.busy || link.stale || cx.now < link.retry {
            return;
        }
        let Place { pool, shard } = self.place.clone();
        let epoch = self.epoch;
        let (kind, message) = if self.phase == Phase::Reading {
            if link.read || !is_holder {
                return;
            }
            let cover = self.cover.clone();
            let cursor = link.cursor.clone();
            let message = Message::Fence {
                pool,
                shard,
                epoch,
                cover,
                cursor,
            };
            (Kind::Fence, message)
        } else {
            let (marks, records) = page(cx, node, link, &self.entries);
            if records.is_empty() && link.synced {
                return;
            }
            let message = Message::Copy {
                pool,
                shard,
                epoch,
                records,
            };
            (Kind::Copy { marks }, message)
        };
        link.busy = true;
        let call = Call {
            to: node,
            place: self.place.clone(),
            epoch,
            kind,
        };
        cx.call(call, message);
    }

    /// Enters the next phase or proposes the new holders when that is possible.
    fn progress(&mut self, cx: &mut Context<'_>) {
        let read = |node| self.links.get(&node).is_some_and(|link| link.read);
        if self.phase == Phase::Reading && majority(self.sets.holders(), read) {
            self.write_back(cx);
        }
        let synced = |node| self.links.get(&node).is_some_and(|link| link.synced);
        if self.phase == Phase::Writing && self.sets.majority(synced) {
            self.phase = Phase::Ready;
            for begin in mem::take(&mut self.queue) {
                self.admit(cx, begin);
            }
        }
        if !self.sets.is_held() {
            self.propose(cx);
        }
    }

    /// Merges what was read and sends it under the own epoch to the holders that
    /// did not return it, so that a further change of owner finds it on every
    /// majority.
    fn write_back(&mut self, cx: &mut Context<'_>) {
        self.phase = Phase::Writing;
        for (key, (mut record, nodes)) in mem::take(&mut self.read) {
            // The key may have got a dedicated shard since it was read.
            if !self.cover.contains(self.place.shard, key.hash) {
                continue;
            }
            let mark = Mark::of(&record);
            if let Some(known) = self.entries.get_mut(&key) {
                if known.mark() == mark {
                    known.acks.clone_from(&nodes);
                }
                match known.stage {
                    // The work ran here, so no other start of it can have.
                    Stage::Running | Stage::Ending { .. } => continue,
                    _ if !record.supersedes(&known.record) => continue,
                    // Another owner has started the key since.
                    Stage::Aborting { reason, .. } => self.refuse(cx, &key, reason),
                    Stage::Starting { .. } | Stage::Settled => {}
                }
            }
            if record.state == State::Started {
                record.state = State::Unknown;
            }
            let mut entry = Entry::new(cx.now, cx.config, record, Stage::Settled);
            if entry.mark() == mark {
                entry.acks = nodes;
            }
            self.insert(entry);
        }
        for node in self.sets.nodes() {
            self.resync(node);
        }
        self.flush_all(cx);
        // What was read may be the majority that an outcome still lacked.
        for key in self.active.clone() {
            self.advance(cx, &key);
        }
    }

    /// Proposes the target once every node that is new in it has all records, and
    /// so has a majority of it.
    fn propose(&mut self, cx: &mut Context<'_>) {
        let Some(target) = self.sets.target().map(<[Node]>::to_vec) else {
            return;
        };
        let synced = |node| self.links.get(&node).is_some_and(|link| link.synced);
        let old = self.sets.holders();
        let filled = target
            .iter()
            .all(|node| old.contains(node) || synced(*node));
        let live = !self.closing && !self.fenced && self.phase != Phase::Reading;
        if live && filled && majority(&target, synced) {
            cx.effects.push(Effect::Hold {
                pool: self.place.pool.clone(),
                shard: self.place.shard,
                epoch: self.epoch,
                base: old.to_vec(),
                holders: target,
            });
            self.sets.hold();
            self.proposed = cx.now;
        }
    }
}

/// Takes the next records for a holder out of the plan of its link.
fn page(
    cx: &Context<'_>,
    node: Node,
    link: &mut Link,
    entries: &BTreeMap<Key, Entry>,
) -> (Vec<(Key, Mark)>, Vec<Record>) {
    let mut marks = Vec::new();
    let mut records = Vec::new();
    let mut size = 0;
    while let Some(key) = link.todo.pop_first() {
        let Some(entry) = entries.get(&key) else {
            continue;
        };
        if entry.acks.contains(&node) {
            continue;
        }
        size += entry.record.encoded();
        if !records.is_empty() && (size > PAGE || link.single) {
            link.todo.insert(key);
            break;
        }
        records.push(entry.export(cx.now, cx.config));
        marks.push((key, entry.mark()));
    }
    (marks, records)
}
