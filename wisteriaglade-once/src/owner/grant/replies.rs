//! Handles the replies of holders and the failures of calls.

use std::time::Duration;

use wisteriaglade_types::{Hash, Node};

use super::{Grant, Phase};
use crate::{
    Key, Record, State,
    holder::{Cursor, Reply},
    owner::{
        calls::{Call, Kind},
        context::Context,
        entry::{Failure, Revision, Stage},
    },
};

impl Grant {
    /// Handles the reply to a call. A reply to a call of an earlier epoch is ignored.
    pub(in crate::owner) fn handle_reply(
        &mut self,
        cx: &mut Context<'_>,
        call: Call,
        reply: Reply,
    ) {
        if call.epoch != self.epoch || !self.progress.contains_key(&call.to) {
            return;
        }
        self.clear_in_flight(&call, Duration::ZERO);
        let node = call.to;
        match (call.kind, reply) {
            (kind, Reply::Stale { hash, .. }) => self.handle_stale(cx, node, kind, hash),
            (Kind::Fence, Reply::Records { records, next }) => {
                self.merge_page(cx, node, records, next);
            }
            (Kind::Write { key, revision }, Reply::Done) => {
                self.acknowledge(cx, node, &key, revision);
            }
            (Kind::Write { key, .. }, Reply::Full) => self.fail(cx, node, key, Failure::Full),
            (Kind::Write { key, revision }, Reply::Superseded(record)) => {
                self.adopt_outcome(cx, &key, revision, *record);
            }
            (Kind::Write { key, .. }, _) => self.schedule_copy(node, key),
            (Kind::Copy { revisions }, Reply::Done) => {
                for (key, revision) in revisions {
                    self.acknowledge(cx, node, &key, revision);
                }
                if let Some(progress) = self.progress.get_mut(&node) {
                    let empty = progress.outdated.is_empty() && progress.rejected.is_empty();
                    progress.synced |= empty;
                    progress.one_by_one &= !progress.outdated.is_empty();
                }
            }
            (Kind::Copy { revisions }, _) => self.handle_full(cx, node, revisions),
            (Kind::Fence, _) => {}
        }
        self.flush(cx, node);
        self.advance_phase(cx);
    }

    /// Handles a call without a reply, which may have taken effect. `unreachable` is set if the
    /// node cannot be reached, and not if the call timed out.
    pub(in crate::owner) fn handle_failure(
        &mut self,
        cx: &mut Context<'_>,
        call: Call,
        unreachable: bool,
    ) {
        if call.epoch != self.epoch || !self.progress.contains_key(&call.to) {
            return;
        }
        self.clear_in_flight(&call, cx.now + cx.config.call_timeout);
        let keys = match call.kind {
            Kind::Fence => Vec::new(),
            Kind::Write { key, .. } => vec![key],
            Kind::Copy { revisions } => revisions.into_iter().map(|(key, _)| key).collect(),
        };
        for key in keys {
            if unreachable {
                self.fail(cx, call.to, key, Failure::Unreachable);
            } else {
                self.schedule_copy(call.to, key);
            }
        }
    }

    /// Marks a fence or copy as no longer in flight, and delays the next one until `retry`.
    fn clear_in_flight(&mut self, call: &Call, retry: Duration) {
        if let Some(progress) = self.progress.get_mut(&call.to) {
            progress.retry_at = progress.retry_at.max(retry);
            progress.in_flight &= matches!(call.kind, Kind::Write { .. });
        }
    }

    /// Merges a page of records from a fenced holder. A page that arrives after a majority
    /// was read only counts as acknowledgements and may replace unknown outcomes.
    fn merge_page(
        &mut self,
        cx: &mut Context<'_>,
        node: Node,
        records: Vec<Record>,
        next: Option<Cursor>,
    ) {
        if let Some(progress) = self.progress.get_mut(&node) {
            progress.read = next.is_none();
            progress.cursor = next;
        }
        for record in records {
            if self.phase != Phase::Reading {
                self.acknowledge(cx, node, &record.key, Revision::of(&record));
                self.replace_unknown(cx, record);
                continue;
            }
            match self.read.get_mut(&record.key) {
                Some((known, nodes)) if !record.supersedes(known) => {
                    if Revision::of(&record) == Revision::of(known) && !nodes.contains(&node) {
                        nodes.push(node);
                    }
                }
                _ => {
                    self.read.insert(record.key.clone(), (record, vec![node]));
                }
            }
        }
    }

    /// Replaces an unknown outcome by one that no holder of the first majority had. Its
    /// caller got no acknowledgement, but resends can be answered with it.
    fn replace_unknown(&mut self, cx: &mut Context<'_>, record: Record) {
        let key = record.key.clone();
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        if entry.record.state == State::Unknown && matches!(record.state, State::Completed(_)) {
            let until = cx.now;
            entry.transition(
                record.state,
                Stage::Completing {
                    until,
                    reported: true,
                },
            );
            self.active.insert(key.clone());
            self.copy_to_all(cx, &key);
        }
    }

    /// Handles a start that a holder rejected because it has the outcome of an earlier one,
    /// which outlived the owner's own copy. The outcome is replicated, and the request and
    /// its resends wait for it.
    fn adopt_outcome(
        &mut self,
        cx: &mut Context<'_>,
        key: &Key,
        revision: Revision,
        record: Record,
    ) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let Stage::Starting { deadline } = entry.stage else {
            return;
        };
        if entry.revision() != revision || !matches!(record.state, State::Completed(_)) {
            return;
        }
        let mut waiters = std::mem::take(&mut entry.waiters);
        waiters.push(entry.to_pending(deadline));
        entry.record = record.clone();
        let until = cx.now;
        entry.transition(
            record.state,
            Stage::Completing {
                until,
                reported: true,
            },
        );
        self.copy_to_all(cx, key);
        for waiter in waiters {
            self.admit(cx, waiter);
        }
    }

    /// Counts a holder as having the state that `revision` identifies, if it is the current one.
    fn acknowledge(&mut self, cx: &mut Context<'_>, node: Node, key: &Key, revision: Revision) {
        if let Some(entry) = self.entries.get_mut(key)
            && entry.revision() == revision
        {
            entry.acknowledge(node);
            self.advance_entry(cx, key);
        }
    }

    /// Schedules a copy of a record to a holder.
    fn schedule_copy(&mut self, node: Node, key: Key) {
        if let Some(progress) = self.progress.get_mut(&node) {
            progress.outdated.insert(key);
        }
    }

    /// Notes that a holder did not take a record, and schedules a retry: immediately for an
    /// unreachable holder, and for a full one after
    /// [`Config::propose_interval`](crate::owner::Config).
    fn fail(&mut self, cx: &mut Context<'_>, node: Node, key: Key, failure: Failure) {
        if let Some(entry) = self.entries.get_mut(&key)
            && !entry.acks.contains(&node)
        {
            entry.fail(node, failure);
            self.advance_entry(cx, &key);
        }
        if failure == Failure::Full
            && let Some(progress) = self.progress.get_mut(&node)
        {
            progress.rejected.insert(key);
            progress.retry_rejected_at = cx.now + cx.config.propose_interval;
        } else if failure == Failure::Unreachable {
            self.schedule_copy(node, key);
        }
    }

    /// Handles a copy that the holder had no room for. Its records are then sent one by one,
    /// so that those with reserved memory are stored.
    fn handle_full(&mut self, cx: &mut Context<'_>, node: Node, revisions: Vec<(Key, Revision)>) {
        let single = revisions.len() == 1;
        if let Some(progress) = self.progress.get_mut(&node) {
            progress.one_by_one = true;
        }
        for (key, _) in revisions {
            if single {
                self.fail(cx, node, key, Failure::Full);
            } else {
                self.schedule_copy(node, key);
            }
        }
    }

    /// Handles a rejection by a holder that has seen a higher epoch, of the shard or of the
    /// key `hash`.
    fn handle_stale(&mut self, cx: &mut Context<'_>, node: Node, kind: Kind, hash: Option<Hash>) {
        if let Some(hash) = hash {
            self.moved.insert(hash);
        } else {
            self.fenced = true;
            if let Some(progress) = self.progress.get_mut(&node) {
                progress.stale = true;
            }
        }
        if let Kind::Copy { revisions } = kind {
            for (key, _) in revisions {
                if Some(key.hash) != hash {
                    self.schedule_copy(node, key);
                }
            }
        }
        self.recheck_all(cx);
        let concerned = |key: &&Key| hash.is_none_or(|hash| key.hash == hash);
        let keys: Vec<_> = self.active.iter().filter(concerned).cloned().collect();
        for key in keys {
            self.fail(cx, node, key, Failure::Stale);
        }
    }

    /// Handles an unreachable node: every start that waits for its acknowledgement counts it
    /// as failed.
    pub(in crate::owner) fn fail_starts(&mut self, cx: &mut Context<'_>, node: Node) {
        if !self.progress.contains_key(&node) {
            return;
        }
        let starting = |key: &&Key| {
            let entry = self.entries.get(*key);
            entry.is_some_and(|entry| matches!(entry.stage, Stage::Starting { .. }))
        };
        let keys: Vec<_> = self.active.iter().filter(starting).cloned().collect();
        for key in keys {
            self.fail(cx, node, key, Failure::Unreachable);
        }
    }
}
