//! The metrics of a process and the HTTP service that exposes them.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use tracing::warn;
use wisteriaglade_mesh::Notice;

use crate::server::Service;

/// Upper bounds of the latency histograms' buckets in seconds, from the latency
/// of one hop to the longest time limit that rules commonly have.
const LATENCY_BUCKETS_SECONDS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 5.0,
];

/// The labels of `requests`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    /// The name of the rule.
    pub(crate) rule: String,
    /// The outcome of the request.
    pub(crate) outcome: &'static str,
}

/// The labels of `rejections`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RejectionLabels {
    /// The reason of the refusal.
    pub(crate) reason: &'static str,
}

/// The labels of `grant_calls`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct GrantCallLabels {
    /// `grant` or `release`.
    pub(crate) call: &'static str,
    /// What the response says about the effect of the call.
    pub(crate) outcome: &'static str,
}

/// The metrics of a process. A process sets only those of its kind; the others
/// stay 0. The help texts in [`Metrics::register`] say what each one holds.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    pub(crate) requests: Family<RequestLabels, Counter>,
    pub(crate) rejections: Family<RejectionLabels, Counter>,
    pub(crate) repeats: Counter,
    pub(crate) foreign_responses: Counter,
    pub(crate) latency: Histogram,
    pub(crate) queue_time: Histogram,
    pub(crate) target_time: Histogram,
    pub(crate) target_requests: Counter,
    pub(crate) target_refusals: Counter,
    pub(crate) target_limit: Gauge<f64, AtomicU64>,
    pub(crate) target_leaving: Gauge,
    pub(crate) malformed_limits: Counter,
    pub(crate) running: Gauge,
    pub(crate) waiting: Gauge,
    pub(crate) plan_version: Gauge,
    pub(crate) directory_index: Gauge,
    pub(crate) lease_left: Gauge,
    pub(crate) grant_calls: Family<GrantCallLabels, Counter>,
    pub(crate) held_ranges: Gauge,
    pub(crate) unheld_ranges: Gauge,
    pub(crate) leading: Gauge,
    pub(crate) log_index: Gauge,
}

impl Metrics {
    /// Registers all metrics with their initial values.
    pub(crate) fn new() -> Arc<Self> {
        let latency = || Histogram::new(LATENCY_BUCKETS_SECONDS);
        let mut metrics = Self {
            registry: Registry::with_prefix("wisteriaglade"),
            requests: Family::default(),
            rejections: Family::default(),
            repeats: Counter::default(),
            foreign_responses: Counter::default(),
            latency: latency(),
            queue_time: latency(),
            target_time: latency(),
            target_requests: Counter::default(),
            target_refusals: Counter::default(),
            target_limit: Gauge::default(),
            target_leaving: Gauge::default(),
            malformed_limits: Counter::default(),
            running: Gauge::default(),
            waiting: Gauge::default(),
            plan_version: Gauge::default(),
            directory_index: Gauge::default(),
            lease_left: Gauge::default(),
            grant_calls: Family::default(),
            held_ranges: Gauge::default(),
            unheld_ranges: Gauge::default(),
            leading: Gauge::default(),
            log_index: Gauge::default(),
        };
        metrics.register();
        Arc::new(metrics)
    }

    /// Sets the numbers of key ranges that the target holds and does not hold.
    pub(crate) fn set_ranges(&self, held: usize, unheld: usize) {
        let count = |ranges| i64::try_from(ranges).unwrap_or(i64::MAX);
        self.held_ranges.set(count(held));
        self.unheld_ranges.set(count(unheld));
    }

    /// Sets what the target says of itself in its answers.
    pub(crate) fn set_notice(&self, notice: Notice) {
        self.target_limit.set(notice.rate_limit.unwrap_or(-1.0));
        self.target_leaving.set(notice.leaving.into());
    }

    /// Registers the metrics of the host's own target.
    fn register_target(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "target_requests",
            "Requests sent to the target",
            self.target_requests.clone(),
        );
        registry.register(
            "target_refusals",
            "Requests that the target itself refused",
            self.target_refusals.clone(),
        );
        registry.register(
            "target_limit_per_second",
            "Requests per second that the target takes; -1 if it names no limit",
            self.target_limit.clone(),
        );
        registry.register(
            "target_leaving",
            "Whether the target is leaving",
            self.target_leaving.clone(),
        );
        registry.register(
            "malformed_limits",
            "Answers of the target with a limit that cannot be decoded",
            self.malformed_limits.clone(),
        );
        registry.register(
            "target_running",
            "Requests that the target runs",
            self.running.clone(),
        );
        registry.register(
            "target_waiting",
            "Requests that wait for the target",
            self.waiting.clone(),
        );
    }

    fn register(&mut self) {
        self.register_target();
        let registry = &mut self.registry;
        registry.register("requests", "Requests of callers", self.requests.clone());
        registry.register(
            "rejections",
            "Requests that the target's host rejected",
            self.rejections.clone(),
        );
        registry.register(
            "repeats",
            "Requests sent to a second target",
            self.repeats.clone(),
        );
        registry.register(
            "foreign_responses",
            "Responses of the target that belong to another request",
            self.foreign_responses.clone(),
        );
        registry.register(
            "request_seconds",
            "From the request to the answer",
            self.latency.clone(),
        );
        registry.register(
            "queue_seconds",
            "Time in the queue of the target's host",
            self.queue_time.clone(),
        );
        registry.register(
            "target_seconds",
            "Time of the target",
            self.target_time.clone(),
        );
        registry.register(
            "plan_version",
            "The plan in force",
            self.plan_version.clone(),
        );
        registry.register(
            "directory_index",
            "The log entry that the directory reflects",
            self.directory_index.clone(),
        );
        registry.register(
            "lease_milliseconds",
            "How long the lease of the target's keys lasts",
            self.lease_left.clone(),
        );
        registry.register(
            "grant_calls",
            "Calls that grant key ranges to the target or take them back",
            self.grant_calls.clone(),
        );
        registry.register(
            "held_ranges",
            "Key ranges that the target holds by calls that it has answered",
            self.held_ranges.clone(),
        );
        registry.register(
            "unheld_ranges",
            "Key ranges that are assigned to the target and that it does not hold",
            self.unheld_ranges.clone(),
        );
        registry.register(
            "leading",
            "Whether this control replica leads",
            self.leading.clone(),
        );
        registry.register(
            "log_index",
            "The last applied entry of the control log",
            self.log_index.clone(),
        );
    }
}

/// Serves the metrics in the text format, whatever the path of the request.
#[derive(Debug, Clone)]
pub(crate) struct Endpoint(pub(crate) Arc<Metrics>);

impl Service for Endpoint {
    async fn answer(&self, _: SocketAddr, _: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.0.registry) {
            warn!(event = "metrics-unencodable", error = %error);
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            return response;
        }
        Response::new(Full::new(Bytes::from(text)))
    }
}
