//! Tests of one replica, whose peers are played by the test.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::replica::*;
use wisteriaglade_consensus::{
    Change, Config, Input, Message, Output, Raft, Reason, Restored, Role, Snapshot, Vote,
};
use wisteriaglade_types::{Index, Term};

/// Guards against a group of one replica that waits for an election timeout.
#[test]
fn single_replica_leads_on_the_first_tick() {
    let config = Config::new(OWN, [OWN]);
    let mut raft = Raft::new(config, Restored::default(), Duration::ZERO);

    step(&mut raft, Duration::ZERO, Input::Tick);

    assert_eq!(raft.role(), Role::Leader);
    assert_eq!(raft.since_leader_contact(SECOND), Some(Duration::ZERO));
}

/// The term for which [`candidate`] asks for votes.
const CANDIDATE_TERM: Term = Term::new(4);

/// A replica that became a candidate at 2 s.
fn candidate() -> Raft {
    let mut raft = restored(&[1, 3], 3);
    step(&mut raft, 2 * SECOND, Input::Tick);
    let message = Message::PreVoteResponse {
        term: CANDIDATE_TERM,
        granted: true,
    };
    receive(&mut raft, SECOND_REPLICA, message);
    raft
}

/// Guards against a candidate that starts over, with another sync for every
/// replica, because the sync of its own vote took longer than its vote timeout: it
/// has asked for votes only since then.
#[test]
fn a_slow_sync_of_the_own_vote_leaves_time_for_answers() {
    let mut raft = candidate();
    assert_eq!(raft.role(), Role::Candidate);

    let synced = 5 * SECOND;
    step(&mut raft, synced, Input::Tick);
    let role = raft.role();
    let message = Message::VoteResponse {
        term: CANDIDATE_TERM,
        granted: true,
    };
    let from = SECOND_REPLICA;
    let answered = synced + SECOND / 10;
    step(&mut raft, answered, Input::Message { from, message });

    assert_eq!(role, Role::Candidate);
    assert_eq!(raft.role(), Role::Leader);
}

/// Guards against a candidate that waits without end for votes.
#[test]
fn a_candidate_without_votes_starts_over() {
    let mut raft = candidate();

    step(&mut raft, 5 * SECOND, Input::Tick);
    step(&mut raft, 6 * SECOND, Input::Tick);

    assert_eq!(raft.role(), Role::PreCandidate);
}

/// Guards against a commit by counting the replicas that have an entry of an
/// earlier term, which a later leader could still overwrite (section 5.4.2 of
/// the Raft paper).
#[test]
fn commits_earlier_terms_only_through_its_own() {
    let mut raft = restored(&[1, 2], 3);
    elect(&mut raft, 3);

    receive(&mut raft, SECOND_REPLICA, append_accepted(4, 2));
    receive(&mut raft, THIRD_REPLICA, append_accepted(4, 2));
    assert_eq!(raft.commit_index(), Index::new(0));

    receive(&mut raft, SECOND_REPLICA, append_accepted(4, 3));
    assert_eq!(raft.commit_index(), Index::new(3));
}

/// Guards against a pre-vote for a replica that alone has lost contact with the
/// leader, or whose log lacks committed entries.
#[rstest]
#[case::silent_leader(2 * SECOND, 4, 2, true)]
#[case::live_leader(SECOND / 10, 4, 2, false)]
#[case::short_log(2 * SECOND, 4, 1, false)]
#[case::old_term(2 * SECOND, 3, 2, false)]
fn answers_a_pre_vote(
    #[case] silence: Duration,
    #[case] term: u64,
    #[case] last: u64,
    #[case] expected: bool,
) {
    let mut raft = restored(&[1, 3], 3);
    receive(&mut raft, SECOND_REPLICA, append_entries(3, (2, 3), 0, &[]));
    let message = Message::PreVote {
        term: Term::new(term),
        last: Index::new(last),
        last_term: Term::new(3),
    };
    let from = THIRD_REPLICA;

    let outputs = step(
        &mut raft,
        2 * SECOND + silence,
        Input::Message { from, message },
    );

    let granted = outputs.iter().any(|output| {
        matches!(
            output,
            Output::Send {
                message: Message::PreVoteResponse { granted: true, .. },
                ..
            }
        )
    });
    assert_eq!(granted, expected);
    assert_eq!(raft.term(), Term::new(3));
}

/// Guards against a vote for a candidate whose log lacks committed entries, and
/// against a late request that raises the term while a leader is alive.
#[rstest]
#[case::silent_leader(2 * SECOND, 3, 2, Some(true), 4)]
#[case::short_log(2 * SECOND, 3, 1, Some(false), 4)]
#[case::old_log(2 * SECOND, 2, 9, Some(false), 4)]
#[case::live_leader(SECOND / 10, 3, 2, None, 3)]
fn answers_a_vote(
    #[case] silence: Duration,
    #[case] last_term: u64,
    #[case] last: u64,
    #[case] expected: Option<bool>,
    #[case] term: u64,
) {
    let mut raft = restored(&[1, 3], 3);
    receive(&mut raft, SECOND_REPLICA, append_entries(3, (2, 3), 0, &[]));
    let message = Message::RequestVote {
        term: Term::new(4),
        last: Index::new(last),
        last_term: Term::new(last_term),
    };
    let from = THIRD_REPLICA;

    let outputs = step(
        &mut raft,
        2 * SECOND + silence,
        Input::Message { from, message },
    );

    let granted = outputs.iter().find_map(|output| match output {
        Output::Send {
            message: Message::VoteResponse { granted, .. },
            ..
        } => Some(*granted),
        _ => None,
    });
    assert_eq!(granted, expected);
    assert_eq!(raft.term(), Term::new(term));
}

/// Guards against a late or wrong append that removes committed entries, and
/// against the acknowledgement of entries that may differ from the leader's.
#[rstest]
#[case::repeated(append_entries(3, (0, 0), 2, &[1, 3]), append_accepted(3, 2), 3)]
#[case::heartbeat(append_entries(3, (2, 3), 2, &[]), append_accepted(3, 2), 3)]
#[case::heartbeat_at_the_start(append_entries(3, (0, 0), 0, &[]), append_accepted(3, 2), 3)]
#[case::next(append_entries(3, (3, 3), 2, &[3]), append_accepted(3, 4), 4)]
#[case::overlap(append_entries(3, (1, 1), 2, &[3, 3, 3]), append_accepted(3, 4), 4)]
#[case::conflict_with_committed(append_entries(3, (0, 0), 2, &[2, 2]), append_accepted(3, 2), 3)]
#[case::conflict_with_uncommitted(append_entries(4, (2, 3), 2, &[4, 4]), append_accepted(4, 4), 4)]
#[case::gap(append_entries(3, (9, 3), 2, &[3]), append_rejected(3, 9, 3, 3), 3)]
#[case::other_term(append_entries(4, (3, 4), 2, &[4]), append_rejected(4, 3, 3, 3), 3)]
#[case::old_term(append_entries(2, (3, 3), 2, &[3]), Message::Stale { term: Term::new(3) }, 3)]
fn answers_an_append(#[case] message: Message, #[case] expected: Message, #[case] last: u64) {
    let mut raft = restored(&[1, 3, 3], 3);
    receive(&mut raft, SECOND_REPLICA, append_entries(3, (3, 3), 2, &[]));
    assert_eq!(raft.commit_index(), Index::new(2));

    let outputs = receive(&mut raft, SECOND_REPLICA, message);

    let sent = outputs.into_iter().find_map(|output| match output {
        Output::Send { message, .. } => Some(message),
        _ => None,
    });
    assert_eq!(sent, Some(expected));
    assert_eq!(
        (raft.last_index(), raft.commit_index()),
        (Index::new(last), Index::new(2))
    );
    let terms: Vec<_> = raft
        .entries(Index::new(1), 9)
        .into_iter()
        .flatten()
        .collect();
    assert_eq!(terms, [&entry(1, 1), &entry(2, 3)]);
}

/// Guards against two votes in one term, also across a restart, and against a
/// response that precedes the sync of the vote.
#[test]
fn votes_once_in_a_term() {
    let vote = |from| {
        let message = Message::RequestVote {
            term: Term::new(5),
            last: Index::new(9),
            last_term: Term::new(4),
        };
        Input::Message { from, message }
    };
    let mut raft = restored(&[1], 3);
    let outputs = step(&mut raft, SECOND, vote(SECOND_REPLICA));
    let expected = Vote {
        term: Term::new(5),
        voted_for: Some(SECOND_REPLICA),
    };
    let persist = Output::Persist(Change::Vote(expected));
    let sent = |output: &Output| matches!(output, Output::Send { .. });
    assert!(outputs.iter().position(|o| *o == persist) < outputs.iter().position(sent));

    let restored = Restored {
        vote: expected,
        ..Restored::default()
    };
    let config = Config::new(OWN, [OWN, SECOND_REPLICA, THIRD_REPLICA]);
    let mut raft = Raft::new(config, restored, SECOND);
    for (from, granted) in [(THIRD_REPLICA, false), (SECOND_REPLICA, true)] {
        let outputs = step(&mut raft, SECOND, vote(from));
        let term = Term::new(5);
        let message = Message::VoteResponse { term, granted };
        assert_eq!(outputs, [Output::Send { to: from, message }]);
    }
}

/// Guards against a sync for each proposal instead of one for a batch.
#[test]
fn proposals_of_a_batch_share_a_sync() {
    let mut raft = restored(&[], 0);
    elect(&mut raft, 0);
    let mut outputs = Vec::new();

    raft.step_batch(2 * SECOND, (0..100).map(propose), &mut outputs);

    let persisted = outputs.iter().filter(|o| matches!(o, Output::Persist(_)));
    assert_eq!(persisted.count(), 1);
    // The first group and the first entry of the leader come before the proposals.
    assert_eq!(raft.last_index(), Index::new(102));
}

/// Guards against an unbounded number of messages to a follower that does not
/// respond.
#[test]
fn sends_no_more_than_the_window() {
    let mut raft = restored(&[], 0);
    elect(&mut raft, 0);
    receive(&mut raft, SECOND_REPLICA, append_accepted(1, 2));
    let mut sent = 0;

    for ticket in 0..100 {
        for output in step(&mut raft, 2 * SECOND, propose(ticket)) {
            if let Output::Send {
                message: Message::AppendEntries { entries, .. },
                to,
            } = output
            {
                sent += usize::from(!entries.is_empty() && to == SECOND_REPLICA);
            }
        }
    }

    assert_eq!(sent, 4);
}

/// Guards against proposals that exhaust the memory or exceed the frame size of
/// the transport.
#[test]
fn refuses_proposals_beyond_its_limits() {
    let members = [OWN, SECOND_REPLICA];
    let config = Config::new(OWN, members)
        .max_uncommitted_entries(4)
        .max_command_bytes(8);
    let mut raft = Raft::new(config, Restored::default(), Duration::ZERO);
    elect(&mut raft, 0);
    let reason = |outputs: &[Output]| match outputs {
        [Output::Dropped { reason, .. }] => Some(*reason),
        _ => None,
    };

    let data = vec![0; 9].into();
    let large = step(&mut raft, 2 * SECOND, Input::Propose { ticket: 0, data });
    assert_eq!(reason(&large), Some(Reason::TooLarge));

    let accepted = (1..10).map(|ticket| step(&mut raft, 2 * SECOND, propose(ticket)));
    let reasons: Vec<_> = accepted.map(|outputs| reason(&outputs)).collect();
    assert_eq!(reasons[..2], [None, None]);
    assert!(reasons[2..].iter().all(|r| *r == Some(Reason::Busy)));
}

/// Guards against readers that skip entries or read uncommitted ones.
#[test]
fn readers_see_committed_entries_only() {
    let config = Config::new(OWN, [OWN]).retained_entries(10);
    let mut raft = Raft::new(config, Restored::default(), Duration::ZERO);
    step(&mut raft, SECOND, Input::Tick);
    for ticket in 0..98 {
        step(&mut raft, SECOND, propose(ticket));
    }
    let data = vec![5; 5].into();
    let index = Index::new(60);
    step(&mut raft, SECOND, Input::Compact { index, data });

    let indexes = |from, limit| -> Option<Vec<u64>> {
        let entries = raft.entries(Index::new(from), limit)?;
        Some(entries.iter().map(|entry| entry.index.get()).collect())
    };
    assert_eq!(indexes(50, 10), None);
    assert_eq!(indexes(0, 10), None);
    assert_eq!(indexes(51, 3), Some(vec![51, 52, 53]));
    assert_eq!(indexes(99, 10), Some(vec![99, 100]));
    assert_eq!(indexes(99, 0), Some(vec![]));
    assert_eq!(indexes(101, 10), Some(vec![]));
    assert_eq!(raft.snapshot().map(|s| s.index), Some(index));
}

/// Guards against memory that grows with the size of the entries: after a snapshot,
/// entries stay up to a number and up to a size.
#[rstest]
#[case::by_number(10, 1_000_000, 10)]
#[case::by_size(1_000, 540, 5)]
#[case::one_larger_than_the_size(1_000, 50, 0)]
fn entries_before_a_snapshot_are_bounded(
    #[case] entries: usize,
    #[case] bytes: usize,
    #[case] expected: usize,
) {
    let config = Config::new(OWN, [OWN])
        .retained_entries(entries)
        .retained_bytes(bytes);
    let mut raft = Raft::new(config, Restored::default(), Duration::ZERO);
    step(&mut raft, SECOND, Input::Tick);
    for ticket in 0..98 {
        let data = vec![0; 100].into();
        step(&mut raft, SECOND, Input::Propose { ticket, data });
    }

    let data = vec![5; 5].into();
    let index = Index::new(60);
    step(&mut raft, SECOND, Input::Compact { index, data });

    let first = Index::new(61 - expected as u64);
    assert_eq!(
        raft.entries(first, 100).map(<[_]>::len),
        Some(40 + expected)
    );
    assert_eq!(raft.entries(Index::new(first.get() - 1), 1), None);
}

/// Guards against a start that does not output the stored snapshot, so that
/// entries would be applied to an empty state machine.
#[test]
fn first_step_restores_the_snapshot() {
    let snapshot = Snapshot {
        index: Index::new(7),
        term: Term::new(2),
        members: vec![OWN, SECOND_REPLICA],
        data: vec![1; 3].into(),
    };
    let restored = Restored {
        vote: Vote {
            term: Term::new(2),
            voted_for: None,
        },
        snapshot: Some(snapshot.clone()),
        entries: vec![entry(8, 2)],
    };
    let mut raft = Raft::new(Config::new(OWN, []), restored, Duration::ZERO);

    let outputs = step(&mut raft, Duration::ZERO, Input::Tick);

    assert_eq!(outputs, [Output::Restore(snapshot)]);
    assert_eq!(
        (raft.commit_index(), raft.last_index()),
        (Index::new(7), Index::new(8))
    );
}
