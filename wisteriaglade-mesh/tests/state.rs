//! Tests of [`State`], the replicated state machine.

use rand::{RngExt as _, SeedableRng as _, rngs::StdRng};
use wisteriaglade_mesh::{Command, Owner, Plan, Reply, Span, State};
use wisteriaglade_types::Name;

fn configure(base: u64, version: u64, text: &str) -> Command {
    let plan = Plan {
        version,
        ..Plan::default()
    };
    Command::Configure {
        base,
        plan,
        text: text.to_owned().into(),
    }
}

/// Guards against rejecting a plan that an operator sends again because the
/// first acknowledgement was lost.
#[test]
fn an_accepted_plan_is_acknowledged_again() {
    let mut state = State::default();
    state.apply(1, configure(0, 3, "first"));
    state.apply(2, configure(3, 7, "second"));

    let again = state.apply(3, configure(0, 3, "first"));

    assert_eq!(again, Reply::Done);
    assert_eq!(state.plan().version, 7);
    assert_eq!(state.plan_text().as_ref(), b"second");
}

/// Guards against a state that grows with each accepted plan, as the memory of
/// accepted plans does without a limit.
#[test]
fn accepted_plans_take_bounded_space() {
    let mut state = State::default();
    for version in 1..=10_000 {
        state.apply(version, configure(version - 1, version, "plan"));
    }

    let size = state.encode().expect("a state").len();
    let again = state.apply(10_001, configure(9_990, 9_991, "plan"));

    assert_eq!(again, Reply::Done);
    assert!(size < 150_000, "{size} bytes");
}

/// Guards against a lost update: two operators send plans with the same base,
/// and the later one replaces the earlier one unseen.
#[test]
fn one_of_two_plans_on_the_same_base_is_accepted() {
    let mut state = State::default();
    state.apply(1, configure(0, 3, "first"));

    let winner = state.apply(2, configure(3, 5, "of one operator"));
    let same_number = state.apply(3, configure(3, 5, "of the other operator"));
    let higher = state.apply(4, configure(3, 6, "of the other operator"));

    assert_eq!(winner, Reply::Done);
    assert_eq!(same_number, Reply::Conflict { current: 5 });
    assert_eq!(higher, Reply::Conflict { current: 5 });
    assert_eq!(state.plan_text().as_ref(), b"of one operator");
}

/// Guards against a version that falls or is used for two plans.
#[test]
fn a_version_that_does_not_rise_is_rejected() {
    let mut state = State::default();
    state.apply(1, configure(0, 3, "first"));

    let reply = state.apply(2, configure(3, 3, "other"));

    assert_eq!(reply, Reply::StaleVersion { current: 3 });
}

/// Guards against gaps and overlaps between key ranges, fencing tokens that
/// fall, and copies that differ from the original, under random commands.
#[test]
fn key_ranges_stay_consistent_under_random_commands() {
    let pool = Name::from("catalogue");
    for seed in 0..300 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut state = State::default();
        let mut copy = std::collections::BTreeMap::new();
        let mut known = 0;
        let mut fences = vec![0_u64; 65_536 / 512];
        for index in 1..60 {
            let from = random.random_range(0..=u16::MAX);
            let to = random.random_range(from..=u16::MAX);
            let span = Span::new(from, to);
            let owner = owner(random.random_range(0..4));
            let pool = pool.clone();
            let command = match random.random_range(0..4) {
                0 => Command::Grant {
                    pool,
                    grants: vec![(span, owner)],
                },
                1 => Command::Move {
                    pool,
                    moves: vec![(span, owner)],
                },
                2 => {
                    let held = held(&state, span, &owner);
                    let released = held
                        .into_iter()
                        .map(|(span, fence)| (span, fence, Name::from("h")))
                        .collect();
                    Command::Release {
                        pool,
                        owner,
                        released,
                    }
                }
                _ => Command::Revoke { owner },
            };
            state.apply(index, command);
            let Some(keyspace) = state.keyspaces().get("catalogue") else {
                continue;
            };
            let mut next = 0_u32;
            for range in keyspace.ranges() {
                assert_eq!(u32::from(range.span.from), next, "seed {seed}");
                next = u32::from(range.span.to) + 1;
            }
            assert_eq!(next, 65_536, "seed {seed}");
            for (at, fence) in fences.iter_mut().enumerate() {
                let key = u16::try_from(at * 512).unwrap_or(u16::MAX);
                let current = keyspace.find(key).map_or(0, |range| range.fence);
                assert!(current >= *fence, "seed {seed}: the token of {key} fell");
                *fence = current;
            }
            if random.random_bool(0.4) {
                let changed = keyspace.changed_since(known);
                let target: &mut wisteriaglade_mesh::Keyspace =
                    copy.entry("catalogue").or_default();
                target.merge(&changed);
                known = index;
                let owners = |keyspace: &wisteriaglade_mesh::Keyspace| -> Vec<_> {
                    let at = |key| keyspace.find(key).map(|r| (r.owner.clone(), r.fence));
                    (0..128).map(|step| at(step * 512)).collect()
                };
                assert_eq!(owners(target), owners(keyspace), "seed {seed}");
            }
        }
    }
}

fn owner(number: u8) -> Owner {
    Owner {
        target: format!("i-{number}").into(),
        started_ms: 1,
        host_address: ([127, 0, 0, 1], 7000 + u16::from(number)).into(),
    }
}

fn held(state: &State, span: Span, owner: &Owner) -> Vec<(Span, u64)> {
    let keyspace = state.keyspaces().get("catalogue");
    let ranges = keyspace.map_or(&[][..], |keyspace| keyspace.ranges());
    ranges
        .iter()
        .filter(|range| range.owner.as_ref() == Some(owner))
        .filter_map(|range| Some((range.span.overlap(span)?, range.fence)))
        .collect()
}
