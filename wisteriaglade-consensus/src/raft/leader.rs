//! The leader's side of log replication, and changes of the group.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use wisteriaglade_types::{Index, Term};

use crate::{
    Change, Message, Output, Payload, Raft, Reason, Replica, Role,
    log::normalized,
    progress::{Mode, Progress},
};

/// The state that a replica keeps only while it is the leader.
#[derive(Debug, Default)]
pub(super) struct Leadership {
    /// The replication state of each other member of the group.
    pub(super) progress: BTreeMap<Replica, Progress>,
    /// The index and the ticket of each uncommitted proposal, in ascending
    /// order.
    tickets: VecDeque<(Index, u64)>,
    /// When the next heartbeat is due.
    next_heartbeat: Duration,
    /// The index of the empty entry that started the term.
    noop_index: Index,
    /// The second step of a replacement: its ticket and the final group. It is
    /// set while the first step is uncommitted.
    second_step: Option<(u64, Vec<Replica>)>,
}

impl Raft {
    /// Becomes the leader of the current term and appends an empty entry.
    pub(super) fn become_leader(&mut self, outputs: &mut Vec<Output>) {
        self.role = Role::Leader;
        self.leader = Some(self.config.replica);
        self.votes_granted.clear();
        self.assembly = None;
        self.leadership = Leadership {
            next_heartbeat: self.now + self.config.heartbeat_interval,
            ..Leadership::default()
        };
        self.track_members();
        self.leadership.noop_index = self.append(Payload::Noop);
        self.flush(outputs);
    }

    /// Clears the leader's state and reports the uncommitted proposals as
    /// dropped with an unknown outcome.
    pub(super) fn drop_proposals(&mut self, leader: Option<Replica>, outputs: &mut Vec<Output>) {
        let leadership = std::mem::take(&mut self.leadership);
        let tickets = leadership.tickets.into_iter().map(|(_, ticket)| ticket);
        for ticket in tickets.chain(leadership.second_step.map(|(ticket, _)| ticket)) {
            outputs.push(Output::Dropped {
                ticket,
                leader,
                reason: Reason::Deposed,
            });
        }
    }

    /// Appends a proposal, or reports why it is refused.
    pub(super) fn propose(&mut self, ticket: u64, data: Arc<[u8]>, outputs: &mut Vec<Output>) {
        let backlog = self.log.last().get() - self.commit_index.get();
        let reason = if self.failed {
            Reason::StorageFailed
        } else if self.role != Role::Leader {
            Reason::NotLeader
        } else if data.len() > self.config.max_command_bytes {
            Reason::TooLarge
        } else if backlog >= self.config.max_uncommitted_entries as u64 {
            Reason::Busy
        } else {
            let index = self.append(Payload::Data(data));
            self.leadership.tickets.push_back((index, ticket));
            return;
        };
        self.refuse_proposal(ticket, reason, outputs);
    }

    /// Starts a change of the group, or reports why it is refused.
    pub(super) fn change_group(
        &mut self,
        ticket: u64,
        members: Vec<Replica>,
        outputs: &mut Vec<Output>,
    ) {
        let members = normalized(members);
        let current = self.log.members();
        let added = members.iter().filter(|r| !current.contains(r)).count();
        let removed = current.iter().filter(|r| !members.contains(r)).count();
        // The majorities of the old and the new group are sure to overlap only
        // when the previous change and an entry of this term are committed:
        // D. Ongaro, raft-dev, "bug in single-server membership changes", 2015.
        let open = self.leadership.second_step.is_some()
            || self.log.members_index() > self.commit_index
            || self.leadership.noop_index > self.commit_index;
        let reason = if self.failed {
            Reason::StorageFailed
        } else if self.role != Role::Leader {
            Reason::NotLeader
        } else if added > 1 || removed > 1 || members.is_empty() {
            Reason::Invalid
        } else if open {
            Reason::Busy
        } else if added + removed == 0 {
            let index = self.commit_index;
            return outputs.push(Output::Committed { ticket, index });
        } else {
            return self.append_members(ticket, members, added + removed == 2);
        };
        self.refuse_proposal(ticket, reason, outputs);
    }

    /// Appends an entry with a new group. A replacement takes two entries,
    /// because a majority of the old group and one of the new group need not
    /// overlap; `complete_change` appends the second one.
    fn append_members(&mut self, ticket: u64, members: Vec<Replica>, replacement: bool) {
        if !replacement {
            let index = self.append(Payload::Members(members));
            self.leadership.tickets.push_back((index, ticket));
            return self.track_members();
        }
        let current = self.log.members();
        let kept = current.iter().copied().filter(|r| members.contains(r));
        let mut first: Vec<_> = kept.collect();
        // The removal comes first, so that commits never wait for the new
        // replica to catch up. A leader that removes itself adds the new
        // replica first and steps down after the second entry.
        if first.is_empty() || !members.contains(&self.config.replica) {
            first = current.iter().chain(&members).copied().collect();
        }
        self.append(Payload::Members(normalized(first)));
        self.leadership.second_step = Some((ticket, members));
        self.track_members();
    }

    /// Reports that a proposal was refused.
    fn refuse_proposal(&self, ticket: u64, reason: Reason, outputs: &mut Vec<Output>) {
        outputs.push(Output::Dropped {
            ticket,
            leader: self.leader,
            reason,
        });
    }

    /// Adds the replication state of new members and removes that of former
    /// ones.
    fn track_members(&mut self) {
        let others = self.others();
        self.leadership.progress.retain(|id, _| others.contains(id));
        for id in others {
            let progress = Progress::new(self.log.last().next(), self.now);
            self.leadership.progress.entry(id).or_insert(progress);
        }
    }

    /// Outputs the entries appended since the last call for storage and for the
    /// followers. The driver syncs them before it sends the messages.
    pub(super) fn flush(&mut self, outputs: &mut Vec<Output>) {
        while self.role == Role::Leader && self.persisted_index < self.log.last() {
            let entries = self
                .log
                .slice(self.persisted_index.next(), self.log.last())
                .expect("entries that were not output for storage are in memory")
                .to_vec();
            outputs.push(Output::Persist(Change::Append(entries)));
            self.persisted_index = self.log.last();
            for to in self.others() {
                self.replicate(to, outputs);
            }
            self.advance_commit_index(outputs);
        }
    }

    /// Steps down when a majority has not responded for the shortest election
    /// timeout, else sends heartbeats when they are due.
    pub(super) fn tick_leader(&mut self, outputs: &mut Vec<Output>) {
        let silence = self.now.saturating_sub(self.quorum_contact(self.now));
        if silence >= self.config.election_timeout.start {
            return self.become_follower(None, outputs);
        }
        if self.now >= self.leadership.next_heartbeat {
            self.leadership.next_heartbeat = self.now + self.config.heartbeat_interval;
            self.send_heartbeats(outputs);
        }
    }

    /// Sends a heartbeat, which is an append without entries, to every
    /// follower.
    fn send_heartbeats(&mut self, outputs: &mut Vec<Output>) {
        for to in self.others() {
            let next = match self.leadership.progress.get(&to) {
                Some(progress) if matches!(progress.mode, Mode::Snapshot { .. }) => {
                    self.retry_chunk(to, outputs);
                    // An append before the first entry matches every log.
                    Index::new(1)
                }
                Some(progress) => progress.next_index,
                None => continue,
            };
            if self.send_append(to, next, 0, outputs).is_none() {
                self.send_snapshot(to, outputs);
            }
        }
    }

    /// Sends the entries that a follower lacks until its window of
    /// unacknowledged messages is full.
    pub(super) fn replicate(&mut self, to: Replica, outputs: &mut Vec<Output>) {
        while let Some(progress) = self.leadership.progress.get(&to) {
            let next = progress.next_index;
            let open = match &progress.mode {
                Mode::Probe { sent } => !sent,
                Mode::Pipeline { sent } => {
                    sent.len() < self.config.max_inflight_messages && next <= self.log.last()
                }
                Mode::Snapshot { .. } => false,
            };
            if !open {
                return;
            }
            let limit = self.config.max_message_entries;
            let Some(last) = self.send_append(to, next, limit, outputs) else {
                return self.send_snapshot(to, outputs);
            };
            match self
                .leadership
                .progress
                .get_mut(&to)
                .map(|p| (&mut p.mode, &mut p.next_index))
            {
                Some((Mode::Pipeline { sent }, next)) => {
                    sent.push_back(last);
                    *next = last.next();
                }
                Some((Mode::Probe { sent }, _)) => *sent = true,
                _ => return,
            }
        }
    }

    /// Sends at most `limit` entries from `next` on. Returns the index of the
    /// last one, or `None` when an entry is no longer in memory and the
    /// follower needs a snapshot.
    fn send_append(
        &self,
        to: Replica,
        next: Index,
        limit: usize,
        outputs: &mut Vec<Output>,
    ) -> Option<Index> {
        let prev = Index::new(next.get().saturating_sub(1));
        let none = prev == Index::new(0);
        let prev_term = if none {
            Some(Term::new(0))
        } else {
            self.log.term(prev)
        }?;
        let available = match limit {
            0 => &[],
            _ => self.log.slice(next, self.log.last())?,
        };
        let mut bytes = 0;
        let count = available
            .iter()
            .take(limit)
            .take_while(|entry| {
                let first = bytes == 0;
                bytes += entry.payload.size();
                first || bytes <= self.config.max_message_bytes
            })
            .count();
        let message = Message::AppendEntries {
            term: self.vote.term,
            prev,
            prev_term,
            commit: self.commit_index,
            entries: available[..count].to_vec(),
        };
        self.send(to, message, outputs);
        Some(Index::new(prev.get() + count as u64))
    }

    /// Handles an accepted append or snapshot. An index that was never sent is
    /// ignored.
    pub(super) fn on_append_accepted(
        &mut self,
        from: Replica,
        index: Index,
        outputs: &mut Vec<Output>,
    ) {
        if index > self.persisted_index {
            return;
        }
        let Some(progress) = self.record_response(from) else {
            return;
        };
        progress.record_match(index);
        self.advance_commit_index(outputs);
        self.flush(outputs);
        self.replicate(from, outputs);
    }

    /// Handles a rejected append by probing at an earlier index.
    pub(super) fn on_append_rejected(
        &mut self,
        from: Replica,
        prev: Index,
        (hint, hint_term): (Index, Term),
        outputs: &mut Vec<Output>,
    ) {
        if hint > prev || prev > self.persisted_index {
            return;
        }
        let next = self.log.last_possible_match(hint, hint_term).next();
        let Some(progress) = self.record_response(from) else {
            return;
        };
        if progress.record_mismatch(prev, next) {
            self.replicate(from, outputs);
        }
    }

    /// Records that a follower has responded and returns its replication state,
    /// or `None` when the sender is no member.
    pub(super) fn record_response(&mut self, from: Replica) -> Option<&mut Progress> {
        let now = self.now;
        let progress = self.leadership.progress.get_mut(&from)?;
        progress.last_contact = now;
        Some(progress)
    }

    /// Advances the commit index to the last entry that a majority has on disk.
    fn advance_commit_index(&mut self, outputs: &mut Vec<Output>) {
        let own = self.config.replica;
        let held = |member: &Replica| match self.leadership.progress.get(member) {
            Some(progress) => progress.match_index,
            None if *member == own => self.persisted_index,
            None => Index::new(0),
        };
        let mut indexes: Vec<_> = self.log.members().iter().map(held).collect();
        indexes.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&majority) = indexes.get(indexes.len() / 2) else {
            return;
        };
        // An entry of an earlier term can still be overwritten although a
        // majority has it, so only entries of this term are committed by
        // counting replicas (section 5.4.2 of the Raft paper).
        if majority <= self.commit_index || self.log.term(majority) != Some(self.vote.term) {
            return;
        }
        self.commit_to(majority, outputs);
        while let Some(&(index, ticket)) = self.leadership.tickets.front() {
            if index > self.commit_index {
                break;
            }
            self.leadership.tickets.pop_front();
            outputs.push(Output::Committed { ticket, index });
        }
        // The heartbeat carries the commit index, so that followers and their
        // subscribers learn of the commit without waiting for the next one.
        self.send_heartbeats(outputs);
        self.complete_change(outputs);
    }

    /// Completes a change of the group after its commit: steps down when this
    /// replica was removed, or appends the second entry of a replacement.
    fn complete_change(&mut self, outputs: &mut Vec<Output>) {
        if self.log.members_index() > self.commit_index {
            return;
        }
        if !self.is_member() {
            return self.become_follower(None, outputs);
        }
        if let Some((ticket, members)) = self.leadership.second_step.take() {
            let index = self.append(Payload::Members(members));
            self.leadership.tickets.push_back((index, ticket));
            self.track_members();
        }
    }

    /// Returns the latest time at or after which a majority, this leader
    /// included, has responded. It serves the quorum check of section 6.2 of D.
    /// Ongaro's dissertation.
    pub(super) fn quorum_contact(&self, now: Duration) -> Duration {
        let own = self.config.replica;
        let heard = |member: &Replica| match self.leadership.progress.get(member) {
            Some(progress) => progress.last_contact,
            None if *member == own => now,
            None => Duration::ZERO,
        };
        let mut times: Vec<_> = self.log.members().iter().map(heard).collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(times.len() / 2).copied().unwrap_or(now)
    }
}
