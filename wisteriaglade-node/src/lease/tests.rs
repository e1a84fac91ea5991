//! Tests of when a lease is held and when the state is current.

use std::time::Duration;

use rstest::rstest;
use wisteriaglade_types::Index;

use super::Lease;

const LENGTH: Duration = Duration::from_millis(400);
const STALENESS: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A lease in a group of `group` replicas, sent at `sent` and acknowledged by
/// the first `replicas` of them.
fn renewed(group: usize, sent: u64, replicas: u64, commit: u64) -> Lease {
    let mut lease = Lease::new(group, LENGTH, STALENESS);
    let sequence = lease.renew(at(sent));
    for replica in 1..=replicas {
        lease.acknowledge(replica, sequence, Index::new(commit));
    }
    lease
}

// Each case guards against a lease that fewer than a majority acknowledged.
#[rstest]
#[case(1, 0, false)]
#[case(1, 1, true)]
#[case(3, 1, false)]
#[case(3, 2, true)]
#[case(5, 2, false)]
#[case(5, 3, true)]
#[case(7, 4, true)]
fn a_lease_needs_a_majority(#[case] group: usize, #[case] replicas: u64, #[case] held: bool) {
    let lease = renewed(group, 1_000, replicas, 0);

    assert_eq!(lease.held(at(1_001)), held);
}

/// Guards against a lease that counts from the arrival of an acknowledgement.
/// A delayed one would extend the lease past the time at which the planner
/// regards it as over.
#[test]
fn a_lease_counts_from_the_send_time() {
    let lease = renewed(3, 1_000, 2, 0);

    assert!(lease.held(at(1_399)));
    assert!(!lease.held(at(1_400)));
}

/// Guards against counting acknowledgements of two rounds, or two of the same
/// replica, towards one majority.
#[test]
fn acknowledgements_of_different_rounds_or_of_one_replica_do_not_add_up() {
    let mut lease = Lease::new(3, LENGTH, STALENESS);
    let first = lease.renew(at(0));
    let second = lease.renew(at(150));
    lease.acknowledge(1, first, Index::default());
    lease.acknowledge(2, second, Index::default());
    lease.acknowledge(2, second, Index::default());
    lease.acknowledge(3, second + 1, Index::default());

    assert!(!lease.held(at(151)));
}

/// Guards against an earlier round that completes after a later one and then
/// shortens the lease or lowers the required commit index.
#[test]
fn a_late_round_does_not_shorten_the_lease() {
    let mut lease = Lease::new(3, LENGTH, STALENESS);
    let first = lease.renew(at(0));
    let second = lease.renew(at(150));
    for replica in [1, 2] {
        lease.acknowledge(replica, second, Index::new(9));
    }
    for replica in [1, 2] {
        lease.acknowledge(replica, first, Index::new(3));
    }
    lease.applied(Index::new(3));

    assert!(lease.held(at(549)));
    assert!(!lease.current(at(200)), "index 9 is not applied");
}

// Each case guards against routing by a state that is older than the staleness
// limit.
#[rstest]
#[case::behind(9, 1_100, false)]
#[case::exact(10, 1_100, true)]
#[case::ahead(11, 1_100, true)]
#[case::just_recent(10, 2_999, true)]
#[case::too_long_ago(10, 3_000, false)]
fn a_state_is_current_once_the_commit_of_a_majority_is_applied(
    #[case] applied: u64,
    #[case] now: u64,
    #[case] current: bool,
) {
    let mut lease = renewed(3, 1_000, 2, 10);
    lease.applied(Index::new(applied));

    assert_eq!(lease.current(at(now)), current);
}

/// Guards against a fenced node that keeps using its old lease.
#[test]
fn a_cleared_lease_is_neither_held_nor_current() {
    let mut lease = renewed(3, 1_000, 3, 0);
    lease.applied(Index::new(5));
    lease.clear();

    assert!(!lease.held(at(1_001)));
    assert!(!lease.current(at(1_001)));
}

/// Guards against a node that keeps a subscription which brings no entries
/// while other replicas report newer ones, and against one that switches
/// replicas at every commit.
#[test]
fn an_index_that_does_not_arrive_names_the_replica_that_has_it() {
    let mut lease = renewed(3, 0, 2, 0);
    lease.record_reported_commit(at(1_000), 2, Index::new(7), Index::new(6));
    lease.record_reported_commit(at(1_040), 3, Index::new(8), Index::new(6));

    assert_eq!(lease.replica_ahead(at(1_059), Index::new(6)), None);
    assert_eq!(lease.replica_ahead(at(1_060), Index::new(6)), Some(2));
    assert_eq!(lease.replica_ahead(at(1_060), Index::new(7)), None);

    lease.record_reported_commit(at(1_070), 3, Index::new(8), Index::new(7));
    assert_eq!(lease.replica_ahead(at(1_100), Index::new(7)), None);
}
