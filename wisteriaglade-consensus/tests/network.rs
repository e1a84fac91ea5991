//! Tests of whole groups in a simulated network that loses, duplicates, delays
//! and reorders messages.

mod support;

use std::{ops::Range, time::Duration};

use rand::{RngExt as _, seq::IndexedRandom as _};
use rstest::rstest;
use support::network::{Faults, Network};
use wisteriaglade_consensus::{Config, Reason, Replica, Role};
use wisteriaglade_types::Index;

const SECOND: Duration = Duration::from_secs(1);

/// Lowers the limits, so that messages, pipelining and compaction reach them
/// within few proposals.
fn with_small_limits(config: Config) -> Config {
    config
        .message_limits(200, 4)
        .max_inflight_messages(3)
        .retained_entries(10)
}

/// Causes one random event: a proposal, a partition, a crash, a compaction, a
/// disk failure or a change of the group.
fn cause_random_event(network: &mut Network) {
    let ids = network.ids();
    let id = *ids.choose(&mut network.random).expect("replicas");
    match network.random.random_range(0..1_000) {
        0..300 => {
            network.propose(id);
        }
        300..308 => {
            let size = network.random.random_range(1..ids.len());
            let part: Vec<_> = ids.sample(&mut network.random, size).copied().collect();
            network.cut_links.clear();
            network.split(&part);
        }
        308..316 => network.cut_links.clear(),
        316..319 => {
            // Cuts one direction only: the replica receives but cannot send.
            network.cut_links.extend(ids.iter().map(|to| (id, *to)));
        }
        319..323 => network.crash(id),
        323..340 => network.compact(id),
        340..344 => {
            let after = network.random.random_range(0..20);
            network.nodes[&id].disk.fail_after(after);
        }
        344..354 => propose_group_change(network),
        354..374 => {
            let failed = ids.iter().find(|id| network.is_failed(**id));
            if let Some(id) = failed {
                network.crash(*id);
            }
        }
        _ => {}
    }
}

/// Proposes a change of the group that replaces, adds or removes a random
/// replica.
fn propose_group_change(network: &mut Network) {
    let Some(leader) = network.leader() else {
        return;
    };
    let mut members = network.raft(leader).members().to_vec();
    let spare: Vec<_> = network.ids();
    let spare: Vec<_> = spare.iter().filter(|id| !members.contains(id)).collect();
    let added = spare.choose(&mut network.random).map(|id| **id);
    if members.len() > 2 && network.random.random_bool(0.7) {
        let position = network.random.random_range(0..members.len());
        members.remove(position);
    }
    members.extend(added.filter(|_| network.random.random_bool(0.8)));
    network.change(leader, members);
}

/// Ends all faults, restarts every replica, and checks that all members agree
/// on the values and that no acknowledged one is lost.
fn assert_convergence(network: &mut Network) {
    network.faults = Faults::NONE;
    network.cut_links.clear();
    for id in network.ids() {
        network.crash(id);
    }
    network.run(3 * SECOND);
    let index = network.commit_one();
    let leader = network.wait_for_leader();
    let members = network.raft(leader).members().to_vec();
    let equal = network.run_until(30 * SECOND, |network| {
        members
            .iter()
            .all(|id| network.running(*id).applied >= index)
    });
    assert!(equal, "a replica did not catch up");
    let values = &network.running(leader).values;
    for id in &members {
        assert_eq!(&network.running(*id).values, values, "replica {id}");
    }
    for value in &network.history.acknowledged {
        assert!(values.contains(value), "value {value} was lost");
    }
}

/// Guards against two leaders in a term, logs that differ, responses before the
/// sync and the loss of committed entries, with all kinds of faults at once.
#[rstest]
fn keeps_committed_entries(#[values(0, 1, 2, 3, 4, 5, 6, 7)] part: u64) {
    let mut terms = 0;
    let mut committed = 0;
    let mut restored = 0;
    for seed in (part * 1_000..).take(100) {
        let mut network = Network::new(seed, 3, 2, with_small_limits);
        network.faults = Faults {
            drop: 0.05,
            repeat: 0.05,
            late: 0.02,
            delay: 1..40,
            crash: 0.000_5,
        };
        for _ in 0..3_000 {
            cause_random_event(&mut network);
            network.run(Duration::from_millis(10));
        }
        assert_convergence(&mut network);
        terms += network.history.terms();
        committed += network.history.acknowledged.len();
        restored += network
            .nodes
            .values()
            .map(|node| node.restored)
            .sum::<usize>();
    }
    // Without elections, commits and restored snapshots the checks above would
    // hold trivially.
    assert!(terms > 100, "only {terms} terms had a leader");
    assert!(
        committed > 1_000,
        "only {committed} proposals were committed"
    );
    assert!(restored > 50, "only {restored} snapshots were restored");
}

/// Guards against a group that never elects a leader or never commits, and
/// against followers that learn of a commit only with a later heartbeat.
#[rstest]
fn commits_proposals(#[values(1, 3, 5)] size: u64) {
    let mut network = Network::new(size, size, 0, |config| config);
    let leader = network.wait_for_leader();
    network.run(SECOND);

    let tickets: Vec<_> = (0..10).map(|_| network.propose(leader)).collect();
    network.run(Duration::from_millis(30));

    assert!(network.history.acknowledged.iter().eq(&tickets));
    for id in network.ids() {
        // The first group, the first entry of the leader and ten proposals.
        assert_eq!(network.raft(id).commit_index(), Index::new(12));
        let contact = network.raft(id).since_leader_contact(network.now);
        assert!(contact < Some(Duration::from_millis(60)), "{contact:?}");
    }
}

/// Guards against a group that has no leader for more than 2 s after it lost
/// one.
#[rstest]
fn elects_the_next_leader_in_time(#[values(3, 5, 7)] size: u64) {
    for seed in 0..200 {
        let mut network = Network::new(seed, size, 0, |config| config);
        network.faults.delay = 1..20;
        network.commit_one();
        let leader = network.wait_for_leader();
        network.split(&[leader]);

        let elected = network.run_until(2 * SECOND, |network| network.leader() != Some(leader));

        assert!(
            elected,
            "no new leader 2 s after the old one was partitioned"
        );
    }
}

/// Guards against a replica that forces an election when it rejoins after a
/// partition.
#[rstest]
fn rejoining_replica_causes_no_election(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut network = Network::new(seed, 3, 0, |config| config);
    let leader = network.wait_for_leader();
    network.commit_one();
    let term = network.raft(leader).term();
    let away = follower(&network, leader);
    network.split(&[away]);
    network.run(30 * SECOND);

    network.cut_links.clear();
    network.run(5 * SECOND);

    assert_eq!(network.leader(), Some(leader));
    assert_eq!(network.raft(leader).term(), term);
    assert_eq!(network.raft(away).leader(), Some(leader));
    assert_eq!(network.history.terms(), 1);
}

/// Guards against a replica that cannot catch up because the entries that it
/// lacks were compacted.
#[rstest]
fn catches_up_by_snapshot(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut network = Network::new(seed, 3, 0, with_small_limits);
    let leader = network.wait_for_leader();
    let away = follower(&network, leader);
    network.split(&[away]);
    for _ in 0..300 {
        network.propose(leader);
        network.run(Duration::from_millis(10));
    }
    network.compact(leader);
    assert_eq!(network.raft(leader).entries(Index::new(1), 1), None);

    network.cut_links.clear();
    network.faults.drop = 0.1;
    network.run(20 * SECOND);
    network.faults = Faults::NONE;
    network.run(SECOND);

    assert_eq!(network.nodes[&away].restored, 1);
    assert_eq!(network.running(away).values, network.running(leader).values);
    assert_eq!(network.running(away).values.len(), 300);
}

/// Guards against a follower that does not catch up over a lossy link, or that
/// is sent the same entries repeatedly.
#[rstest]
fn catches_up_from_the_log(#[values(0.0, 0.3)] drop: f64) {
    let mut network = Network::new(1, 3, 0, |config| config);
    let leader = network.wait_for_leader();
    let away = follower(&network, leader);
    network.split(&[away]);
    for _ in 0..2_000 {
        network.propose(leader);
    }
    network.run(SECOND);

    network.cut_links.clear();
    network.faults.drop = drop;
    network.run(5 * SECOND);

    assert_eq!(network.nodes[&away].restored, 0);
    assert!(network.running(away).values.len() >= 2_000);
}

/// Guards against a leader that stays leader without contact to a majority, and
/// against proposals that get no outcome or a wrong one.
#[test]
fn leader_without_majority_steps_down() {
    let mut network = Network::new(3, 5, 0, |config| config);
    let old = network.wait_for_leader();
    network.commit_one();
    let other = follower(&network, old);
    network.split(&[old, other]);

    let unknown = network.propose(old);
    network.run(SECOND);
    let refused = network.propose(old);
    network.run(3 * SECOND);

    assert_ne!(network.raft(old).role(), Role::Leader);
    let outcomes = [(unknown, Reason::Deposed), (refused, Reason::NotLeader)];
    assert_eq!(network.dropped, outcomes);
    let contact = network
        .raft(old)
        .since_leader_contact(network.now)
        .expect("was leader");
    assert!(contact > 3 * SECOND, "{contact:?}");
    assert_ne!(network.leader(), Some(old));
    network.cut_links.clear();
    assert_convergence(&mut network);
}

/// Guards against a replacement that leaves the old replica in the group, or
/// that stops the group when the leader replaces itself.
#[rstest]
fn replaces_each_replica(#[values(1, 2, 3)] gone: u64, #[values(true, false)] alive: bool) {
    let mut network = Network::new(5, 3, 1, with_small_limits);
    network.wait_for_leader();
    for _ in 0..40 {
        network.commit_one();
    }
    let gone = Replica::new(gone);
    if !alive {
        network.split(&[gone]);
        network.run(3 * SECOND);
    }
    let leader = network.wait_for_leader();
    let ids = network.ids();
    let members: Vec<_> = ids.into_iter().filter(|id| *id != gone).collect();
    let ticket = network.change(leader, members.clone());
    network.run(5 * SECOND);

    assert!(
        !network
            .dropped
            .iter()
            .any(|(dropped, _)| *dropped == ticket)
    );
    let index = network.commit_one();
    network.run(SECOND);
    for id in &members {
        assert_eq!(network.raft(*id).members(), members);
        assert!(network.running(*id).applied >= index, "replica {id}");
    }
    assert_ne!(network.raft(gone).role(), Role::Leader);
}

/// Guards against a group of one replica that cannot grow, shrink or move to
/// other replicas.
#[rstest]
#[case::move_to_others(&[2..3, 3..4])]
#[case::grow(&[1..3, 1..4])]
#[case::grow_and_shrink(&[1..3, 1..4, 2..4, 3..4])]
fn changes_a_group_of_one(#[case] steps: &[Range<u64>]) {
    let mut network = Network::new(1, 1, 2, with_small_limits);
    network.commit_one();
    for step in steps {
        let members: Vec<_> = step.clone().map(Replica::new).collect();
        let leader = network.wait_for_leader();
        network.change(leader, members.clone());
        network.run(3 * SECOND);

        let leader = network.wait_for_leader();
        assert_eq!(network.raft(leader).members(), members);
        assert!(members.contains(&leader));
        network.commit_one();
    }
    let leader = network.wait_for_leader();
    let values = &network.running(leader).values;
    assert_eq!(values.len(), steps.len() + 1);
}

/// Guards against a change whose old and new majorities need not overlap, and
/// against one that leaves no member.
#[test]
fn refuses_to_replace_two_replicas() {
    let mut network = Network::new(1, 3, 2, |config| config);
    let leader = network.wait_for_leader();
    network.commit_one();

    let two = network.change(leader, [1, 4, 5].map(Replica::new).to_vec());
    let none = network.change(leader, Vec::new());

    let refused = [(two, Reason::Invalid), (none, Reason::Invalid)];
    assert_eq!(network.dropped, refused);
}

/// Guards against a replica that remains leader or accepts proposals after its
/// disk has failed.
#[test]
fn failed_replica_is_silent() {
    let mut network = Network::new(1, 3, 0, |config| config);
    let leader = network.wait_for_leader();
    network.commit_one();
    network.nodes[&leader].disk.fail_after(0);

    let unknown = network.propose(leader);
    network.run(3 * SECOND);
    let refused = network.propose(leader);

    assert!(network.raft(leader).is_failed());
    assert_eq!(network.raft(leader).since_leader_contact(network.now), None);
    let outcomes = [(unknown, Reason::Deposed), (refused, Reason::StorageFailed)];
    assert_eq!(network.dropped, outcomes);
    assert_ne!(network.wait_for_leader(), leader);
    network.commit_one();
}

/// Returns a replica other than the leader.
fn follower(network: &Network, leader: Replica) -> Replica {
    let ids = network.ids();
    *ids.iter().find(|id| **id != leader).expect("a follower")
}
