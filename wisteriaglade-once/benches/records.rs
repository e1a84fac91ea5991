//! The cost of a request that runs at most once, of a change of owner over growing
//! numbers of records, and of a record in memory.

use std::{fs, hint::black_box, time::Duration};

use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group};
use wisteriaglade_once::{
    Answer, Cover, Fingerprint, Key, Record, State,
    holder::{self, Holder, Message, Reply},
    owner::{self, Effect, Event, Owner},
};
use wisteriaglade_types::{Epoch, Hash, Node, Request, Shard};

const NOW: Duration = Duration::from_secs(1);
const SHARD: Shard = Shard::new(0);
const SHARDS: u32 = 256;
/// A typical answer: a receipt as JSON.
const BODY: usize = 300;

fn key(number: u64) -> Key {
    Key {
        pool: "ledger".into(),
        // Multiples of the number of shards belong to shard 0.
        hash: Hash::new(number.wrapping_mul(0x9e37_79b9_7f4a_7c15) & !u64::from(SHARDS - 1)),
        id: format!("4f1c7d0e-{number:016x}").into(),
    }
}

fn answer() -> Answer {
    Answer {
        status: 201,
        headers: vec![("content-type".into(), b"application/json".as_slice().into())],
        body: Some(vec![b'x'; BODY].into()),
    }
}

fn cover() -> Cover {
    let (shards, except) = (SHARDS, Vec::new());
    Cover::Part { shards, except }
}

/// A message that stores one ended record.
fn copy(number: u64) -> Message {
    let record = Record {
        key: key(number),
        epoch: Epoch::new(1),
        attempt: number,
        fingerprint: Fingerprint::new(number),
        request: Request::new(u128::from(number)),
        state: State::Ended(answer()),
        written: Duration::ZERO,
    };
    Message::Copy {
        pool: "ledger".into(),
        shard: SHARD,
        epoch: Epoch::new(1),
        records: vec![record],
    }
}

/// A holder with ended records of shard 0.
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

/// An owner and its three holders, with calls delivered at once.
struct Process {
    owner: Owner,
    holders: Vec<Holder>,
    events: Vec<Event>,
    effects: Vec<Effect>,
}

impl Process {
    fn new(holders: Vec<Holder>) -> Self {
        let mut process = Self {
            owner: Owner::new(owner::Config::default()),
            holders,
            events: Vec::new(),
            effects: Vec::new(),
        };
        process.step(Event::Own {
            pool: "ledger".into(),
            shard: SHARD,
            epoch: Epoch::new(2),
            cover: cover(),
            holders: (0..3).map(Node::new).collect(),
        });
        process
    }

    /// Handles an event and all that follow from it. Returns the last other effect.
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

    /// One request from its arrival to its acknowledgement.
    fn round(&mut self, number: u64) {
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

fn rounds(c: &mut Criterion) {
    let mut group = c.benchmark_group("round");
    for records in [0, 10_000, 100_000] {
        let mut process = Process::new((0..3).map(|_| filled(records)).collect());
        let mut number = records;
        group.bench_function(BenchmarkId::from_parameter(records), |b| {
            b.iter(|| {
                number += 1;
                process.round(number);
            });
        });
    }
    group.finish();
}

/// One record that a holder takes, over the number of records that it holds.
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
                    cover: cover(),
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
            b.iter_batched(holders, Process::new, BatchSize::PerIteration);
        });
    }
    group.finish();
}

/// Compares the memory that a holder counts with what the process takes for it.
fn memory() {
    const RECORDS: u64 = 200_000;
    let before = resident();
    let holder = filled(RECORDS);
    let counted = holder.used() as u64 / RECORDS;
    let taken = (resident() - before) / RECORDS;
    println!("memory of a record with {BODY} B of body: counted {counted} B, resident {taken} B");
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
    targets = rounds, writes, fences
}

fn main() {
    memory();
    benches();
    Criterion::default().configure_from_args().final_summary();
}
