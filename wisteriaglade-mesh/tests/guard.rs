//! What a target may hold.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_mesh::{Command, Guard, Keyspace, Owner, Span, State};
use wisteriaglade_types::Name;

const LIMIT: Duration = Duration::from_secs(10);
const LEASE: Duration = Duration::from_secs(3);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn owner(name: &str, born: u64) -> Owner {
    Owner {
        target: name.into(),
        born,
        host: ([127, 0, 0, 1], 7000).into(),
    }
}

fn pool() -> Name {
    "catalogue".into()
}

/// All keys of a pool granted to a target by log entry 5.
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

/// The keys 0 to 99 are to be passed on to another target, by log entry 6.
fn shift(state: &mut State) {
    let moves = vec![(Span::new(0, 99), owner("i-2", 1))];
    state.apply(
        6,
        Command::Shift {
            pool: pool(),
            moves,
        },
    );
}

/// A guard that knows its target and the key ranges, with a lease from 1 s.
fn guard(owner: &Owner, keyspaces: &BTreeMap<Name, Keyspace>) -> Guard {
    let mut guard = Guard::default();
    guard.beat(at(900), owner, &[], &[], LIMIT);
    guard.update(5, keyspaces);
    guard.lease(at(1_000), LEASE);
    guard
}

/// Guards against a hold that outlives the lease of the host.
#[test]
fn a_hold_ends_with_the_lease() {
    let owner = owner("i-1", 1);
    let state = granted(&owner);
    let mut guard = guard(&owner, state.keyspaces());

    let grant = guard.beat(at(1_800), &owner, &[], &[], LIMIT);

    let grant = grant.expect("the lease has 2.2 s left");
    assert_eq!(grant.hold, at(2_200));
    assert_eq!(grant.rows, [(Span::ALL, 5, Name::from(""))]);
}

/// Guards against a renewal by a host that the leader no longer counts on.
#[test]
fn nothing_is_renewed_without_a_lease() {
    let owner = owner("i-1", 1);
    let state = granted(&owner);
    let mut guard = guard(&owner, state.keyspaces());

    let late = guard.beat(at(4_000), &owner, &[], &[], LIMIT);
    guard.lease(at(4_000), LEASE);
    guard.drop_lease();
    let silent = guard.beat(at(4_100), &owner, &[], &[], LIMIT);

    assert_eq!(late, None);
    assert_eq!(silent, None);
}

/// Guards against two holders: the target has let go, and an earlier copy of
/// the key ranges still names it.
#[test]
fn a_released_range_is_not_granted_again_under_the_same_token() {
    let owner = owner("i-1", 1);
    let mut state = granted(&owner);
    let before = state.keyspaces().clone();
    let mut guard = guard(&owner, &before);
    shift(&mut state);
    guard.update(6, state.keyspaces());

    let released = [(Span::new(0, 99), Name::from("token"))];
    guard.beat(at(1_500), &owner, &[], &released, LIMIT);
    guard.update(5, &before);
    let grant = guard.beat(at(1_600), &owner, &[], &[], LIMIT);

    let rows = grant.expect("the lease is valid").rows;
    assert_eq!(rows, [(Span::new(100, u16::MAX), 5, Name::from(""))]);
    assert_eq!(
        guard.released(),
        [(Span::new(0, 99), 5, Name::from("token"))]
    );
}

/// Guards against keys of a former life in the hands of the next one.
#[test]
fn a_new_life_of_a_target_starts_without_a_lease() {
    let owner = owner("i-1", 1);
    let state = granted(&owner);
    let mut guard = guard(&owner, state.keyspaces());

    let reborn = self::owner("i-1", 2);
    let grant = guard.beat(at(1_500), &reborn, &[], &[], LIMIT);

    assert_eq!(grant, None);
    assert!(!guard.holds(7));
}

/// Guards against a wait of a whole heartbeat before granted keys are used.
#[test]
fn granted_keys_count_as_held_at_once() {
    let owner = owner("i-1", 1);
    let state = granted(&owner);
    let mut guard = guard(&owner, state.keyspaces());
    let before = guard.holds(7);

    guard.beat(at(1_500), &owner, &[], &[], LIMIT);

    assert!(!before);
    assert!(guard.holds(7));
}

/// Guards against keys without a holder for good: the target's hold ended while
/// the range was to be passed on, so the target has nothing to release.
#[test]
fn a_range_whose_hold_has_ended_is_passed_on() {
    let owner = owner("i-1", 1);
    let mut state = granted(&owner);
    let mut guard = guard(&owner, state.keyspaces());
    let held = [(Span::ALL, 5)];
    guard.beat(at(1_100), &owner, &[], &[], LIMIT);
    guard.beat(at(1_800), &owner, &held, &[], LIMIT);
    shift(&mut state);

    guard.update(6, state.keyspaces());
    guard.lease(at(5_000), LEASE);
    guard.beat(at(5_100), &owner, &[], &[], LIMIT);
    let early = guard.released().to_vec();
    guard.beat(
        at(5_800),
        &owner,
        &[(Span::new(100, u16::MAX), 5)],
        &[],
        LIMIT,
    );

    // The answer before the first of the two could still have been under way.
    assert_eq!(early, []);
    assert_eq!(guard.released(), [(Span::new(0, 99), 5, Name::from(""))]);
}

/// Guards against a second holder while the target works on keys that it was
/// asked to pass on.
#[test]
fn a_range_that_the_target_still_holds_is_not_passed_on() {
    let owner = owner("i-1", 1);
    let mut state = granted(&owner);
    let mut guard = guard(&owner, state.keyspaces());
    shift(&mut state);

    guard.update(6, state.keyspaces());
    for beat in 1..4 {
        guard.beat(
            at(1_000 + beat * 300),
            &owner,
            &[(Span::new(0, 99), 5)],
            &[],
            LIMIT,
        );
    }

    assert_eq!(guard.released(), []);
}
