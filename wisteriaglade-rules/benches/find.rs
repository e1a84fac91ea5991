//! Measures `Set::find` and `Set::parse` for sets of 10 to 5,000 rules.

use std::{fmt::Write, hint::black_box, time::Duration};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use wisteriaglade_rules::Set;

/// A valid rules file with this many rules, one template each.
fn text(rules: usize) -> String {
    let mut text = String::new();
    for i in 0..rules {
        writeln!(
            text,
            "m p GET /v1/r{i}/{{key}}/*/** repeat deadline=2s length=short weight=1 # Nia"
        )
        .expect("a string takes any text");
    }
    text
}

fn find(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("rules");
    for rules in [10, 100, 1_000, 5_000] {
        let text = text(rules);
        let set = Set::parse(&text).expect("valid rules");
        let mut i = 0;
        group.bench_function(BenchmarkId::new("find", rules), |bencher| {
            bencher.iter(|| {
                i = (i + 7) % rules;
                black_box(set.find("GET", &format!("/v1/r{i}/k/x/y")).is_some())
            });
        });
        group.bench_function(BenchmarkId::new("parse", rules), |bencher| {
            bencher.iter(|| Set::parse(black_box(&text)));
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
    targets = find
}
criterion_main!(benches);
