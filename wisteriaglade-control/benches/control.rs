//! The cost of the state machine and of the planner at increasing sizes.
//!
//! The largest size is that of the expected system: 3,600 nodes and 230,000
//! shards in 56 pools.

use std::{hint::black_box, net::SocketAddr, time::Duration};

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use wisteriaglade_control::{
    Assignment, Command, Config, State, Target,
    planner::{self, Event, Planner},
};
use wisteriaglade_types::{Epoch, Hash, Name, Node, Shard};

const SHARDS_PER_POOL: u32 = 4_096;

/// The numbers of pools and of nodes.
const SIZES: [(u32, u32); 3] = [(1, 64), (8, 512), (56, 3_600)];

fn apply(state: &mut State, command: &Command) {
    state.apply(state.index().next(), command);
}

fn pool(number: u32) -> Name {
    format!("pool-{number}").into()
}

fn announced(pools: u32, nodes: u32) -> State {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let mut state = State::new(Config {
        shards: SHARDS_PER_POOL,
        holders: 3,
    });
    for number in 0..nodes {
        apply(
            &mut state,
            &Command::Join {
                nonce: number.into(),
                host: format!("host-{number}").into(),
                data_centre: format!("centre-{}", number / pools % 8).into(),
                caller: address,
                peer: address,
                admin: address,
            },
        );
        let target = Target {
            address,
            slots: 12,
            connections: 110,
            fencing: true,
            cold_start: Duration::ZERO,
        };
        let node = Node::new(state.index().get());
        let pool = pool(number % pools);
        apply(&mut state, &Command::Announce { node, pool, target });
    }
    state
}

fn started(pools: u32, nodes: u32) -> State {
    let mut state = announced(pools, nodes);
    for number in 0..pools {
        let name = pool(number);
        let ready = state.nodes().filter(|node| node.is_ready(name.as_str()));
        let ready: Vec<Node> = ready.map(wisteriaglade_control::Process::node).collect();
        let pick = |at: u32| ready[at as usize % ready.len()];
        let assignments = (0..SHARDS_PER_POOL).map(|shard| Assignment {
            shard: Shard::new(shard),
            epoch: Epoch::new(0),
            to: pick(shard),
            holders: (1..4).map(|more| pick(shard + more)).collect(),
        });
        let assignments = assignments.collect();
        apply(
            &mut state,
            &Command::Assign {
                pool: name,
                assignments,
            },
        );
    }
    state
}

/// Creates a planner that has led for an hour and never fences a node.
fn leading(state: &State) -> (Planner, Duration) {
    let mut planner = Planner::new(planner::Config {
        suspect: Duration::MAX,
        silence: Duration::MAX,
        ..planner::Config::default()
    });
    let mut commands = Vec::new();
    planner.step(Duration::ZERO, Event::Lead, state, &mut commands);
    let now = Duration::from_hours(1);
    planner.step(now, Event::Tick, state, &mut commands);
    (planner, now)
}

fn state(criterion: &mut Criterion) {
    for (pools, nodes) in SIZES {
        let state = started(pools, nodes);
        let shards = pools * SHARDS_PER_POOL;
        let id = |name: &str| format!("{name}/{nodes} nodes, {shards} shards");
        let name = pool(pools / 2);
        let owner = state.nodes().find(|node| node.is_ready(name.as_str()));
        let owner = owner.unwrap().node();
        let to = state.nodes().filter(|node| node.is_ready(name.as_str()));
        let to = to.last().unwrap().node();
        let grant = state.shards_of(owner).next().unwrap();
        let (shard, epoch) = (grant.shard, grant.epoch);
        let transfer = Command::Transfer {
            pool: name.clone(),
            shard,
            epoch,
            to,
        };
        let release = Command::Release {
            node: owner,
            shards: vec![(shard, epoch)],
        };
        criterion.bench_function(&id("apply/move"), |bencher| {
            bencher.iter_batched_ref(
                || state.clone(),
                |state| {
                    apply(state, &transfer);
                    apply(state, &release);
                },
                BatchSize::LargeInput,
            );
        });
        criterion.bench_function(&id("apply/fence"), |bencher| {
            bencher.iter_batched_ref(
                || state.clone(),
                |state| apply(state, &Command::Fence { node: owner }),
                BatchSize::LargeInput,
            );
        });
        let mut hash = 0_u64;
        criterion.bench_function(&id("locate"), |bencher| {
            bencher.iter(|| {
                hash = hash.wrapping_add(0x9e37_79b9_7f4a_7c15);
                state.locate(name.as_str(), black_box(Hash::new(hash)))
            });
        });
        criterion.bench_function(&id("encode"), |bencher| bencher.iter(|| state.encode()));
        let bytes = state.encode();
        criterion.bench_function(&id("decode"), |bencher| {
            bencher.iter(|| State::decode(black_box(&bytes)));
        });
    }
}

fn plan(criterion: &mut Criterion) {
    for (pools, nodes) in SIZES {
        let state = started(pools, nodes);
        let shards = pools * SHARDS_PER_POOL;
        let id = |name: &str| format!("{name}/{nodes} nodes, {shards} shards");
        let mut commands = Vec::new();

        let (mut planner, now) = leading(&state);
        criterion.bench_function(&id("plan/tick"), |bencher| {
            bencher.iter(|| planner.step(now, Event::Tick, &state, &mut commands));
        });
        let (mut planner, mut now) = leading(&state);
        criterion.bench_function(&id("plan/review"), |bencher| {
            bencher.iter(|| {
                now += Duration::from_secs(1);
                planner.step(now, Event::Tick, &state, &mut commands);
            });
        });
        // Fences all nodes of one of eight data centres.
        let mut lost = state.clone();
        let centre = state
            .nodes()
            .filter(|node| node.data_centre().as_str() == "centre-3");
        for node in centre.map(wisteriaglade_control::Process::node) {
            apply(&mut lost, &Command::Fence { node });
        }
        let second = Duration::from_secs(1);
        criterion.bench_function(&id("plan/loss of a data centre"), |bencher| {
            bencher.iter_batched_ref(
                || {
                    let (mut planner, now) = leading(&state);
                    planner.step(now, Event::Tick, &lost, &mut Vec::new());
                    (planner, now + second)
                },
                |(planner, now)| {
                    let mut commands = Vec::new();
                    planner.step(*now, Event::Tick, &lost, &mut commands);
                    commands
                },
                BatchSize::LargeInput,
            );
        });
        // Assigns the shards of all pools for the first time.
        let empty = announced(pools, nodes);
        criterion.bench_function(&id("plan/start"), |bencher| {
            bencher.iter_batched_ref(
                || {
                    let mut planner = Planner::new(planner::Config::default());
                    planner.step(Duration::ZERO, Event::Lead, &empty, &mut Vec::new());
                    planner
                },
                |planner| {
                    let mut commands = Vec::new();
                    let now = Duration::from_millis(300);
                    planner.step(now, Event::Tick, &empty, &mut commands);
                    commands
                },
                BatchSize::LargeInput,
            );
        });
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = state, plan
}
criterion_main!(benches);
