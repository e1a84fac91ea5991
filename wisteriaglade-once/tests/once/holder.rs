//! Tests of the holder: fences, memory limit, paging and retention.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use rstest::rstest;
use wisteriaglade_once::{
    Answer, Fingerprint, Keyspace, Record, State,
    holder::{Config, Holder, MAX_PAGE_BYTES, Message, Reply},
};
use wisteriaglade_types::{Epoch, Hash, Request, Shard};

use crate::fixtures::{self, partition, pool};

const SHARD: Shard = Shard::new(0);
const NOW: Duration = Duration::from_secs(1);

/// The keys of the only shard of a pool, which are all keys.
fn all_keys() -> Keyspace {
    partition(1, &[])
}

/// Returns a response with `body` bytes of body.
fn answer(body: usize) -> Answer {
    fixtures::answer(&vec![7; body])
}

/// Returns the record of a start under epoch 5.
fn record(hash: u64, attempt: u64) -> Record {
    Record {
        key: fixtures::key(Hash::new(hash), hash),
        epoch: Epoch::new(5),
        attempt,
        fingerprint: Fingerprint::new(1),
        request: Request::new(1),
        state: State::Started,
        age: Duration::ZERO,
    }
}

fn start(epoch: u64, record: Record) -> Message {
    let (shard, epoch) = (SHARD, Epoch::new(epoch));
    Message::Start {
        shard,
        epoch,
        record,
    }
}

fn complete(epoch: u64, record: &Record, answer: Answer) -> Message {
    Message::Complete {
        shard: SHARD,
        epoch: Epoch::new(epoch),
        key: record.key.clone(),
        attempt: record.attempt,
        answer,
    }
}

fn abort(epoch: u64, record: Record) -> Message {
    let (shard, epoch) = (SHARD, Epoch::new(epoch));
    Message::Abort {
        shard,
        epoch,
        record,
    }
}

fn copy(epoch: u64, records: Vec<Record>) -> Message {
    Message::Copy {
        pool: pool(),
        shard: SHARD,
        epoch: Epoch::new(epoch),
        records,
    }
}

type Pages = Vec<Vec<Record>>;

/// Fences a shard and returns all pages of its records.
fn fence(
    holder: &mut Holder,
    now: Duration,
    shard: Shard,
    epoch: u64,
    keyspace: &Keyspace,
) -> Pages {
    let (mut pages, mut cursor) = (Vec::new(), None);
    loop {
        let message = Message::Fence {
            pool: pool(),
            shard,
            epoch: Epoch::new(epoch),
            keyspace: keyspace.clone(),
            cursor,
        };
        let Reply::Records { records, next } = holder.handle(now, message) else {
            panic!("the fence was refused");
        };
        pages.push(records);
        if next.is_none() {
            return pages;
        }
        cursor = next;
    }
}

/// Returns all records of the holder.
fn read(holder: &mut Holder, now: Duration) -> Vec<Record> {
    fence(holder, now, SHARD, 9, &all_keys()).concat()
}

/// Guards against a former owner that adds or changes a record after a fence.
#[rstest]
#[case::start(start(5, record(1, 2)))]
#[case::complete(complete(5, &record(1, 1), answer(1)))]
#[case::abort(abort(5, record(1, 1)))]
#[case::copy(copy(5, vec![record(1, 2)]))]
fn lower_epochs_are_refused(#[case] message: Message) {
    let mut holder = Holder::new(Config::default());
    assert_eq!(holder.handle(NOW, start(5, record(1, 1))), Reply::Done);
    let before = fence(&mut holder, NOW, SHARD, 6, &all_keys());

    let reply = holder.handle(NOW, message);

    let epoch = Epoch::new(6);
    assert_eq!(reply, Reply::Stale { epoch, hash: None });
    assert_eq!(fence(&mut holder, NOW, SHARD, 6, &all_keys()), before);
}

/// Guards against an outcome that is rejected for lack of room, and against eviction before
/// the end of the retention.
#[test]
fn a_full_holder_accepts_the_outcomes_of_its_starts() {
    let memory = 1_000_000;
    let config = Config {
        memory,
        ..Config::default()
    };
    let mut holder = Holder::new(config.clone());
    let mut held = 0;
    while holder.handle(NOW, start(5, record(held, 1))) == Reply::Done {
        held += 1;
        assert!(holder.memory_used() <= memory);
    }
    assert!(held > 40, "only {held} records found room");
    assert_eq!(holder.handle(NOW, start(5, record(held, 1))), Reply::Full);

    for hash in 0..held {
        // The largest body that is recorded.
        let largest = answer(Answer::MAX_BODY_BYTES);
        assert_eq!(
            holder.handle(NOW, complete(5, &record(hash, 1), largest)),
            Reply::Done
        );
        assert!(holder.memory_used() <= memory);
    }

    let kept = read(&mut holder, NOW + config.retention / 2);
    assert_eq!(kept.len() as u64, held);
    assert!(
        kept.iter()
            .all(|record| record.state == State::Completed(answer(Answer::MAX_BODY_BYTES)))
    );
    holder.expire(NOW + config.retention);
    assert_eq!((holder.len(), holder.memory_used()), (0, 0));
}

/// Guards against a memory count that differs from the sum of the stored records.
#[test]
fn memory_use_stays_within_the_limit() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let config = Config {
            memory: 200_000,
            ..Config::default()
        };
        let mut holder = Holder::new(config.clone());
        let mut now = NOW;
        for _ in 0..500 {
            now += Duration::from_secs(rng.random_range(0..30));
            let record = record(rng.random_range(0..40), rng.random_range(1..4));
            let message = match rng.random_range(0..4) {
                0 => start(9, record),
                1 => complete(9, &record, answer(rng.random_range(0..40_000))),
                2 => abort(9, record),
                _ => {
                    let state =
                        State::Completed(answer(rng.random_range(0..Answer::MAX_BODY_BYTES)));
                    copy(9, vec![Record { state, ..record }])
                }
            };
            let _ = holder.handle(now, message);
            assert!(holder.memory_used() <= config.memory, "seed {seed}");
        }
        let sizes = read(&mut holder, now)
            .iter()
            .map(Record::size)
            .sum::<usize>();
        assert_eq!(sizes, holder.memory_used(), "seed {seed}");
    }
}

/// Guards against pages that exceed the limit of a frame, and against records that are
/// missing, repeated or of another shard.
#[rstest]
#[case(1)]
#[case(3)]
#[case(8)]
fn pages_carry_every_record_of_a_shard_once(#[case] shards: u32) {
    let mut holder = Holder::new(Config::default());
    let mut rng = StdRng::seed_from_u64(u64::from(shards));
    let hashes: Vec<u64> = (0..150).map(|_| rng.random()).collect();
    for hash in &hashes {
        assert_eq!(holder.handle(NOW, start(5, record(*hash, 1))), Reply::Done);
        let end = complete(5, &record(*hash, 1), answer(Answer::MAX_BODY_BYTES));
        assert_eq!(holder.handle(NOW, end), Reply::Done);
    }

    for number in 0..shards {
        let keyspace = partition(shards, &[Hash::new(hashes[0])]);
        let shard = Shard::new(number);
        let pages = fence(&mut holder, NOW, shard, 9, &keyspace);
        for page in &pages {
            let encoded = postcard::to_stdvec(page).expect("records can be encoded");
            let bound = page.iter().map(Record::max_encoded_len).sum::<usize>();
            assert!(encoded.len() <= bound + 8 && bound <= MAX_PAGE_BYTES);
        }
        let mut found: Vec<_> = pages
            .concat()
            .iter()
            .map(|record| record.key.hash)
            .collect();
        found.sort();
        let mut wanted: Vec<_> = hashes[1..].iter().map(|hash| Hash::new(*hash)).collect();
        wanted.retain(|hash| hash.shard(shards) == shard);
        wanted.sort();
        assert_eq!(found, wanted);
    }
}

/// Guards against a dedicated shard and its parent both writing records of one key.
#[test]
fn a_dedicated_shard_and_its_parent_fence_each_other() {
    let mut holder = Holder::new(Config::default());
    let (hot, other) = (record(1, 1), record(2, 1));
    let (single, dedicated) = (Keyspace::Dedicated(Hash::new(1)), Shard::new(1000));
    let refused = |epoch| Reply::Stale {
        epoch: Epoch::new(epoch),
        hash: Some(Hash::new(1)),
    };
    let _ = fence(&mut holder, NOW, SHARD, 5, &all_keys());
    assert_eq!(holder.handle(NOW, start(5, hot.clone())), Reply::Done);

    let found = fence(&mut holder, NOW, dedicated, 6, &single).concat();
    assert_eq!(found, std::slice::from_ref(&hot));
    assert_eq!(holder.handle(NOW, complete(5, &hot, answer(1))), refused(6));
    assert_eq!(holder.handle(NOW, copy(5, vec![hot.clone()])), refused(6));
    assert_eq!(holder.handle(NOW, start(5, other.clone())), Reply::Done);

    // The fence of the parent's next owner does not affect a key that is excluded.
    let _ = fence(&mut holder, NOW, SHARD, 7, &partition(1, &[Hash::new(1)]));
    let under = |epoch| Message::Start {
        shard: dedicated,
        epoch: Epoch::new(epoch),
        record: Record {
            epoch: Epoch::new(epoch),
            ..hot.clone()
        },
    };
    assert_eq!(holder.handle(NOW, under(6)), Reply::Done);

    // After the merge the parent reads the key's record, and writes of the dedicated shard
    // are rejected.
    let merged = fence(&mut holder, NOW, SHARD, 8, &all_keys()).concat();
    assert_eq!(merged.len(), 2);
    assert_eq!(holder.handle(NOW, under(6)), refused(8));
}

/// Guards against a retention that restarts when a record is copied.
#[test]
fn a_copied_record_keeps_its_age() {
    let config = Config::default();
    let (mut old, mut new) = (Holder::new(config.clone()), Holder::new(config.clone()));
    let age = Duration::from_hours(20);
    assert_eq!(old.handle(NOW, start(5, record(1, 1))), Reply::Done);

    let records = read(&mut old, NOW + age);
    assert_eq!(records[0].age, age);
    assert_eq!(new.handle(NOW, copy(9, records)), Reply::Done);

    let end = NOW + config.retention.saturating_sub(age);
    new.expire(end.saturating_sub(Duration::from_millis(1)));
    assert_eq!(new.len(), 1);
    new.expire(end);
    assert_eq!(new.len(), 0);
}
