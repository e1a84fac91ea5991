//! The reservation of loopback addresses for the clusters of the tests.

#[path = "../examples/support/addresses.rs"]
mod addresses;
#[path = "../examples/support/client.rs"]
#[allow(dead_code, reason = "only its error is used")]
mod client;

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, TcpListener},
    thread,
};

use addresses::Block;

/// Blocks outside the range that [`Block::reserve`] draws from, so that the cases
/// do not meet other clusters. `first` differs between cases.
fn candidates(first: u8) -> [[u8; 2]; 2] {
    // The process id keeps runs of this file at the same time apart.
    let third = u8::try_from(std::process::id() % 256).unwrap();
    [[first, third], [first + 1, third]]
}

/// Guards against two clusters, in threads that start at once, that get the same
/// addresses: with 400 draws from some ten thousand blocks some are drawn twice.
#[test]
fn blocks_that_are_reserved_at_once_differ() {
    let reserve = || (0..50).map(|_| Block::reserve().unwrap().address(1));
    let threads: Vec<_> = (0..8)
        .map(|_| thread::spawn(move || reserve().collect::<Vec<_>>()))
        .collect();
    let blocks: Vec<Ipv4Addr> = threads
        .into_iter()
        .flat_map(|thread| thread.join().unwrap())
        .collect();
    let distinct: BTreeSet<_> = blocks.iter().collect();
    assert_eq!(distinct.len(), 400);
}

/// Guards against a cluster that gets the addresses of one whose value was
/// dropped while its hosts still listen.
#[test]
fn a_block_is_not_reserved_again_in_the_same_process() {
    let candidates = candidates(10);
    let first = Block::reserve_first(candidates).unwrap().address(1);
    let second = Block::reserve_first(candidates).unwrap().address(1);
    assert_ne!(first, second);
    assert!(Block::reserve_first(candidates).is_err());
}

/// Guards against a cluster that gets an address on which a host still listens
/// that an ended process left.
#[test]
fn a_block_where_a_host_listens_is_not_reserved() {
    let candidates = candidates(20);
    let [[second, third], _] = candidates;
    let host = Ipv4Addr::new(127, second, third, 1);
    let _left = TcpListener::bind((host, 8080)).unwrap();
    let block = Block::reserve_first(candidates).unwrap();
    assert_ne!(block.address(1), host);
}
