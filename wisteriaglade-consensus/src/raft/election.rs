//! Leader election with pre-votes.

use wisteriaglade_types::{Index, Term};

use super::FIRST_GROUP;
use crate::{Message, Output, Raft, Replica, Role, Vote};

impl Raft {
    /// Starts an election, if this replica is a member, by asking for
    /// pre-votes. The only member of a group needs none.
    pub(super) fn start_election(&mut self, outputs: &mut Vec<Output>) {
        self.reset_election_timeout();
        if !self.is_member() || self.vote.term.get() + 1 >= super::TERM_AND_INDEX_LIMIT {
            return;
        }
        self.leader = None;
        if self.is_only_member() {
            return self.campaign(outputs);
        }
        self.role = Role::PreCandidate;
        self.votes_granted = [self.config.replica].into();
        self.reset_pre_vote_timeout();
        let message = Message::PreVote {
            term: self.vote.term.next(),
            last: self.log.last(),
            last_term: self.log.last_term(),
        };
        for to in self.others() {
            self.send(to, message.clone(), outputs);
        }
    }

    /// Starts a new term, votes for this replica and asks the others for votes.
    fn campaign(&mut self, outputs: &mut Vec<Output>) {
        self.reset_vote_timeout();
        self.campaign_start = Some(self.now);
        self.role = Role::Candidate;
        self.leader = None;
        self.votes_granted = [self.config.replica].into();
        let vote = Vote {
            term: self.vote.term.next(),
            voted_for: Some(self.config.replica),
        };
        self.set_vote(vote, outputs);
        if self.has_majority() {
            return self.become_leader(outputs);
        }
        let message = Message::RequestVote {
            term: self.vote.term,
            last: self.log.last(),
            last_term: self.log.last_term(),
        };
        for to in self.others() {
            self.send(to, message.clone(), outputs);
        }
    }

    /// Answers a request for a pre-vote. Neither the term nor the vote changes.
    pub(super) fn on_pre_vote(
        &mut self,
        from: Replica,
        term: Term,
        last: (Term, Index),
        outputs: &mut Vec<Output>,
    ) {
        let granted = term > self.vote.term
            && !self.has_leader()
            && self.may_vote_for(last)
            && self.is_up_to_date(last);
        let term = if granted { term } else { self.vote.term };
        self.send(from, Message::PreVoteResponse { term, granted }, outputs);
    }

    /// Counts a granted pre-vote and starts the vote when a majority agrees.
    pub(super) fn on_pre_vote_response(
        &mut self,
        from: Replica,
        term: Term,
        outputs: &mut Vec<Output>,
    ) {
        if self.role != Role::PreCandidate || term != self.vote.term.next() {
            return;
        }
        self.votes_granted.insert(from);
        if self.has_majority() {
            self.campaign(outputs);
        }
    }

    /// Answers a request for a vote. The vote is synced before the response is
    /// sent.
    pub(super) fn on_request_vote(
        &mut self,
        from: Replica,
        last: (Term, Index),
        outputs: &mut Vec<Output>,
    ) {
        let free = self.vote.voted_for.is_none_or(|voted| voted == from);
        let granted = free && self.is_up_to_date(last);
        if granted && self.vote.voted_for.is_none() {
            let vote = Vote {
                voted_for: Some(from),
                ..self.vote
            };
            self.set_vote(vote, outputs);
            self.reset_election_timeout();
        }
        let term = self.vote.term;
        self.send(from, Message::VoteResponse { term, granted }, outputs);
    }

    /// Counts a granted vote and becomes the leader with a majority.
    pub(super) fn on_vote_response(
        &mut self,
        from: Replica,
        granted: bool,
        outputs: &mut Vec<Output>,
    ) {
        if self.role != Role::Candidate || !granted {
            return;
        }
        self.votes_granted.insert(from);
        if self.has_majority() {
            self.become_leader(outputs);
        }
    }

    /// Whether a log with this last entry is at least as up-to-date as the own
    /// one, so that it contains every committed entry of the own log (section
    /// 5.4.1 of the Raft paper).
    fn is_up_to_date(&self, last: (Term, Index)) -> bool {
        last >= (self.log.last_term(), self.log.last())
    }

    /// Whether this replica may vote for a candidate with this last entry.
    ///
    /// With fixed ids, a replica that has the first group alone and has not voted is
    /// new, or it has lost its disk, with entries that it acknowledged and votes that
    /// it gave. A candidate with more than the first group shows that there was a
    /// leader, so this replica waits for the entries of one.
    pub(super) fn may_vote_for(&self, last: (Term, Index)) -> bool {
        let own = (self.log.last_term(), self.log.last());
        let may_have_lost_disk = own == FIRST_GROUP && self.vote.voted_for.is_none();
        !(self.config.fixed_ids && may_have_lost_disk) || last <= FIRST_GROUP
    }

    /// Whether a majority of the current group has granted the vote.
    fn has_majority(&self) -> bool {
        let members = self.log.members();
        let granted = members
            .iter()
            .filter(|member| self.votes_granted.contains(member))
            .count();
        granted * 2 > members.len()
    }
}
