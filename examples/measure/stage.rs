//! The stages of a run other than the callers' load: idle nodes, overhead of the
//! router, saturation of one node, readings of concurrency limits, and replay of
//! recorded responses.

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
    fault::probe_request,
    load::{Load, Outcome, RequestSpec},
};

/// The number of request pairs, one through the router and one directly to a
/// target, that measure the router's overhead.
const OVERHEAD_PAIRS: usize = 600;

/// How long idle nodes are observed.
const IDLE_DURATION: Duration = Duration::from_secs(2);

/// How long one node is saturated, and by how many callers. Each caller sends its
/// next request when the last one is answered.
const SATURATION_DURATION: Duration = Duration::from_millis(1_500);
const SATURATION_CALLERS: usize = 48;

/// The number of keys that the requests to a saturated node use.
const SATURATION_KEYS: usize = 32;

/// About how many acknowledged operations are resent after the run, and the most
/// attempts for each one.
const REPLAYED_OPERATIONS: usize = 200;
const REPLAY_ATTEMPTS: usize = 5;

/// Latencies through the router and directly to a target.
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
    /// Router minus target, quantile by quantile.
    pub p50_ms: f64,
    pub p99_ms: f64,
}

/// The cost of an idle node: CPU time, memory and control traffic.
#[derive(Debug, Clone, Serialize)]
pub struct Idle {
    /// The mean over nodes without a control replica, in per cent of one core.
    pub node_cpu_percent: f64,
    /// The maximum over nodes with a control replica, in per cent of one core.
    pub replica_cpu_percent: f64,
    pub node_resident_mb: f64,
    pub replica_resident_mb: f64,
    /// Control bytes per second, sent and received; absent if the node exports no
    /// such metric.
    pub node_control_bytes: Option<f64>,
    pub replica_control_bytes: Option<f64>,
}

/// The throughput and cost of one node under a closed loop of requests that need
/// no work.
#[derive(Debug, Clone, Serialize)]
pub struct Saturation {
    pub requests_per_second: f64,
    pub cpu_us_per_request: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub failed: u64,
}

/// Returns a quantile, in milliseconds, of a histogram in microseconds.
pub fn quantile(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    #[allow(clippy::cast_precision_loss, reason = "latencies are below 2^53 µs")]
    let micros = histogram.value_at_quantile(quantile) as f64;
    micros / 1_000.0
}

/// Builds a histogram of durations in microseconds.
pub fn histogram(durations: impl IntoIterator<Item = Duration>) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("three digits are valid");
    for duration in durations {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        // A histogram without an upper bound resizes itself.
        histogram.record(micros).expect("a histogram without bound");
    }
    histogram
}

/// Measures the router's overhead: sends the same requests through a random node
/// and directly to a target.
pub async fn overhead(load: &Load) -> Result<Overhead, Error> {
    let cluster = &load.cluster;
    let (mut router, mut target) = (Vec::new(), Vec::new());
    for pair in 0..OVERHEAD_PAIRS {
        let spec = probe_request(load, pair % SATURATION_KEYS);
        let path = spec.path();
        let work = ("measure-work", "0");
        let operation = spec.operation.to_string();
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
                return Err(
                    format!("overhead measurement: {} {}", answer.status, answer.text()).into(),
                );
            }
            // The first sixth of the pairs is left out, since these requests
            // open connections.
            if pair >= OVERHEAD_PAIRS / 6 {
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

/// Measures CPU time, memory and control traffic of the nodes while they are idle.
pub async fn idle(cluster: &Cluster) -> Idle {
    let before = readings(cluster).await;
    sleep(IDLE_DURATION).await;
    let after = readings(cluster).await;
    let mut groups = [HostGroup::default(), HostGroup::default()];
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

/// Sums over a group of hosts. `highest` is the largest CPU share of one host.
#[derive(Debug, Default)]
struct HostGroup {
    hosts: f64,
    cpu: f64,
    highest: f64,
    resident: f64,
    bytes: Option<f64>,
}

impl HostGroup {
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
            bytes: metrics
                .ok()
                .and_then(|answer| parse_control_bytes(&answer.text())),
        });
    }
    readings
}

/// Returns the control bytes in a metrics document, summed over all labels.
fn parse_control_bytes(metrics: &str) -> Option<f64> {
    let lines = metrics.lines();
    let bytes = lines.filter(|line| line.starts_with("wisteriaglade_control_bytes"));
    bytes
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .reduce(|sum, bytes| sum + bytes)
}

/// The interval between two readings of the concurrency limits.
const LIMIT_READ_INTERVAL: Duration = Duration::from_millis(200);

/// A reading of a concurrency limit: the time on the clock of the execution
/// history, the host, and the limit.
pub type LimitReading = (Duration, usize, u32);

/// The readings of the concurrency limits of all nodes.
#[derive(Debug, Default)]
pub struct LimitReadings(Mutex<Vec<LimitReading>>);

impl LimitReadings {
    /// Reads the limits at a fixed interval until the future is dropped.
    pub async fn poll(&self, cluster: &Cluster) {
        let mut ticks = tokio::time::interval(LIMIT_READ_INTERVAL);
        loop {
            ticks.tick().await;
            for (position, host) in cluster.hosts.iter().enumerate() {
                if host.is_lost() {
                    continue;
                }
                let admin = host.process.addresses.admin;
                let metrics = cluster.client.send(admin, "GET", "/metrics", &[], "").await;
                let limit = metrics.ok().and_then(|answer| parse_limit(&answer.text()));
                if let Some(limit) = limit {
                    let reading = (cluster.history.now(), position, limit);
                    self.0.lock().expect("not poisoned").push(reading);
                }
            }
        }
    }

    pub fn take(&self) -> Vec<LimitReading> {
        std::mem::take(&mut self.0.lock().expect("not poisoned"))
    }
}

/// Returns the concurrency limit in a metrics document.
fn parse_limit(metrics: &str) -> Option<u32> {
    let mut lines = metrics.lines();
    let value = lines.find_map(|line| line.strip_prefix("wisteriaglade_limit "))?;
    value.parse().ok()
}

/// Saturates one node with requests for keys that it owns. The requests need no
/// work, so that the node and not the target limits the throughput.
pub async fn saturation(load: &Arc<Load>) -> Result<Saturation, Error> {
    let host = load.workload.hosts.iter().rposition(|host| host.pool == 0);
    let host = host.expect("the first pool has hosts");
    let cluster = &load.cluster;
    let mut keys = Vec::new();
    for key in 0..SATURATION_KEYS * 12 {
        let spec = probe_request(load, key);
        if keys.len() < SATURATION_KEYS && cluster.owner(host, &spec.path()).await == Some(host) {
            keys.push(key);
        }
    }
    if keys.is_empty() {
        return Err("the node to saturate owns no key".into());
    }
    let failed = Arc::new(AtomicU64::new(0));
    let (before, start) = (cluster.hosts[host].process.usage(), Instant::now());
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..SATURATION_CALLERS {
        let (load, keys, failed) = (Arc::clone(load), keys.clone(), Arc::clone(&failed));
        callers.spawn(async move {
            let mut times = Vec::new();
            for &key in keys.iter().cycle().skip(caller) {
                if start.elapsed() > SATURATION_DURATION {
                    break;
                }
                let sent = Instant::now();
                let spec = probe_request(&load, key);
                if matches!(load.send_to(spec, host).await, Some((Outcome::Served, _))) {
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

/// Resends a sample of the acknowledged operations and counts those that do not
/// get their recorded response.
pub async fn replay(load: &Load) -> usize {
    let acknowledged = load.acknowledged.lock().expect("not poisoned").clone();
    let step = (acknowledged.len() / REPLAYED_OPERATIONS).max(1);
    let mut missing = 0;
    for spec in acknowledged.into_iter().step_by(step) {
        if !is_replayed(load, spec).await {
            missing += 1;
            let mut violations = load.violations.lock().expect("not poisoned");
            violations.add_sample(|| format!("no recorded response: {spec:?}"));
        }
    }
    missing
}

async fn is_replayed(load: &Load, spec: RequestSpec) -> bool {
    let live_hosts: Vec<usize> = (0..load.cluster.hosts.len())
        .filter(|&host| !load.cluster.hosts[host].is_lost())
        .collect();
    for _ in 0..REPLAY_ATTEMPTS {
        let host = live_hosts[rand::rng().random_range(0..live_hosts.len())];
        if matches!(load.send_to(spec, host).await, Some((Outcome::Served, _))) {
            return true;
        }
        sleep(Duration::from_millis(200)).await;
    }
    false
}
