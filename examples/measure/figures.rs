//! Computes the figures of one run from the callers' samples and the execution
//! history.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::atomic::Ordering,
    time::Duration,
};

use serde::Serialize;

use crate::{
    fault::{Fault, Injection},
    history::{Execution, Violations},
    load::{Load, Outcome, Sample},
    stage::{Idle, LimitReading, Overhead, Saturation, histogram, quantile},
    workload::Phase,
};

/// Requests below this work, in units of mean short work, count as short.
const SHORT_WORK_LIMIT: f64 = 2.0;

/// The shards of a pool by default. Shards with this number or a higher one are
/// dedicated shards of hot keys.
const POOL_SHARDS: u32 = 256;

/// The outcomes of requests, and the latencies of the served ones with short work.
/// Long work is left out, since its service time would hide the waiting time.
#[derive(Debug, Clone, Serialize)]
pub struct Service {
    pub sent: usize,
    pub served_share: f64,
    pub refused_share: f64,
    pub unknown_share: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    /// Requests that were not served, by reason and by short or long work.
    pub reasons: BTreeMap<String, usize>,
}

/// The service of one member during the phase in which two members share a pool.
#[derive(Debug, Clone, Serialize)]
pub struct MemberService {
    pub name: String,
    /// Its share of the served requests of both members.
    pub share_of_served: f64,
    pub service: Service,
}

/// The unavailable time of the probed keys of the fault's victims.
#[derive(Debug, Clone, Serialize)]
pub struct Unavailability {
    pub keys: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub max_ms: f64,
}

/// All figures of one run.
#[derive(Debug, Clone, Serialize)]
pub struct Figures {
    pub policy: String,
    pub peak: Service,
    pub base: Service,
    /// The utilisation of the targets of each pool in the peak phase.
    pub utilisation: Vec<PoolUtilisation>,
    pub targets_at_peak: Vec<TargetLoad>,
    pub targets_while_shared: Vec<TargetLoad>,
    pub shards_moved_per_minute: f64,
    pub hot_keys_moved_per_minute: f64,
    pub unavailable: Option<Unavailability>,
    pub short_p99_with_stragglers_ms: f64,
    pub short_p99_without_ms: f64,
    pub straggler_ratio: f64,
    pub members: Vec<MemberService>,
    pub overhead: Option<Overhead>,
    pub saturation: Option<Saturation>,
    pub idle: Idle,
    pub rule_change_ms: f64,
    /// The time from the start of a drain to the last start of an execution at
    /// the drained target; absent for other faults.
    pub last_start_after_drain_ms: Option<f64>,
    pub skipped: u64,
    #[serde(rename = "broken_promises")]
    pub violation_count: usize,
    #[serde(rename = "broken")]
    pub violations: Violations,
}

/// The utilisation of the targets of a pool, between 0 and 1.
#[derive(Debug, Clone, Serialize)]
pub struct PoolUtilisation {
    pub pool: String,
    pub mean: f64,
    pub highest: f64,
    /// `highest` divided by `mean`; 1 when the load is spread evenly.
    pub ratio: f64,
}

/// The load of one target during a phase of the run.
#[derive(Debug, Clone, Serialize)]
pub struct TargetLoad {
    pub host: &'static str,
    pub pool: &'static str,
    pub speed: f64,
    /// The busy share of its slots over the phase.
    pub utilisation: f64,
    /// The largest number of requests that ran at once.
    pub most_running: i32,
    /// The lowest concurrency limit that its node reported, if it was read.
    pub lowest_limit: Option<u32>,
}

/// The results of the stages of a run.
#[derive(Debug)]
pub struct Stages {
    pub overhead: Option<Overhead>,
    pub idle: Idle,
    pub saturation: Option<Saturation>,
    pub rule_change: Duration,
    pub replay_missing: usize,
    pub limits: Vec<LimitReading>,
    /// When the load began, on the clock of the execution history.
    pub begin: Duration,
    pub seconds: f64,
}

impl Figures {
    pub fn new(policy: &str, load: &Load, injection: &Injection, stages: Stages) -> Self {
        let executions = load.cluster.history.executions();
        let samples = load.samples.lock().expect("not poisoned").clone();
        let violations = violations(load, &executions, stages.replay_missing);
        let short = |phase| short_p99(&samples, phase);
        let (with, without) = (short(Phase::Mixed), short(Phase::Plain));
        let peak = targets(load, &executions, &stages, Phase::Peak);
        let (shards, hot) = moves_per_minute(&executions, injection, &stages);
        Self {
            policy: policy.to_owned(),
            peak: service(samples.iter().filter(|sample| sample.phase == Phase::Peak)),
            base: service(samples.iter().filter(|sample| sample.phase == Phase::Base)),
            utilisation: utilisation(load, &peak),
            targets_at_peak: peak,
            targets_while_shared: targets(load, &executions, &stages, Phase::Shared),
            shards_moved_per_minute: shards,
            hot_keys_moved_per_minute: hot,
            unavailable: unavailable(injection),
            short_p99_with_stragglers_ms: with,
            short_p99_without_ms: without,
            straggler_ratio: with / without,
            members: members(load, &samples),
            overhead: stages.overhead,
            saturation: stages.saturation,
            idle: stages.idle,
            rule_change_ms: stages.rule_change.as_secs_f64() * 1e3,
            last_start_after_drain_ms: last_start(&executions, injection),
            skipped: load.skipped.load(Ordering::Relaxed),
            violation_count: violations.total(),
            violations,
        }
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts are small")]
fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}

fn service<'a>(samples: impl Iterator<Item = &'a Sample>) -> Service {
    let samples: Vec<&Sample> = samples.collect();
    let share = |outcome| {
        let ended = samples.iter().filter(|sample| sample.outcome == outcome);
        ratio(ended.count(), samples.len())
    };
    let served = samples
        .iter()
        .filter(|sample| sample.outcome == Outcome::Served);
    let short = served.filter(|sample| sample.work < SHORT_WORK_LIMIT);
    let times = histogram(short.map(|sample| sample.latency));
    let mut reasons = BTreeMap::new();
    for sample in &samples {
        if let Some(reason) = &sample.reason {
            let work = if sample.work < SHORT_WORK_LIMIT {
                "short"
            } else {
                "long"
            };
            *reasons.entry(format!("{reason}, {work}")).or_default() += 1;
        }
    }
    Service {
        sent: samples.len(),
        served_share: share(Outcome::Served),
        refused_share: share(Outcome::Refused),
        unknown_share: share(Outcome::Unknown),
        p50_ms: quantile(&times, 0.5),
        p99_ms: quantile(&times, 0.99),
        p999_ms: quantile(&times, 0.999),
        reasons,
    }
}

/// The 99th percentile of the latency of short work in a phase.
fn short_p99(samples: &[Sample], phase: Phase) -> f64 {
    let short = samples.iter().filter(|sample| {
        sample.phase == phase && sample.work < SHORT_WORK_LIMIT && sample.outcome == Outcome::Served
    });
    quantile(&histogram(short.map(|sample| sample.latency)), 0.99)
}

fn members(load: &Load, samples: &[Sample]) -> Vec<MemberService> {
    let (first, second) = (
        load.workload.routes[0].member,
        load.workload.second_member.member,
    );
    let shared = |member: &'static str| {
        samples.iter().filter(move |sample| {
            sample.phase == Phase::Shared && sample.route.pool == 0 && sample.route.member == member
        })
    };
    let served = |member| {
        shared(member)
            .filter(|s| s.outcome == Outcome::Served)
            .count()
    };
    let all = served(first) + served(second);
    [first, second]
        .map(|member| MemberService {
            name: member.to_owned(),
            share_of_served: ratio(served(member), all),
            service: service(shared(member)),
        })
        .to_vec()
}

/// Computes the load of every target during a phase.
fn targets(
    load: &Load,
    executions: &[Execution],
    stages: &Stages,
    phase: Phase,
) -> Vec<TargetLoad> {
    let (begin, end) = phase.span();
    let at = |share: f64| stages.begin + Duration::from_secs_f64(share * stages.seconds);
    let (begin, end) = (at(begin), at(end));
    let slots = f64::from(load.workload.slots) * end.saturating_sub(begin).as_secs_f64();
    let hosts = load.workload.hosts.iter().enumerate();
    hosts
        .map(|(position, host)| {
            let limits = stages.limits.iter();
            let runs = executions.iter().filter(|run| run.host == position);
            let runs: Vec<(Duration, Duration)> = runs
                .map(|run| (run.begin.max(begin), run.end.unwrap_or(end).min(end)))
                .filter(|(from, to)| from < to)
                .collect();
            let busy = runs.iter().map(|&(from, to)| to.saturating_sub(from));
            TargetLoad {
                host: host.name,
                pool: load.workload.pools[host.pool],
                speed: host.speed,
                utilisation: busy.sum::<Duration>().as_secs_f64() / slots,
                most_running: max_overlap(&runs),
                lowest_limit: limits
                    .filter(|&&(at, host, _)| host == position && at > begin && at < end)
                    .map(|&(_, _, limit)| limit)
                    .min(),
            }
        })
        .collect()
}

/// Returns the largest number of intervals that overlap at one moment.
fn max_overlap(runs: &[(Duration, Duration)]) -> i32 {
    let ends = runs.iter().map(|&(_, to)| (to, -1));
    let mut changes: Vec<(Duration, i32)> = runs.iter().map(|&(from, _)| (from, 1)).collect();
    changes.extend(ends);
    changes.sort_unstable();
    let running = changes.iter().scan(0, |running, (_, change)| {
        *running += change;
        Some(*running)
    });
    running.max().unwrap_or(0)
}

fn utilisation(load: &Load, targets: &[TargetLoad]) -> Vec<PoolUtilisation> {
    let pools = load.workload.pools.iter();
    pools
        .map(|&name| {
            let members = targets.iter().filter(|target| target.pool == name);
            let shares: Vec<f64> = members.map(|target| target.utilisation).collect();
            #[allow(clippy::cast_precision_loss, reason = "there are a few targets")]
            let mean = shares.iter().sum::<f64>() / shares.len() as f64;
            let highest = shares.iter().copied().fold(0.0, f64::max);
            PoolUtilisation {
                pool: name.to_owned(),
                mean,
                highest,
                ratio: highest / mean,
            }
        })
        .collect()
}

/// Counts moves to another target per minute: of ordinary shards, and of dedicated
/// shards of hot keys.
fn moves_per_minute(
    executions: &[Execution],
    injection: &Injection,
    stages: &Stages,
) -> (f64, f64) {
    let mut owners: HashMap<(usize, u32), usize> = HashMap::new();
    let (mut shards, mut hot) = (0, 0);
    let mut runs: Vec<&Execution> = executions.iter().filter(|run| run.epoch > 0).collect();
    runs.sort_by_key(|run| run.begin);
    for run in runs {
        let before = owners.insert((run.pool, run.shard), run.host);
        // Shards that leave a victim after the fault are not counted as churn.
        let moved = before.is_some_and(|before| {
            before != run.host
                && (injection.at.is_none_or(|at| run.begin < at)
                    || !injection.victims.contains(&before))
        });
        match moved {
            true if run.shard >= POOL_SHARDS => hot += 1,
            true => shards += 1,
            false => {}
        }
    }
    let minutes = stages.seconds / 60.0;
    (f64::from(shards) / minutes, f64::from(hot) / minutes)
}

fn unavailable(injection: &Injection) -> Option<Unavailability> {
    injection.at?;
    let times = histogram(injection.unavailable.iter().copied());
    Some(Unavailability {
        keys: injection.unavailable.len(),
        p50_ms: quantile(&times, 0.5),
        p99_ms: quantile(&times, 0.99),
        max_ms: quantile(&times, 1.0),
    })
}

fn last_start(executions: &[Execution], injection: &Injection) -> Option<f64> {
    let at = injection
        .at
        .filter(|_| injection.fault == Fault::TargetDrained)?;
    let starts = executions
        .iter()
        .filter(|run| injection.victims.contains(&run.host) && run.begin > at);
    let last = starts
        .map(|run| run.begin.saturating_sub(at))
        .max()
        .unwrap_or_default();
    Some(last.as_secs_f64() * 1e3)
}

/// Checks every guarantee and returns the violations.
fn violations(load: &Load, executions: &[Execution], replay_missing: usize) -> Violations {
    let mut violations = load.violations.lock().expect("not poisoned").clone();
    violations.check_single_owner(executions, load.cluster.history.now());
    violations.check_at_most_once(executions);
    let ran: HashSet<u64> = executions.iter().map(|run| run.attempt).collect();
    for attempt in load.refused.lock().expect("not poisoned").iter() {
        if ran.contains(attempt) {
            violations.executed_after_not_run += 1;
            violations.add_sample(|| {
                let run = executions.iter().find(|run| run.attempt == *attempt);
                format!("not-run but executed: {run:?}")
            });
        }
    }
    let completed: HashSet<u64> = executions
        .iter()
        .filter(|run| run.completed)
        .map(|run| run.operation)
        .collect();
    let acknowledged = load.acknowledged.lock().expect("not poisoned");
    let missing = acknowledged
        .iter()
        .filter(|spec| !completed.contains(&spec.operation));
    violations.acknowledged_missing += missing.count() + replay_missing;
    violations
}
