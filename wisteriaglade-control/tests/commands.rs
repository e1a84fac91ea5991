//! The effect or the refusal of each command, by the state that it meets.

mod fixture;

use std::time::Duration;

use fixture::{Cluster, POOL, address, assign, assignment, index, join, release, target, transfer};
use rstest::rstest;
use wisteriaglade_control::{Command, Config, Kind, Reason, Reply, State, Status, Target};
use wisteriaglade_types::{Epoch, Hash, Node, Shard, Version};

const A: Node = Node::new(1);
const B: Node = Node::new(2);
const C: Node = Node::new(3);
const DRAINING: Node = Node::new(4);
const FENCED: Node = Node::new(5);
const JOINED: Node = Node::new(6);
const OTHER: Node = Node::new(7);
const NOBODY: Node = Node::new(99);
/// The epochs of the shards 0 to 3 in [`cluster`]; shard 3 has no owner.
const EPOCH: [u64; 4] = [14, 14, 15, 0];

/// Creates a cluster in which A owns shards 0 and 1, shard 1 has a pending
/// transfer to B, a fenced node owns shard 2, and shard 3 has no owner.
fn cluster() -> Cluster {
    let mut cluster = Cluster::new(4);
    for data_centre in [
        "Caerdydd", "Abertawe", "Bangor", "Bangor", "Bangor", "Bangor", "Bangor",
    ] {
        cluster.join(data_centre);
    }
    for node in [A, B, C, DRAINING, FENCED] {
        assert_eq!(cluster.apply(&announce(node, POOL, 12)), Reply::Accepted);
    }
    cluster.apply(&announce(OTHER, "ledger", 12));
    cluster.give([0, 1], A, &[B, C]);
    cluster.give([2], FENCED, &[A, B, C]);
    cluster.apply(&Command::Fence { node: FENCED });
    cluster.apply(&Command::Drain { node: DRAINING });
    assert_eq!(cluster.apply(&transfer(1, EPOCH[1], B)), Reply::Accepted);
    cluster
}

fn announce(node: Node, pool: &str, slots: u32) -> Command {
    let (pool, target) = (pool.into(), target(slots));
    Command::Announce { node, pool, target }
}

fn set_holders(node: Node, epoch: u64, base: &[Node], holders: &[Node]) -> Command {
    Command::SetHolders {
        node,
        pool: POOL.into(),
        shard: Shard::new(0),
        epoch: Epoch::new(epoch),
        base: base.to_vec(),
        holders: holders.to_vec(),
    }
}

fn key(shard: u32) -> Hash {
    Hash::new(u64::from(shard) + 400)
}

fn dedicate(shard: u32) -> Command {
    let (pool, hash) = (POOL.into(), key(shard));
    Command::Dedicate { pool, hash }
}

fn merge(shard: u32) -> Command {
    let (pool, hash) = (POOL.into(), key(shard));
    Command::Merge { pool, hash }
}

const ACCEPTED: Reply = Reply::Accepted;

const fn refused(reason: Reason) -> Reply {
    Reply::Refused(reason)
}

/// Each case guards against the failure that its name describes.
#[rstest]
#[case::a_retried_join_makes_two_nodes(join(1_000, "Bangor"), Reply::Joined(A))]
#[case::a_new_process_gets_an_old_id(join(1, "Bangor"), Reply::Joined(Node::new(19)))]
#[case::a_target_cannot_update(announce(A, POOL, 24), ACCEPTED)]
#[case::a_target_changes_pool_with_its_shards(announce(A, "ledger", 1), refused(Reason::OtherPool))]
#[case::capacity_zero_divides(announce(JOINED, POOL, 0), refused(Reason::Invalid))]
#[case::an_announcement_undoes_a_drain(announce(DRAINING, POOL, 1), refused(Reason::Draining))]
#[case::a_fenced_node_returns(announce(FENCED, POOL, 1), refused(Reason::Fenced))]
#[case::an_unknown_node_announces(announce(NOBODY, POOL, 1), refused(Reason::UnknownNode))]
#[case::a_fenced_node_drains(Command::Drain { node: FENCED }, refused(Reason::Fenced))]
#[case::an_owner_leaves(Command::Leave { node: A }, refused(Reason::HasShards))]
#[case::an_empty_node_stays(Command::Leave { node: C }, ACCEPTED)]
#[case::a_retried_fence_fails(Command::Fence { node: FENCED }, ACCEPTED)]
#[case::an_unknown_node_is_fenced(Command::Fence { node: NOBODY }, refused(Reason::UnknownNode))]
#[case::a_live_node_is_removed(Command::Remove { node: C }, refused(Reason::NotFenced))]
#[case::shards_of_a_removed_node(Command::Remove { node: FENCED }, refused(Reason::HasShards))]
#[case::an_owner_is_robbed(assign(vec![assignment(0, EPOCH[0], B, &[])]), refused(Reason::Owned))]
#[case::a_fenced_owner_keeps(assign(vec![assignment(2, EPOCH[2], B, &[])]), ACCEPTED)]
#[case::a_stale_proposal_wins(assign(vec![assignment(2, 3, B, &[])]), refused(Reason::StaleEpoch))]
#[case::one_stale_move_spoils_others(
    assign(vec![assignment(2, 3, B, &[]), assignment(3, 0, B, &[A])]), ACCEPTED)]
#[case::a_draining_node_gains(assign(vec![assignment(3, 0, DRAINING, &[])]), refused(Reason::NotReady))]
#[case::a_node_of_another_pool_gains(assign(vec![assignment(3, 0, OTHER, &[])]), refused(Reason::NotReady))]
#[case::a_node_without_target_gains(assign(vec![assignment(3, 0, JOINED, &[])]), refused(Reason::NotReady))]
#[case::a_shard_out_of_range(assign(vec![assignment(4, 0, B, &[])]), refused(Reason::UnknownShard))]
#[case::a_fenced_first_holder(assign(vec![assignment(3, 0, B, &[FENCED])]), refused(Reason::InvalidHolders))]
#[case::a_move_to_the_owner(transfer(0, EPOCH[0], A), refused(Reason::Owned))]
#[case::a_late_move_of_an_earlier_grant(transfer(0, 3, B), refused(Reason::StaleEpoch))]
#[case::a_second_move_at_once(transfer(1, EPOCH[1], C), refused(Reason::Moving))]
#[case::a_fenced_owner_is_asked(transfer(2, EPOCH[2], B), refused(Reason::NoOwner))]
#[case::nobody_is_asked(transfer(3, EPOCH[3], B), refused(Reason::NoOwner))]
#[case::a_move_to_a_draining_node(transfer(0, EPOCH[0], DRAINING), refused(Reason::NotReady))]
#[case::a_move_cannot_end(release(A, 1, EPOCH[1]), ACCEPTED)]
#[case::another_node_releases(release(B, 1, EPOCH[1]), refused(Reason::NotOwner))]
#[case::a_late_release_of_an_earlier_grant(release(A, 1, 2), refused(Reason::StaleEpoch))]
#[case::a_release_to_nobody(release(A, 0, EPOCH[0]), refused(Reason::NotMoving))]
#[case::the_owner_cannot_replace_a_holder(set_holders(A, EPOCH[0], &[B, C], &[A, B, C]), ACCEPTED)]
#[case::an_old_owner_replaces_a_holder(set_holders(A, 3, &[B, C], &[A, B, C]), refused(Reason::StaleEpoch))]
#[case::another_node_replaces_a_holder(set_holders(B, EPOCH[0], &[B, C], &[A, B, C]), refused(Reason::NotOwner))]
#[case::a_fenced_holder(set_holders(A, EPOCH[0], &[B, C], &[A, FENCED]), refused(Reason::InvalidHolders))]
#[case::a_repeated_holder(set_holders(A, EPOCH[0], &[B, C], &[B, B]), refused(Reason::InvalidHolders))]
#[case::no_holder(set_holders(A, EPOCH[0], &[B, C], &[]), refused(Reason::InvalidHolders))]
#[case::a_late_copy_brings_back_old_holders(set_holders(A, EPOCH[0], &[B], &[A]), refused(Reason::InvalidHolders))]
#[case::four_holders(set_holders(A, EPOCH[0], &[B, C], &[A, B, C, JOINED]), refused(Reason::InvalidHolders))]
#[case::a_hot_key_stays(dedicate(0), ACCEPTED)]
#[case::a_key_of_a_moving_shard_splits(dedicate(1), refused(Reason::Moving))]
#[case::a_key_of_a_fenced_owner_splits(dedicate(2), refused(Reason::NoOwner))]
#[case::a_shared_key_merges(merge(0), refused(Reason::NotDedicated))]
fn a_command_is_decided(#[case] command: Command, #[case] expected: Reply) {
    let mut cluster = cluster();
    let before = cluster.state.clone();

    let reply = cluster.apply(&command);

    assert_eq!(reply, expected);
    if matches!(reply, Reply::Refused(_)) {
        // A refused command must change nothing but the index: its proposer was
        // told that it had no effect.
        let mut unchanged = before;
        unchanged.skip(cluster.state.index());
        assert_eq!(cluster.state, unchanged);
    }
}

#[test]
fn a_grant_has_the_index_of_its_entry_as_epoch() {
    let mut cluster = cluster();
    cluster.apply(&release(A, 1, EPOCH[1]));
    let grant = cluster.state.locate(POOL, key(1)).unwrap();
    assert_eq!(grant.owner, Some(B));
    assert_eq!(grant.epoch.get(), cluster.state.index().get());
    assert_eq!(grant.moving_to, None);
    assert_eq!(cluster.state.shards_of(B).count(), 1);
}

/// Guards against a pending transfer to a node that is gone. Its release would
/// leave the shard with an owner that admits no requests.
#[rstest]
#[case::fence(Command::Fence { node: B })]
#[case::drain(Command::Drain { node: B })]
#[case::leave(Command::Leave { node: B })]
fn a_move_ends_when_its_destination_goes(#[case] command: Command) {
    let mut cluster = cluster();
    assert_eq!(cluster.apply(&command), Reply::Accepted);
    assert_eq!(cluster.state.locate(POOL, key(1)).unwrap().moving_to, None);
    assert_eq!(
        cluster.apply(&release(A, 1, EPOCH[1])),
        refused(Reason::NotMoving)
    );
}

#[test]
fn an_assignment_keeps_the_holders_that_have_the_records() {
    let mut cluster = cluster();
    cluster.give([2], A, &[C]);
    cluster.give([3], A, &[C]);
    assert_eq!(cluster.state.holders(POOL, Shard::new(2)), [A, B, C]);
    assert_eq!(cluster.state.holders(POOL, Shard::new(3)), [C]);
}

/// Guards against a dedicated shard with another owner than the base shard at
/// the time of the split or the merge. The key would have two owners while the
/// nodes learn of the change at different times.
#[test]
fn a_dedicated_shard_starts_and_ends_with_the_owner_and_holders_of_its_key() {
    let mut cluster = cluster();
    cluster.apply(&dedicate(0));
    let split = cluster.state.locate(POOL, key(0)).unwrap();
    assert_eq!((split.shard, split.owner), (Shard::new(4), Some(A)));
    assert_eq!(cluster.state.holders(POOL, split.shard), [B, C]);
    assert_eq!(cluster.state.shards_of(A).count(), 3);

    cluster.apply(&transfer(4, split.epoch.get(), C));
    assert_eq!(cluster.apply(&merge(0)), refused(Reason::Moving));
    cluster.apply(&release(A, 4, split.epoch.get()));
    assert_eq!(cluster.apply(&merge(0)), refused(Reason::Owned));
    cluster.apply(&transfer(4, cluster.epoch(4), A));
    cluster.apply(&release(C, 4, cluster.epoch(4)));
    cluster.apply(&set_holders(A, EPOCH[0], &[B, C], &[C]));
    assert_eq!(cluster.apply(&merge(0)), refused(Reason::InvalidHolders));
    cluster.apply(&set_holders(A, EPOCH[0], &[C], &[C, B]));
    let dedicated = cluster.epoch(4);
    assert_eq!(cluster.apply(&merge(0)), Reply::Accepted);

    let merged = cluster.state.locate(POOL, key(0)).unwrap();
    assert_eq!((merged.shard, merged.owner), (Shard::new(0), Some(A)));
    assert!(
        merged.epoch.get() > dedicated,
        "the epoch of the key decreased"
    );
    assert_eq!(cluster.state.shards_of(A).count(), 2);
}

#[test]
fn a_pool_has_at_most_512_dedicated_shards() {
    let mut cluster = cluster();
    for hash in (1..=512).map(|n| Hash::new(n * 4 + 4_000)) {
        let pool = POOL.into();
        assert_eq!(cluster.apply(&Command::Dedicate { pool, hash }), ACCEPTED);
    }
    assert_eq!(
        cluster.apply(&dedicate(0)),
        refused(Reason::TooManyDedicated)
    );
}

fn edit(id: u128, base: u64, operator: &str) -> Command {
    Command::ChangeRules {
        id,
        base: Version::new(base),
        operator: operator.into(),
        text: operator.into(),
        longest_deadlines: vec![(POOL.into(), Duration::from_secs(id.try_into().unwrap()))],
    }
}

#[test]
fn a_change_is_made_once_and_shows_the_winner_to_the_others() {
    let mut cluster = cluster();
    let lost = Reply::Conflict {
        version: Version::new(1),
        id: 7,
        operator: "mair".into(),
    };
    let first = Reply::Version(Version::new(1));
    assert_eq!(cluster.apply(&edit(7, 0, "mair")), first);
    // Two operators have based their changes on the same version.
    assert_eq!(cluster.apply(&edit(3, 0, "rui")), lost);
    assert_eq!(
        cluster.apply(&edit(4, 1, "rui")),
        Reply::Version(Version::new(2))
    );
    // Retries after a lost response, with other changes in between, get the
    // first reply.
    assert_eq!(cluster.apply(&edit(7, 0, "mair")), first);
    assert_eq!(cluster.apply(&edit(3, 0, "rui")), lost);

    assert_eq!(cluster.state.rules(), (Version::new(2), "rui"));
    assert_eq!(cluster.state.history().count(), 2);
    assert_eq!(cluster.state.longest_deadline(POOL), Duration::from_secs(4));
    assert_eq!(
        cluster.state.longest_recent_deadline(POOL),
        Duration::from_secs(7)
    );
}

#[test]
fn the_history_and_the_outcomes_are_bounded() {
    let mut cluster = cluster();
    for version in 0..10_010 {
        cluster.apply(&edit(u128::from(version) + 1, version, "mair"));
    }
    assert_eq!(cluster.state.history().count(), 1_000);
    assert_eq!(cluster.state.outcome(10), None);
    assert!(cluster.state.outcome(11).is_some());
}

#[test]
fn an_entry_is_applied_once() {
    let mut cluster = cluster();
    let before = cluster.state.clone();
    let reply = cluster.state.apply(index(18), &transfer(0, EPOCH[0], B));
    assert_eq!(reply, refused(Reason::AlreadyApplied));
    assert_eq!(cluster.state, before);
}

/// Guards against a removed node that counts as unknown: its lease renewals
/// would be acknowledged again.
#[test]
fn a_removed_node_stays_fenced() {
    let mut cluster = cluster();
    cluster.give([2], A, &[]);
    assert_eq!(cluster.apply(&Command::Remove { node: FENCED }), ACCEPTED);
    assert!(cluster.state.node(FENCED).is_none());
    assert!(cluster.state.is_fenced(FENCED));
    assert!(!cluster.state.is_fenced(A));
    assert!(!cluster.state.is_fenced(NOBODY), "it may join later");
}

#[test]
fn a_node_has_the_record_that_it_announced() {
    let cluster = cluster();
    let node = cluster.state.node(A).unwrap();
    assert_eq!(node.status(), Status::Ready);
    assert_eq!(node.data_centre().as_str(), "Caerdydd");
    assert_eq!(node.target().map(|Target { slots, .. }| *slots), Some(12));
    assert_eq!((node.caller(), node.shard_count()), (address(), 2));
}

#[rstest]
#[case::empty(&[], Kind::Malformed)]
#[case::newer(&[2, 0, 0], Kind::Format)]
#[case::torn(&[1, 4], Kind::Malformed)]
fn bytes_that_are_no_snapshot_are_refused(#[case] bytes: &[u8], #[case] kind: Kind) {
    assert_eq!(State::decode(bytes).unwrap_err().kind(), kind);
}

#[test]
fn a_damaged_snapshot_is_refused_or_consistent() {
    let bytes = cluster().state.encode();
    for at in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[at] ^= 0x15;
        // Neither decoding nor the next command may panic.
        if let Ok(mut state) = State::decode(&damaged) {
            let next = state.index().next();
            state.apply(next, &Command::Fence { node: A });
        }
        assert!(State::decode(&bytes[..at]).is_err());
    }
}

/// Guards against replicas that apply the same log with different settings of
/// their own and so reach different states.
#[test]
fn settings_come_from_the_log_and_only_once() {
    let config = |shards| Config { shards, holders: 1 };
    let configure = |shards| Command::Configure {
        config: config(shards),
    };
    let mut cluster = Cluster::new(8);

    assert_eq!(cluster.apply(&configure(16)), ACCEPTED);
    assert_eq!(cluster.apply(&configure(16)), ACCEPTED);
    assert_eq!(cluster.apply(&configure(32)), refused(Reason::Invalid));

    cluster.ready(POOL, "Bangor");
    assert_eq!(cluster.state.config(), config(16));
    assert_eq!(cluster.state.shards(POOL).count(), 16);
}
