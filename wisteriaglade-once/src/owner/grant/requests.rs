//! The requests of a grant, from their arrival to their final effect.

use std::{mem, time::Duration};

use wisteriaglade_types::{Hash, Node, Request};

use super::{Grant, Phase};
use crate::{
    Answer, Key, Record, State,
    holder::Message,
    owner::{
        Pending, Reason,
        calls::{Call, Kind},
        context::Context,
        entry::{Entry, Failure, Stage},
    },
};

impl Grant {
    /// Admits a request, refuses it, or queues it until the shard is ready.
    pub(in crate::owner) fn admit(&mut self, cx: &mut Context<'_>, pending: Pending) {
        if pending.deadline <= cx.now {
            cx.refuse(pending.request, Reason::Deadline);
        } else if self.may_start(pending.key.hash) {
            if self.phase == Phase::Ready {
                self.admit_ready(cx, pending);
            } else {
                self.queue.push_back(pending);
            }
        } else if self.phase == Phase::Ready && self.has_run(&pending.key) {
            // The outcome of work that ran stays valid under later owners.
            self.admit_ready(cx, pending);
        } else {
            cx.refuse(pending.request, Reason::NotOwner);
        }
    }

    /// Whether the work is running in this process or its outcome is known. An unknown
    /// outcome does not count, because a later owner may have found it.
    fn has_run(&self, key: &Key) -> bool {
        self.entries.get(key).is_some_and(|entry| {
            let completed = matches!(entry.record.state, State::Completed(_));
            completed || entry.stage == Stage::Running
        })
    }

    /// Starts, replays, refuses or holds back a request, depending on the record of its key.
    fn admit_ready(&mut self, cx: &mut Context<'_>, pending: Pending) {
        let Some(entry) = self.entries.get_mut(&pending.key) else {
            return self.start(cx, pending);
        };
        let withdrawn = entry.record.state == State::Aborted && entry.stage == Stage::Settled;
        if withdrawn {
            return self.start(cx, pending);
        }
        if entry.record.fingerprint != pending.fingerprint {
            return cx.refuse(pending.request, Reason::KeyReused);
        }
        match (&entry.record.state, entry.stage) {
            (State::Completed(saved), Stage::Settled) => cx.replay(pending.request, saved.clone()),
            (_, Stage::Settled) => cx.unknown(pending.request),
            _ => entry.waiters.push(pending),
        }
    }

    /// Writes the start of a request to all holders.
    fn start(&mut self, cx: &mut Context<'_>, pending: Pending) {
        self.attempt += 1;
        let record = Record {
            key: pending.key,
            epoch: self.epoch,
            attempt: self.attempt,
            fingerprint: pending.fingerprint,
            request: pending.request,
            state: State::Started,
            age: Duration::ZERO,
        };
        let deadline = pending.deadline;
        let stage = Stage::Starting { deadline };
        let entry = Entry::new(cx.now, cx.config, record.clone(), stage);
        let key = record.key.clone();
        self.insert(entry);
        let (shard, epoch) = (self.shard_id.shard, self.epoch);
        let message = Message::Start {
            shard,
            epoch,
            record,
        };
        self.send_to_all(cx, &key, &message);
    }

    /// Records the outcome of a running request. `None` means that it is unknown.
    pub(in crate::owner) fn finish(
        &mut self,
        cx: &mut Context<'_>,
        key: &Key,
        request: Request,
        answer: Option<Answer>,
    ) {
        let Some(entry) = self.running_entry(key, request) else {
            return;
        };
        let Some(answer) = answer.map(Answer::clip) else {
            entry.transition(State::Unknown, Stage::Settled);
            let waiters = mem::take(&mut entry.waiters);
            self.active.remove(key);
            cx.unknown(request);
            for waiter in waiters {
                cx.unknown(waiter.request);
            }
            return self.copy_to_all(cx, key);
        };
        let until = cx.now + cx.config.completion_timeout;
        let stage = Stage::Completing {
            until,
            reported: false,
        };
        entry.transition(State::Completed(answer.clone()), stage);
        let (start, attempt) = entry.record.version();
        if start == self.epoch {
            let message = Message::Complete {
                shard: self.shard_id.shard,
                epoch: self.epoch,
                key: key.clone(),
                attempt,
                answer,
            };
            self.send_to_all(cx, key, &message);
        } else {
            self.copy_to_all(cx, key);
        }
    }

    /// Withdraws a request that was given to the driver to run and certainly did not run.
    pub(in crate::owner) fn abort(&mut self, cx: &mut Context<'_>, key: &Key, request: Request) {
        if self.running_entry(key, request).is_some() {
            self.withdraw(cx, key, Reason::Aborted);
        }
    }

    /// Evaluates all queued requests and active entries again. Starts that may no longer run
    /// here are withdrawn.
    pub(super) fn recheck_all(&mut self, cx: &mut Context<'_>) {
        for pending in mem::take(&mut self.queue) {
            self.admit(cx, pending);
        }
        for key in self.active.clone() {
            self.advance_entry(cx, &key);
        }
    }

    /// Moves an entry to its next stage if its acknowledgements, its failures or the time
    /// permit it.
    pub(super) fn advance_entry(&mut self, cx: &mut Context<'_>, key: &Key) {
        let may_start = self.may_start(key.hash);
        // A key that left this shard has another owner, whose holders may differ. A
        // majority of this shard's holders then proves nothing.
        let owned = self.keyspace.contains(self.shard_id.shard, key.hash);
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let replicated = owned && self.quorum.majority(|node| entry.acks.contains(&node));
        let unattainable = !owned || !self.quorum.majority(|node| !entry.is_stale(node));
        match entry.stage {
            Stage::Starting { .. } if !may_start => self.withdraw(cx, key, Reason::NotOwner),
            Stage::Starting { deadline } if deadline <= cx.now => {
                self.withdraw(cx, key, Reason::Deadline);
            }
            Stage::Starting { .. } if replicated => {
                entry.stage = Stage::Running;
                cx.run(entry.record.request);
            }
            Stage::Starting { .. } if !self.quorum.majority(|node| !entry.is_failed(node)) => {
                let no_room = |(_, failure): &(Node, Failure)| *failure == Failure::Full;
                let reason = if entry.failed.iter().any(no_room) {
                    Reason::Full
                } else {
                    Reason::Unavailable
                };
                self.withdraw(cx, key, reason);
            }
            Stage::Completing { reported, .. } if replicated => self.settle(cx, key, reported),
            Stage::Completing {
                until,
                reported: false,
            } if unattainable || until <= cx.now => {
                entry.stage = Stage::Completing {
                    until,
                    reported: true,
                };
                cx.unknown(entry.record.request);
            }
            Stage::Aborting { until, reason } if replicated || unattainable || until <= cx.now => {
                self.refuse_withdrawn(cx, key, reason);
            }
            _ => {}
        }
    }

    /// Handles deadlines and removes expired entries. Called on every tick.
    pub(super) fn tick_requests(&mut self, cx: &mut Context<'_>) {
        self.recheck_all(cx);
        let now = cx.now;
        for key in self.active.clone() {
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            let aborting = matches!(entry.stage, Stage::Aborting { .. });
            for expired in entry
                .waiters
                .extract_if(.., |pending| pending.deadline <= now)
            {
                if aborting {
                    cx.refuse(expired.request, Reason::Deadline);
                } else {
                    cx.unknown(expired.request);
                }
            }
        }
        while let Some((expires, key)) = self.expiry.first().cloned() {
            if expires > now || self.entries.get(&key).is_some_and(Entry::has_pending) {
                break;
            }
            self.expiry.pop_first();
            self.active.remove(&key);
            self.entries.remove(&key);
        }
    }

    /// Sends the current state of an entry to all holders in copies. Used when no `Start`,
    /// `Complete` or `Abort` message applies.
    pub(super) fn copy_to_all(&mut self, cx: &mut Context<'_>, key: &Key) {
        for node in self.quorum.nodes() {
            if let Some(progress) = self.progress.get_mut(&node) {
                progress.outdated.insert(key.clone());
            }
            self.flush(cx, node);
        }
    }

    /// Whether requests with this hash may start under this grant.
    fn may_start(&self, hash: Hash) -> bool {
        let owned =
            self.keyspace.contains(self.shard_id.shard, hash) && !self.moved.contains(&hash);
        owned && !self.closing && !self.fenced
    }

    /// Returns the entry of a key if `request` is running for it.
    fn running_entry(&mut self, key: &Key, request: Request) -> Option<&mut Entry> {
        let entry = self.entries.get_mut(key)?;
        let matches = entry.stage == Stage::Running && entry.record.request == request;
        matches.then_some(entry)
    }

    /// Withdraws a start. The request is refused once the withdrawal is replicated, so that
    /// a resend does not find a start without an outcome.
    fn withdraw(&mut self, cx: &mut Context<'_>, key: &Key, reason: Reason) {
        let Some(mut entry) = self.entries.get(key).cloned() else {
            return;
        };
        let until = cx.now + cx.config.abort_timeout;
        entry.transition(State::Aborted, Stage::Aborting { until, reason });
        entry.expires = cx.now + cx.config.tombstone;
        let record = entry.export(cx.now, cx.config);
        self.insert(entry);
        let (shard, epoch) = (self.shard_id.shard, self.epoch);
        let message = Message::Abort {
            shard,
            epoch,
            record,
        };
        self.send_to_all(cx, key, &message);
    }

    /// Acknowledges an outcome that a majority has, and replays it to waiting resends.
    fn settle(&mut self, cx: &mut Context<'_>, key: &Key, reported: bool) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let State::Completed(answer) = entry.record.state.clone() else {
            return;
        };
        entry.stage = Stage::Settled;
        let request = entry.record.request;
        let waiters = mem::take(&mut entry.waiters);
        self.active.remove(key);
        if !reported {
            cx.acknowledge(request, answer.clone());
        }
        for waiter in waiters {
            cx.replay(waiter.request, answer.clone());
        }
    }

    /// Refuses the request of a withdrawn start, and admits the resends that waited for it,
    /// so that one of them can start.
    pub(super) fn refuse_withdrawn(&mut self, cx: &mut Context<'_>, key: &Key, reason: Reason) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.stage = Stage::Settled;
        let request = entry.record.request;
        let waiters = mem::take(&mut entry.waiters);
        self.active.remove(key);
        cx.refuse(request, reason);
        for waiter in waiters {
            self.admit(cx, waiter);
        }
    }

    /// Sends a message about an entry to all holders.
    fn send_to_all(&mut self, cx: &mut Context<'_>, key: &Key, message: &Message) {
        let Some(revision) = self.entries.get(key).map(Entry::revision) else {
            return;
        };
        for to in self.quorum.nodes() {
            let call = Call {
                to,
                shard_id: self.shard_id.clone(),
                epoch: self.epoch,
                kind: Kind::Write {
                    key: key.clone(),
                    revision,
                },
            };
            cx.call(call, message.clone());
        }
    }
}
