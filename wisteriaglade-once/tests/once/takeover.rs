//! Tests that change the owner or the holders of a shard at each step of a request.
//!
//! At first host 0 owns the shard and hosts 1 to 3 are its holders. Hosts 4 and 5 take
//! over. The seed varies the order of messages.

use std::{collections::BTreeSet, time::Duration};

use rstest::rstest;
use wisteriaglade_once::{
    Key,
    holder::{self, Holder},
    owner::{self, Owner, Reason},
};
use wisteriaglade_types::{Node, Request, Shard};

use crate::{
    fixtures,
    oracle::Final,
    simulation::{Packet, SHARDS, Simulation, hash, node},
};

const SEEDS: u64 = 10;
/// The hosts of the initial holders.
const FIRST_HOLDERS: [usize; 3] = [1, 2, 3];
/// The hosts of the holders after the replacement of host 1.
const SECOND_HOLDERS: [usize; 3] = [4, 2, 3];

/// Returns a key of shard 0.
fn key() -> Key {
    let mut hashes = (0..).map(hash);
    let hash = hashes.find(|hash| hash.shard(SHARDS) == Shard::new(0));
    fixtures::key(hash.expect("some hash is even"), 7)
}

fn nodes(hosts: [usize; 3]) -> Vec<Node> {
    hosts.map(node).to_vec()
}

fn begin(simulation: &mut Simulation, host: usize) -> Request {
    simulation.begin(key(), false, Some(host), 2000)
}

/// Makes a host the owner of shard 0, with these holders in the log.
fn assign(simulation: &mut Simulation, host: usize, holders: [usize; 3]) {
    simulation.assign(Shard::new(0), host, nodes(holders));
    simulation.run(15);
}

fn outcome(simulation: &Simulation, request: Request) -> Option<&Final> {
    simulation.oracle.finals.get(&request)
}

/// Guards against a second run, and against an acknowledged response that the next owner
/// lacks, at whichever step the owner changes.
#[rstest]
fn no_request_runs_twice_when_the_owner_changes(
    #[values(0, 1, 2, 3)] lost: usize,
    #[values(0, 60)] pause: u64,
) {
    for (seed, at) in (0..SEEDS).flat_map(|seed| (0..60).map(move |at| (seed, at))) {
        let mut simulation = Simulation::quiet(seed);
        // Host 0 is not a holder, so cutting it off means that no holder is lost.
        simulation.unreachable.insert(lost);
        let first = begin(&mut simulation, 0);
        simulation.run(at);
        if pause > 0 {
            simulation.hosts[0].paused = Some(Vec::new());
            simulation.after(pause, Packet::Resume(0));
        }
        assign(&mut simulation, 5, FIRST_HOLDERS);
        let second = begin(&mut simulation, 5);
        simulation.run(3000);

        // The oracle has checked the responses.
        let (first, second) = (outcome(&simulation, first), outcome(&simulation, second));
        let context = format!("seed {seed} at {at}: {first:?}, {second:?}");
        assert!(first.is_some(), "{context}");
        match second {
            Some(Final::Refuse(_)) | None => panic!("{context}"),
            Some(Final::Unknown) => assert!(!matches!(first, Some(Final::Acknowledge(_)))),
            Some(_) => {}
        }
    }
}

/// Guards against a replacement of a lost holder that leaves a record on one holder only,
/// so that the loss of a second holder loses the record.
#[rstest]
fn records_survive_the_loss_of_a_second_holder_after_a_replacement(
    #[values(2, 3, 4)] second: usize,
    #[values(false, true)] ended: bool,
) {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::quiet(seed);
        if !ended {
            simulation.length = 60_000..60_001;
        }
        // Only hosts 1 and 2 get the record, and then host 1 is lost.
        simulation.unreachable.insert(3);
        begin(&mut simulation, 0);
        simulation.run(60);
        simulation.unreachable = BTreeSet::from([1]);
        simulation.propose(Shard::new(0), nodes(SECOND_HOLDERS));
        while simulation.table[&Shard::new(0)].holders != nodes(SECOND_HOLDERS) {
            simulation.run(1);
        }

        simulation.kill(0);
        simulation.unreachable.insert(second);
        assign(&mut simulation, 5, SECOND_HOLDERS);
        let resend = begin(&mut simulation, 5);
        simulation.run(3000);

        let outcome = outcome(&simulation, resend);
        let replayed = matches!(outcome, Some(Final::Replay(_)));
        let unknown = outcome == Some(&Final::Unknown);
        assert!(
            if ended { replayed } else { unknown },
            "seed {seed}: {outcome:?}"
        );
    }
}

/// Guards against a write during a replacement that reaches a majority of one set only:
/// the next owner may find either set in the log.
#[rstest]
fn writes_during_a_replacement_reach_both_sets(
    #[values(FIRST_HOLDERS, SECOND_HOLDERS)] log: [usize; 3],
    #[values(1, 2, 3, 4)] lost: usize,
) {
    let mut acknowledged = 0;
    for unreachable in 0..16 {
        let mut simulation = Simulation::quiet(unreachable);
        simulation.propose(Shard::new(0), nodes(SECOND_HOLDERS));
        // Drops the owner's proposal of the new set before it reaches the log.
        while !simulation
            .queue
            .values()
            .any(|packet| matches!(packet, Packet::Propose(..)))
        {
            simulation.run(1);
        }
        simulation
            .queue
            .retain(|_, packet| !matches!(packet, Packet::Propose(..)));
        simulation.unreachable = (1..5)
            .filter(|host| unreachable >> (host - 1) & 1 == 1)
            .collect();
        let first = begin(&mut simulation, 0);
        simulation.run(300);

        simulation.kill(0);
        simulation.unreachable = BTreeSet::from([lost]);
        assign(&mut simulation, 5, log);
        let resend = begin(&mut simulation, 5);
        simulation.run(3000);

        if let Some(Final::Acknowledge(_)) = outcome(&simulation, first) {
            acknowledged += 1;
            let outcome = outcome(&simulation, resend);
            let replayed = matches!(outcome, Some(Final::Replay(_)));
            assert!(replayed, "without {unreachable:04b}: {outcome:?}");
        }
    }
    // Majorities of both sets: both common hosts with any of the others (4 cases), or one
    // common host with both others (2 cases).
    assert_eq!(acknowledged, 4 + 2);
}

/// Guards against an owner that answers from a record which only one holder has, so that
/// the next owner does not find it.
#[test]
fn records_read_by_a_new_owner_survive_the_next_change() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::quiet(seed);
        simulation.unreachable = BTreeSet::from([2, 3]);
        begin(&mut simulation, 0);
        while simulation.hosts[1].holder.is_empty() {
            simulation.run(1);
        }
        simulation.kill(0);

        // The second owner reads the start from one holder and answers `Unknown`.
        simulation.unreachable = BTreeSet::from([3]);
        assign(&mut simulation, 5, FIRST_HOLDERS);
        let second = begin(&mut simulation, 5);
        while outcome(&simulation, second).is_none() {
            simulation.run(1);
        }
        simulation.kill(5);

        // The third owner cannot reach that holder.
        simulation.unreachable = BTreeSet::from([1]);
        assign(&mut simulation, 4, FIRST_HOLDERS);
        let third = begin(&mut simulation, 4);
        simulation.run(3000);

        for request in [second, third] {
            assert_eq!(
                outcome(&simulation, request),
                Some(&Final::Unknown),
                "seed {seed}"
            );
        }
    }
}

/// Guards against an owner that regains its shard while it withdraws a start, and takes its
/// own withdrawal for the current record although another owner ran the key meanwhile.
#[test]
fn a_run_by_another_owner_supersedes_a_withdrawal() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::quiet(seed);
        simulation.length = 60_000..60_001;
        // The paused owner handles the request only after it has regained the shard.
        simulation.hosts[0].paused = Some(Vec::new());
        begin(&mut simulation, 0);
        assign(&mut simulation, 5, FIRST_HOLDERS);
        begin(&mut simulation, 5);
        simulation.run(60);
        assert!(simulation.oracle.has_run(&key()), "seed {seed}");
        simulation.kill(5);
        assign(&mut simulation, 0, FIRST_HOLDERS);
        simulation.after(0, Packet::Resume(0));
        simulation.run(2000);

        let third = begin(&mut simulation, 0);
        simulation.run(3000);

        assert_eq!(
            outcome(&simulation, third),
            Some(&Final::Unknown),
            "seed {seed}"
        );
    }
}

/// Guards against a wrong reason, and against a refusal that waits for the deadline although
/// it is certain earlier.
#[rstest]
#[case::not_owner(5, &[], 24_000_000, Reason::NotOwner)]
#[case::unavailable(0, &[1, 2], 24_000_000, Reason::Unavailable)]
#[case::full(0, &[], 10_000, Reason::Full)]
fn refusals_give_their_reason(
    #[case] host: usize,
    #[case] unreachable: &[usize],
    #[case] memory: usize,
    #[case] reason: Reason,
) {
    let mut simulation = Simulation::quiet(0);
    for host in &mut simulation.hosts {
        let retention = holder::Config::default();
        host.holder = Holder::new(holder::Config {
            memory,
            ..retention
        });
    }
    simulation.unreachable.extend(unreachable);

    let request = begin(&mut simulation, host);
    simulation.run(500);

    assert_eq!(outcome(&simulation, request), Some(&Final::Refuse(reason)));
}

/// Guards against new holders without room for the records, and against the return of an
/// earlier set: a delayed duplicate of an old proposal would become valid again and install
/// holders that lack later records.
#[test]
fn holders_are_replaced_only_by_sets_that_can_take_over() {
    let mut simulation = Simulation::quiet(0);
    begin(&mut simulation, 0);
    simulation.run(100);
    let memory = 100;
    let config = holder::Config::default();
    simulation.hosts[4].holder = Holder::new(holder::Config { memory, ..config });

    let third = [5, 2, 3];
    for (proposed, taken) in [
        (SECOND_HOLDERS, FIRST_HOLDERS),
        (third, third),
        (FIRST_HOLDERS, third),
    ] {
        simulation.propose(Shard::new(0), nodes(proposed));
        simulation.run(2000);
        assert_eq!(simulation.table[&Shard::new(0)].holders, nodes(taken));
    }
}

/// Guards against a second run when the owner's copy of an outcome expires before those of
/// the holders.
#[test]
fn an_outcome_that_only_holders_have_is_replayed() {
    let mut simulation = Simulation::quiet(0);
    let retention = Duration::from_secs(1);
    let config = owner::Config::default();
    simulation.hosts[5].owner = Owner::new(owner::Config {
        retention,
        ..config
    });
    assign(&mut simulation, 5, FIRST_HOLDERS);
    begin(&mut simulation, 5);
    simulation.run(1500);

    let resend = begin(&mut simulation, 5);
    simulation.run(1000);

    let outcome = outcome(&simulation, resend);
    assert!(matches!(outcome, Some(Final::Replay(_))), "{outcome:?}");
}

/// Guards against a shard of a new pool, which has no holders at first, that never becomes
/// ready or runs a request without a record.
#[test]
fn a_shard_without_holders_waits_for_its_first_ones() {
    let mut simulation = Simulation::quiet(0);
    simulation.assign(Shard::new(0), 5, Vec::new());
    simulation.run(15);
    let request = begin(&mut simulation, 5);
    simulation.run(500);
    assert!(!simulation.oracle.has_run(&key()));

    simulation.propose(Shard::new(0), nodes(FIRST_HOLDERS));
    simulation.run(200);

    assert_eq!(
        simulation.table[&Shard::new(0)].holders,
        nodes(FIRST_HOLDERS)
    );
    let outcome = outcome(&simulation, request);
    assert!(
        matches!(outcome, Some(Final::Acknowledge(_))),
        "{outcome:?}"
    );
}

/// Guards against a record without room that delays an outcome with reserved room.
#[test]
fn a_record_without_room_does_not_delay_others() {
    let mut simulation = Simulation::quiet(0);
    let memory = 22_000;
    let config = holder::Config::default();
    simulation.hosts[3].holder = Holder::new(holder::Config { memory, ..config });
    let [early, late] = [1, 2].map(|id| fixtures::key(key().hash, id));

    // The start of the `late` key takes the room of host 3. Its outcome does not arrive, and
    // neither does the start of the `early` key, which precedes it in a copy.
    simulation.length = 100..101;
    simulation.begin(late, false, Some(0), 2000);
    simulation.run(50);
    simulation.unreachable.insert(3);
    simulation.length = 60_000..60_001;
    simulation.begin(early, false, Some(0), 2000);
    simulation.run(200);
    assert_eq!(simulation.hosts[3].holder.len(), 1);

    simulation.unreachable.clear();
    simulation.run(3000);

    assert_eq!(simulation.hosts[3].holder.len(), 2);
}
