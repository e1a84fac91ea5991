//! Tests of [`Grantor`], which grants key ranges to a target.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_mesh::{Command, Grantor, Keyspace, Owner, Span, State};
use wisteriaglade_types::Name;

const LIMIT: Duration = Duration::from_secs(10);
const LEASE: Duration = Duration::from_secs(3);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn owner(name: &str, started_ms: u64) -> Owner {
    Owner {
        target: name.into(),
        started_ms,
        host_address: ([127, 0, 0, 1], 7000).into(),
    }
}

fn pool() -> Name {
    "catalogue".into()
}

/// Returns a state in which log entry 5 has granted all keys of a pool to a
/// target.
fn granted(to: &Owner) -> State {
    let mut state = State::default();
    let grants = vec![(Span::ALL, to.clone())];
    state.apply(
        5,
        Command::Grant {
            pool: pool(),
            grants,
        },
    );
    state
}

/// Applies log entry 6, which moves the keys 0 to 99 to another target.
fn move_first_keys(state: &mut State) {
    let moves = vec![(Span::new(0, 99), owner("i-2", 1))];
    state.apply(
        6,
        Command::Move {
            pool: pool(),
            moves,
        },
    );
}

/// Returns a grantor that has received a heartbeat and the key ranges as of log
/// entry 5, and has a lease that starts at 1 s.
fn grantor(owner: &Owner, keyspaces: &BTreeMap<Name, Keyspace>) -> Grantor {
    let mut grantor = Grantor::default();
    grantor.heartbeat(at(900), owner, &[], &[], LIMIT);
    grantor.allotment.update(5, keyspaces);
    grantor.allotment.extend_lease(at(1_000), LEASE);
    grantor
}

/// Guards against a hold that outlasts the lease of the host.
#[test]
fn a_hold_ends_with_the_lease() {
    let owner = owner("i-1", 1);
    let state = granted(&owner);
    let mut grantor = grantor(&owner, state.keyspaces());

    let grant = grantor.heartbeat(at(1_800), &owner, &[], &[], LIMIT);

    let grant = grant.expect("the lease has 2.2 s left");
    assert_eq!(grant.hold, at(2_200));
    assert_eq!(grant.ranges, [(Span::ALL, 5, Name::from(""))]);
}

/// Guards against a host that renews holds after its lease has expired or was
/// dropped, when the leader may already have reassigned the keys.
#[test]
fn nothing_is_renewed_without_a_lease() {
    let owner = owner("i-1", 1);
    let state = granted(&owner);
    let mut grantor = grantor(&owner, state.keyspaces());

    let late = grantor.heartbeat(at(4_000), &owner, &[], &[], LIMIT);
    grantor.allotment.extend_lease(at(4_000), LEASE);
    grantor.allotment.drop_lease();
    let silent = grantor.heartbeat(at(4_100), &owner, &[], &[], LIMIT);

    assert_eq!(late, None);
    assert_eq!(silent, None);
}

/// Guards against two holders of a key: the target has released it, and an
/// outdated copy of the key ranges still names the target as its owner.
#[test]
fn a_released_range_is_not_granted_again_under_the_same_token() {
    let owner = owner("i-1", 1);
    let mut state = granted(&owner);
    let before = state.keyspaces().clone();
    let mut grantor = grantor(&owner, &before);
    move_first_keys(&mut state);
    grantor.allotment.update(6, state.keyspaces());

    let released = [(Span::new(0, 99), Name::from("token"))];
    grantor.heartbeat(at(1_500), &owner, &[], &released, LIMIT);
    grantor.allotment.update(5, &before);
    let grant = grantor.heartbeat(at(1_600), &owner, &[], &[], LIMIT);

    let ranges = grant.expect("the lease is valid").ranges;
    assert_eq!(ranges, [(Span::new(100, u16::MAX), 5, Name::from(""))]);
    assert_eq!(
        grantor.allotment.released(),
        [(Span::new(0, 99), 5, Name::from("token"))]
    );
}

/// Guards against a restarted target that is granted the keys of its earlier
/// run.
#[test]
fn a_restarted_target_has_no_lease() {
    let owner = owner("i-1", 1);
    let state = granted(&owner);
    let mut grantor = grantor(&owner, state.keyspaces());

    let restarted = self::owner("i-1", 2);
    let grant = grantor.heartbeat(at(1_500), &restarted, &[], &[], LIMIT);

    assert_eq!(grant, None);
    assert!(!grantor.holds(7));
}

/// Guards against granted keys that are not served until the next heartbeat.
#[test]
fn granted_keys_count_as_held_at_once() {
    let owner = owner("i-1", 1);
    let state = granted(&owner);
    let mut grantor = grantor(&owner, state.keyspaces());
    let before = grantor.holds(7);

    grantor.heartbeat(at(1_500), &owner, &[], &[], LIMIT);

    assert!(!before);
    assert!(grantor.holds(7));
}

/// Guards against keys that never get a new holder: the target's hold expired
/// while the range had to move, so the target never reports a release.
#[test]
fn a_range_whose_hold_has_ended_is_passed_on() {
    let owner = owner("i-1", 1);
    let mut state = granted(&owner);
    let mut grantor = grantor(&owner, state.keyspaces());
    let held = [(Span::ALL, 5)];
    grantor.heartbeat(at(1_100), &owner, &[], &[], LIMIT);
    grantor.heartbeat(at(1_800), &owner, &held, &[], LIMIT);
    move_first_keys(&mut state);

    grantor.allotment.update(6, state.keyspaces());
    grantor.allotment.extend_lease(at(5_000), LEASE);
    grantor.heartbeat(at(5_100), &owner, &[], &[], LIMIT);
    let early = grantor.allotment.released().to_vec();
    grantor.heartbeat(
        at(5_800),
        &owner,
        &[(Span::new(100, u16::MAX), 5)],
        &[],
        LIMIT,
    );

    // The target may have read the previous answer only after it sent the first
    // of the two heartbeats.
    assert_eq!(early, []);
    assert_eq!(
        grantor.allotment.released(),
        [(Span::new(0, 99), 5, Name::from(""))]
    );
}

/// Guards against a second holder of keys that have to move while their target
/// still runs requests for them.
#[test]
fn a_range_that_the_target_still_holds_is_not_passed_on() {
    let owner = owner("i-1", 1);
    let mut state = granted(&owner);
    let mut grantor = grantor(&owner, state.keyspaces());
    move_first_keys(&mut state);

    grantor.allotment.update(6, state.keyspaces());
    for heartbeat in 1..4 {
        grantor.heartbeat(
            at(1_000 + heartbeat * 300),
            &owner,
            &[(Span::new(0, 99), 5)],
            &[],
            LIMIT,
        );
    }

    assert_eq!(grantor.allotment.released(), []);
}

/// The most bytes that a target accepts in the answer to a heartbeat.
const MAX_ANSWER_BYTES: usize = 4_096;

/// Returns a state with `count` ranges, each granted to another target, released by it
/// with a text, and granted to `owner` by an entry of its own.
fn handed_over(owner: &Owner, count: u16) -> State {
    let mut state = State::default();
    let former = Owner {
        target: "i-former".into(),
        ..owner.clone()
    };
    let size = u16::MAX / count;
    for number in 0..count {
        let span = Span::new(number * size, number * size + size - 1);
        let index = 10_000 + 3 * u64::from(number);
        let grant = |to: &Owner| Command::Grant {
            pool: pool(),
            grants: vec![(span, to.clone())],
        };
        state.apply(index, grant(&former));
        let handover = format!("{number:016x}").as_str().into();
        let command = Command::Release {
            pool: pool(),
            owner: former.clone(),
            released: vec![(span, index, handover)],
        };
        state.apply(index + 1, command);
        state.apply(index + 2, grant(owner));
    }
    state
}

/// The size of the ranges of an answer as text.
fn size(ranges: &[(Span, u64, Name)]) -> usize {
    let rows = ranges
        .iter()
        .map(|(span, fence, text)| format!("[{},{},{fence},\"{text}\"],", span.from, span.to));
    rows.map(|row| row.len()).sum()
}

/// Guards against a pool that serves nothing any more after it was scaled in: the
/// answers to the heartbeats of a target with many ranges list the handover text of
/// each, and are larger than a target accepts. All ranges are granted, with as many
/// texts as there is room for.
#[test]
fn many_ranges_are_granted_without_all_handover_texts() {
    let owner = owner("i-1", 1);
    let state = handed_over(&owner, 128);
    let mut grantor = grantor(&owner, state.keyspaces());
    grantor.allotment.update(20_000, state.keyspaces());

    let grant = grantor
        .heartbeat(at(1_100), &owner, &[], &[], LIMIT)
        .expect("a lease");

    assert_eq!((grant.ranges.len(), grant.omitted), (128, 0));
    assert!(size(&grant.ranges) < MAX_ANSWER_BYTES);
    let texts = grant
        .ranges
        .iter()
        .filter(|(.., text)| !text.as_str().is_empty());
    assert!((20..128).contains(&texts.count()));
}

/// Guards against a target that loses ranges which it holds, or gets no range at all,
/// when more are assigned to it than an answer has room for.
#[test]
fn more_ranges_than_an_answer_holds_leave_those_that_are_held() {
    let owner = owner("i-1", 1);
    let state = handed_over(&owner, 400);
    let mut grantor = grantor(&owner, state.keyspaces());
    grantor.allotment.update(20_000, state.keyspaces());
    let ranges = state.keyspaces()[&pool()].ranges();
    let holds: Vec<(Span, u64)> = ranges
        .iter()
        .rev()
        .skip(1)
        .take(50)
        .map(|range| (range.span, range.fence))
        .collect();

    let grant = grantor
        .heartbeat(at(1_100), &owner, &holds, &[], LIMIT)
        .expect("a lease");

    assert!(size(&grant.ranges) < MAX_ANSWER_BYTES);
    assert!(grant.ranges.len() > 100 && grant.omitted == 400 - grant.ranges.len());
    for (span, fence) in holds {
        assert!(grant.ranges.contains(&(span, fence, Name::from(""))));
    }
}
