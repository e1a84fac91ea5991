//! The follower's side of log replication.

use wisteriaglade_types::{Index, Term};

use crate::{Change, Entry, Message, Output, Raft, Replica, Role};

impl Raft {
    /// Follows the sender of an append or a chunk as the leader of the current
    /// term and restarts the election timeout. Returns false when the sender
    /// cannot be that leader.
    pub(super) fn accept_leader(&mut self, from: Replica, outputs: &mut Vec<Output>) -> bool {
        if self.role == Role::Leader || self.leader.is_some_and(|leader| leader != from) {
            return false;
        }
        self.become_follower(Some(from), outputs);
        self.leader_contact = Some(self.now);
        self.reset_election_timeout();
        true
    }

    /// Handles an append of the current term and answers it.
    pub(super) fn on_append_entries(
        &mut self,
        from: Replica,
        (prev, prev_term): (Index, Term),
        commit: Index,
        mut entries: Vec<Entry>,
        outputs: &mut Vec<Output>,
    ) {
        if !self.accept_leader(from, outputs) || !self.is_consistent(prev, prev_term, &entries) {
            return;
        }
        // The log of every leader contains the committed entries, so those in
        // the message are skipped without a comparison.
        let known = self.commit_index;
        let (mut prev, mut prev_term) = (prev, prev_term);
        if prev < known {
            entries.retain(|entry| entry.index > known);
            prev = known;
            prev_term = self.log.term(known).unwrap_or(prev_term);
        }
        let term = self.vote.term;
        if self.log.term(prev) != Some(prev_term) {
            let hint = self
                .log
                .last_possible_match(prev.min(self.log.last()), prev_term);
            let message = Message::AppendRejected {
                term,
                prev,
                hint,
                hint_term: self.log.term(hint).unwrap_or(Term::new(0)),
            };
            return self.send(from, message, outputs);
        }
        let index = Index::new(prev.get() + entries.len() as u64);
        self.merge_entries(entries, outputs);
        self.send(from, Message::AppendAccepted { term, index }, outputs);
        self.commit_to(commit.min(index), outputs);
    }

    /// Whether the entries of an append have consecutive indexes from `prev` on
    /// and terms that never decrease nor exceed the current term.
    fn is_consistent(&self, prev: Index, prev_term: Term, entries: &[Entry]) -> bool {
        let mut last = (prev, prev_term);
        prev.get() < super::TERM_AND_INDEX_LIMIT
            && prev_term <= self.vote.term
            && entries.iter().all(|entry| {
                let (index, term) = std::mem::replace(&mut last, (entry.index, entry.term));
                entry.index == index.next() && entry.term >= term && entry.term <= self.vote.term
            })
    }

    /// Appends the entries that the log lacks, after removing entries of the
    /// log that conflict with them.
    fn merge_entries(&mut self, mut entries: Vec<Entry>, outputs: &mut Vec<Output>) {
        let same = entries
            .iter()
            .take_while(|entry| self.log.term(entry.index) == Some(entry.term))
            .count();
        entries.drain(..same);
        let Some(first) = entries.first() else {
            return;
        };
        if first.index <= self.log.last() {
            outputs.push(Output::Persist(Change::Truncate(first.index)));
            self.log.truncate(first.index);
        }
        for entry in &entries {
            self.log.push(entry.clone());
        }
        outputs.push(Output::Persist(Change::Append(entries)));
        self.persisted_index = self.log.last();
    }
}
