//! Measures appends to storage with their sync, and the step function of a
//! leader and of a follower, for several group sizes, log lengths and batch
//! sizes.

use std::{hint::black_box, sync::Arc, time::Duration};

use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use wisteriaglade_consensus::{
    Change, Config, Entry, Input, Message, Output, Payload, Raft, Replica, Restored, Role, Vote,
    storage::Storage,
};
use wisteriaglade_types::{Index, Term};

/// The size of one command in bytes.
const COMMAND_BYTES: usize = 128;
const SECOND: Duration = Duration::from_secs(1);

/// Creates `count` entries of term 1 from the index `from` on.
fn entries(from: u64, count: u64) -> Vec<Entry> {
    let entry = |index| Entry {
        index: Index::new(index),
        term: Term::new(1),
        payload: Payload::Data(vec![7; COMMAND_BYTES].into()),
    };
    (from..from + count).map(entry).collect()
}

/// Measures the append of 1 to 4,096 entries with one sync, on a real
/// directory.
fn append(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("append_and_sync");
    for count in [1, 16, 256, 4_096] {
        let directory = tempfile::tempdir().expect("a temporary directory");
        let (mut storage, _) = Storage::open(directory.path()).expect("a new directory");
        let mut next = 1;
        group.throughput(Throughput::Elements(count));
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter_batched(
                || {
                    next += count;
                    Change::Append(entries(next - count, count))
                },
                |change| storage.persist(&change).expect("a healthy disk"),
                BatchSize::PerIteration,
            );
        });
    }
    group.finish();
}

/// Creates the leader of a group of `size` replicas, with `length` log entries.
fn leader(size: u64, length: u64) -> Raft {
    let members = (1..=size).map(Replica::new);
    let restored = Restored {
        vote: Vote {
            term: Term::new(1),
            voted_for: None,
        },
        snapshot: None,
        entries: entries(1, length),
    };
    let config = Config::new(Replica::new(1), members);
    let mut raft = Raft::new(config, restored, Duration::ZERO);
    let mut outputs = Vec::new();
    raft.step(2 * SECOND, Input::Tick, &mut outputs);
    let (term, granted) = (Term::new(2), true);
    for message in [
        Message::PreVoteResponse { term, granted },
        Message::VoteResponse { term, granted },
    ] {
        for from in (2..=size).map(Replica::new) {
            let message = message.clone();
            raft.step(2 * SECOND, Input::Message { from, message }, &mut outputs);
        }
    }
    assert_eq!(raft.role(), Role::Leader);
    raft
}

/// Proposes one command and commits it with the responses of all followers.
fn commit(raft: &mut Raft, size: u64, data: Arc<[u8]>, outputs: &mut Vec<Output>) {
    outputs.clear();
    raft.step(2 * SECOND, Input::Propose { ticket: 1, data }, outputs);
    let (term, index) = (raft.term(), raft.last_index());
    for from in (2..=size).map(Replica::new) {
        let message = Message::AppendAccepted { term, index };
        raft.step(2 * SECOND, Input::Message { from, message }, outputs);
    }
    assert_eq!(raft.commit_index(), index);
}

/// Measures one commit by a leader without I/O, for several group sizes and log
/// lengths.
fn step(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("commit");
    for size in [1, 3, 5, 7] {
        for length in [0, 10_000, 1_000_000] {
            let mut raft = leader(size, length);
            let mut outputs = Vec::new();
            let data: Arc<[u8]> = vec![7; COMMAND_BYTES].into();
            let name = BenchmarkId::new(format!("{size}_replicas"), length);
            group.bench_function(name, |bencher| {
                bencher.iter(|| commit(&mut raft, size, data.clone(), black_box(&mut outputs)));
            });
        }
    }
    group.finish();
}

/// Creates a follower in a group of three, with `length` log entries.
fn follower(length: u64) -> Raft {
    let restored = Restored {
        vote: Vote {
            term: Term::new(1),
            voted_for: None,
        },
        snapshot: None,
        entries: entries(1, length),
    };
    let config = Config::new(Replica::new(1), (1..=3).map(Replica::new));
    Raft::new(config, restored, Duration::ZERO)
}

/// Measures how a follower handles one message of the leader: a heartbeat for
/// several log lengths, and an append for several numbers of entries.
fn follow(criterion: &mut Criterion) {
    let message = |prev, entries| Input::Message {
        from: Replica::new(2),
        message: Message::AppendEntries {
            term: Term::new(1),
            prev: Index::new(prev),
            prev_term: Term::new(u64::from(prev > 0)),
            commit: Index::new(prev),
            entries,
        },
    };
    let mut group = criterion.benchmark_group("follower");
    for length in [0, 10_000, 1_000_000] {
        let mut raft = follower(length);
        let mut outputs = Vec::new();
        group.bench_function(BenchmarkId::new("heartbeat", length), |bencher| {
            bencher.iter(|| {
                outputs.clear();
                raft.step(SECOND, message(length, Vec::new()), black_box(&mut outputs));
            });
        });
    }
    for count in [1, 16, 128, 512] {
        group.throughput(Throughput::Elements(count));
        group.bench_function(BenchmarkId::new("append", count), |bencher| {
            bencher.iter_batched(
                || (follower(1_000), message(1_000, entries(1_001, count))),
                |(mut raft, message)| {
                    let mut outputs = Vec::new();
                    raft.step(SECOND, message, &mut outputs);
                    (raft, outputs)
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = append, step, follow
}
criterion_main!(benches);
