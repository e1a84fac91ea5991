//! Measures the time of a request that runs at most once, of a write to a holder and of
//! a change of owner, each by the number of stored records, and the memory of a record.

use std::{fs, hint::black_box, time::Duration};

use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group};
use wisteriaglade_once::{
    Answer, Fingerprint, Key, Keyspace, Record, State,
    holder::{self, Holder, Message, Reply},
    owner::{self, Effect, Event, Owner},
};
use wisteriaglade_types::{Epoch, Hash, Node, Request, Shard};

const NOW: Duration = Duration::from_secs(1);
const SHARD: Shard = Shard::new(0);
const SHARDS: u32 = 256;
/// The size of the recorded bodies in bytes, as for a JSON receipt.
const BODY_BYTES: usize = 300;

fn key(number: u64) -> Key {
    Key {
        pool: "ledger".into(),
        // Clears the low bits, because multiples of the number of shards belong to shard 0.
        hash: Hash::new(number.wrapping_mul(0x9e37_79b9_7f4a_7c15) & !u64::from(SHARDS - 1)),
        id: format!("4f1c7d0e-{number:016x}").into(),
    }
}

fn answer() -> Answer {
    Answer {
        status: 201,
        headers: vec![("content-type".into(), b"application/json".as_slice().into())],
        body: Some(vec![b'x'; BODY_BYTES].into()),
    }
}

fn keyspace() -> Keyspace {
    let (shards, excluded) = (SHARDS, Vec::new());
    Keyspace::Partition { shards, excluded }
}

/// Returns a message that stores one completed record.
fn copy(number: u64) -> Message {
    let record = Record {
        key: key(number),
        epoch: Epoch::new(1),
        attempt: number,
        fingerprint: Fingerprint::new(number),
        request: Request::new(u128::from(number)),
        state: State::Completed(answer()),
        age: Duration::ZERO,
    };
    Message::Copy {
        pool: "ledger".into(),
        shard: SHARD,
        epoch: Epoch::new(1),
        records: vec![record],
    }
}

/// Returns a holder with completed records of shard 0.
fn filled(records: u64) -> Holder {
    let memory = 4_000_000_000;
    let mut holder = Holder::new(holder::Config {
        memory,
        ..holder::Config::default()
    });
    for number in 0..records {
        assert_eq!(holder.handle(NOW, copy(number)), Reply::Done);
    }
    holder
}

/// An owner and its three holders. Calls are delivered immediately.
struct Cluster {
    owner: Owner,
    holders: Vec<Holder>,
    events: Vec<Event>,
    effects: Vec<Effect>,
}

impl Cluster {
    fn new(holders: Vec<Holder>) -> Self {
        let mut cluster = Self {
            owner: Owner::new(owner::Config::default()),
            holders,
            events: Vec::new(),
            effects: Vec::new(),
        };
        cluster.step(Event::Grant {
            pool: "ledger".into(),
            shard: SHARD,
            epoch: Epoch::new(2),
            keyspace: keyspace(),
            holders: (0..3).map(Node::new).collect(),
        });
        cluster
    }

    /// Handles an event and the replies that follow from it. Returns the last effect that
    /// isn't a call.
    fn step(&mut self, event: Event) -> Option<Effect> {
        let mut last = None;
        self.events.push(event);
        while let Some(event) = self.events.pop() {
            self.owner.step(NOW, event, &mut self.effects);
            for effect in self.effects.drain(..) {
                if let Effect::Call { to, call, message } = effect {
                    let index = usize::try_from(to.get()).expect("a small number");
                    let reply = self.holders[index].handle(NOW, message);
                    let from = to;
                    self.events.push(Event::Reply { from, call, reply });
                } else {
                    last = Some(effect);
                }
            }
        }
        last
    }

    /// Runs one request from its arrival to its acknowledgement.
    fn run_request(&mut self, number: u64) {
        let request = Request::new(u128::from(number));
        let ran = self.step(Event::Begin {
            shard: SHARD,
            key: key(number),
            fingerprint: Fingerprint::new(number),
            request,
            deadline: NOW + Duration::from_secs(2),
        });
        assert_eq!(ran, Some(Effect::Run { request }));
        let answer = Some(answer());
        let ended = self.step(Event::Finish { request, answer });
        assert!(matches!(ended, Some(Effect::Acknowledge { .. })));
    }
}

/// Measures a request from its arrival to its acknowledgement, by the number of records
/// that each holder has.
fn requests(c: &mut Criterion) {
    let mut group = c.benchmark_group("round");
    for records in [0, 10_000, 100_000] {
        let mut cluster = Cluster::new((0..3).map(|_| filled(records)).collect());
        let mut number = records;
        group.bench_function(BenchmarkId::from_parameter(records), |b| {
            b.iter(|| {
                number += 1;
                cluster.run_request(number);
            });
        });
    }
    group.finish();
}

/// Measures the write of one record, by the number of records that the holder has.
fn writes(c: &mut Criterion) {
    let mut group = c.benchmark_group("holder write");
    for records in [0, 10_000, 100_000] {
        let mut holder = filled(records);
        let mut number = records;
        group.bench_function(BenchmarkId::from_parameter(records), |b| {
            b.iter(|| {
                number += 1;
                black_box(holder.handle(NOW, copy(number)))
            });
        });
    }
    group.finish();
}

/// Measures the read of all records from one holder and the takeover of a shard, by the
/// number of records.
fn fences(c: &mut Criterion) {
    let mut group = c.benchmark_group("fence");
    for records in [100, 1000, 10_000] {
        group.throughput(Throughput::Elements(records));
        let mut holder = filled(records);
        let mut fence = || {
            let mut cursor = None;
            loop {
                let message = Message::Fence {
                    pool: "ledger".into(),
                    shard: SHARD,
                    epoch: Epoch::new(2),
                    keyspace: keyspace(),
                    cursor,
                };
                let Reply::Records { records, next } = black_box(holder.handle(NOW, message))
                else {
                    panic!("the fence was refused");
                };
                if next.is_none() {
                    return records;
                }
                cursor = next;
            }
        };
        group.bench_function(BenchmarkId::new("read", records), |b| b.iter(&mut fence));
        group.bench_function(BenchmarkId::new("take over", records), |b| {
            let holders = || (0..3).map(|_| filled(records)).collect::<Vec<_>>();
            b.iter_batched(holders, Cluster::new, BatchSize::PerIteration);
        });
    }
    group.finish();
}

/// Prints the memory that a holder counts for a record next to the growth of the process.
fn memory() {
    const RECORDS: u64 = 200_000;
    let before = resident();
    let holder = filled(RECORDS);
    let counted = holder.memory_used() as u64 / RECORDS;
    let taken = (resident() - before) / RECORDS;
    println!(
        "memory of a record with {BODY_BYTES} B of body: counted {counted} B, resident {taken} B"
    );
}

/// The resident memory of this process, in bytes.
fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("a Linux host");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: u64 = number
        .and_then(|text| text.parse().ok())
        .expect("a number of kB");
    kilobytes * 1024
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = requests, writes, fences
}

fn main() {
    memory();
    benches();
    Criterion::default().configure_from_args().final_summary();
}
