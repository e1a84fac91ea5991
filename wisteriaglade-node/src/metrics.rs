//! Metrics in the Prometheus text format.

use std::{sync::Mutex, time::Duration};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};
use wisteriaglade_types::{Name, Outcome};

use crate::lock;

/// Buckets of request durations in seconds, dense around the 14 ms that 99 in
/// 100 requests must meet.
const BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.004, 0.007, 0.010, 0.014, 0.020, 0.050, 0.100, 0.250, 0.500, 1.0, 5.0, 30.0,
];

/// The metrics of one process. Label sets are bounded by the members, the
/// outcomes and the reasons of refusals.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    requests: Family<Answer, Counter>,
    durations: Family<Member, Histogram, fn() -> Histogram>,
    refusals: Family<Refused, Counter>,
    /// Datagrams in both directions and the entries of the control log.
    control: Counter,
    pub(crate) pending: Gauge,
    pub(crate) limit: Gauge,
    pub(crate) shards: Gauge,
    pub(crate) lease: Gauge,
    pub(crate) applied: Gauge,
    pub(crate) rules: Gauge,
    pub(crate) records: Gauge,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Answer {
    member: String,
    outcome: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Member {
    member: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Refused {
    member: String,
    reason: String,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("wisteriaglade");
        let metrics = Self {
            requests: Family::default(),
            durations: Family::new_with_constructor(|| Histogram::new(BUCKETS)),
            refusals: Family::default(),
            control: Counter::default(),
            pending: Gauge::default(),
            limit: Gauge::default(),
            shards: Gauge::default(),
            lease: Gauge::default(),
            applied: Gauge::default(),
            rules: Gauge::default(),
            records: Gauge::default(),
            registry: Mutex::new(Registry::default()),
        };
        registry.register(
            "control_bytes",
            "Bytes of datagrams sent and received and of control entries received",
            metrics.control.clone(),
        );
        registry.register(
            "requests",
            "Requests answered to callers, by outcome",
            metrics.requests.clone(),
        );
        registry.register_with_unit(
            "request_duration",
            "Time from the arrival of a request to the start of its response",
            Unit::Seconds,
            metrics.durations.clone(),
        );
        registry.register(
            "refusals",
            "Requests refused by the admission queue of the target",
            metrics.refusals.clone(),
        );
        for (name, help, gauge) in [
            (
                "pending",
                "Requests that wait or run at the target",
                &metrics.pending,
            ),
            (
                "limit",
                "Requests that may run at the target at once",
                &metrics.limit,
            ),
            ("shards", "Shards that this node owns", &metrics.shards),
            ("lease", "Whether this node holds its lease", &metrics.lease),
            (
                "applied_index",
                "The last applied index of the control log",
                &metrics.applied,
            ),
            (
                "rules_version",
                "The version of the rules in force",
                &metrics.rules,
            ),
            (
                "record_bytes",
                "Memory for records held for other nodes",
                &metrics.records,
            ),
        ] {
            registry.register(name, help, gauge.clone());
        }
        *lock(&metrics.registry) = registry;
        metrics
    }

    /// Counts an answer to a caller.
    pub(crate) fn answered(&self, member: &Name, outcome: Outcome, elapsed: Duration) {
        self.requests
            .get_or_create(&Answer {
                member: member.to_string(),
                outcome: outcome.to_string(),
            })
            .inc();
        self.durations
            .get_or_create(&Member {
                member: member.to_string(),
            })
            .observe(elapsed.as_secs_f64());
    }

    /// Counts bytes that keep this node a member, as opposed to requests.
    pub(crate) fn control(&self, bytes: u64) {
        self.control.inc_by(bytes);
    }

    /// Counts a refusal by the admission queue.
    pub(crate) fn refused(&self, member: &Name, reason: &str) {
        self.refusals
            .get_or_create(&Refused {
                member: member.to_string(),
                reason: reason.to_owned(),
            })
            .inc();
    }

    /// All metrics as text.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &lock(&self.registry));
        text
    }
}
