//! The planner when nodes stop renewing their leases.

mod fixture;

use fixture::{
    Cluster, POOL,
    driver::{Driver, ms},
    target,
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use wisteriaglade_control::{Command, Target, planner::Event};
use wisteriaglade_types::Node;

const fn is_fence(command: &Command) -> bool {
    matches!(command, Command::Fence { .. })
}

const fn is_assign(command: &Command) -> bool {
    matches!(command, Command::Assign { .. })
}

/// Creates four nodes whose targets do or do not check fencing tokens, and
/// stops the renewals of the first one. `before` has the longest deadline in ms
/// of each version of the rules.
fn with_silent_node(fencing: bool, before: &[u64]) -> (Driver, Node) {
    let mut cluster = Cluster::new(16);
    let target = Target {
        fencing,
        ..target(12)
    };
    let centres = ["Caerdydd", "Abertawe", "Bangor", "Aberystwyth"];
    let nodes = centres.map(|centre| cluster.ready_with(POOL, centre, target));
    for longest in before {
        cluster.set_longest_deadline(ms(*longest));
    }
    let mut driver = Driver::new(cluster);
    driver.run(ms(1_000));
    driver.effects.clear();
    driver.silent.insert(nodes[0]);
    (driver, nodes[0])
}

/// Guards against an assignment before the wait is over, which would give a
/// shard two owners, and against a late fence or assignment, which would exceed
/// the recovery time.
#[rstest]
#[case::lease(true, &[2_000], false, 408)]
#[case::lease_and_longest_deadline(false, &[2_000], false, 2_408)]
#[case::lease_when_an_operator_says_the_host_is_off(false, &[2_000], true, 408)]
#[case::lease_and_deadline_of_replaced_rules(false, &[4_000, 2_000], false, 4_408)]
fn a_silent_node_is_fenced_and_replaced_after_the_wait(
    #[case] fencing: bool,
    #[case] rules: &[u64],
    #[case] off: bool,
    #[case] wait: u64,
) {
    let (mut driver, lost) = with_silent_node(fencing, rules);
    let begin = driver.renewals[&lost];
    if off {
        driver.event(Event::HostOff { node: lost });
    }

    driver.run(ms(6_000));

    let fenced = driver.effect_times(is_fence)[0];
    let silence = fenced.saturating_sub(begin);
    assert!(silence > ms(350) && silence <= ms(390), "{silence:?}");
    let waited = driver.effect_times(is_assign)[0].saturating_sub(fenced);
    let wait = ms(wait);
    assert!(waited >= wait && waited <= wait + ms(30), "{waited:?}");
    assert!(driver.state().node(lost).is_none(), "not removed");
    let owned = driver
        .state()
        .shards(POOL)
        .filter(|grant| grant.owner.is_some());
    assert_eq!(owned.count(), 16);
}

/// Guards against a new leader that continues the wait of its predecessor. It
/// cannot know when the fence was committed, so the wait could end while the
/// lease is valid.
#[test]
fn a_new_leader_starts_the_wait_again() {
    let (mut driver, _) = with_silent_node(true, &[]);
    while driver.effect_times(is_fence).is_empty() {
        driver.run(ms(10));
    }
    driver.run(ms(300));
    let lead = driver.now;
    driver.event(Event::Lead);
    driver.run(ms(1_000));
    let assigned = driver.effect_times(is_assign)[0];
    assert!(assigned >= lead + ms(408), "{lead:?} {assigned:?}");
}

/// Guards against a leader that fences all nodes, and so stops every pool,
/// because it was cut off or paused itself.
#[rstest]
#[case::minority(5, 2, 0, 1_000, 2)]
#[case::half(4, 2, 0, 1_000, 2)]
#[case::majority(5, 3, 0, 2_500, 0)]
#[case::majority_for_longer_than_the_limit(5, 3, 0, 4_000, 3)]
#[case::majority_becomes_minority(5, 3, 1, 2_500, 2)]
#[case::only_node(1, 1, 0, 2_500, 0)]
fn more_than_half_of_the_nodes_are_not_fenced_at_once(
    #[case] count: usize,
    #[case] silent: usize,
    #[case] returning: usize,
    #[case] time: u64,
    #[case] fenced: usize,
) {
    let (mut driver, nodes) = Driver::started(16, &vec![12; count]);
    driver.silent.extend(&nodes[..silent]);
    driver.run(ms(1_000));
    for node in &nodes[..returning] {
        driver.silent.remove(node);
    }
    driver.run(ms(time - 1_000));
    assert_eq!(driver.effect_times(is_fence).len(), fenced);
}

/// Guards against a leader that, after it heard no node at all for a while,
/// fences the nodes whose renewals were due first, or those whose renewals
/// arrive last when it hears the nodes again.
#[rstest]
#[case::for_three_renewals(&[0, 10, 20], 400)]
#[case::with_renewals_spread_over_their_interval(&[0, 50, 100], 400)]
#[case::with_two_renewals_at_the_end_of_the_interval(&[0, 130, 140], 400)]
#[case::with_many_nodes(&[0, 10, 30, 50, 70, 90, 110, 140], 500)]
#[case::for_two_seconds(&[0, 50, 100], 2_000)]
fn a_leader_that_heard_no_node_fences_none(#[case] delays: &[u64], #[case] time: u64) {
    let (mut driver, nodes) = Driver::started(16, &vec![12; delays.len()]);
    driver.delays = nodes
        .iter()
        .copied()
        .zip(delays.iter().copied().map(ms))
        .collect();
    // Starts with each renewal of an interval, as another node is then the
    // first whose renewal is missed.
    for start in 0..15 {
        driver.run(ms(1_000 + 10 * start));
        driver.silent.extend(&nodes);
        driver.run(ms(time));
        driver.silent.clear();
        driver.run(ms(1_000));
        assert_eq!(driver.effect_times(is_fence), [], "{start}");
    }
}

/// Guards against a leader that, because it heard no node for a while, fences a
/// node that is lost later than the recovery time allows: 350 ms of silence
/// count from the time at which it hears the others again.
#[test]
fn a_node_lost_while_the_leader_heard_no_node_is_fenced_soon_after() {
    let (mut driver, nodes) = Driver::started(16, &[12; 4]);
    driver.run(ms(1_000));
    driver.silent.extend(&nodes);
    driver.run(ms(600));

    driver.silent.retain(|node| *node == nodes[0]);
    let heard = driver.now;
    driver.run(ms(1_000));

    let fenced = driver.effect_times(is_fence);
    assert_eq!(fenced.len(), 1);
    // A renewal interval until the others are heard, the silence, one tick and
    // the commit.
    let bound = heard + ms(150 + 350 + 10 + 10);
    assert!(fenced[0] <= bound, "{fenced:?} {bound:?}");
    assert!(driver.state().node(nodes[0]).is_none(), "not removed");
}

/// Guards against a fence before the first renewal: a process learns its id
/// only when its join has been committed and delivered.
#[test]
fn a_process_that_has_just_joined_has_time_to_renew() {
    let (mut driver, _) = Driver::started(16, &[12; 3]);
    let joined = driver.cluster.join("Bangor");
    driver.silent.insert(joined);
    driver.run(ms(2_500));
    assert!(driver.state().node(joined).is_some());
    driver.run(ms(1_500));
    assert!(driver.state().node(joined).is_none());
}

/// Guards against a proposal that is repeated at every tick and fills the log
/// while commits are slow.
#[test]
fn a_proposal_in_flight_is_not_repeated_before_500_ms() {
    let (mut driver, nodes) = Driver::started(16, &[12; 4]);
    driver.commit_delay = None;
    driver.proposals.clear();
    driver.silent.insert(nodes[0]);
    driver.apply(Command::Drain { node: nodes[1] });
    driver.run(ms(1_700));
    let shards = driver.shard_count(nodes[1]) as usize;
    let count = |wanted: fn(&Command) -> bool| {
        let proposals = driver.proposals.iter();
        proposals.filter(|(_, command)| wanted(command)).count()
    };
    // Fences at 0.35, 0.85 and 1.35 s; transfers at 0, 0.5, 1 and 1.5 s.
    assert_eq!(count(is_fence), 3);
    assert_eq!(
        count(|command| matches!(command, Command::Transfer { .. })),
        4 * shards
    );
}

/// Guards against an assignment while the lease of the owner may be valid, that
/// is, until 400 ms after the last renewal sent before the fence. Leaders
/// change, and nodes stop renewing, return, drain and join at random.
#[test]
fn no_shard_is_assigned_while_a_lease_is_valid() {
    let mut assigned = 0;
    for seed in 0..60 {
        let mut random = SmallRng::seed_from_u64(seed);
        let (mut driver, _) = Driver::started(16, &[12; 5]);
        driver.commit_delay = Some(ms(random.random_range(10..700)));
        for _ in 0..60 {
            let nodes: Vec<_> = driver.state().nodes().collect();
            let node = nodes
                .get(random.random_range(0..=nodes.len()))
                .map(|own| own.node());
            match (random.random_range(0..8), node) {
                (0..3, Some(node)) => drop(driver.silent.insert(node)),
                (3, Some(node)) => drop(driver.silent.remove(&node)),
                (4, Some(node)) => driver.apply(Command::Drain { node }),
                (5, _) => driver.event(Event::Lead),
                (6, Some(node)) => driver.event(Event::TargetUnresponsive { node }),
                _ => drop(driver.cluster.ready(POOL, "Bangor")),
            }
            driver.run(ms(random.random_range(50..900)));
        }
        assigned += driver.replaced_owners.len();
        for (at, owner) in &driver.replaced_owners {
            let lease = driver.renewals.get(owner).map(|sent| *sent + ms(400));
            assert!(
                lease.is_none_or(|end| *at >= end),
                "seed {seed}: {owner} at {at:?}"
            );
        }
    }
    assert!(assigned > 500, "only {assigned} assignments were checked");
}

/// Guards against a wait of a whole lease after the fence when a majority has
/// reported when the last renewal was acknowledged, and against an assignment
/// before the lease from that renewal has expired.
#[test]
fn the_wait_counts_from_the_last_acknowledged_renewal() {
    let (mut driver, lost) = with_silent_node(true, &[2_000]);
    let renewal = driver.renewals[&lost];
    while driver.effect_times(is_fence).is_empty() {
        driver.run(ms(10));
    }

    driver.event(Event::RenewalsEnded {
        node: lost,
        last: renewal,
    });
    driver.run(ms(1_000));

    let waited = driver.effect_times(is_assign)[0].saturating_sub(renewal);
    assert!(waited >= ms(408) && waited <= ms(438), "{waited:?}");
}
