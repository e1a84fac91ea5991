//! Prints the figures of a workload, one column per policy, and whether each run
//! met the bounds of the design.

use serde::Serialize;

use crate::figures::{Figures, Service};

/// The bounds of the design, in milliseconds.
const MAX_UNAVAILABLE_MS: f64 = 1_000.0;
const MAX_RULE_CHANGE_MS: f64 = 5_000.0;
const MAX_START_AFTER_DRAIN_MS: f64 = 3_000.0;
const MAX_OVERHEAD_MS: f64 = 14.0;

/// The width of a column of figures, in characters.
const COLUMN_WIDTH: usize = 26;

/// The figures of one workload, with one run per policy.
#[derive(Debug, Serialize)]
pub struct Report {
    pub workload: String,
    pub fault: String,
    pub seed: u64,
    pub seconds: f64,
    pub runs: Vec<Figures>,
    pub bounds: Vec<Bound>,
}

/// Whether a run met one bound of the design. `met` is absent if the run does not
/// measure it.
#[derive(Debug, Serialize)]
pub struct Bound {
    pub policy: String,
    pub name: &'static str,
    pub met: Option<bool>,
}

/// Checks the bounds of the design against a run.
pub fn bounds(run: &Figures) -> Vec<Bound> {
    let unavailable = run.unavailable.as_ref();
    [
        (
            "key served again within 1 s of a loss",
            unavailable.map(|times| times.max_ms <= MAX_UNAVAILABLE_MS),
        ),
        (
            "rule in force on every node within 5 s",
            Some(run.rule_change_ms <= MAX_RULE_CHANGE_MS),
        ),
        (
            "no new work to a leaving target after 3 s",
            run.last_start_after_drain_ms
                .map(|last| last <= MAX_START_AFTER_DRAIN_MS),
        ),
        (
            "router overhead within 14 ms at p99",
            run.overhead
                .as_ref()
                .map(|times| times.p99_ms <= MAX_OVERHEAD_MS),
        ),
        ("no promise broken", Some(run.violation_count == 0)),
    ]
    .map(|(name, met)| Bound {
        policy: run.policy.clone(),
        name,
        met,
    })
    .into()
}

impl Report {
    pub fn print(&self) {
        println!(
            "\n{} fault={} seed={} seconds={}",
            self.workload, self.fault, self.seed, self.seconds
        );
        let titles = self.runs.iter().map(|run| run.policy.clone());
        row("", titles);
        for (name, figure) in ROWS {
            row(name, self.runs.iter().map(figure));
        }
        for run in &self.runs {
            println!(
                "not served at the peak, {}: {:?}",
                run.policy, run.peak.reasons
            );
            for member in &run.members {
                println!(
                    "not served while shared, {}, {}: {:?}",
                    run.policy, member.name, member.service.reasons
                );
            }
        }
        for bound in &self.bounds {
            let met = match bound.met {
                Some(true) => "met",
                Some(false) => "NOT MET",
                None => "not shown by this run",
            };
            println!("bound, {}: {}: {met}", bound.policy, bound.name);
        }
        for run in &self.runs {
            for sample in &run.violations.samples {
                println!("broken promise, {}: {sample}", run.policy);
            }
        }
    }
}

fn row(name: &str, figures: impl Iterator<Item = String>) {
    print!("{name:<46}");
    for figure in figures {
        print!(" {figure:>COLUMN_WIDTH$}");
    }
    println!();
}

type Row = (&'static str, fn(&Figures) -> String);

/// The rows of the table.
const ROWS: [Row; 22] = [
    ("peak: served / refused / unknown, %", |run| {
        shares(&run.peak)
    }),
    ("peak: short work p50 / p99 / p99.9, ms", |run| {
        times(&run.peak)
    }),
    ("peak: requests", |run| run.peak.sent.to_string()),
    ("base: served / refused / unknown, %", |run| {
        shares(&run.base)
    }),
    ("base: short work p50 / p99 / p99.9, ms", |run| {
        times(&run.base)
    }),
    ("peak: max/mean utilisation of each pool", |run| {
        let ratios = run.utilisation.iter();
        join(ratios.map(|pool| format!("{:.2}", pool.ratio)))
    }),
    ("peak: mean utilisation of each pool", |run| {
        let means = run.utilisation.iter();
        join(means.map(|pool| format!("{:.2}", pool.mean)))
    }),
    ("shards / hot keys moved a minute", |run| {
        format!(
            "{:.0} / {:.0}",
            run.shards_moved_per_minute, run.hot_keys_moved_per_minute
        )
    }),
    ("unavailable time p50 / p99 / max, ms", |run| {
        run.unavailable.as_ref().map_or("-".to_owned(), |times| {
            format!(
                "{:.0} / {:.0} / {:.0}",
                times.p50_ms, times.p99_ms, times.max_ms
            )
        })
    }),
    ("short work p99 with / without stragglers, ms", |run| {
        format!(
            "{:.1} / {:.1}",
            run.short_p99_with_stragglers_ms, run.short_p99_without_ms
        )
    }),
    ("short work p99, ratio", |run| {
        format!("{:.2}", run.straggler_ratio)
    }),
    ("shared: larger member, served / share, %", |run| {
        member(run, 0)
    }),
    ("shared: larger member p50 / p99 / p99.9, ms", |run| {
        times(&run.members[0].service)
    }),
    ("shared: smaller member, served / share, %", |run| {
        member(run, 1)
    }),
    ("shared: smaller member p50 / p99 / p99.9, ms", |run| {
        times(&run.members[1].service)
    }),
    ("router overhead p50 / p99, ms", |run| {
        run.overhead.as_ref().map_or("-".to_owned(), |times| {
            format!("{:.2} / {:.2}", times.p50_ms, times.p99_ms)
        })
    }),
    ("one node saturated: requests/s, CPU µs each", |run| {
        run.saturation.as_ref().map_or("-".to_owned(), |node| {
            format!(
                "{:.0}, {:.0}",
                node.requests_per_second, node.cpu_us_per_request
            )
        })
    }),
    ("idle node: CPU % / RSS MB / control B/s", |run| {
        idle(
            run.idle.node_cpu_percent,
            run.idle.node_resident_mb,
            run.idle.node_control_bytes,
        )
    }),
    ("idle replica: CPU % / RSS MB / control B/s", |run| {
        idle(
            run.idle.replica_cpu_percent,
            run.idle.replica_resident_mb,
            run.idle.replica_control_bytes,
        )
    }),
    ("rule change in force on every node, ms", |run| {
        format!("{:.0}", run.rule_change_ms)
    }),
    ("requests not sent because of the cap", |run| {
        run.skipped.to_string()
    }),
    ("broken_promises", |run| run.violation_count.to_string()),
];

fn shares(service: &Service) -> String {
    format!(
        "{:.2} / {:.2} / {:.2}",
        service.served_share * 100.0,
        service.refused_share * 100.0,
        service.unknown_share * 100.0
    )
}

fn times(service: &Service) -> String {
    format!(
        "{:.1} / {:.1} / {:.1}",
        service.p50_ms, service.p99_ms, service.p999_ms
    )
}

fn member(run: &Figures, position: usize) -> String {
    let member = &run.members[position];
    format!(
        "{:.1} / {:.1}",
        member.service.served_share * 100.0,
        member.share_of_served * 100.0
    )
}

fn idle(cpu: f64, resident: f64, bytes: Option<f64>) -> String {
    let bytes = bytes.map_or("-".to_owned(), |bytes| format!("{bytes:.0}"));
    format!("{cpu:.2} / {resident:.1} / {bytes}")
}

fn join(parts: impl Iterator<Item = String>) -> String {
    parts.collect::<Vec<_>>().join(" / ")
}
