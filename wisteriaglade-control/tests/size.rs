//! The memory that a state of the expected size takes.

#![cfg(target_os = "linux")]

mod fixture;

use fixture::{Cluster, POOL, assign, assignment};
use wisteriaglade_control::State;
use wisteriaglade_types::Node;

/// Returns the resident memory of this process in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = text
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    let kilobytes = line.split_whitespace().nth(1).unwrap();
    kilobytes.parse::<usize>().unwrap() * 1_024
}

/// Guards against a state that exceeds its part of the memory of a node: every
/// node has a copy within its 64 MB, so the copy must stay below 20 MB.
#[test]
fn a_state_with_3600_nodes_and_262144_shards_fits_into_20_megabytes() {
    let mut cluster = Cluster::new(1 << 18);
    let nodes: Vec<Node> = (0..3_600)
        .map(|n| cluster.ready(POOL, ["a", "b", "c"][n % 3]))
        .collect();
    for (at, node) in nodes.iter().enumerate() {
        let holders: Vec<Node> = (1..4).map(|n| nodes[(at + n) % nodes.len()]).collect();
        let shards = (0..1 << 18).skip(at).step_by(nodes.len());
        let assignments = shards.map(|shard| assignment(shard, 0, *node, &holders));
        cluster.apply(&assign(assignments.collect()));
    }
    let bytes = cluster.state.encode();
    let before = resident();

    let state = State::decode(&bytes).unwrap();

    let size = resident().saturating_sub(before);
    println!("resident: {size} bytes, snapshot: {} bytes", bytes.len());
    assert_eq!(
        state
            .shards(POOL)
            .filter(|grant| grant.owner.is_some())
            .count(),
        1 << 18
    );
    assert!(size < 20_000_000, "{size} bytes");
}
