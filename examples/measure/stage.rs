//! The parts of a run beside the load of the callers.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use rand::RngExt as _;
use serde::Serialize;
use tokio::time::sleep;

use crate::{
    client::Error,
    cluster::Cluster,
    fault::probe,
    load::{End, Load, Plan},
};

/// Pairs of requests that compare the router with the target alone.
const PAIRS: usize = 600;

/// How long idle nodes are watched.
const IDLE: Duration = Duration::from_secs(2);

/// How long one node is saturated, and by how many callers in a closed loop.
const SATURATED: Duration = Duration::from_millis(1_500);
const CALLERS: usize = 48;

/// Keys that are spread over a saturated node.
const KEYS: usize = 32;

/// Acknowledged operations that are sent again after the run, and how often
/// each one is tried.
const REPLAYED: usize = 200;
const TRIES: usize = 5;

/// Latencies of the router and of the target alone.
#[allow(
    clippy::struct_field_names,
    reason = "the unit is part of the JSON name"
)]
#[derive(Debug, Clone, Serialize)]
pub struct Overhead {
    pub router_p50_ms: f64,
    pub router_p99_ms: f64,
    pub target_p50_ms: f64,
    pub target_p99_ms: f64,
    /// The differences of the quantiles.
    pub p50_ms: f64,
    pub p99_ms: f64,
}

/// What an idle node costs.
#[derive(Debug, Clone, Serialize)]
pub struct Idle {
    /// The mean over nodes without a control replica, in per cent of a core.
    pub node_cpu_percent: f64,
    /// The largest one over nodes with a control replica.
    pub replica_cpu_percent: f64,
    pub node_resident_mb: f64,
    pub replica_resident_mb: f64,
    /// Bytes per second sent and received for control; absent without a metric.
    pub node_control_bytes: Option<f64>,
    pub replica_control_bytes: Option<f64>,
}

/// One node in a closed loop of requests without work.
#[derive(Debug, Clone, Serialize)]
pub struct Saturation {
    pub requests_per_second: f64,
    pub cpu_us_per_request: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub failed: u64,
}

/// Milliseconds at a quantile of a histogram in microseconds.
pub fn quantile(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    #[allow(clippy::cast_precision_loss, reason = "latencies are below 2^53 µs")]
    let micros = histogram.value_at_quantile(quantile) as f64;
    micros / 1_000.0
}

/// A histogram of durations in microseconds.
pub fn histogram(durations: impl IntoIterator<Item = Duration>) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("three digits are valid");
    for duration in durations {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        // Without an upper bound the histogram grows as needed.
        histogram.record(micros).expect("a histogram without bound");
    }
    histogram
}

/// Sends the same requests through the router and to the target.
pub async fn overhead(load: &Load) -> Result<Overhead, Error> {
    let cluster = &load.cluster;
    let (mut router, mut target) = (Vec::new(), Vec::new());
    for pair in 0..PAIRS {
        let plan = probe(load, pair % KEYS);
        let path = plan.path();
        let work = ("measure-work", "0");
        let operation = plan.operation.to_string();
        let headers = [work, ("measure-operation", operation.as_str())];
        let host = rand::rng().random_range(0..cluster.hosts.len());
        let direct = cluster.hosts[0].target.address;
        for (address, times) in [
            (cluster.hosts[host].process.addresses.caller, &mut router),
            (direct, &mut target),
        ] {
            let start = Instant::now();
            let answer = cluster.client.send(address, "GET", &path, &headers, "");
            let answer = answer.await?;
            if !answer.status.is_success() {
                return Err(format!("low load: {} {}", answer.status, answer.text()).into());
            }
            // The first requests open connections.
            if pair >= PAIRS / 6 {
                times.push(start.elapsed());
            }
        }
    }
    let (router, target) = (histogram(router), histogram(target));
    let difference = |q| quantile(&router, q) - quantile(&target, q);
    Ok(Overhead {
        router_p50_ms: quantile(&router, 0.5),
        router_p99_ms: quantile(&router, 0.99),
        target_p50_ms: quantile(&target, 0.5),
        target_p99_ms: quantile(&target, 0.99),
        p50_ms: difference(0.5),
        p99_ms: difference(0.99),
    })
}

/// Watches idle nodes.
pub async fn idle(cluster: &Cluster) -> Idle {
    let before = readings(cluster).await;
    sleep(IDLE).await;
    let after = readings(cluster).await;
    let mut groups = [Group::default(), Group::default()];
    for (host, (before, after)) in before.iter().zip(&after).enumerate() {
        let replica = usize::from(host < crate::cluster::REPLICAS);
        groups[replica].add(before, after);
    }
    let [node, replica] = groups;
    Idle {
        node_cpu_percent: node.cpu / node.hosts,
        replica_cpu_percent: replica.highest,
        node_resident_mb: node.resident / node.hosts,
        replica_resident_mb: replica.resident / replica.hosts,
        node_control_bytes: node.bytes.map(|bytes| bytes / node.hosts),
        replica_control_bytes: replica.bytes.map(|bytes| bytes / replica.hosts),
    }
}

#[derive(Debug)]
struct Reading {
    at: Instant,
    usage: crate::process::Usage,
    bytes: Option<f64>,
}

/// Sums over hosts.
#[derive(Debug, Default)]
struct Group {
    hosts: f64,
    cpu: f64,
    highest: f64,
    resident: f64,
    bytes: Option<f64>,
}

impl Group {
    fn add(&mut self, before: &Reading, after: &Reading) {
        let seconds = (after.at - before.at).as_secs_f64();
        let cpu = after.usage.cpu.saturating_sub(before.usage.cpu);
        let percent = 100.0 * cpu.as_secs_f64() / seconds;
        self.hosts += 1.0;
        self.cpu += percent;
        self.highest = self.highest.max(percent);
        #[allow(clippy::cast_precision_loss, reason = "memory is below 2^53 bytes")]
        let resident = after.usage.resident as f64;
        self.resident += resident / 1e6;
        if let (Some(before), Some(after)) = (before.bytes, after.bytes) {
            *self.bytes.get_or_insert(0.0) += (after - before) / seconds;
        }
    }
}

async fn readings(cluster: &Cluster) -> Vec<Reading> {
    let mut readings = Vec::new();
    for host in &cluster.hosts {
        let admin = host.process.addresses.admin;
        let metrics = cluster.client.send(admin, "GET", "/metrics", &[], "").await;
        readings.push(Reading {
            at: Instant::now(),
            usage: host.process.usage(),
            bytes: metrics.ok().and_then(|answer| control(&answer.text())),
        });
    }
    readings
}

/// The sum of the control bytes in a document of metrics.
fn control(metrics: &str) -> Option<f64> {
    let lines = metrics.lines();
    let bytes = lines.filter(|line| line.starts_with("wisteriaglade_control_bytes"));
    bytes
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .reduce(|sum, bytes| sum + bytes)
}

/// The interval between two readings of the concurrency limits.
const LIMITS: Duration = Duration::from_millis(200);

/// One reading of a concurrency limit: when, of which host, and its value.
pub type Limit = (Duration, usize, u32);

/// Readings of the concurrency limits of every node.
#[derive(Debug, Default)]
pub struct Limits(Mutex<Vec<Limit>>);

impl Limits {
    /// Reads the limits again and again.
    pub async fn watch(&self, cluster: &Cluster) {
        let mut ticks = tokio::time::interval(LIMITS);
        loop {
            ticks.tick().await;
            for (position, host) in cluster.hosts.iter().enumerate() {
                if host.is_lost() {
                    continue;
                }
                let admin = host.process.addresses.admin;
                let metrics = cluster.client.send(admin, "GET", "/metrics", &[], "").await;
                let limit = metrics.ok().and_then(|answer| gauge(&answer.text()));
                if let Some(limit) = limit {
                    let reading = (cluster.book.now(), position, limit);
                    self.0.lock().expect("not poisoned").push(reading);
                }
            }
        }
    }

    pub fn take(&self) -> Vec<Limit> {
        std::mem::take(&mut self.0.lock().expect("not poisoned"))
    }
}

/// The concurrency limit in a document of metrics.
fn gauge(metrics: &str) -> Option<u32> {
    let mut lines = metrics.lines();
    let value = lines.find_map(|line| line.strip_prefix("wisteriaglade_limit "))?;
    value.parse().ok()
}

/// Saturates one node with requests for its own keys that need no work.
pub async fn saturation(load: &Arc<Load>) -> Result<Saturation, Error> {
    let host = load.workload.hosts.iter().rposition(|host| host.pool == 0);
    let host = host.expect("the first pool has hosts");
    let cluster = &load.cluster;
    let mut keys = Vec::new();
    for key in 0..KEYS * 12 {
        let plan = probe(load, key);
        if keys.len() < KEYS && cluster.owner(host, &plan.path()).await == Some(host) {
            keys.push(key);
        }
    }
    if keys.is_empty() {
        return Err("the node to saturate owns no key".into());
    }
    let failed = Arc::new(AtomicU64::new(0));
    let (before, start) = (cluster.hosts[host].process.usage(), Instant::now());
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..CALLERS {
        let (load, keys, failed) = (Arc::clone(load), keys.clone(), Arc::clone(&failed));
        callers.spawn(async move {
            let mut times = Vec::new();
            for &key in keys.iter().cycle().skip(caller) {
                if start.elapsed() > SATURATED {
                    break;
                }
                let sent = Instant::now();
                let plan = probe(&load, key);
                if matches!(load.exchange(plan, host).await, Some((End::Served, _))) {
                    times.push(sent.elapsed());
                } else {
                    failed.fetch_add(1, Ordering::Relaxed);
                }
            }
            times
        });
    }
    let times: Vec<Duration> = callers.join_all().await.into_iter().flatten().collect();
    let elapsed = start.elapsed().as_secs_f64();
    let after = cluster.hosts[host].process.usage();
    let cpu = after.cpu.saturating_sub(before.cpu);
    #[allow(clippy::cast_precision_loss, reason = "counts are small")]
    let count = times.len().max(1) as f64;
    let times = histogram(times);
    Ok(Saturation {
        requests_per_second: count / elapsed,
        cpu_us_per_request: cpu.as_secs_f64() * 1e6 / count,
        p50_ms: quantile(&times, 0.5),
        p99_ms: quantile(&times, 0.99),
        failed: failed.load(Ordering::Relaxed),
    })
}

/// Sends acknowledged operations again and counts those that do not get their
/// recorded response.
pub async fn replay(load: &Load) -> usize {
    let acknowledged = load.acknowledged.lock().expect("not poisoned").clone();
    let step = (acknowledged.len() / REPLAYED).max(1);
    let mut missing = 0;
    for plan in acknowledged.into_iter().step_by(step) {
        if !recorded(load, plan).await {
            missing += 1;
            let mut broken = load.broken.lock().expect("not poisoned");
            broken.note(|| format!("no recorded response: {plan:?}"));
        }
    }
    missing
}

async fn recorded(load: &Load, plan: Plan) -> bool {
    let living: Vec<usize> = (0..load.cluster.hosts.len())
        .filter(|&host| !load.cluster.hosts[host].is_lost())
        .collect();
    for _ in 0..TRIES {
        let host = living[rand::rng().random_range(0..living.len())];
        if matches!(load.exchange(plan, host).await, Some((End::Served, _))) {
            return true;
        }
        sleep(Duration::from_millis(200)).await;
    }
    false
}
