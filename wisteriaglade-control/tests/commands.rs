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
const UNKNOWN: Node = Node::new(99);
/// The epochs of the shards 0 to 3 in [`cluster`]; shard 3 has no owner.
const EPOCHS: [u64; 4] = [14, 14, 15, 0];

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
    assert_eq!(cluster.apply(&transfer(1, EPOCHS[1], B)), Reply::Accepted);
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
#[case::a_target_has_no_slots(announce(JOINED, POOL, 0), refused(Reason::Invalid))]
#[case::an_announcement_undoes_a_drain(announce(DRAINING, POOL, 1), refused(Reason::Draining))]
#[case::a_fenced_node_announces(announce(FENCED, POOL, 1), refused(Reason::Fenced))]
#[case::an_unknown_node_announces(announce(UNKNOWN, POOL, 1), refused(Reason::UnknownNode))]
#[case::a_fenced_node_drains(Command::Drain { node: FENCED }, refused(Reason::Fenced))]
#[case::an_owner_leaves(Command::Leave { node: A }, refused(Reason::HasShards))]
#[case::a_node_without_shards_cannot_leave(Command::Leave { node: C }, ACCEPTED)]
#[case::a_retried_fence_fails(Command::Fence { node: FENCED }, ACCEPTED)]
#[case::an_unknown_node_is_fenced(Command::Fence { node: UNKNOWN }, refused(Reason::UnknownNode))]
#[case::a_live_node_is_removed(Command::Remove { node: C }, refused(Reason::NotFenced))]
#[case::a_node_with_shards_is_removed(Command::Remove { node: FENCED }, refused(Reason::HasShards))]
#[case::an_owner_is_replaced(assign(vec![assignment(0, EPOCHS[0], B, &[])]), refused(Reason::Owned))]
#[case::a_fenced_owner_keeps_its_shard(assign(vec![assignment(2, EPOCHS[2], B, &[])]), ACCEPTED)]
#[case::a_stale_proposal_wins(assign(vec![assignment(2, 3, B, &[])]), refused(Reason::StaleEpoch))]
#[case::one_stale_assignment_blocks_the_others(
    assign(vec![assignment(2, 3, B, &[]), assignment(3, 0, B, &[A])]), ACCEPTED)]
#[case::a_draining_node_receives_a_shard(assign(vec![assignment(3, 0, DRAINING, &[])]), refused(Reason::NotReady))]
#[case::a_node_of_another_pool_receives_a_shard(assign(vec![assignment(3, 0, OTHER, &[])]), refused(Reason::NotReady))]
#[case::a_node_without_target_receives_a_shard(assign(vec![assignment(3, 0, JOINED, &[])]), refused(Reason::NotReady))]
#[case::a_shard_out_of_range(assign(vec![assignment(4, 0, B, &[])]), refused(Reason::UnknownShard))]
#[case::a_fenced_first_holder(assign(vec![assignment(3, 0, B, &[FENCED])]), refused(Reason::InvalidHolders))]
#[case::a_transfer_to_the_owner(transfer(0, EPOCHS[0], A), refused(Reason::Owned))]
#[case::a_late_transfer_of_an_earlier_grant(transfer(0, 3, B), refused(Reason::StaleEpoch))]
#[case::a_second_transfer_while_one_is_pending(transfer(1, EPOCHS[1], C), refused(Reason::Moving))]
#[case::a_fenced_owner_is_asked_for_a_transfer(transfer(2, EPOCHS[2], B), refused(Reason::NoOwner))]
#[case::a_shard_without_owner_is_transferred(transfer(3, EPOCHS[3], B), refused(Reason::NoOwner))]
#[case::a_transfer_to_a_draining_node(transfer(0, EPOCHS[0], DRAINING), refused(Reason::NotReady))]
#[case::a_transfer_cannot_complete(release(A, 1, EPOCHS[1]), ACCEPTED)]
#[case::another_node_releases(release(B, 1, EPOCHS[1]), refused(Reason::NotOwner))]
#[case::a_late_release_of_an_earlier_grant(release(A, 1, 2), refused(Reason::StaleEpoch))]
#[case::a_shard_is_released_without_a_transfer(release(A, 0, EPOCHS[0]), refused(Reason::NotMoving))]
#[case::the_owner_cannot_replace_a_holder(set_holders(A, EPOCHS[0], &[B, C], &[A, B, C]), ACCEPTED)]
#[case::an_old_owner_replaces_a_holder(set_holders(A, 3, &[B, C], &[A, B, C]), refused(Reason::StaleEpoch))]
#[case::another_node_replaces_a_holder(set_holders(B, EPOCHS[0], &[B, C], &[A, B, C]), refused(Reason::NotOwner))]
#[case::a_fenced_holder(set_holders(A, EPOCHS[0], &[B, C], &[A, FENCED]), refused(Reason::InvalidHolders))]
#[case::a_repeated_holder(set_holders(A, EPOCHS[0], &[B, C], &[B, B]), refused(Reason::InvalidHolders))]
#[case::no_holder(set_holders(A, EPOCHS[0], &[B, C], &[]), refused(Reason::InvalidHolders))]
#[case::a_late_copy_brings_back_old_holders(set_holders(A, EPOCHS[0], &[B], &[A]), refused(Reason::InvalidHolders))]
#[case::four_holders(set_holders(A, EPOCHS[0], &[B, C], &[A, B, C, JOINED]), refused(Reason::InvalidHolders))]
#[case::a_hot_key_gets_no_dedicated_shard(dedicate(0), ACCEPTED)]
#[case::a_key_of_a_moving_shard_gets_a_dedicated_shard(dedicate(1), refused(Reason::Moving))]
#[case::a_key_of_a_fenced_owner_gets_a_dedicated_shard(dedicate(2), refused(Reason::NoOwner))]
#[case::a_key_without_dedicated_shard_merges(merge(0), refused(Reason::NotDedicated))]
fn a_command_is_accepted_or_refused(#[case] command: Command, #[case] expected: Reply) {
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
    cluster.apply(&release(A, 1, EPOCHS[1]));
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
fn a_transfer_is_cancelled_when_its_destination_is_lost(#[case] command: Command) {
    let mut cluster = cluster();
    assert_eq!(cluster.apply(&command), Reply::Accepted);
    assert_eq!(cluster.state.locate(POOL, key(1)).unwrap().moving_to, None);
    assert_eq!(
        cluster.apply(&release(A, 1, EPOCHS[1])),
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
    cluster.apply(&set_holders(A, EPOCHS[0], &[B, C], &[C]));
    assert_eq!(cluster.apply(&merge(0)), refused(Reason::InvalidHolders));
    cluster.apply(&set_holders(A, EPOCHS[0], &[C], &[C, B]));
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

fn change_rules(id: u128, base: u64, operator: &str) -> Command {
    Command::ChangeRules {
        id,
        base: Version::new(base),
        operator: operator.into(),
        text: operator.into(),
        longest_deadlines: vec![(POOL.into(), Duration::from_secs(id.try_into().unwrap()))],
    }
}

#[test]
fn a_change_of_rules_applies_once_and_a_conflict_names_the_winner() {
    let mut cluster = cluster();
    let lost = Reply::Conflict {
        version: Version::new(1),
        id: 7,
        operator: "mair".into(),
    };
    let first = Reply::Version(Version::new(1));
    assert_eq!(cluster.apply(&change_rules(7, 0, "mair")), first);
    // Two operators have based their changes on the same version.
    assert_eq!(cluster.apply(&change_rules(3, 0, "rui")), lost);
    assert_eq!(
        cluster.apply(&change_rules(4, 1, "rui")),
        Reply::Version(Version::new(2))
    );
    // Retries after a lost response, with other changes in between, get the
    // first reply.
    assert_eq!(cluster.apply(&change_rules(7, 0, "mair")), first);
    assert_eq!(cluster.apply(&change_rules(3, 0, "rui")), lost);

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
        cluster.apply(&change_rules(u128::from(version) + 1, version, "mair"));
    }
    assert_eq!(cluster.state.history().count(), 1_000);
    assert_eq!(cluster.state.outcome(10), None);
    assert!(cluster.state.outcome(11).is_some());
}

#[test]
fn an_entry_is_applied_once() {
    let mut cluster = cluster();
    let before = cluster.state.clone();
    let reply = cluster.state.apply(index(18), &transfer(0, EPOCHS[0], B));
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
    assert!(!cluster.state.is_fenced(UNKNOWN), "it may join later");
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
#[case::truncated(&[1, 4], Kind::Malformed)]
fn bytes_that_are_not_a_snapshot_are_refused(#[case] bytes: &[u8], #[case] kind: Kind) {
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
