//! The cost of renewing a lease without the socket: of one answer at a replica
//! by the number of nodes, and of a whole round at a node by the number of
//! replicas.

use std::{hint::black_box, net::SocketAddr, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use wisteriaglade_control::{Command, Config, State};
use wisteriaglade_node::sample::{Renewer, Replica};
use wisteriaglade_types::Node;
use wisteriaglade_wire::Key;

fn key() -> Key {
    Key::new("a cluster key of at least sixteen bytes").expect("a long key")
}

fn joined(nodes: u32) -> State {
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
    let mut state = State::new(Config::default());
    for number in 0..nodes {
        let join = Command::Join {
            nonce: number.into(),
            host: format!("host-{number}").into(),
            data_centre: "centre".into(),
            caller: address,
            peer: address,
            admin: address,
        };
        state.apply(state.index().next(), &join);
    }
    state
}

fn answers(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("renewal/answer of a replica");
    for nodes in [64, 512, 3_600] {
        let replica = Replica::new(key(), joined(nodes));
        let ids = 1..=u64::from(nodes);
        let renewals = ids.map(|id| Renewer::new(key(), Node::new(id), 1).renew());
        let renewals: Vec<_> = renewals.collect();
        assert!(replica.answer(&renewals[0]).is_some());
        let mut at = 0;
        group.bench_function(BenchmarkId::from_parameter(nodes), |bencher| {
            bencher.iter(|| {
                // A step that has no common factor with the sizes visits all
                // nodes.
                at = (at + 1_009) % renewals.len();
                black_box(replica.answer(&renewals[at]))
            });
        });
    }
    group.finish();
}

fn rounds(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("renewal/round of a node");
    let state = joined(64);
    for replicas in [1, 3, 5, 7] {
        let replica = Replica::new(key(), state.clone());
        let mut lease = Renewer::new(key(), Node::new(7), replicas);
        let mut probe = Renewer::new(key(), Node::new(7), replicas);
        let answer = replica.answer(&probe.renew()).expect("a known node");
        for id in 0..replicas as u64 {
            probe.acknowledge(&answer, id);
        }
        assert!(probe.held());
        group.bench_function(BenchmarkId::from_parameter(replicas), |bencher| {
            bencher.iter(|| {
                black_box(lease.renew());
                for id in 0..replicas as u64 {
                    lease.acknowledge(black_box(&answer), id);
                }
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = answers, rounds
}
criterion_main!(benches);
