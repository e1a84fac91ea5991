//! Tests of the updates by which hosts learn the running targets.

use std::{net::SocketAddr, time::Duration};

use rstest::rstest;
use wisteriaglade_mesh::{
    Condition, Entry, EntryUpdate, Owner, Report, Roster, TargetReport, Targets,
};

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn address(host: u16) -> SocketAddr {
    ([127, 0, 0, 1], 7000 + host).into()
}

fn report(host: u16, started_ms: u64, condition: Condition) -> Report {
    Report {
        host: format!("h-{host}").into(),
        session: 1,
        address: address(host),
        data_centre: "a".into(),
        leaving: false,
        target: Some(TargetReport {
            owner: Owner {
                target: format!("i-{host}").into(),
                started_ms,
                host_address: address(host),
            },
            pool: "catalogue".into(),
            slots: 4,
            condition,
            released: Vec::new(),
            mean_ms: 100,
            rate_limit: None,
            key_rates: Vec::new(),
        }),
    }
}

/// Returns a roster of three ready targets.
fn roster() -> Roster {
    let mut roster = Roster::new(at(0));
    for host in 1..=3 {
        roster.report(at(100), report(host, 1, Condition::Ready));
    }
    roster
}

/// Returns the copy of a host that has received all targets of a roster.
fn copy_of(roster: &Roster, complete: bool) -> Targets {
    let mut copy = Targets::default();
    copy.apply(&EntryUpdate::Full(roster.entries()), complete);
    copy
}

fn sorted(entries: impl Iterator<Item = Entry>) -> Vec<Entry> {
    let mut entries: Vec<_> = entries.collect();
    entries.sort_by_key(|entry| entry.address);
    entries
}

/// What changes in a roster after a host has got a copy of it.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A target that was unknown reports.
    New,
    /// A target drains.
    Draining,
    /// A target has ended.
    Gone,
    /// Another run of a target reports.
    Restart,
    /// A host is silent until it is dropped.
    Silent,
    /// Nothing but a repeated report.
    Nothing,
}

/// Guards against a copy that differs from the roster after a difference was
/// applied: a target that has left and is in use again, or one that is missing.
#[rstest]
fn a_difference_brings_a_copy_up_to_date(
    #[values(
        Event::New,
        Event::Draining,
        Event::Gone,
        Event::Restart,
        Event::Silent,
        Event::Nothing
    )]
    event: Event,
    #[values(false, true)] complete: bool,
) {
    let mut roster = roster();
    let mut copy = copy_of(&roster, complete);
    let revision = roster.revision();

    match event {
        Event::New => {
            roster.report(at(200), report(4, 1, Condition::Ready));
        }
        Event::Draining => {
            roster.report(at(200), report(2, 1, Condition::Draining));
        }
        Event::Gone => {
            roster.report(at(200), report(2, 1, Condition::Gone));
        }
        Event::Restart => {
            roster.report(at(200), report(2, 2, Condition::Ready));
        }
        Event::Silent => {
            roster.report(at(19_000), report(1, 1, Condition::Ready));
            roster.report(at(19_000), report(3, 1, Condition::Ready));
            roster.prune(at(20_000), |_| false);
        }
        Event::Nothing => {
            roster.report(at(200), report(2, 1, Condition::Ready));
        }
    }
    copy.apply(&roster.entries_since(revision), complete);

    assert_eq!(
        sorted(copy.all().cloned()),
        sorted(roster.entries().into_iter())
    );
}

/// Guards against a target that has left and is in use again: its host is replaced by
/// a process that does not know that the target drains, and the target says nothing
/// of it in its heartbeats. Another run of the target is ready.
#[test]
fn a_draining_target_stays_so_when_its_host_restarts() {
    let mut roster = roster();
    roster.report(at(200), report(2, 1, Condition::Draining));

    let mut restarted = report(2, 1, Condition::Ready);
    restarted.session = 2;
    roster.report(at(300), restarted);
    let same_run = roster.entries();
    let mut next = report(2, 2, Condition::Ready);
    next.session = 2;
    roster.report(at(400), next);
    let next_run = roster.entries();

    let ready = |entries: &[Entry]| -> Vec<bool> {
        sorted(entries.iter().cloned())
            .iter()
            .map(|entry| entry.ready)
            .collect()
    };
    assert_eq!(ready(&same_run), [true, false, true]);
    assert_eq!(ready(&next_run), [true, true, true]);
}

/// Guards against a difference that grows with the fleet instead of the change.
#[test]
fn a_difference_holds_only_what_has_changed() {
    let mut roster = roster();
    let revision = roster.revision();

    roster.report(at(200), report(2, 1, Condition::Draining));
    let difference = roster.entries_since(revision);

    let EntryUpdate::Changed { updated, removed } = difference else {
        panic!("{difference:?}");
    };
    assert_eq!(updated.len(), 1);
    assert_eq!(removed, []);
}

/// Guards against a new leader that makes hosts forget the targets which have not
/// reported to it yet, and against targets that stay for ever because their host
/// was lost with the old leader.
#[test]
fn targets_that_a_new_leader_has_not_named_stay_until_it_is_complete() {
    let mut copy = copy_of(&roster(), true);
    let mut next = Roster::new(at(1_000));
    next.report(at(1_100), report(1, 1, Condition::Ready));

    copy.apply(&EntryUpdate::Full(next.entries()), false);
    let before = copy.all().count();
    let revision = next.revision();
    next.report(at(1_200), report(3, 1, Condition::Ready));
    copy.apply(&next.entries_since(revision), false);
    let revision = next.revision();
    copy.apply(&next.entries_since(revision), true);

    assert_eq!(before, 3);
    let addresses: Vec<_> = sorted(copy.all().cloned())
        .iter()
        .map(|entry| entry.address)
        .collect();
    assert_eq!(addresses, [address(1), address(3)]);
}
