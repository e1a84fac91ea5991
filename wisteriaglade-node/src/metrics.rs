//! The metrics of a process, exposed in the Prometheus text format.

mod members;

use std::{
    sync::{Mutex, atomic::AtomicU64},
    time::Duration,
};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};
use wisteriaglade_router::Summary;
use wisteriaglade_types::{Name, Outcome};

use self::members::Members;
use crate::lock;

/// Histogram buckets in seconds. They are densest around 14 ms, the objective
/// for the 99th percentile of the request duration.
const BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.002, 0.004, 0.007, 0.010, 0.014, 0.020, 0.050, 0.100, 0.250, 0.500, 1.0, 5.0, 30.0,
];

/// The metrics of one process. The number of time series is bounded by the
/// members, the outcomes, the refusal reasons and the classes of work.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    requests: Family<ResponseLabels, Counter>,
    durations: Family<MemberLabels, Histogram, fn() -> Histogram>,
    refusals: Family<RefusalLabels, Counter>,
    /// Time that requests waited for a key to get an owner, in seconds.
    owner_wait: Histogram,
    pub(crate) members: Members,
    /// Shards that this node was granted.
    pub(crate) granted: Counter,
    /// Shards that this node lost or handed over.
    pub(crate) given_up: Counter,
    /// Responses of the target that were not those of their requests.
    pub(crate) foreign_responses: Counter,
    queued: Family<ClassLabels, Gauge>,
    running: Family<ClassLabels, Gauge>,
    /// Bytes of datagrams in both directions and of received control log entries.
    control_bytes: Counter,
    /// Requests that wait or run at the target.
    pub(crate) pending: Gauge,
    /// The current concurrency limit of the target.
    pub(crate) limit: Gauge,
    /// The rate limit that the target names; -1 if it names none.
    rate_limit: Gauge<f64, AtomicU64>,
    /// Whether the target is draining, or there is none.
    pub(crate) target_leaving: Gauge,
    pub(crate) malformed_limits: Counter,
    /// Shards that this node owns.
    pub(crate) shards: Gauge,
    /// 1 while this node holds its lease, else 0.
    pub(crate) lease: Gauge,
    /// The last applied index of the control log.
    pub(crate) applied: Gauge,
    /// The version of the rules in force.
    pub(crate) rules: Gauge,
    /// Bytes of the records that this node holds.
    pub(crate) records: Gauge,
}

/// Labels of `requests`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResponseLabels {
    member: String,
    outcome: String,
}

/// Labels of `request_duration`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MemberLabels {
    member: String,
}

/// Labels of `queued` and `running`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ClassLabels {
    class: &'static str,
}

/// Labels of `refusals`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    member: String,
    reason: String,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let metrics = Self {
            requests: Family::default(),
            durations: Family::new_with_constructor(|| Histogram::new(BUCKETS_SECONDS)),
            refusals: Family::default(),
            owner_wait: Histogram::new(BUCKETS_SECONDS),
            members: Members::default(),
            granted: Counter::default(),
            given_up: Counter::default(),
            foreign_responses: Counter::default(),
            queued: Family::default(),
            running: Family::default(),
            control_bytes: Counter::default(),
            pending: Gauge::default(),
            limit: Gauge::default(),
            rate_limit: Gauge::default(),
            target_leaving: Gauge::default(),
            malformed_limits: Counter::default(),
            shards: Gauge::default(),
            lease: Gauge::default(),
            applied: Gauge::default(),
            rules: Gauge::default(),
            records: Gauge::default(),
            registry: Mutex::new(Registry::default()),
        };
        let mut registry = Registry::with_prefix("wisteriaglade");
        metrics.register_requests(&mut registry);
        metrics.members.register(&mut registry);
        metrics.register_gauges(&mut registry);
        *lock(&metrics.registry) = registry;
        metrics
    }

    fn register_requests(&self, registry: &mut Registry) {
        registry.register(
            "control_bytes",
            "Bytes of datagrams sent and received and of control entries received",
            self.control_bytes.clone(),
        );
        registry.register(
            "requests",
            "Requests answered to callers, by outcome",
            self.requests.clone(),
        );
        registry.register_with_unit(
            "request_duration",
            "Time from the arrival of a request to the start of its response",
            Unit::Seconds,
            self.durations.clone(),
        );
        registry.register(
            "refusals",
            "Requests refused by the admission queue of the target",
            self.refusals.clone(),
        );
        registry.register_with_unit(
            "owner_wait",
            "Time that requests waited for a key to get an owner",
            Unit::Seconds,
            self.owner_wait.clone(),
        );
        registry.register(
            "shards_granted",
            "Shards that this node was granted",
            self.granted.clone(),
        );
        registry.register(
            "shards_given_up",
            "Shards that this node lost or handed over",
            self.given_up.clone(),
        );
        registry.register(
            "foreign_responses",
            "Responses of the target that were not those of their requests",
            self.foreign_responses.clone(),
        );
        registry.register(
            "queued",
            "Requests that wait at the target, by the class of their work",
            self.queued.clone(),
        );
        registry.register(
            "running",
            "Requests that run at the target, by the class of their work",
            self.running.clone(),
        );
    }

    fn register_gauges(&self, registry: &mut Registry) {
        for (name, help, gauge) in [
            (
                "pending",
                "Requests that wait or run at the target",
                &self.pending,
            ),
            (
                "limit",
                "Requests that may run at the target at once",
                &self.limit,
            ),
            (
                "target_leaving",
                "Whether the target is leaving, or there is none",
                &self.target_leaving,
            ),
            ("shards", "Shards that this node owns", &self.shards),
            ("lease", "Whether this node holds its lease", &self.lease),
            (
                "applied_index",
                "The last applied index of the control log",
                &self.applied,
            ),
            (
                "rules_version",
                "The version of the rules in force",
                &self.rules,
            ),
            (
                "record_bytes",
                "Memory for records held for other nodes",
                &self.records,
            ),
        ] {
            registry.register(name, help, gauge.clone());
        }
        registry.register(
            "rate_limit",
            "Requests per second that the target takes; -1 if it names no limit",
            self.rate_limit.clone(),
        );
        registry.register(
            "malformed_limits",
            "Responses of the target with a limit that cannot be decoded",
            self.malformed_limits.clone(),
        );
    }

    /// Counts a response to a caller, and records the time from the arrival of the
    /// request to the start of the response.
    pub(crate) fn record_response(&self, member: &Name, outcome: Outcome, elapsed: Duration) {
        self.requests
            .get_or_create(&ResponseLabels {
                member: member.to_string(),
                outcome: outcome.to_string(),
            })
            .inc();
        self.durations
            .get_or_create(&MemberLabels {
                member: member.to_string(),
            })
            .observe(elapsed.as_secs_f64());
    }

    /// Counts bytes of control traffic: datagrams and control log entries, but no
    /// requests.
    pub(crate) fn add_control_bytes(&self, bytes: u64) {
        self.control_bytes.inc_by(bytes);
    }

    /// Records how long a request waited for an owner.
    pub(crate) fn record_owner_wait(&self, wait: Duration) {
        self.owner_wait.observe(wait.as_secs_f64());
    }

    /// Updates the gauges of the admission queue.
    pub(crate) fn update_queue(&self, summary: &Summary) {
        self.limit.set(i64::from(summary.limit));
        self.rate_limit.set(summary.rate_limit.unwrap_or(-1.0));
        let set = |family: &Family<ClassLabels, Gauge>, class, number: i64| {
            family.get_or_create(&ClassLabels { class }).set(number);
        };
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        set(&self.queued, "short", count(summary.queued_short));
        set(&self.queued, "long", count(summary.queued_long));
        set(&self.running, "short", i64::from(summary.running_short));
        set(&self.running, "long", i64::from(summary.running_long));
    }

    /// Counts a refusal by the admission queue.
    pub(crate) fn record_refusal(&self, member: &Name, reason: &str) {
        self.refusals
            .get_or_create(&RefusalLabels {
                member: member.to_string(),
                reason: reason.to_owned(),
            })
            .inc();
    }

    /// Returns all metrics in the text format.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &lock(&self.registry));
        text
    }
}
