//! Tests of the first group: how it starts, and how it comes back before there is
//! a snapshot.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{disk::MemoryDisk, network::Network, replica::*};
use wisteriaglade_consensus::{
    Config, Input, Message, Output, Raft, Restored, Role, storage::Storage,
};
use wisteriaglade_types::{Index, Term};

/// Crashes all replicas at once. When they start again, their settings name no
/// group.
fn restart_without_settings(network: &mut Network) {
    for id in network.ids() {
        network.crash(id);
        let node = network.nodes.get_mut(&id).expect("a replica");
        node.config = Config::new(id, []);
    }
}

/// Checks that the leader has every acknowledged value.
fn assert_nothing_lost(network: &mut Network) {
    let leader = network.wait_for_leader();
    let values = &network.running(leader).values;
    let acknowledged = &network.history.acknowledged;
    assert!(acknowledged.iter().all(|value| values.contains(value)));
}

/// Creates a member of a group of three with an empty disk.
fn blank() -> Raft {
    let config = Config::new(OWN, [OWN, SECOND_REPLICA, THIRD_REPLICA]);
    Raft::new(config, Restored::default(), Duration::ZERO)
}

/// Creates a request for a vote in a term, by a candidate with this last entry.
fn request_vote(term: u64, (last_term, last): (u64, u64)) -> Message {
    Message::RequestVote {
        term: Term::new(term),
        last: Index::new(last),
        last_term: Term::new(last_term),
    }
}

/// Whether the outputs hold a granted vote.
fn grants_vote(outputs: &[Output]) -> bool {
    outputs.iter().any(|output| {
        let Output::Send { message, .. } = output else {
            return false;
        };
        matches!(message, Message::VoteResponse { granted: true, .. })
    })
}

/// Creates a member with an empty disk, whose group keeps its ids.
fn with_fixed_ids() -> Raft {
    let members = [OWN, SECOND_REPLICA, THIRD_REPLICA];
    let config = Config::new(OWN, members).fixed_ids(true);
    Raft::new(config, Restored::default(), Duration::ZERO)
}

/// Guards against a group that has no leader again because only its settings at
/// the first start named its members: killed before and after the first election,
/// with and without acknowledged entries, before there is a snapshot.
#[rstest]
#[case::at_the_start(10)]
#[case::during_the_election(600)]
#[case::after_the_election(1_500)]
fn a_group_returns_without_a_snapshot(
    #[case] ran_ms: u64,
    #[values(1, 2, 3, 5)] members: u64,
    #[values(0, 3)] proposals: u64,
) {
    for seed in 0..10 {
        let mut network = Network::new(seed, members, 0, |config| config);
        network.run(Duration::from_millis(ran_ms));
        if ran_ms > 1_000 {
            for _ in 0..proposals {
                network.commit_one();
            }
        }

        restart_without_settings(&mut network);
        network.run(3 * SECOND);
        network.commit_one();

        assert_nothing_lost(&mut network);
        let leader = network.wait_for_leader();
        assert_eq!(network.raft(leader).members().len() as u64, members);
    }
}

/// Guards against the loss of the group when it has grown by a replica and all
/// members restart before there is a snapshot.
#[test]
fn a_group_that_has_grown_returns_without_a_snapshot() {
    for seed in 0..10 {
        let mut network = Network::new(seed, 3, 1, |config| config);
        network.commit_one();
        let leader = network.wait_for_leader();
        network.change(leader, network.ids());
        network.run(3 * SECOND);

        restart_without_settings(&mut network);
        network.run(3 * SECOND);
        network.commit_one();

        let leader = network.wait_for_leader();
        assert_eq!(network.raft(leader).members(), network.ids());
    }
}

/// Guards against a joined replica that loses sight of the group, because its log
/// lacks the entry that names the first members.
#[test]
fn a_joined_replica_learns_the_first_group_from_the_log() {
    let mut network = Network::new(1, 3, 1, |config| config);
    network.commit_one();
    let leader = network.wait_for_leader();
    let all = network.ids();
    let joined = all[3];
    network.change(leader, all.clone());
    network.run(3 * SECOND);
    network.compact(joined);

    network.change(leader, all[..3].to_vec());
    network.run(3 * SECOND);

    assert_eq!(network.raft(leader).members(), &all[..3]);
    let known = network.raft(joined).members();
    assert!(known == all || known == &all[..3], "{known:?}");
}

/// Guards against a group that changes with the settings of a process: what the
/// log names as the first group holds.
#[test]
fn the_group_in_the_log_goes_before_that_of_the_settings() {
    let mut network = Network::new(1, 3, 0, |config| config);
    network.commit_one();
    let ids = network.ids();
    for id in &ids {
        network.crash(*id);
        let node = network.nodes.get_mut(id).expect("a replica");
        node.config = Config::new(*id, [*id]);
    }

    network.run(3 * SECOND);
    network.commit_one();

    for id in &ids {
        assert_eq!(network.raft(*id).members(), ids);
    }
}

/// Guards against a first group that is torn by a loss of power: a replica has it
/// whole, or its log is empty and it votes for nobody.
#[test]
fn a_torn_write_of_the_first_group_leaves_no_part_of_it() {
    let directory = tempfile::tempdir().expect("a directory");
    let (mut storage, _) = Storage::open(directory.path()).expect("an empty log");
    let mut raft = blank();
    for output in step(&mut raft, Duration::ZERO, Input::Tick) {
        if let Output::Persist(change) = output {
            storage.persist(&change).expect("a write");
        }
    }
    drop(storage);
    let segment = directory.path().join("log-00000000000000000001");
    let whole = std::fs::read(&segment).expect("the first segment");

    for length in 0..=whole.len() {
        std::fs::write(&segment, &whole[..length]).expect("a torn segment");
        let (storage, restored) = Storage::open(directory.path()).expect("a readable log");
        let mut raft = Raft::new(Config::new(OWN, []), restored, Duration::ZERO);
        let outputs = step(&mut raft, 2 * SECOND, Input::Tick);
        drop(storage);

        let is_whole = length == whole.len();
        assert_eq!(raft.members().len(), if is_whole { 3 } else { 0 });
        assert_eq!(raft.role() == Role::PreCandidate, is_whole, "{outputs:?}");
    }
}

/// Guards against an acknowledged entry that is lost because a replica has lost its
/// disk, returns under its number and helps to elect a candidate that lacks the
/// entry. At the first start, when no replica has more than the first group, it
/// votes.
#[rstest]
#[case::first_start((0, 1), true)]
#[case::established_group((1, 2), false)]
fn a_replica_with_an_empty_disk_votes_only_at_the_first_start(
    #[case] last: (u64, u64),
    #[case] expected: bool,
) {
    let mut raft = with_fixed_ids();
    step(&mut raft, Duration::ZERO, Input::Tick);

    let outputs = receive(&mut raft, SECOND_REPLICA, request_vote(3, last));

    assert_eq!(grants_vote(&outputs), expected);
}

/// Guards against a replica that never votes again once it had an empty disk: it
/// does after a leader has contacted it.
#[test]
fn a_replica_with_an_empty_disk_votes_after_it_has_followed_a_leader() {
    let mut raft = with_fixed_ids();
    step(&mut raft, Duration::ZERO, Input::Tick);
    receive(
        &mut raft,
        SECOND_REPLICA,
        append_entries(1, (1, 0), 0, &[1, 1]),
    );

    let message = request_vote(2, (1, 3));
    let from = THIRD_REPLICA;
    let outputs = step(&mut raft, 5 * SECOND, Input::Message { from, message });

    assert!(grants_vote(&outputs), "{outputs:?}");
}

/// Guards against the loss of an acknowledged entry when one of three replicas
/// loses its disk, the leader stops, and the third lacks the entry.
#[test]
fn a_lost_disk_and_a_stopped_leader_lose_no_acknowledged_entry() {
    for seed in 0..20 {
        let mut network = Network::new(seed, 3, 0, |config| config.fixed_ids(true));
        network.commit_one();
        let leader = network.wait_for_leader();
        let ids = network.ids().into_iter();
        let others: Vec<_> = ids.filter(|id| *id != leader).collect();
        network.split(&others[..1]);
        network.commit_one();

        network.cut_links.clear();
        network.split(&[leader]);
        network.crash(others[1]);
        let wiped = network.nodes.get_mut(&others[1]).expect("a replica");
        wiped.disk = MemoryDisk::default();
        network.run(10 * SECOND);
        network.cut_links.clear();
        network.run(3 * SECOND);
        network.commit_one();

        assert_nothing_lost(&mut network);
    }
}
