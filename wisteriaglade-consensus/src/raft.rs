//! The step function of a replica, which the driver calls with each input.
//!
//! This module owns the state and the transitions between roles. Its submodules
//! implement elections, the two sides of log replication, the transfer of
//! snapshots, and the accessors.

mod accessors;
mod election;
mod follower;
mod leader;
mod transfer;

use std::{collections::BTreeSet, ops::Range, time::Duration};

use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use wisteriaglade_types::{Index, Term};

use crate::{
    Change, Config, Entry, Input, Message, Output, Payload, Replica, Restored, Role, Snapshot,
    Vote, assembly::Assembly, log::Log,
};
use leader::Leadership;

/// Messages with a term or an index from this value on are ignored, so that a
/// corrupt message cannot bring the numbers close to an overflow.
const TERM_AND_INDEX_LIMIT: u64 = 1 << 62;

/// The term and the index of the entry that names the first group. Each of its
/// members writes this entry itself, before any election.
const FIRST_GROUP: (Term, Index) = (Term::new(0), Index::new(1));

/// One replica of a replicated log.
///
/// Its outputs depend only on its inputs, the times passed with them and the
/// seed of the election timeouts. The algorithm is Raft: D. Ongaro and J.
/// Ousterhout, "In Search of an Understandable Consensus Algorithm", USENIX ATC
/// 2014, with the quorum check and the pre-vote of D. Ongaro's dissertation
/// (Stanford, 2014, sections 6.2 and 9.6).
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use wisteriaglade_consensus::{Config, Input, Raft, Replica, Restored, Role};
///
/// let own = Replica::new(1);
/// let mut raft = Raft::new(Config::new(own, [own]), Restored::default(), Duration::ZERO);
/// let mut outputs = Vec::new();
/// raft.step(Duration::from_millis(10), Input::Tick, &mut outputs);
/// assert_eq!(raft.role(), Role::Leader);
/// ```
#[derive(Debug)]
pub struct Raft {
    config: Config,
    vote: Vote,
    log: Log,
    snapshot: Option<Snapshot>,
    /// Whether the next step must output the snapshot that storage restored.
    restore_pending: bool,
    /// Whether the next step must output the entry of the first group for storage.
    first_group_pending: bool,
    /// The last entry known to be committed, which has also been output for the
    /// state machine.
    commit_index: Index,
    /// The last entry that has been output for storage.
    persisted_index: Index,
    role: Role,
    /// The leader of the current term, or `None` when it is unknown.
    leader: Option<Replica>,
    /// The role, term and leader of the last [`Output::Role`].
    reported_role: (Role, Term, Option<Replica>),
    /// The highest time passed to a step.
    now: Duration,
    /// When this replica last received a message from a leader, or was itself
    /// a leader that a majority acknowledged. `None` since the start.
    leader_contact: Option<Duration>,
    /// When the next election starts unless a leader makes contact before.
    election_deadline: Duration,
    /// When this replica became a candidate, until the next step.
    campaign_start: Option<Duration>,
    /// The replicas that granted the current vote or pre-vote.
    votes_granted: BTreeSet<Replica>,
    /// The state of a leader. It is empty in the other roles.
    leadership: Leadership,
    /// A snapshot that is being received from the leader.
    assembly: Option<Assembly>,
    /// Whether storage has failed.
    failed: bool,
    /// The source of the election timeouts.
    random: StdRng,
}

impl Raft {
    /// Creates a replica that continues from its durable state.
    ///
    /// `now` is the time since an arbitrary epoch, which must be the same for
    /// every step. When there is a snapshot, the first step outputs it as
    /// [`Output::Restore`]. When there is no durable state at all, the members in the
    /// settings become the first entry of the log, which the first step outputs for
    /// storage: from then on the settings may name no members.
    ///
    /// # Panics
    ///
    /// Panics when the entries do not directly follow the snapshot, or when one
    /// has a higher term than the vote. [`Storage`](crate::storage::Storage)
    /// returns an error in both cases.
    #[must_use]
    pub fn new(config: Config, restored: Restored, now: Duration) -> Self {
        let is_new = restored == Restored::default() && !config.members.is_empty();
        let Restored {
            vote,
            snapshot,
            entries,
        } = restored;
        let mut log = match &snapshot {
            Some(snapshot) => Log::new(snapshot.index, snapshot.term, snapshot.members.clone()),
            None => Log::new(Index::new(0), Term::new(0), config.members.clone()),
        };
        let commit_index = log.base();
        for entry in entries {
            log.push(entry);
        }
        if is_new {
            let (term, index) = FIRST_GROUP;
            let payload = Payload::Members(log.members().to_vec());
            log.push(Entry {
                index,
                term,
                payload,
            });
        }
        assert!(
            log.last_term() <= vote.term,
            "the log contains term {}, but the stored vote is of term {}",
            log.last_term(),
            vote.term
        );
        let mut raft = Self {
            vote,
            restore_pending: snapshot.is_some(),
            first_group_pending: is_new,
            snapshot,
            commit_index,
            persisted_index: log.last(),
            log,
            role: Role::Follower,
            leader: None,
            reported_role: (Role::Follower, vote.term, None),
            now,
            leader_contact: None,
            election_deadline: now,
            campaign_start: None,
            votes_granted: BTreeSet::new(),
            leadership: Leadership::default(),
            assembly: None,
            failed: false,
            random: StdRng::seed_from_u64(config.seed),
            config,
        };
        raft.reset_election_timeout();
        raft
    }

    /// Handles one input and appends its effects to `outputs`.
    ///
    /// A message from another replica never causes a panic, whatever its
    /// content.
    ///
    /// # Panics
    ///
    /// Panics when an invariant of the replica itself is broken.
    pub fn step(&mut self, now: Duration, input: Input, outputs: &mut Vec<Output>) {
        self.step_batch(now, [input], outputs);
    }

    /// Handles several inputs in order and appends their effects to `outputs`.
    ///
    /// Consecutive proposals are written with one sync.
    ///
    /// # Panics
    ///
    /// Panics when an invariant of the replica itself is broken.
    pub fn step_batch(
        &mut self,
        now: Duration,
        inputs: impl IntoIterator<Item = Input>,
        outputs: &mut Vec<Output>,
    ) {
        self.now = self.now.max(now);
        if let Some(start) = self.campaign_start.take() {
            self.restart_vote_timeout(start);
        }
        if std::mem::take(&mut self.restore_pending)
            && let Some(snapshot) = &self.snapshot
        {
            outputs.push(Output::Restore(snapshot.clone()));
        }
        if std::mem::take(&mut self.first_group_pending) {
            let entries = self.log.slice(FIRST_GROUP.1, FIRST_GROUP.1);
            let entries = entries.expect("a new log is in memory").to_vec();
            outputs.push(Output::Persist(Change::Append(entries)));
        }
        for input in inputs {
            if !matches!(input, Input::Propose { .. }) {
                self.flush(outputs);
            }
            self.handle(input, outputs);
        }
        self.flush(outputs);
        self.report_role(outputs);
    }

    fn handle(&mut self, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Propose { ticket, data } => self.propose(ticket, data, outputs),
            Input::ChangeMembers { ticket, members } => self.change_group(ticket, members, outputs),
            Input::StorageFailed => self.fail(outputs),
            _ if self.failed => {}
            Input::Tick => self.tick(outputs),
            Input::Message { from, message } => self.receive(from, message, outputs),
            Input::Compact { index, data } => self.compact(index, data, outputs),
        }
    }

    fn tick(&mut self, outputs: &mut Vec<Output>) {
        if self.role == Role::Leader {
            self.tick_leader(outputs);
        } else if self.now >= self.election_deadline || self.is_only_member() {
            self.start_election(outputs);
        }
    }

    fn receive(&mut self, from: Replica, message: Message, outputs: &mut Vec<Output>) {
        let term = message.term();
        if from == self.config.replica || term.get() >= TERM_AND_INDEX_LIMIT {
            return;
        }
        match message {
            Message::PreVote {
                last, last_term, ..
            } => return self.on_pre_vote(from, term, (last_term, last), outputs),
            Message::PreVoteResponse { granted: true, .. } => {
                return self.on_pre_vote_response(from, term, outputs);
            }
            // A vote request while a leader is alive must not raise the term:
            // it would depose that leader.
            Message::RequestVote { .. } if term > self.vote.term && self.has_leader() => return,
            Message::RequestVote {
                last, last_term, ..
            } if !self.may_vote_for((last_term, last)) => return,
            _ => {}
        }
        if term < self.vote.term {
            return self.on_stale(from, &message, outputs);
        }
        if term > self.vote.term {
            let leader = matches!(
                message,
                Message::AppendEntries { .. } | Message::SnapshotChunk { .. }
            );
            self.enter_term(term, leader.then_some(from), outputs);
        }
        self.dispatch(from, message, outputs);
    }

    /// Passes a message of the current term to its handler.
    fn dispatch(&mut self, from: Replica, message: Message, outputs: &mut Vec<Output>) {
        match message {
            Message::RequestVote {
                last, last_term, ..
            } => self.on_request_vote(from, (last_term, last), outputs),
            Message::VoteResponse { granted, .. } => self.on_vote_response(from, granted, outputs),
            Message::AppendEntries {
                prev,
                prev_term,
                commit,
                entries,
                ..
            } => self.on_append_entries(from, (prev, prev_term), commit, entries, outputs),
            Message::SnapshotChunk {
                index,
                index_term,
                members,
                total,
                offset,
                data,
                ..
            } => {
                let key = (index, index_term, total);
                self.on_snapshot_chunk(from, key, members, offset, &data, outputs);
            }
            Message::AppendAccepted { index, .. } => self.on_append_accepted(from, index, outputs),
            Message::AppendRejected {
                prev,
                hint,
                hint_term,
                ..
            } => self.on_append_rejected(from, prev, (hint, hint_term), outputs),
            Message::ChunkReceived { index, offset, .. } => {
                self.on_chunk_received(from, index, offset, outputs);
            }
            Message::PreVote { .. } | Message::PreVoteResponse { .. } | Message::Stale { .. } => {}
        }
    }

    /// Answers a request of an earlier term, so that its sender learns of the
    /// current term. Responses of an earlier term are ignored.
    fn on_stale(&self, from: Replica, message: &Message, outputs: &mut Vec<Output>) {
        let term = self.vote.term;
        let message = match message {
            Message::RequestVote { .. } => Message::VoteResponse {
                term,
                granted: false,
            },
            Message::AppendEntries { .. } | Message::SnapshotChunk { .. } => {
                Message::Stale { term }
            }
            _ => return,
        };
        outputs.push(Output::Send { to: from, message });
    }

    /// Enters a later term as a follower that has not voted yet.
    fn enter_term(&mut self, term: Term, leader: Option<Replica>, outputs: &mut Vec<Output>) {
        self.set_vote(
            Vote {
                term,
                voted_for: None,
            },
            outputs,
        );
        self.become_follower(leader, outputs);
    }

    /// Becomes a follower in the current term.
    fn become_follower(&mut self, leader: Option<Replica>, outputs: &mut Vec<Output>) {
        if self.role == Role::Leader {
            self.leader_contact = Some(self.quorum_contact(self.now));
            self.drop_proposals(leader, outputs);
            self.reset_election_timeout();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes_granted.clear();
    }

    /// Becomes passive after a failure of storage: no message may promise what
    /// is not on disk.
    fn fail(&mut self, outputs: &mut Vec<Output>) {
        self.become_follower(None, outputs);
        self.failed = true;
    }

    /// Accepts a snapshot of the driver's state machine and removes the entries
    /// before it from memory, except for the configured number and size.
    fn compact(&mut self, index: Index, data: std::sync::Arc<[u8]>, outputs: &mut Vec<Output>) {
        let current = self.snapshot.as_ref().map_or(Index::new(0), |s| s.index);
        if index <= current || index > self.commit_index {
            return;
        }
        let Some(term) = self.log.term(index) else {
            return;
        };
        let snapshot = Snapshot {
            index,
            term,
            members: self.log.members_at(index).to_vec(),
            data,
        };
        outputs.push(Output::Persist(Change::Compact(snapshot.clone())));
        self.snapshot = Some(snapshot);
        let (entries, bytes) = (self.config.retained_entries, self.config.retained_bytes);
        let base = self.log.base_to_retain(index, entries, bytes);
        self.log.compact(base);
    }

    /// Sets the term and the vote, and outputs the change for storage.
    fn set_vote(&mut self, vote: Vote, outputs: &mut Vec<Output>) {
        self.vote = vote;
        outputs.push(Output::Persist(Change::Vote(vote)));
    }

    /// Appends an entry of the current term to the log in memory. `flush`
    /// outputs it for storage and the followers.
    fn append(&mut self, payload: Payload) -> Index {
        let index = self.log.last().next();
        self.log.push(Entry {
            index,
            term: self.vote.term,
            payload,
        });
        index
    }

    /// Advances the commit index, at most to the end of the log, and outputs
    /// the newly committed entries for the state machine.
    fn commit_to(&mut self, index: Index, outputs: &mut Vec<Output>) {
        let index = index.min(self.log.last());
        if index <= self.commit_index {
            return;
        }
        let entries = self
            .log
            .slice(self.commit_index.next(), index)
            .expect("uncommitted entries are in memory")
            .to_vec();
        self.commit_index = index;
        outputs.push(Output::Apply(entries));
    }

    /// Outputs the role, the term and the leader when one of them has changed.
    fn report_role(&mut self, outputs: &mut Vec<Output>) {
        let current = (self.role, self.vote.term, self.leader);
        if self.reported_role != current {
            self.reported_role = current;
            let (role, term, leader) = current;
            outputs.push(Output::Role { role, term, leader });
        }
    }

    /// Restarts the election timeout with a random duration.
    fn reset_election_timeout(&mut self) {
        self.election_deadline = self.now
            + self
                .random
                .random_range(self.config.election_timeout.clone());
    }

    /// Schedules the repetition of a pre-vote, 1 to 4 heartbeat intervals from
    /// now. A pre-vote does not interrupt a leader, and the others may have
    /// refused it only because their last contact with the leader was slightly
    /// later. Waiting for an election timeout would double the time without a
    /// leader.
    fn reset_pre_vote_timeout(&mut self) {
        let shortest = self.config.heartbeat_interval;
        self.election_deadline = self.now + self.random.random_range(shortest..=4 * shortest);
    }

    /// Schedules the next election in case this one has no winner, for example
    /// because two candidates split the votes. Half the election timeout leaves
    /// the voters enough time to sync their votes.
    fn reset_vote_timeout(&mut self) {
        let Range { start, end } = self.config.election_timeout;
        self.election_deadline = self.now + self.random.random_range(start / 2..=end / 2);
    }

    /// Counts the vote timeout from now on instead of from `start`. The driver syncs
    /// the own vote before it sends the requests and before the next step. With the
    /// time of a slow sync included, a candidate would start over before any other
    /// replica can have answered, and each round costs all of them another sync.
    fn restart_vote_timeout(&mut self, start: Duration) {
        if self.role == Role::Candidate {
            self.election_deadline += self.now.saturating_sub(start);
        }
    }

    fn send(&self, to: Replica, message: Message, outputs: &mut Vec<Output>) {
        debug_assert_ne!(to, self.config.replica, "a replica sends to itself");
        outputs.push(Output::Send { to, message });
    }

    /// The members of the current group other than this replica.
    fn others(&self) -> Vec<Replica> {
        let own = self.config.replica;
        let members = self.log.members().iter().copied();
        members.filter(|member| *member != own).collect()
    }

    /// Whether this replica is the only member, so that it needs no votes.
    fn is_only_member(&self) -> bool {
        self.log.members() == [self.config.replica]
    }

    fn is_member(&self) -> bool {
        self.log.members().contains(&self.config.replica)
    }

    /// Whether a leader was in contact with this replica within the shortest
    /// election timeout. Votes and pre-votes are refused then.
    fn has_leader(&self) -> bool {
        match self.role {
            Role::Leader => true,
            _ => self
                .leader_contact
                .is_some_and(|at| self.now.saturating_sub(at) < self.config.election_timeout.start),
        }
    }
}
