//! Tests of [`Planner`] and [`Roster`], by which the leader assigns key ranges.

use std::{net::SocketAddr, time::Duration};

use rstest::rstest;
use wisteriaglade_mesh::{
    Command, Condition, Owner, Plan, Planner, Pool, Report, Roster, Span, State, TargetReport,
};

const LEASE: Duration = Duration::from_secs(3);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn owner(name: &str) -> Owner {
    Owner {
        target: name.into(),
        started_ms: 1,
        host_address: address(name),
    }
}

/// Returns the address of the host process of a target. The last byte of the
/// name gives the port.
fn address(name: &str) -> SocketAddr {
    let port = 7000 + u16::from(name.as_bytes().last().copied().unwrap_or(0));
    ([127, 0, 0, 1], port).into()
}

fn state() -> State {
    let mut state = State::default();
    let plan = Plan {
        version: 1,
        pools: vec![Pool {
            name: "catalogue".into(),
            max_connections: 10,
            sharded: true,
        }],
        ..Plan::default()
    };
    let text = "{}".into();
    state.apply(
        1,
        Command::Configure {
            base: 0,
            plan,
            text,
        },
    );
    state
}

fn report(host: &str, session: u64, target: Option<&str>) -> Report {
    Report {
        host: host.into(),
        session,
        address: address(target.unwrap_or("i-1")),
        data_centre: "a".into(),
        leaving: false,
        target: target.map(|target| TargetReport {
            owner: owner(target),
            pool: "catalogue".into(),
            slots: 4,
            condition: Condition::Ready,
            released: Vec::new(),
            mean_ms: 100,
            rate_limit: None,
            key_rates: Vec::new(),
        }),
    }
}

/// Returns a report that names the next run of a target under the same id.
fn restarted_report(host: &str, session: u64, target: &str) -> Report {
    let mut report = report(host, session, Some(target));
    if let Some(target) = &mut report.target {
        target.owner.started_ms = 2;
    }
    report
}

fn granted(target: &str) -> State {
    let mut state = state();
    let grants = vec![(Span::ALL, owner(target))];
    let pool = "catalogue".into();
    state.apply(2, Command::Grant { pool, grants });
    state
}

/// Guards against two holders of a key after a host process restarts: its first
/// report names no target, while the target still holds keys under the lease of
/// the earlier run.
#[test]
fn a_restarted_host_does_not_end_the_hold_of_its_target() {
    let state = granted("i-1");
    let mut planner = Planner::new(LEASE);
    let mut roster = Roster::new(at(0));
    roster.report(at(10_000), report("h", 1, Some("i-1")));
    roster.record_lease(at(10_000), &owner("i-1"));

    roster.report(at(10_500), report("h", 2, None));
    let early = planner.step(at(10_600), &state, &roster);
    let late = planner.step(at(13_500), &state, &roster);

    assert_eq!(early, []);
    let revoke = Command::Revoke {
        owner: owner("i-1"),
    };
    assert_eq!(late, [revoke]);
}

/// Guards against a new leader that takes keys from a target while a lease given
/// by the previous leader is still valid.
#[test]
fn a_new_leader_waits_for_the_leases_of_its_predecessor() {
    let state = granted("i-1");
    let mut planner = Planner::new(LEASE);
    let roster = Roster::new(at(5_000));

    let early = planner.step(at(8_300), &state, &roster);
    let late = planner.step(at(8_500), &state, &roster);

    assert_eq!(early, []);
    assert_eq!(late.len(), 1);
}

/// Guards against waiting for the lease of a target that is known to have ended,
/// because a later run of it has reported.
#[test]
fn a_restart_of_a_target_frees_the_keys_of_its_earlier_run() {
    let state = granted("i-1");
    let mut planner = Planner::new(LEASE);
    let mut roster = Roster::new(at(0));
    roster.report(at(10_000), report("h", 1, Some("i-1")));
    roster.record_lease(at(10_000), &owner("i-1"));

    roster.report(at(10_100), restarted_report("h", 1, "i-1"));
    let commands = planner.step(at(10_110), &state, &roster);

    let revoke = Command::Revoke {
        owner: owner("i-1"),
    };
    assert_eq!(commands, [revoke]);
}

/// Guards against keys without a holder for the length of a lease, where hosts
/// grant by calls and a target has restarted: grants for the earlier run do not
/// reach the next one.
#[test]
fn a_restart_of_a_target_that_takes_calls_frees_its_keys_at_once() {
    let state = granted("i-1");
    let mut planner = Planner::new(LEASE).with_grants_by_call(true);
    let mut roster = Roster::new(at(0));
    roster.report(at(10_000), report("h", 1, Some("i-1")));
    roster.record_lease(at(10_000), &owner("i-1"));

    roster.report(at(10_100), restarted_report("h", 1, "i-1"));
    let commands = planner.step(at(10_110), &state, &roster);

    let revoke = Command::Revoke {
        owner: owner("i-1"),
    };
    assert_eq!(commands, [revoke]);
}

/// Guards against keys without a holder for the length of a lease after the whole
/// fleet has restarted, where hosts grant by calls: the new leader has given no
/// lease, and reports name a later target at each address.
#[test]
fn a_new_leader_frees_the_keys_of_a_replaced_target_that_takes_calls() {
    let state = granted("i-1");
    let mut planner = Planner::new(LEASE).with_grants_by_call(true);
    let mut roster = Roster::new(at(5_000));

    roster.report(at(5_100), restarted_report("h", 7, "i-1"));
    let commands = planner.step(at(5_110), &state, &roster);

    let revoke = Command::Revoke {
        owner: owner("i-1"),
    };
    assert_eq!(commands, [revoke]);
}

/// Guards against two holders of a key where hosts grant by calls: a target was
/// replaced, but its host has restarted since and reports no target, so the last
/// lease has to expire.
#[test]
fn the_lease_of_an_ended_target_is_waited_for_without_a_report_of_the_next_one() {
    let state = granted("i-1");
    let mut planner = Planner::new(LEASE).with_grants_by_call(true);
    let mut roster = Roster::new(at(0));
    roster.report(at(10_000), report("h", 1, Some("i-1")));
    roster.record_lease(at(10_000), &owner("i-1"));

    roster.report(at(10_100), restarted_report("h", 1, "i-1"));
    roster.report(at(10_105), report("h", 2, None));
    let early = planner.step(at(13_400), &state, &roster);
    let late = planner.step(at(13_500), &state, &roster);

    let revoke = Command::Revoke {
        owner: owner("i-1"),
    };
    assert_eq!(early, []);
    assert_eq!(late, [revoke]);
}

/// Guards against keys that move back and forth: all of them form one range, after
/// all targets but one were lost, and another target returns.
#[test]
fn a_returning_target_gets_a_part_of_the_only_range() {
    let state = granted("i-1");
    let mut planner = Planner::new(LEASE);
    let mut roster = Roster::new(at(0));
    roster.report(at(10_000), report("h", 1, Some("i-1")));
    roster.report(at(10_000), report("g", 1, Some("i-2")));

    let commands = planner.step(at(10_100), &state, &roster);

    let moves = vec![(Span::new(0, 32_767), owner("i-2"))];
    let pool = "catalogue".into();
    assert_eq!(commands, [Command::Move { pool, moves }]);
}

/// Guards against two holders of a key: a host that was suspended until its target
/// lost its ranges gets a lease before it learns of that, and grants them again.
#[test]
fn a_host_that_has_missed_a_revocation_gets_no_lease() {
    let mut roster = Roster::new(at(0)).at_index(40);
    roster.record_revocation(owner("i-1"), 55);

    assert!(!roster.may_lease(&owner("i-1"), 54));
    assert!(roster.may_lease(&owner("i-1"), 55));
    assert!(!roster.may_lease(&owner("i-2"), 39));
    assert!(roster.may_lease(&owner("i-2"), 40));
}

/// Guards against two holders of a key: a target gets its first keys under a lease
/// that was given before them, and its host falls silent before the next one.
#[test]
fn a_lease_from_before_the_first_grant_is_waited_for() {
    let mut planner = Planner::new(LEASE);
    let mut roster = Roster::new(at(0));
    roster.report(at(10_000), report("h", 1, Some("i-1")));
    roster.record_lease(at(10_000), &owner("i-1"));

    roster.prune(at(10_050), |_| false);
    let state = granted("i-1");
    let early = planner.step(at(13_400), &state, &roster);
    let late = planner.step(at(13_500), &state, &roster);

    assert_eq!(early, []);
    assert_eq!(late.len(), 1);
}

/// Returns a pool whose keys are divided equally between three targets with 4
/// slots. `rates` is the load in requests per ten seconds, and `means` the mean
/// request times of the targets in milliseconds.
fn three_targets(rates: &[(Span, u32)], means: [u32; 3]) -> (State, Roster) {
    let mut state = state();
    let third = u16::MAX / 3;
    let spans = [
        Span::new(0, third),
        Span::new(third + 1, 2 * third),
        Span::new(2 * third + 1, u16::MAX),
    ];
    let names = ["i-1", "i-2", "i-3"];
    let grants = spans
        .into_iter()
        .zip(names)
        .map(|(span, name)| (span, owner(name)))
        .collect();
    let pool = "catalogue".into();
    state.apply(2, Command::Grant { pool, grants });
    let mut roster = Roster::new(at(0));
    for ((host, name), mean) in ["a", "b", "c"].into_iter().zip(names).zip(means) {
        let mut report = report(host, 1, Some(name));
        if let Some(target) = &mut report.target {
            target.mean_ms = mean;
            let span = spans[names.iter().position(|other| *other == name).unwrap_or(0)];
            let inside = rates.iter().filter(|(part, _)| span.contains(part.from));
            target.key_rates = inside.copied().collect();
        }
        roster.report(at(1_000), report);
        roster.record_lease(at(1_000), &owner(name));
    }
    (state, roster)
}

/// Guards against waiting for the leases of targets after the whole fleet has
/// restarted: the new leader has no reports of their earlier runs, but the host
/// reports a later target at the same address.
#[test]
fn a_new_leader_revokes_a_target_whose_host_has_a_later_one() {
    let state = granted("i-1");
    let mut planner = Planner::new(LEASE);
    let mut roster = Roster::new(at(5_000));
    let mut other = report("h", 7, Some("i-9"));
    if let Some(target) = &mut other.target {
        target.owner.started_ms = 2;
        target.owner.host_address = address("i-1");
    }

    roster.report(at(5_100), other);
    let commands = planner.step(at(5_110), &state, &roster);

    let revoke = Command::Revoke {
        owner: owner("i-1"),
    };
    assert_eq!(commands, [revoke]);
}

/// Guards against a host whose reports are ignored forever, because its clock
/// was set back before it restarted.
#[test]
fn a_host_that_restarts_with_an_earlier_clock_is_accepted() {
    let mut roster = Roster::new(at(0));
    roster.report(at(1_000), report("h", 9_000, Some("i-1")));

    let late = roster.report(at(1_200), report("h", 7_000, Some("i-1")));
    let restarted = roster.report(at(2_200), report("h", 7_000, Some("i-1")));

    assert!(!late);
    assert!(restarted);
}

fn span(from: u16, keys: u16) -> Span {
    Span::new(from, from + (keys - 1))
}

/// Returns a load of `each` requests per ten seconds for each of 32 spans that
/// are spread evenly over all keys.
fn even_load(each: u32) -> Vec<(Span, u32)> {
    (0..65_536_u32)
        .step_by(2_048)
        .filter_map(|key| Some((span(u16::try_from(key).ok()?, 128), each)))
        .collect()
}

/// Guards against a target that keeps its share of the keys although it is half
/// as fast as the others.
#[test]
fn keys_move_away_from_a_slow_target() {
    let (state, roster) = three_targets(&even_load(25), [200, 100, 100]);

    let commands = Planner::new(LEASE).step(at(1_100), &state, &roster);

    let [Command::Move { moves, .. }] = commands.as_slice() else {
        panic!("expected one move command, got {commands:?}");
    };
    assert!(
        moves
            .iter()
            .all(|(span, to)| span.from < 21_846 && *to != owner("i-1"))
    );
}

/// Sets the limit that a target names in the report of its host.
fn set_limit(roster: &mut Roster, host: &str, rate_limit: f64) {
    let received = roster
        .reports()
        .find(|received| received.report.host.as_str() == host);
    let mut report = received.expect("a report of the host").report.clone();
    if let Some(target) = &mut report.target {
        target.rate_limit = Some(rate_limit);
    }
    roster.report(at(1_050), report);
}

/// Guards against a target that keeps its share of the keys although it names a
/// limit far below its share of the load, also one of 0.
#[rstest]
#[case::low(10.0)]
#[case::zero(0.0)]
fn keys_move_away_from_a_target_that_names_a_limit(#[case] limit: f64) {
    let (state, mut roster) = three_targets(&even_load(25), [100, 100, 100]);
    set_limit(&mut roster, "a", limit);

    let commands = Planner::new(LEASE).step(at(1_100), &state, &roster);

    let [Command::Move { moves, .. }] = commands.as_slice() else {
        panic!("expected one move command, got {commands:?}");
    };
    assert!(!moves.is_empty());
    assert!(
        moves
            .iter()
            .all(|(span, to)| span.from < 21_846 && *to != owner("i-1"))
    );
}

/// Guards against moving a hot key, which gets most of the requests of its
/// target and would only move the overload. The target's other keys move.
#[test]
fn other_keys_move_away_from_the_target_of_a_hot_key() {
    let mut rates = even_load(15);
    rates.push((span(1_000, 1), 300));
    rates.sort_unstable();
    let (state, roster) = three_targets(&rates, [100, 100, 100]);

    let commands = Planner::new(LEASE).step(at(1_100), &state, &roster);

    let [Command::Move { moves, .. }] = commands.as_slice() else {
        panic!("expected one move command, got {commands:?}");
    };
    assert!(!moves.is_empty());
    assert!(moves.iter().all(|(span, _)| !span.contains(1_000)));
}

/// Guards against moving busy neighbouring keys to a single target when they get
/// more requests than one target serves.
#[test]
fn busy_neighbouring_keys_are_spread_over_targets() {
    let mut rates = even_load(5);
    rates.extend((1_000..1_020).map(|key| (span(key, 1), 40)));
    rates.sort_unstable();
    let (state, roster) = three_targets(&rates, [100, 100, 100]);

    let commands = Planner::new(LEASE).step(at(1_100), &state, &roster);

    let [Command::Move { moves, .. }] = commands.as_slice() else {
        panic!("expected one move command, got {commands:?}");
    };
    let busy = moves
        .iter()
        .filter(|(span, _)| (1_000..1_020).contains(&span.from));
    assert!(busy.count() >= 10);
    assert!(moves.iter().any(|(_, to)| *to == owner("i-2")));
    assert!(moves.iter().any(|(_, to)| *to == owner("i-3")));
}

/// Guards against heartbeat answers that are longer than targets accept. Each
/// move of a part of a range increases the number of ranges.
#[test]
fn rebalancing_limits_the_ranges_of_a_target() {
    let rates: Vec<_> = (0..20_000)
        .step_by(250)
        .map(|key| (span(key, 1), 40))
        .collect();
    let (mut state, roster) = three_targets(&rates, [100, 100, 100]);
    let mut index = 10;

    for _ in 0..40 {
        let mut planner = Planner::new(LEASE);
        let Some(Command::Move { pool, moves }) =
            planner.step(at(1_100), &state, &roster).into_iter().next()
        else {
            break;
        };
        let released = |state: &State| -> Vec<_> {
            let keyspace = state.keyspaces().values().next();
            let ranges = keyspace.map(|keyspace| keyspace.ranges().to_vec());
            let ranges = ranges.unwrap_or_default().into_iter();
            ranges
                .filter(|range| range.next.is_some())
                .map(|range| (range.span, range.fence, "".into()))
                .collect()
        };
        let command = Command::Move {
            pool: pool.clone(),
            moves,
        };
        state.apply(index, command);
        let owner = owner("i-1");
        let released = released(&state);
        state.apply(
            index + 1,
            Command::Release {
                pool,
                owner,
                released,
            },
        );
        index += 2;
    }

    let keyspace = state.keyspaces().values().next().expect("a pool");
    for name in ["i-1", "i-2", "i-3"] {
        let ranges = keyspace.ranges().iter();
        let count = ranges.filter(|range| range.owner == Some(owner(name)));
        assert!(count.count() <= 50);
    }
}

/// Guards against moves that do not improve the balance.
#[test]
fn an_even_load_causes_no_moves() {
    let (state, roster) = three_targets(&even_load(25), [100, 100, 100]);

    let commands = Planner::new(LEASE).step(at(1_100), &state, &roster);

    assert_eq!(commands, []);
}
