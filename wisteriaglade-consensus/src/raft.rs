//! The step function of a replica.

mod elect;
mod follow;
mod lead;
mod read;
mod transfer;

use std::{collections::BTreeSet, ops::Range, time::Duration};

use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use wisteriaglade_types::{Index, Term};

use crate::{
    Change, Config, Entry, Input, Message, Output, Payload, Replica, Restored, Role, Snapshot,
    Vote, assembly::Assembly, log::Log,
};
use lead::Lead;

/// Terms, indexes and sizes from this value on are refused, so that a corrupt
/// message cannot exhaust the numbers.
const LIMIT: u64 = 1 << 62;

/// One replica of a replicated log, as a pure function of its inputs.
///
/// The algorithm is Raft: D. Ongaro and J. Ousterhout, "In Search of an
/// Understandable Consensus Algorithm", USENIX ATC 2014, with the pre-vote and
/// the quorum check of D. Ongaro's dissertation (Stanford, 2014, sections 6.2
/// and 9.6).
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
    /// Whether the driver still has to restore the snapshot read at the start.
    restore: bool,
    commit: Index,
    /// The last entry handed to storage.
    persisted: Index,
    role: Role,
    leader: Option<Replica>,
    /// What the latest `Role` output said.
    announced: (Role, Term, Option<Replica>),
    now: Duration,
    /// When a leader was last heard from.
    heard: Option<Duration>,
    /// When the next election starts.
    deadline: Duration,
    granted: BTreeSet<Replica>,
    lead: Lead,
    assembly: Option<Assembly>,
    failed: bool,
    random: StdRng,
}

impl Raft {
    /// A replica that continues from its durable state.
    ///
    /// `now` is the time since an arbitrary start, as for every step. The first
    /// step restores the snapshot, if there is one.
    ///
    /// # Panics
    ///
    /// Panics when the entries leave a gap after the snapshot or exceed the
    /// stored term, which storage rules out.
    #[must_use]
    pub fn new(config: Config, restored: Restored, now: Duration) -> Self {
        let Restored {
            vote,
            snapshot,
            entries,
        } = restored;
        let mut log = match &snapshot {
            Some(snapshot) => Log::new(snapshot.index, snapshot.term, snapshot.members.clone()),
            None => Log::new(Index::new(0), Term::new(0), config.members.clone()),
        };
        let commit = log.base();
        for entry in entries {
            log.push(entry);
        }
        assert!(
            log.last_term() <= vote.term,
            "the log holds term {} but the vote file holds term {}",
            log.last_term(),
            vote.term
        );
        let mut raft = Self {
            vote,
            restore: snapshot.is_some(),
            snapshot,
            commit,
            persisted: log.last(),
            log,
            role: Role::Follower,
            leader: None,
            announced: (Role::Follower, vote.term, None),
            now,
            heard: None,
            deadline: now,
            granted: BTreeSet::new(),
            lead: Lead::default(),
            assembly: None,
            failed: false,
            random: StdRng::seed_from_u64(config.seed),
            config,
        };
        raft.rearm();
        raft
    }

    /// Takes one input and appends its effects to `outputs`.
    ///
    /// No message from another replica makes it panic.
    ///
    /// # Panics
    ///
    /// Panics when an invariant of the replica itself is broken.
    pub fn step(&mut self, now: Duration, input: Input, outputs: &mut Vec<Output>) {
        self.batch(now, [input], outputs);
    }

    /// Takes several inputs at once. Proposals that follow each other are
    /// written with one sync.
    ///
    /// # Panics
    ///
    /// As [`step`](Self::step).
    pub fn batch(
        &mut self,
        now: Duration,
        inputs: impl IntoIterator<Item = Input>,
        outputs: &mut Vec<Output>,
    ) {
        self.now = self.now.max(now);
        if std::mem::take(&mut self.restore)
            && let Some(snapshot) = &self.snapshot
        {
            outputs.push(Output::Restore(snapshot.clone()));
        }
        for input in inputs {
            if !matches!(input, Input::Propose { .. }) {
                self.flush(outputs);
            }
            self.handle(input, outputs);
        }
        self.flush(outputs);
        self.announce(outputs);
    }

    fn handle(&mut self, input: Input, outputs: &mut Vec<Output>) {
        match input {
            Input::Propose { ticket, data } => self.propose(ticket, data, outputs),
            Input::Members { ticket, members } => self.replace(ticket, members, outputs),
            Input::Failed => self.fail(outputs),
            _ if self.failed => {}
            Input::Tick => self.tick(outputs),
            Input::Message { from, message } => self.receive(from, message, outputs),
            Input::Compact { index, data } => self.compact(index, data, outputs),
        }
    }

    fn tick(&mut self, outputs: &mut Vec<Output>) {
        if self.role == Role::Leader {
            self.tick_leader(outputs);
        } else if self.now >= self.deadline || self.is_alone() {
            self.stand(outputs);
        }
    }

    fn receive(&mut self, from: Replica, message: Message, outputs: &mut Vec<Output>) {
        let term = message.term();
        if from == self.config.replica || term.get() >= LIMIT {
            return;
        }
        match message {
            Message::PreVote {
                last, last_term, ..
            } => return self.on_pre_vote(from, term, (last_term, last), outputs),
            Message::PreVoted { granted: true, .. } => {
                return self.on_pre_voted(from, term, outputs);
            }
            // A vote that no live leader justifies must not raise the term.
            Message::Vote { .. } if term > self.vote.term && self.is_led() => return,
            _ => {}
        }
        if term < self.vote.term {
            return self.on_stale(from, &message, outputs);
        }
        if term > self.vote.term {
            let leader = matches!(message, Message::Append { .. } | Message::Chunk { .. });
            self.observe(term, leader.then_some(from), outputs);
        }
        self.dispatch(from, message, outputs);
    }

    /// Handles a message of the current term.
    fn dispatch(&mut self, from: Replica, message: Message, outputs: &mut Vec<Output>) {
        match message {
            Message::Vote {
                last, last_term, ..
            } => self.on_vote(from, (last_term, last), outputs),
            Message::Voted { granted, .. } => self.on_voted(from, granted, outputs),
            Message::Append {
                prev,
                prev_term,
                commit,
                entries,
                ..
            } => self.on_append(from, (prev, prev_term), commit, entries, outputs),
            Message::Chunk {
                index,
                index_term,
                members,
                total,
                offset,
                data,
                ..
            } => {
                let key = (index, index_term, total);
                self.on_chunk(from, key, members, offset, &data, outputs);
            }
            Message::Matched { index, .. } => self.on_matched(from, index, outputs),
            Message::Mismatch {
                prev,
                hint,
                hint_term,
                ..
            } => self.on_mismatch(from, prev, (hint, hint_term), outputs),
            Message::Received { index, offset, .. } => {
                self.on_received(from, index, offset, outputs);
            }
            Message::PreVote { .. } | Message::PreVoted { .. } | Message::Stale { .. } => {}
        }
    }

    /// Answers a message of an earlier term, so that its sender learns the
    /// current one.
    fn on_stale(&self, from: Replica, message: &Message, outputs: &mut Vec<Output>) {
        let term = self.vote.term;
        let message = match message {
            Message::Vote { .. } => Message::Voted {
                term,
                granted: false,
            },
            Message::Append { .. } | Message::Chunk { .. } => Message::Stale { term },
            _ => return,
        };
        outputs.push(Output::Send { to: from, message });
    }

    /// Enters a later term.
    fn observe(&mut self, term: Term, leader: Option<Replica>, outputs: &mut Vec<Output>) {
        self.set_vote(Vote { term, voted: None }, outputs);
        self.follow(leader, outputs);
    }

    /// Becomes a follower in the current term.
    fn follow(&mut self, leader: Option<Replica>, outputs: &mut Vec<Output>) {
        if self.role == Role::Leader {
            self.heard = Some(self.quorum_heard(self.now));
            self.retire(leader, outputs);
            self.rearm();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.granted.clear();
    }

    /// Takes no further part after a failure of the storage.
    fn fail(&mut self, outputs: &mut Vec<Output>) {
        self.follow(None, outputs);
        self.failed = true;
    }

    /// Takes a snapshot of the driver's state machine.
    fn compact(&mut self, index: Index, data: std::sync::Arc<[u8]>, outputs: &mut Vec<Output>) {
        let current = self.snapshot.as_ref().map_or(Index::new(0), |s| s.index);
        if index <= current || index > self.commit {
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
        let keep = index.get().saturating_sub(self.config.retain as u64);
        self.log.compact(Index::new(keep));
    }

    fn set_vote(&mut self, vote: Vote, outputs: &mut Vec<Output>) {
        self.vote = vote;
        outputs.push(Output::Persist(Change::Vote(vote)));
    }

    /// Appends an entry of the current term; `flush` hands it to storage.
    fn append(&mut self, payload: Payload) -> Index {
        let index = self.log.last().next();
        self.log.push(Entry {
            index,
            term: self.vote.term,
            payload,
        });
        index
    }

    /// Advances the commit index and hands the entries to the state machine.
    fn commit_to(&mut self, index: Index, outputs: &mut Vec<Output>) {
        let index = index.min(self.log.last());
        if index <= self.commit {
            return;
        }
        let entries = self
            .log
            .slice(self.commit.next(), index)
            .expect("entries that are not applied yet are in memory")
            .to_vec();
        self.commit = index;
        outputs.push(Output::Apply(entries));
    }

    /// Reports the role when it has changed.
    fn announce(&mut self, outputs: &mut Vec<Output>) {
        let current = (self.role, self.vote.term, self.leader);
        if self.announced != current {
            self.announced = current;
            let (role, term, leader) = current;
            outputs.push(Output::Role { role, term, leader });
        }
    }

    /// Chooses the next election timeout.
    fn rearm(&mut self) {
        self.deadline = self.now + self.random.random_range(self.config.election.clone());
    }

    /// Chooses when to repeat a pre-vote. It disturbs no one, and the others
    /// may have refused because they heard the leader slightly later; waiting
    /// for an election timeout would double the time without a leader.
    fn rearm_pre_vote(&mut self) {
        let shortest = self.config.heartbeat;
        self.deadline = self.now + self.random.random_range(shortest..=4 * shortest);
    }

    /// Chooses when to give up on a vote. Two candidates may have split it;
    /// half the election timeout leaves enough time for the sync of the votes.
    fn rearm_vote(&mut self) {
        let Range { start, end } = self.config.election;
        self.deadline = self.now + self.random.random_range(start / 2..=end / 2);
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

    fn is_alone(&self) -> bool {
        self.log.members() == [self.config.replica]
    }

    fn is_member(&self) -> bool {
        self.log.members().contains(&self.config.replica)
    }

    /// Whether a leader is alive as far as this replica knows.
    fn is_led(&self) -> bool {
        match self.role {
            Role::Leader => true,
            _ => self
                .heard
                .is_some_and(|at| self.now.saturating_sub(at) < self.config.election.start),
        }
    }
}
