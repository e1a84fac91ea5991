//! Tests of one replica whose peers send invalid or malicious messages.

mod support;

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use rstest::rstest;
use support::replica::*;
use wisteriaglade_consensus::{Input, Message, Output, Raft, Replica, Role};
use wisteriaglade_types::{Index, Term};

/// Makes a replica with four entries the leader, and makes it send a snapshot
/// to one follower.
fn lead_and_send_snapshot(raft: &mut Raft) {
    elect(raft, 3);
    receive(raft, SECOND_REPLICA, append_accepted(4, 5));
    let data = vec![0; 9].into();
    let index = Index::new(5);
    step(raft, 2 * SECOND, Input::Compact { index, data });
    let outputs = receive(raft, THIRD_REPLICA, append_rejected(4, 4, 0, 0));
    let chunk = |output: &Output| {
        matches!(
            output,
            Output::Send {
                message: Message::SnapshotChunk { .. },
                ..
            }
        )
    };
    assert!(outputs.iter().any(chunk));
}

/// Guards against a leader that acts on responses which name entries or bytes
/// that do not exist, or that come from a replica outside the group.
#[rstest]
#[case::matched(append_accepted(4, u64::MAX))]
#[case::mismatch(append_rejected(4, u64::MAX, 0, 0))]
#[case::hint(append_rejected(4, 4, u64::MAX, 3))]
#[case::received(Message::ChunkReceived { term: Term::new(4), index: Index::new(5), offset: 10 })]
#[case::not_a_member(Message::VoteResponse { term: Term::new(4), granted: true })]
fn leader_ignores_impossible_responses(#[case] message: Message) {
    let mut probing = restored(&[1, 1, 2, 3], 3);
    elect(&mut probing, 3);
    let mut sending = restored(&[1, 1, 2, 3], 3);
    lead_and_send_snapshot(&mut sending);

    for raft in [&mut probing, &mut sending] {
        let commit = raft.commit_index();
        for from in [SECOND_REPLICA, THIRD_REPLICA, Replica::new(9)] {
            assert_eq!(receive(raft, from, message.clone()), []);
        }
        assert_eq!((raft.role(), raft.commit_index()), (Role::Leader, commit));
    }
}

/// Decodes a message from random bytes that encode mostly small numbers, and
/// some close to the largest one.
fn message(random: &mut StdRng) -> Message {
    loop {
        let bytes: Vec<u8> = (0..30)
            .flat_map(|_| match random.random_range(0..40) {
                0 => [
                    vec![0xfd + random.random_range(0..3)],
                    vec![0xff; 8],
                    vec![1],
                ]
                .concat(),
                1 => [vec![0xff; 8], vec![random.random_range(0x3f..0x41)]].concat(),
                _ => vec![random.random_range(0..6)],
            })
            .collect();
        let kind = random.random_range(0..10);
        let bytes = [vec![kind], bytes].concat();
        if let Ok((message, _)) = postcard::take_from_bytes(&bytes) {
            return message;
        }
    }
}

/// Guards against a panic that an invalid message causes, and against a commit
/// index that decreases.
#[rstest]
fn no_message_causes_a_panic(#[values(0, 1, 2, 3)] part: u64) {
    for seed in (part * 1_000..).take(500) {
        let mut random = StdRng::seed_from_u64(seed);
        let mut raft = restored(&[1, 1, 2, 3], 3);
        let mut now = 2 * SECOND;
        if seed % 2 == 0 {
            lead_and_send_snapshot(&mut raft);
        }
        let mut trace = Vec::new();
        let check = std::panic::AssertUnwindSafe(|| {
            let mut applied = raft.commit_index();
            for _ in 0..200 {
                now += Duration::from_millis(random.random_range(0..200));
                let input = match random.random_range(0..10) {
                    0 => Input::Tick,
                    1 => propose(1),
                    2 => Input::Compact {
                        index: raft.commit_index(),
                        data: vec![0; 9].into(),
                    },
                    _ => Input::Message {
                        from: Replica::new(random.random_range(0..5)),
                        message: message(&mut random),
                    },
                };
                trace.push(input.clone());
                for output in step(&mut raft, now, input) {
                    match output {
                        Output::Apply(entries) => {
                            for entry in entries {
                                assert_eq!(entry.index, applied.next());
                                applied = entry.index;
                            }
                        }
                        Output::Restore(snapshot) => {
                            assert!(snapshot.index > applied);
                            applied = snapshot.index;
                        }
                        _ => {}
                    }
                }
                assert_eq!(raft.commit_index(), applied);
                assert!(
                    raft.last_index() >= applied,
                    "a committed entry was removed"
                );
            }
        });
        if let Err(panic) = std::panic::catch_unwind(check) {
            eprintln!(
                "seed {seed}, last inputs {:?}",
                &trace[trace.len().saturating_sub(3)..]
            );
            std::panic::resume_unwind(panic);
        }
    }
}
