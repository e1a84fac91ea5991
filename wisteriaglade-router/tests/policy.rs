//! Tests of the adaptive policy under simulated load, compared with the
//! baseline policy.
//!
//! The bounds are design goals. Each case runs with several seeds, since a
//! policy that meets them for one sequence of service times can fail for
//! another.

mod simulation;
mod support;

use std::{ops::Range, time::Duration};

use rstest::rstest;
use simulation::{Record, Reports, Run, Stream, Target, run};
use support::MS;
use wisteriaglade_router::{Config, Length, Policy, Report};

const SEEDS: [u64; 3] = [1, 2, 3];

fn config(policy: Policy) -> Config {
    Config {
        policy,
        ..Config::default()
    }
}

fn adaptive(target: &Target, streams: &[Stream], seed: u64) -> Run {
    run(config(Policy::Adaptive), target, streams, seed)
}

fn baseline(target: &Target, streams: &[Stream], seed: u64) -> Run {
    run(config(Policy::Baseline), target, streams, seed)
}

/// Guards against short requests that wait behind long ones. While requests
/// that take 30 times as long offer load for 45% of the slots, the 99th
/// percentile latency of short work must stay below twice the one without them.
#[rstest]
#[case::declared_6(6, Length::Long, false)]
#[case::learned_6(6, Length::Learned, false)]
#[case::fixed_6(6, Length::Long, true)]
#[case::declared_12(12, Length::Long, false)]
#[case::learned_12(12, Length::Learned, false)]
#[case::fixed_12(12, Length::Long, true)]
fn long_work_does_not_delay_short_work(
    #[case] slots: u32,
    #[case] length: Length,
    #[case] fixed: bool,
) {
    let declared = length == Length::Long;
    let short = Stream {
        rate: 25.0 * f64::from(slots),
        length: if declared { Length::Short } else { length },
        fixed,
        ..Stream::default()
    };
    let long = Stream {
        rate: 1.5 * f64::from(slots),
        work: 300 * MS,
        deadline: 10_000 * MS,
        length,
        keys: 20,
        fixed,
        ..Stream::default()
    };
    let target = Target::new(slots);
    let ratio = |of: fn(&Target, &[Stream], u64) -> Run, seed| {
        let without = of(&target, std::slice::from_ref(&short), seed);
        let with = of(&target, &[short.clone(), long.clone()], seed);
        assert_eq!(with.suspects, [], "seed {seed}");
        with.quantile(0, 0.99).as_secs_f64() / without.quantile(0, 0.99).as_secs_f64()
    };
    for seed in SEEDS {
        let (new, old) = (ratio(adaptive, seed), ratio(baseline, seed));
        println!("seed {seed}: p99 with stragglers / without {new:.2}, baseline {old:.2}");
        assert!(new < 2.0, "seed {seed}: {new:.2}, baseline {old:.2}");
        // Checks that the load is high enough for the baseline to fail.
        assert!(slots != 6 || old > 2.0, "seed {seed}: baseline {old:.2}");
    }
}

/// Guards against a member that delays another one by asking for ten times as
/// much, and against slots that stay idle meanwhile.
#[rstest]
#[case(6)]
#[case(12)]
fn a_large_member_does_not_delay_a_small_one(#[case] slots: u32) {
    let small = Stream {
        member: "small",
        rate: 25.0 * f64::from(slots),
        ..Stream::default()
    };
    let large = Stream {
        member: "large",
        rate: 10.0 * small.rate,
        ..Stream::default()
    };
    let target = Target::new(slots);
    for seed in SEEDS {
        let alone = adaptive(&target, std::slice::from_ref(&small), seed);
        let both = adaptive(&target, &[small.clone(), large.clone()], seed);
        let old = baseline(&target, &[small.clone(), large.clone()], seed);

        let p99 = [&alone, &both, &old].map(|run| run.quantile(0, 0.99));
        let used = both.utilization(slots, &(Duration::ZERO..20_000 * MS));
        println!("seed {seed}: p99 alone, with, baseline {p99:?}, used {used:.2}");
        assert!(p99[1] < 2 * p99[0], "seed {seed}: {p99:?}");
        assert_eq!(both.on_time(0), both.requests_of(0).count(), "seed {seed}");
        assert!(used > 0.9, "seed {seed}: used {used:.2}");
        assert!(
            old.on_time(0) < old.requests_of(0).count() / 2,
            "seed {seed}"
        );
    }
}

/// Guards against a collapse at peak load in which all answers are late. The
/// demand rises to ten times its base, which is 2.5 times the capacity.
#[rstest]
#[case::steady(None)]
#[case::slower_at_the_peak(Some((2.0, 7_000 * MS..10_000 * MS)))]
fn a_peak_is_served_on_time(#[case] slow: Option<(f64, Range<Duration>)>) {
    let base = Stream {
        rate: 150.0,
        deadline: 500 * MS,
        ..Stream::default()
    };
    let peak = Stream {
        rate: 1350.0,
        period: 5_000 * MS..10_000 * MS,
        ..base.clone()
    };
    let streams = [base, peak];
    let capacity = if slow.is_some() { 0.7 } else { 1.0 };
    let target = Target {
        slow,
        ..Target::new(6)
    };
    let oldest = Config {
        newest_first: false,
        ..Config::default()
    };
    for seed in SEEDS {
        let new = adaptive(&target, &streams, seed);
        let fifo = run(oldest.clone(), &target, &streams, seed);
        let old = baseline(&target, &streams, seed);

        let runs = [&new, &fifo, &old];
        let used = runs.map(|run| run.utilization(6, &(5_000 * MS..10_000 * MS)));
        let wasted = runs.map(Run::wasted);
        let median = runs.map(|run| run.quantile(1, 0.5));
        println!(
            "seed {seed}: newest first, oldest first, baseline: utilization {used:.2?}, wasted {wasted:?}, median {median:?}"
        );
        assert!(used[0] > 0.85 * capacity, "seed {seed}: {used:.2?}");
        assert!(wasted[0] * 100 < new.on_time(1), "seed {seed}: {wasted:?}");
        assert!(
            wasted[0] * 10 < wasted[1].min(wasted[2]),
            "seed {seed}: {wasted:?}"
        );
        assert!(median[0] < 250 * MS, "seed {seed}: {median:?}");
        let mut later = new.requests_of(0).filter(|r| r.arrived > 11_000 * MS);
        assert!(
            later.all(Record::on_time),
            "seed {seed}: late after the peak"
        );
    }
}

/// Guards against a limit that stays at wrongly announced slots. With too many,
/// requests queue inside the target; with too few, the target is partly idle.
#[rstest]
#[case::right(6, 6)]
#[case::right_12(12, 12)]
#[case::twice_too_many(12, 6)]
#[case::four_times_too_many(24, 6)]
#[case::half(6, 12)]
fn limit_converges_to_the_actual_slots(#[case] announced: u32, #[case] slots: u32) {
    let stream = Stream {
        rate: 200.0 * f64::from(slots),
        deadline: 500 * MS,
        ..Stream::default()
    };
    let target = Target {
        announced,
        ..Target::new(slots)
    };
    for seed in SEEDS {
        let run = adaptive(&target, std::slice::from_ref(&stream), seed);

        let settled = 5_000 * MS..20_000 * MS;
        let limit = run.limit(&settled) / f64::from(slots);
        let used = run.utilization(slots, &settled);
        println!("seed {seed}: limit / slots {limit:.2}, used {used:.2}");
        assert!((0.75..1.25).contains(&limit), "seed {seed}: {limit:.2}");
        assert!(used > 0.75, "seed {seed}: used {used:.2}");
    }
}

/// Guards against a limit that is halved by a single slow answer, soon after
/// the start or when the limit is stable.
#[rstest]
#[case(10.0, 300 * MS)]
#[case(100.0, 300 * MS)]
#[case(100.0, 5_000 * MS)]
fn one_slow_answer_does_not_halve_the_limit(#[case] factor: f64, #[case] at: Duration) {
    let stream = Stream {
        rate: 1000.0,
        deadline: 5_000 * MS,
        ..Stream::default()
    };
    for seed in SEEDS {
        let one = |slow| {
            let target = Target {
                slow,
                ..Target::new(6)
            };
            let run = adaptive(&target, std::slice::from_ref(&stream), seed);
            run.limit(&(at..at + 2_000 * MS))
        };
        // In 2 ms, about one request starts.
        let (without, with) = (one(None), one(Some((factor, at..at + 2 * MS))));
        println!("seed {seed}: mean limit {without:.2}, with a slow answer {with:.2}");
        assert!(
            with > 0.75 * without,
            "seed {seed}: {without:.2}, {with:.2}"
        );
    }
}

/// Guards against many requests to a target that sheds them, and against a
/// limit that stays low afterwards.
#[rstest]
#[case::everything(0)]
#[case::above_three(3)]
fn limit_recovers_after_shedding(#[case] from: usize) {
    let stream = Stream {
        rate: 500.0,
        deadline: 500 * MS,
        ..Stream::default()
    };
    let target = Target {
        shed: Some((from, 5_000 * MS..7_000 * MS)),
        ..Target::new(6)
    };
    for seed in SEEDS {
        let new = adaptive(&target, std::slice::from_ref(&stream), seed);
        let old = baseline(&target, std::slice::from_ref(&stream), seed);

        let shed_counts = [&new, &old].map(|run| run.records.iter().filter(|r| r.shed).count());
        println!("seed {seed}: shed {shed_counts:?}");
        assert!(
            shed_counts[0] * 10 < shed_counts[1],
            "seed {seed}: shed {shed_counts:?}"
        );
        let mut later = new.requests_of(0).filter(|r| r.arrived > 7_500 * MS);
        assert!(
            later.all(Record::on_time),
            "seed {seed}: late after the shedding"
        );
    }
}

/// Guards against load reports that lower the limit although the answers
/// contradict them.
#[rstest]
#[case::stuck(0, 0, true)]
#[case::overloaded(6, 200, false)]
#[case::fewer_slots(2, 4, true)]
#[case::half_of_the_slots(3, 3, true)]
#[case::unhealthy(6, 0, false)]
fn misleading_reports_are_ignored(
    #[case] running: u32,
    #[case] queued: u32,
    #[case] healthy: bool,
) {
    let stream = Stream {
        rate: 900.0,
        deadline: 500 * MS,
        ..Stream::default()
    };
    let report = Report {
        running,
        queued,
        healthy,
    };
    for seed in SEEDS {
        let one = |report| {
            let target = Target {
                report,
                ..Target::new(6)
            };
            adaptive(&target, std::slice::from_ref(&stream), seed)
        };
        let (without, with) = (one(None), one(Some(Reports::Fixed(report))));

        let served = [&without, &with].map(|run| run.on_time(0));
        assert!(served[1] * 100 > served[0] * 95, "seed {seed}: {served:?}");
        assert_eq!(with.suspects, [], "seed {seed}");
    }
}

/// Guards against correct load reports that are not used. If too many slots are
/// announced, reports show the actual number before the service times do.
#[test]
fn correct_reports_are_used() {
    let stream = Stream {
        rate: 1200.0,
        deadline: 500 * MS,
        ..Stream::default()
    };
    for seed in SEEDS {
        let [without, with] = [None, Some(Reports::Actual)].map(|report| {
            let target = Target {
                announced: 24,
                report,
                ..Target::new(6)
            };
            let run = adaptive(&target, std::slice::from_ref(&stream), seed);
            run.limit(&(Duration::ZERO..1_000 * MS))
        });
        println!(
            "seed {seed}: mean limit in the first second {without:.1}, with reports {with:.1}"
        );
        assert!(with < without, "seed {seed}: {without:.1}, {with:.1}");
    }
}

/// Guards against a target that does not become suspect although it answers
/// nothing, because it reports that it is healthy, and against one that stays
/// suspect when it answers again.
#[rstest]
#[case::busy(300.0, 2_000)]
#[case::busy_with_short_deadlines(300.0, 200)]
#[case::quiet(20.0, 2_000)]
#[case::quiet_with_short_deadlines(20.0, 200)]
fn a_silent_target_is_suspected(#[case] rate: f64, #[case] deadline: u32) {
    let stream = Stream {
        rate,
        deadline: deadline * MS,
        ..Stream::default()
    };
    let report = Report {
        running: 6,
        queued: 0,
        healthy: true,
    };
    let target = Target {
        frozen: 5_000 * MS..8_000 * MS,
        report: Some(Reports::Fixed(report)),
        ..Target::new(6)
    };
    for seed in SEEDS {
        let run = adaptive(&target, std::slice::from_ref(&stream), seed);

        let [(suspect, true), (recovered, false)] = run.suspects[..] else {
            panic!("seed {seed}: {:?}", run.suspects);
        };
        println!("seed {seed}: suspected at {suspect:?}, recovered at {recovered:?}");
        assert!(
            (5_000 * MS..6_000 * MS).contains(&suspect),
            "seed {seed}: {suspect:?}"
        );
        assert!(
            (8_000 * MS..9_000 * MS).contains(&recovered),
            "seed {seed}: {recovered:?}"
        );
    }
}

/// Guards against a target that becomes suspect although it only works on long
/// requests.
#[rstest]
#[case::declared(Length::Short, Length::Long)]
#[case::learned(Length::Learned, Length::Learned)]
#[case::everything_declared_long(Length::Long, Length::Long)]
fn a_target_with_long_work_is_not_suspected(#[case] short: Length, #[case] long: Length) {
    let long = Stream {
        rate: 4.0,
        work: 300 * MS,
        deadline: 10_000 * MS,
        length: long,
        ..Stream::default()
    };
    let short = Stream {
        rate: 5.0,
        length: short,
        ..Stream::default()
    };
    for seed in SEEDS {
        let run = adaptive(&Target::new(6), &[short.clone(), long.clone()], seed);

        assert_eq!(run.suspects, [], "seed {seed}");
    }
}

/// Guards against connections that are opened in a burst at a load peak, and
/// against their closing directly after it.
#[test]
fn connections_follow_the_recent_peak() {
    let base = Stream {
        rate: 50.0,
        ..Stream::default()
    };
    let peak = Stream {
        rate: 900.0,
        period: 5_000 * MS..6_000 * MS,
        ..Stream::default()
    };
    let run = adaptive(&Target::new(12), &[base, peak], 1);

    let rises = run
        .connections
        .windows(2)
        .filter(|pair| pair[1].1 > pair[0].1);
    let gap = Duration::from_secs(1) / Config::default().prewarm_rate;
    let bounded = rises
        .clone()
        .all(|p| p[1].0 >= p[0].0 + gap * (p[1].1 - p[0].1));
    let highest = run.connections.iter().map(|(_, n)| *n).max().unwrap();
    let after = run
        .connections
        .iter()
        .rfind(|(at, _)| *at < 16_000 * MS)
        .unwrap();
    assert!(bounded, "{:?}", run.connections);
    assert!(highest >= 12, "{:?}", run.connections);
    assert!(
        after.1 * 4 >= highest * 3,
        "10 s after the peak: {:?}",
        run.connections
    );
}
