//! A replica whose messages come from the test.

use std::time::Duration;

use wisteriaglade_consensus::{
    Config, Entry, Input, Message, Output, Payload, Raft, Replica, Restored, Role, Vote,
};
use wisteriaglade_types::{Index, Term};

pub const SECOND: Duration = Duration::from_secs(1);
pub const OWN: Replica = Replica::new(1);
pub const SECOND_REPLICA: Replica = Replica::new(2);
pub const THIRD_REPLICA: Replica = Replica::new(3);

/// Creates an entry with a fixed command.
pub fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index: Index::new(index),
        term: Term::new(term),
        payload: Payload::Data(vec![1; 8].into()),
    }
}

/// Creates a member of a group of three, whose log has entries of `terms` and
/// whose current term is `vote`.
pub fn restored(terms: &[u64], vote: u64) -> Raft {
    let entries = (1..).zip(terms).map(|(index, term)| entry(index, *term));
    let restored = Restored {
        vote: Vote {
            term: Term::new(vote),
            voted_for: None,
        },
        snapshot: None,
        entries: entries.collect(),
    };
    let members = [OWN, SECOND_REPLICA, THIRD_REPLICA];
    Raft::new(
        Config::new(OWN, members)
            .max_inflight_messages(4)
            .retained_entries(2),
        restored,
        Duration::ZERO,
    )
}

/// Passes one input to a replica and returns its outputs.
pub fn step(raft: &mut Raft, now: Duration, input: Input) -> Vec<Output> {
    let mut outputs = Vec::new();
    raft.step(now, input, &mut outputs);
    outputs
}

/// Passes one message to a replica at 2 s and returns its outputs.
pub fn receive(raft: &mut Raft, from: Replica, message: Message) -> Vec<Output> {
    step(raft, 2 * SECOND, Input::Message { from, message })
}

pub fn append_accepted(term: u64, index: u64) -> Message {
    Message::AppendAccepted {
        term: Term::new(term),
        index: Index::new(index),
    }
}

pub fn append_rejected(term: u64, prev: u64, hint: u64, hint_term: u64) -> Message {
    Message::AppendRejected {
        term: Term::new(term),
        prev: Index::new(prev),
        hint: Index::new(hint),
        hint_term: Term::new(hint_term),
    }
}

/// Creates an append with entries of `terms` after an index and its term.
pub fn append_entries(
    term: u64,
    (prev, prev_term): (u64, u64),
    commit: u64,
    terms: &[u64],
) -> Message {
    let entries = (prev + 1..)
        .zip(terms)
        .map(|(index, term)| entry(index, *term));
    Message::AppendEntries {
        term: Term::new(term),
        prev: Index::new(prev),
        prev_term: Term::new(prev_term),
        commit: Index::new(commit),
        entries: entries.collect(),
    }
}

/// Makes a replica the leader of the term after `term`, with the votes of the
/// second replica.
pub fn elect(raft: &mut Raft, term: u64) {
    let term = Term::new(term + 1);
    let granted = true;
    step(raft, 2 * SECOND, Input::Tick);
    receive(
        raft,
        SECOND_REPLICA,
        Message::PreVoteResponse { term, granted },
    );
    receive(
        raft,
        SECOND_REPLICA,
        Message::VoteResponse { term, granted },
    );
    assert_eq!(raft.role(), Role::Leader);
}

/// Creates a proposal of a fixed command.
pub fn propose(ticket: u64) -> Input {
    let data = vec![0; 8].into();
    Input::Propose { ticket, data }
}
