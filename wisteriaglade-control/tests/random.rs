//! Random sequences of commands, with the invariants of ownership checked after
//! each command.

mod fixture;

use fixture::{Cluster, POOL, assign, assignment, join, release, target, transfer};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use wisteriaglade_control::{Command, Grant, Process, Reply, State};
use wisteriaglade_types::{Epoch, Hash, Node, Shard};

const SHARDS: u32 = 8;

fn random_command(random: &mut SmallRng, state: &State) -> Command {
    // Most commands name existing nodes, shards and epochs; some do not.
    let ids: Vec<Node> = state.nodes().map(Process::node).collect();
    let node = |random: &mut SmallRng| match ids.len() {
        count if count > 0 && random.random_bool(0.95) => ids[random.random_range(0..count)],
        _ => Node::new(random.random_range(0..400)),
    };
    let grants: Vec<Grant> = state.shards(POOL).collect();
    let grant = grants.get(random.random_range(0..=grants.len()));
    let shard = grant.map_or(SHARDS + 3, |grant| grant.shard.get());
    let epoch = match grant {
        Some(grant) if random.random_bool(0.9) => grant.epoch.get(),
        _ => random.random_range(0..300),
    };
    let owner = grant.and_then(|grant| grant.owner);
    let owner = owner.unwrap_or_else(|| node(random));
    let (pool, hash) = (POOL.into(), Hash::new(random.random_range(0..40)));
    let (one, two) = (node(random), node(random));
    match random.random_range(0..100) {
        0..8 => join(random.random_range(0..60), "Bangor"),
        8..20 => Command::Announce {
            node: one,
            pool,
            target: target(random.random_range(0..20)),
        },
        20..23 => Command::Drain { node: one },
        23..26 => Command::Leave { node: one },
        26..32 => Command::Fence { node: one },
        32..37 => Command::Remove { node: one },
        37..57 => assign(vec![
            assignment(shard, epoch, one, &[two, owner]),
            assignment(0, epoch, two, &[]),
        ]),
        57..69 => transfer(shard, epoch, one),
        69..81 => release(owner, shard, epoch),
        81..87 => Command::SetHolders {
            node: owner,
            pool,
            shard: Shard::new(shard),
            epoch: Epoch::new(epoch),
            base: state.holders(POOL, Shard::new(shard)).to_vec(),
            holders: vec![one, two],
        },
        87..92 => Command::Dedicate { pool, hash },
        92..97 => Command::Merge { pool, hash },
        _ => Command::ChangeRules {
            id: random.random_range(0..20),
            base: state.rules().0,
            operator: "mair".into(),
            text: "".into(),
            longest_deadlines: Vec::new(),
        },
    }
}

fn check_grants(before: &State, command: &Command, after: &State) {
    let Some(pool) = before.pool(POOL) else {
        return;
    };
    let dedicated = (0..SHARDS + 40).map(Shard::new);
    for (old, new) in dedicated.filter_map(|shard| {
        let new = after.pool(POOL)?.grant(shard)?;
        Some((pool.grant(shard), new))
    }) {
        if let Some(owner) = new.owner {
            assert!(
                after.node(owner).is_some(),
                "owned by a removed node: {new:?}"
            );
        }
        let Some(old) = old else { continue };
        assert!(new.epoch >= old.epoch, "epoch decreased: {old:?} {new:?}");
        if new.owner == old.owner {
            continue;
        }
        assert_eq!(
            new.epoch.get(),
            after.index().get(),
            "owner without a new epoch"
        );
        let Some(owner) = old.owner else { continue };
        let agreed = matches!(command, Command::Release { node, .. } if *node == owner);
        assert!(
            agreed || before.is_fenced(owner),
            "two owners: {command:?} {old:?} {new:?}"
        );
    }
}

/// Checks that each key keeps its owner through `Dedicate` and `Merge`, which
/// change its shard.
fn check_keys(before: &State, command: &Command, after: &State) {
    for hash in (0..40).map(Hash::new) {
        let (Some(old), Some(new)) = (before.locate(POOL, hash), after.locate(POOL, hash)) else {
            continue;
        };
        assert!(
            new.epoch >= old.epoch,
            "epoch of a key decreased: {command:?}"
        );
        if old.shard != new.shard {
            assert_eq!(old.owner, new.owner, "{command:?} moved a key");
        }
    }
}

#[test]
fn random_commands_keep_ownership_exclusive_and_replicas_equal() {
    let mut effects = 0;
    for seed in 0..300 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut cluster = Cluster::new(SHARDS);
        let mut replica = cluster.state.clone();
        for step in 0..300 {
            let before = cluster.state.clone();
            let command = random_command(&mut random, &before);
            let reply = cluster.apply(&command);

            assert_eq!(reply, replica.apply(replica.index().next(), &command));
            assert_eq!(cluster.state, replica, "seed {seed}: replicas differ");
            check_grants(&before, &command, &cluster.state);
            check_keys(&before, &command, &cluster.state);
            if step % 50 == 49 {
                replica = State::decode(&cluster.state.encode()).unwrap();
                assert_eq!(cluster.state, replica, "seed {seed}: snapshot differs");
            }
            effects += usize::from(!matches!(reply, Reply::Refused(_)));
        }
    }
    // A generator whose commands are all refused would test nothing.
    assert!(
        effects > 300 * 300 / 4,
        "only {effects} commands took effect"
    );
}
