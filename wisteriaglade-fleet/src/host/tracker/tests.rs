//! Tests of the state that heartbeats and leave messages give a target.

use std::{net::SocketAddr, time::Duration};

use rstest::rstest;
use wisteriaglade_mesh::Condition;
use wisteriaglade_types::Name;

use super::Tracker;
use crate::{
    Settings,
    dialect::Heartbeat,
    settings::{GrantChannel, Repeats},
};

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn settings() -> Settings {
    Settings {
        host: Name::from("host-1"),
        data_centre: Name::from("a"),
        link: address(7600),
        metrics: address(7601),
        control: address(8620),
        seeds: Vec::new(),
        first_start: false,
        replicas: 3,
        beat: Duration::from_secs(1),
        grants: GrantChannel::Heartbeat,
        hold_max: Duration::from_secs(10),
        drain: Duration::from_secs(2),
        grace: Duration::from_secs(6),
        repeats: Repeats {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
        },
        replica: None,
        beside: None,
    }
}

/// The first heartbeat of a process of the target that started at `born`.
fn heartbeat(born: u64) -> Heartbeat {
    Heartbeat {
        target: Name::from("i-1"),
        born,
        pool: Name::from("pool"),
        address: address(8628),
        slots: 6,
        draining: false,
        cold_start: Duration::ZERO,
        seq: 1,
        holds: Vec::new(),
        released: Vec::new(),
    }
}

// Guards against a target that is out of use for its whole life: the leave message
// of its former process arrives late, at a host process that has been replaced.
#[rstest]
#[case::of_the_former_process(Some(1_000), Condition::Ready)]
#[case::of_the_process(Some(2_000), Condition::Draining)]
#[case::of_an_unknown_process(None, Condition::Draining)]
fn a_leave_message_counts_for_its_own_process(
    #[case] born: Option<u64>,
    #[case] condition: Condition,
) {
    let now = Duration::from_secs(1);
    let mut tracker = Tracker::new(&settings(), now);

    tracker.apply_leave(now, &Name::from("i-1"), born);
    tracker.apply_heartbeat(now, &heartbeat(2_000));

    assert_eq!(tracker.condition(), Some(condition));
}

/// Passes the heartbeats of a target that started at 1 s to a tracker, until one at
/// 10 s.
fn heard_until_ten_seconds() -> Tracker {
    let mut tracker = Tracker::new(&settings(), Duration::ZERO);
    for second in 1..=10 {
        let beat = Heartbeat {
            seq: second,
            ..heartbeat(1_000)
        };
        tracker.apply_heartbeat(Duration::from_secs(second), &beat);
    }
    tracker
}

// Guards against a target that loses its keys while it holds them: another sender
// names its address, and the target has not missed a heartbeat. One that was
// restarted takes the place of its former process once that is not heard any more.
#[rstest]
#[case::another_id("i-2", 2_000, 500, false)]
#[case::the_same_id("i-1", 2_000, 500, false)]
#[case::the_same_start("i-2", 1_000, 1_500, false)]
#[case::an_earlier_start("i-2", 900, 1_500, false)]
#[case::another_id_after_a_missed_heartbeat("i-2", 2_000, 1_500, true)]
#[case::the_same_id_after_a_missed_heartbeat("i-1", 2_000, 1_500, true)]
fn a_target_that_is_heard_is_not_replaced(
    #[case] target: &str,
    #[case] born: u64,
    #[case] heard_ms_ago: u64,
    #[case] expected: bool,
) {
    let mut tracker = heard_until_ten_seconds();
    let now = Duration::from_millis(10_000 + heard_ms_ago);
    let beat = Heartbeat {
        target: Name::from(target),
        ..heartbeat(born)
    };

    let answer = tracker.apply_heartbeat(now, &beat);

    assert_eq!(answer.is_some(), expected);
    let owner = tracker.owner().expect("a target");
    let is_replaced = owner.target.as_str() == target && owner.started_ms == born;
    assert_eq!(is_replaced, expected);
}
