//! The leader's decisions about key ranges.

use std::time::Duration;

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
        born: 1,
    }
}

fn state() -> State {
    let mut state = State::default();
    let plan = Plan {
        version: 1,
        pools: vec![Pool {
            name: "catalogue".into(),
            connections: 10,
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
    let port = 7000 + u16::from(host.as_bytes()[0]);
    Report {
        host: host.into(),
        session,
        address: ([127, 0, 0, 1], port).into(),
        data_centre: "a".into(),
        leaving: false,
        target: target.map(|target| TargetReport {
            owner: owner(target),
            pool: "catalogue".into(),
            slots: 4,
            condition: Condition::Ready,
            released: Vec::new(),
            heat: Vec::new(),
        }),
    }
}

fn granted(target: &str) -> State {
    let mut state = state();
    let grants = vec![(Span::ALL, owner(target))];
    let pool = "catalogue".into();
    state.apply(2, Command::Grant { pool, grants });
    state
}

/// Guards against two holders after a restart of the process beside a target:
/// its first report names no target, and the hold of the former run goes on.
#[test]
fn a_restarted_host_does_not_end_the_hold_of_its_target() {
    let state = granted("i-1");
    let mut planner = Planner::new(LEASE);
    let mut roster = Roster::new(at(0));
    roster.report(at(10_000), report("h", 1, Some("i-1")));
    roster.lease(at(10_000), &owner("i-1"));

    roster.report(at(10_500), report("h", 2, None));
    let early = planner.step(at(10_600), &state, &roster);
    let late = planner.step(at(13_500), &state, &roster);

    assert_eq!(early, []);
    let forget = Command::Forget {
        owner: owner("i-1"),
    };
    assert_eq!(late, [forget]);
}

/// Guards against a new leader that takes keys away while a lease of its
/// predecessor lasts.
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

/// Guards against a wait for a target that is known to have ended.
#[test]
fn a_new_life_of_a_target_frees_the_keys_of_the_former_one() {
    let state = granted("i-1");
    let mut planner = Planner::new(LEASE);
    let mut roster = Roster::new(at(0));
    roster.report(at(10_000), report("h", 1, Some("i-1")));
    roster.lease(at(10_000), &owner("i-1"));
    let mut reborn = report("h", 1, Some("i-1"));
    if let Some(target) = &mut reborn.target {
        target.owner.born = 2;
    }

    roster.report(at(10_100), reborn);
    let commands = planner.step(at(10_110), &state, &roster);

    let forget = Command::Forget {
        owner: owner("i-1"),
    };
    assert_eq!(commands, [forget]);
}
