//! Measures encoding and decoding of frames and datagrams by message size.

use std::{hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use wisteriaglade_wire::{Datagram, Frame, Key};

/// A message with a payload of `size` bytes.
fn message(size: usize) -> (u64, bytes::Bytes) {
    (7, vec![7; size].into())
}

fn frame(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("frame");
    for size in [64, 1_024, 16_384, 262_144] {
        group.throughput(Throughput::Bytes(size as u64));
        let message = message(size);
        group.bench_function(BenchmarkId::new("encode", size), |bencher| {
            bencher.iter(|| Frame::encode(black_box(&message)));
        });
        let frame = Frame::encode(&message).expect("a small message");
        group.bench_function(BenchmarkId::new("decode", size), |bencher| {
            bencher.iter(|| {
                Frame::decode::<(u64, bytes::Bytes)>(black_box(&frame[Frame::PREFIX_BYTES..]))
            });
        });
    }
    group.finish();
}

fn datagram(criterion: &mut Criterion) {
    let key = Key::new("a cluster key of at least sixteen bytes").expect("a long key");
    let mut group = criterion.benchmark_group("datagram");
    for size in [8, 64, 256, 1_024] {
        let message = message(size);
        group.bench_function(BenchmarkId::new("seal", size), |bencher| {
            bencher.iter(|| Datagram::seal(&key, black_box(&message)));
        });
        let sealed = Datagram::seal(&key, &message).expect("a small message");
        group.bench_function(BenchmarkId::new("open", size), |bencher| {
            bencher.iter(|| Datagram::open::<(u64, bytes::Bytes)>(&key, black_box(&sealed)));
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
    targets = frame, datagram
}
criterion_main!(benches);
