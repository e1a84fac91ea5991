//! Tests of storage with truncated and damaged files, failed operations and
//! crashes.

mod support;

use rand::{SeedableRng as _, rngs::StdRng};
use rstest::rstest;
use support::disk::MemoryDisk;
use wisteriaglade_consensus::{
    Change, Entry, Payload, Replica, Restored, Snapshot, Vote,
    storage::{Disk as _, Kind, Storage},
};
use wisteriaglade_types::{Index, Term};

/// The name of the first segment.
const LOG: &str = "log-00000000000000000001";

fn entry(index: u64, term: u64) -> Entry {
    let payload = match index % 4 {
        0 => Payload::Noop,
        1 => Payload::Members(vec![Replica::new(1), Replica::new(index)]),
        _ => Payload::Data(index.to_le_bytes().repeat(3).into()),
    };
    Entry {
        index: Index::new(index),
        term: Term::new(term),
        payload,
    }
}

fn append(indexes: std::ops::RangeInclusive<u64>, term: u64) -> Change {
    Change::Append(indexes.map(|index| entry(index, term)).collect())
}

fn truncate(from: u64) -> Change {
    Change::Truncate(Index::new(from))
}

fn vote(term: u64) -> Change {
    Change::Vote(Vote {
        term: Term::new(term),
        voted_for: Some(Replica::new(term % 3)),
    })
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot {
        index: Index::new(index),
        term: Term::new(term),
        members: vec![Replica::new(1)],
        data: vec![7; 50].into(),
    }
}

/// Applies a change to the state that storage is expected to restore,
/// independently of the implementation.
fn apply_to_model(state: &mut Restored, change: &Change) {
    match change.clone() {
        Change::Vote(vote) => state.vote = vote,
        Change::Truncate(from) => state.entries.retain(|entry| entry.index < from),
        Change::Append(entries) => state.entries.extend(entries),
        Change::Compact(snapshot) => {
            state.entries.retain(|entry| entry.index > snapshot.index);
            state.snapshot = Some(snapshot);
        }
        Change::Install(snapshot) => {
            state.entries.clear();
            state.snapshot = Some(snapshot);
        }
    }
}

/// Returns a sequence with every kind of change, in which snapshots replace
/// segments.
fn change_sequence() -> Vec<Change> {
    vec![
        vote(1),
        append(1..=3, 1),
        append(4..=4, 1),
        vote(2),
        truncate(3),
        append(3..=8, 2),
        Change::Compact(snapshot(5, 2)),
        append(9..=9, 2),
        truncate(9),
        vote(5),
        append(9..=12, 4),
        Change::Compact(snapshot(10, 4)),
        Change::Install(snapshot(11, 5)),
        append(12..=13, 5),
        Change::Install(snapshot(40, 5)),
        append(41..=42, 5),
        Change::Compact(snapshot(42, 5)),
        append(43..=43, 5),
    ]
}

fn open(disk: &MemoryDisk, segment: u64) -> (Storage<MemoryDisk>, Restored) {
    let (storage, restored) = Storage::with_disk(disk.clone()).expect("the disk is intact");
    (storage.segment_bytes(segment), restored)
}

/// Creates a disk with one segment of several records. Returns it with the
/// position at which each record starts, and the state before each record; the
/// last elements stand for the end of the segment.
fn small_log() -> (MemoryDisk, Vec<usize>, Vec<Restored>) {
    let disk = MemoryDisk::default();
    let (mut storage, mut state) = open(&disk, u64::MAX);
    storage.persist(&vote(9)).expect("a healthy disk");
    apply_to_model(&mut state, &vote(9));
    let mut starts = Vec::new();
    let mut states = Vec::new();
    // The last record contains a copy of the segment so far: when it is
    // damaged, the frames inside it must not be taken for intact records that
    // follow.
    for change in [
        append(1..=2, 1),
        append(3..=5, 1),
        truncate(4),
        append(4..=4, 2),
    ] {
        starts.push(disk.read(LOG).expect("a segment").len());
        states.push(state.clone());
        storage.persist(&change).expect("a healthy disk");
        apply_to_model(&mut state, &change);
    }
    let bytes = disk.read(LOG).expect("a segment");
    starts.push(bytes.len());
    states.push(state.clone());
    let copy = Change::Append(vec![Entry {
        payload: Payload::Data(bytes.into()),
        ..entry(5, 2)
    }]);
    storage.persist(&copy).expect("a healthy disk");
    apply_to_model(&mut state, &copy);
    starts.push(disk.read(LOG).expect("a segment").len());
    states.push(state);
    (disk, starts, states)
}

/// Guards against a change that a restart loses or alters.
#[rstest]
#[case::one_segment(u64::MAX)]
#[case::small_segments(64)]
#[case::a_segment_for_each_record(1)]
fn restores_each_change(#[case] segment: u64) {
    let disk = MemoryDisk::default();
    let mut expected = Restored::default();
    for change in change_sequence() {
        let (mut storage, _) = open(&disk, segment);

        storage.persist(&change).expect("a healthy disk");

        apply_to_model(&mut expected, &change);
        assert_eq!(open(&disk, segment).1, expected, "after {change:?}");
    }
}

/// Guards against segments and snapshots that are never removed, so that the
/// directory grows without bound.
#[test]
fn removes_files_that_a_snapshot_replaces() {
    let disk = MemoryDisk::default();
    let (mut storage, _) = open(&disk, 1);

    for change in change_sequence() {
        storage.persist(&change).expect("a healthy disk");
    }

    let names = disk.list().expect("a healthy disk");
    assert!(names.len() <= 5, "unexpected files: {names:?}");
}

/// Guards against an interrupted write that prevents a start or that is
/// restored as an entry.
#[test]
fn removes_an_interrupted_write_of_every_length() {
    let (disk, starts, states) = small_log();
    for length in 0..=*starts.last().expect("records") {
        let disk = disk.copy();
        disk.edit(LOG, |bytes| bytes.truncate(length));

        let (mut storage, restored) = open(&disk, u64::MAX);

        let records = starts.partition_point(|start| *start <= length) - 1;
        assert_eq!(restored, states[records], "cut to {length} bytes");
        let next = restored.entries.len() as u64 + 1;
        storage
            .persist(&append(next..=next, 9))
            .expect("a healthy disk");
        let entries = open(&disk, u64::MAX).1.entries;
        assert_eq!(
            entries.last(),
            Some(&entry(next, 9)),
            "cut to {length} bytes"
        );
    }
}

/// Guards against damage that is restored as data, or that removes synced
/// entries because it is taken for an interrupted write.
#[rstest]
#[case(0x01)]
#[case(0x80)]
#[case(0xff)]
fn detects_every_flipped_byte_of_the_log(#[case] mask: u8) {
    let (disk, starts, states) = small_log();
    let last = starts[starts.len() - 2];
    for position in 0..starts[starts.len() - 1] {
        let disk = disk.copy();
        disk.edit(LOG, |bytes| bytes[position] ^= mask);

        let result = Storage::with_disk(disk);

        if position >= last {
            let (_, restored) = result.expect("the last record may be incomplete");
            assert_eq!(restored, states[states.len() - 2], "byte {position}");
            continue;
        }
        let error = result.expect_err("damage before an intact record");
        let record = starts.partition_point(|start| *start <= position) - 1;
        assert_eq!(error.kind(), Kind::Corrupt, "byte {position}");
        assert_eq!(error.file(), LOG, "byte {position}");
        assert_eq!(
            error.offset(),
            Some(starts[record] as u64),
            "byte {position}"
        );
    }
}

/// Guards against a start with a damaged vote, snapshot or format file.
#[rstest]
#[case("vote", Kind::Corrupt)]
#[case("snapshot-00000000000000000002", Kind::Corrupt)]
#[case("format", Kind::Format)]
fn detects_every_flipped_byte_of_other_files(#[case] file: &str, #[case] kind: Kind) {
    let disk = MemoryDisk::default();
    let (mut storage, _) = open(&disk, u64::MAX);
    for change in [vote(3), append(1..=3, 1), Change::Compact(snapshot(2, 1))] {
        storage.persist(&change).expect("a healthy disk");
    }
    for position in 0..disk.read(file).expect("the file").len() {
        let disk = disk.copy();
        disk.edit(file, |bytes| bytes[position] ^= 0x10);

        let error = Storage::with_disk(disk).expect_err("damage");

        assert_eq!(
            (error.kind(), error.file()),
            (kind, file),
            "byte {position}"
        );
    }
}

fn cut(disk: &mut MemoryDisk, file: &str) {
    disk.edit(file, |bytes| bytes.truncate(bytes.len() - 1));
}

fn remove(disk: &mut MemoryDisk, file: &str) {
    disk.remove(file).expect("the file");
}

/// Guards against a start although a part of the state is missing. The error
/// must name the missing or damaged file.
#[rstest]
#[case::short_segment(&[append(1..=2, 1), append(3..=4, 1)], cut, LOG, LOG)]
#[case::no_first_segment(&[append(1..=2, 1), append(3..=4, 1)], remove, LOG, LOG)]
#[case::no_segment(&[], remove, LOG, LOG)]
#[case::no_snapshot(&[append(1..=2, 1), append(3..=3, 1), Change::Compact(snapshot(2, 1))],
    remove, "snapshot-00000000000000000002", LOG)]
#[case::no_vote(&[append(1..=2, 1)], remove, "vote", "vote")]
#[case::no_vote_after_a_snapshot(&[Change::Install(snapshot(2, 1))], remove, "vote", "vote")]
#[case::no_format(&[], remove, "format", "format")]
fn refuses_incomplete_state(
    #[case] changes: &[Change],
    #[case] damage: fn(&mut MemoryDisk, &str),
    #[case] file: &str,
    #[case] named: &str,
) {
    let mut disk = MemoryDisk::default();
    let (mut storage, _) = open(&disk, 1);
    storage.persist(&vote(1)).expect("a healthy disk");
    for change in changes {
        storage.persist(change).expect("a healthy disk");
    }

    damage(&mut disk, file);

    let error = Storage::with_disk(disk).expect_err("an incomplete state");
    assert!(
        matches!(error.kind(), Kind::Corrupt | Kind::Format),
        "{error}"
    );
    assert_eq!(error.file(), named, "{error}");
}

/// Guards against a change that is accepted after a failed one, and against a
/// failed change that is restored in part after a crash.
#[rstest]
#[case::one_segment(u64::MAX)]
#[case::small_segments(64)]
#[case::a_segment_for_each_record(1)]
fn survives_a_failure_of_every_operation(#[case] segment: u64) {
    for operation in 0.. {
        let mut failures = 0;
        for seed in 0..8 {
            let disk = MemoryDisk::default();
            let (mut storage, mut before) = open(&disk, segment);
            disk.fail_after(operation);
            let mut after = before.clone();
            for change in change_sequence() {
                apply_to_model(&mut after, &change);
                if storage.persist(&change).is_err() {
                    failures += 1;
                    let error = storage.persist(&vote(99)).expect_err("it has failed");
                    assert_eq!(error.kind(), Kind::Failed);
                    break;
                }
                before = after.clone();
            }

            disk.crash(&mut StdRng::seed_from_u64(seed));

            let (mut storage, restored) = open(&disk, segment);
            let context = format!("operation {operation}, seed {seed}");
            assert!(
                restored == before || restored == after,
                "{context}: {restored:?}"
            );
            storage.persist(&vote(99)).expect("a healthy disk");
            let restored = open(&disk, segment).1.vote;
            assert_eq!(Change::Vote(restored), vote(99), "{context}");
        }
        if failures == 0 {
            return;
        }
    }
}

/// Guards against an append with a gap, after which the log could not be read
/// back.
#[test]
fn refuses_entries_out_of_order() {
    let (mut storage, _) = open(&MemoryDisk::default(), u64::MAX);

    let error = storage
        .persist(&append(2..=3, 1))
        .expect_err("entry 1 is missing");

    assert_eq!(error.kind(), Kind::InvalidChange);
    assert!(storage.is_failed());
}

/// Guards against two processes that use one directory.
#[test]
fn locks_the_directory() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("data");
    let (storage, _) = Storage::open(&path).expect("a new directory");

    let error = Storage::open(&path).expect_err("the directory is in use");

    assert_eq!(error.kind(), Kind::Locked);
    drop(storage);
    Storage::open(&path).expect("the lock was released");
}

/// Guards against differences between a directory of the file system and the
/// disk in memory that the other tests use.
#[test]
fn restores_from_a_directory() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let mut expected = Restored::default();
    for change in change_sequence() {
        let (storage, _) = Storage::open(directory.path()).expect("an intact directory");
        let mut storage = storage.segment_bytes(64);

        storage.persist(&change).expect("a healthy disk");

        drop(storage);
        apply_to_model(&mut expected, &change);
        let (_, restored) = Storage::open(directory.path()).expect("an intact directory");
        assert_eq!(restored, expected, "after {change:?}");
    }
    let left = std::fs::read_dir(directory.path())
        .expect("the directory")
        .count();
    assert!(left <= 6, "{left} files are left");
}
