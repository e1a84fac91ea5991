//! Generates the load of the callers: an open arrival process with a cap on the
//! requests in flight.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use http::StatusCode;
use rand::{RngExt as _, SeedableRng, rngs::StdRng};
use tokio::time::{sleep, timeout};
use tokio_util::task::TaskTracker;

use crate::{
    client::{Answer, Error},
    cluster::Cluster,
    history::Violations,
    target,
    workload::{self, Keys, Phase, Route, SHARED_LOAD, Workload},
};

/// The cap on requests in flight. At the cap, a new request is counted as skipped
/// and not sent.
const MAX_IN_FLIGHT: usize = 2_000;

/// The share of at-most-once requests that are resent, whatever their outcome.
const RESEND_SHARE: f64 = 0.1;

/// The number of callers of each member, told apart by the `wg-caller` header.
const CALLER_COUNT: u64 = 40;

/// The most attempts of a caller while the outcome of its request is unknown.
const MAX_ATTEMPTS: usize = 3;

/// How long callers avoid a node that did not answer.
const AVOID_DURATION: Duration = Duration::from_secs(1);

/// How long callers wait for an answer after the deadline.
const ANSWER_GRACE: Duration = Duration::from_millis(300);

/// The time step of the arrival process.
const ARRIVAL_STEP: Duration = Duration::from_millis(1);

/// The outcome of a request as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered 200 with `done`.
    Served,
    /// Answered with `not-run`.
    Refused,
    /// Answered with another outcome such as `unknown`, or not at all.
    Unknown,
}

/// The result of one request as its caller saw it. `work` is in units of mean
/// short work.
#[derive(Debug, Clone)]
pub struct Sample {
    pub phase: Phase,
    pub route: Route,
    pub work: f64,
    pub latency: Duration,
    pub outcome: Outcome,
    pub reason: Reason,
}

/// The reason of a refusal or of an unknown outcome; absent for served requests.
pub type Reason = Option<Arc<str>>;

/// A request to send. `work` is in units of mean short work, and `operation` is
/// the same for every resend.
#[derive(Debug, Clone, Copy)]
pub struct RequestSpec {
    pub phase: Phase,
    pub route: Route,
    pub key: usize,
    pub work: f64,
    pub operation: u64,
}

impl RequestSpec {
    pub fn path(&self) -> String {
        let [before, after] = self.route.path;
        format!("{before}{}{after}", self.key)
    }

    fn deadline(&self) -> Duration {
        Duration::from_secs(if self.route.once || self.route.learned {
            4
        } else {
            2
        })
    }
}

/// The callers of one cluster and what they observed.
#[derive(Debug)]
pub struct Load {
    pub cluster: Arc<Cluster>,
    pub workload: Workload,
    pub keys: Keys,
    pub samples: Mutex<Vec<Sample>>,
    pub violations: Mutex<Violations>,
    /// Attempts that were answered with `not-run`.
    pub refused: Mutex<Vec<u64>>,
    /// At-most-once requests that were answered with `done`.
    pub acknowledged: Mutex<Vec<RequestSpec>>,
    /// The number of requests that were not sent because of the cap.
    pub skipped: AtomicU64,
    in_flight: AtomicUsize,
    operations: AtomicU64,
    attempts: AtomicU64,
    /// Until when callers avoid each host, in milliseconds since the start of the
    /// execution history.
    avoided: Vec<AtomicU64>,
    tasks: TaskTracker,
}

impl Load {
    pub fn new(cluster: Arc<Cluster>, workload: Workload) -> Arc<Self> {
        Arc::new(Self {
            avoided: cluster.hosts.iter().map(|_| AtomicU64::new(0)).collect(),
            cluster,
            workload,
            keys: Keys::new(),
            samples: Mutex::default(),
            violations: Mutex::default(),
            refused: Mutex::default(),
            acknowledged: Mutex::default(),
            skipped: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
            operations: AtomicU64::new(1),
            attempts: AtomicU64::new(1),
            tasks: TaskTracker::new(),
        })
    }

    /// Sends the requests of all phases and waits for every answer.
    pub async fn run(self: &Arc<Self>, seconds: f64, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut sources = self.sources(&mut rng);
        let start = Instant::now();
        let mut ticks = tokio::time::interval(ARRIVAL_STEP);
        let mut last = 0.0;
        loop {
            ticks.tick().await;
            let now = start.elapsed().as_secs_f64();
            let share = now / seconds;
            if share >= 1.0 {
                break;
            }
            let phase = Phase::at(share);
            for source in &mut sources {
                let rate = source.rate(&self.workload, &self.keys, phase, share, seconds);
                source.next_arrival -= rate * (now - last);
                while source.next_arrival <= 0.0 {
                    source.next_arrival += exponential_gap(&mut rng);
                    let spec = self.draw_request(source, phase, share, &mut rng);
                    self.send(spec, &mut rng);
                }
            }
            last = now;
        }
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn sources(&self, rng: &mut StdRng) -> Vec<Source> {
        let own = (0..self.workload.pools.len()).map(|pool| (pool, false));
        own.chain([(0, true)])
            .map(|(pool, second_member)| Source {
                pool,
                second_member,
                next_arrival: exponential_gap(rng),
            })
            .collect()
    }

    fn draw_request(
        &self,
        source: &Source,
        phase: Phase,
        share: f64,
        rng: &mut StdRng,
    ) -> RequestSpec {
        let route = if source.second_member {
            self.workload.second_member
        } else {
            self.workload.route(source.pool, rng)
        };
        let key = self.keys.draw(workload::generation(share), rng);
        RequestSpec {
            phase,
            route,
            key,
            work: workload::work(&route, key, phase != Phase::Plain, rng),
            operation: self.operation(),
        }
    }

    /// Returns the number of a new operation.
    pub fn operation(&self) -> u64 {
        self.operations.fetch_add(1, Ordering::Relaxed)
    }

    fn send(self: &Arc<Self>, spec: RequestSpec, rng: &mut StdRng) {
        if self.in_flight.fetch_add(1, Ordering::Relaxed) >= MAX_IN_FLIGHT {
            self.in_flight.fetch_sub(1, Ordering::Relaxed);
            self.skipped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let resend = spec.route.once && rng.random_bool(RESEND_SHARE);
        let pause = MAX_RESEND_DELAY.mul_f64(rng.random::<f64>());
        let load = Arc::clone(self);
        self.tasks.spawn(async move {
            let sent = load.cluster.history.now();
            let again = async {
                if resend {
                    sleep(pause).await;
                    load.call(spec).await;
                }
            };
            let first = async {
                let (outcome, reason) = load.call(spec).await;
                let latency = load.cluster.history.now().saturating_sub(sent);
                let sample = Sample {
                    phase: spec.phase,
                    route: spec.route,
                    work: spec.work,
                    latency,
                    outcome,
                    reason,
                };
                load.samples.lock().expect("not poisoned").push(sample);
            };
            tokio::join!(first, again);
            load.in_flight.fetch_sub(1, Ordering::Relaxed);
        });
    }

    /// Sends a request as a caller does: it tries another node while there is no
    /// answer or the outcome is unknown, up to the cap on attempts.
    pub async fn call(&self, spec: RequestSpec) -> (Outcome, Reason) {
        let mut last = None;
        for _ in 0..MAX_ATTEMPTS {
            let host = self.pick_node();
            match self.attempt(spec, host).await {
                Some((Outcome::Unknown, reason)) => last = reason,
                Some(ended) => return ended,
                None => last = Some("no-answer".into()),
            }
        }
        (Outcome::Unknown, last)
    }

    /// Sends a request to one node with the network latency of a caller. Returns
    /// `None` if there is no answer.
    pub async fn attempt(&self, spec: RequestSpec, host: usize) -> Option<(Outcome, Reason)> {
        sleep(self.workload.latency).await;
        let outcome = self.send_to(spec, host).await;
        sleep(self.workload.latency).await;
        outcome
    }

    /// Sends a request to one node without added latency. Returns `None` if there
    /// is no answer.
    pub async fn send_to(&self, spec: RequestSpec, host: usize) -> Option<(Outcome, Reason)> {
        let attempt = self.attempts.fetch_add(1, Ordering::Relaxed);
        match timeout(
            spec.deadline() + ANSWER_GRACE,
            self.transmit(spec, host, attempt),
        )
        .await
        {
            Ok(Ok(answer)) => Some(self.classify(spec, attempt, &answer)),
            Ok(Err(error)) => {
                self.avoid(host);
                self.record_failure(host, &error);
                None
            }
            Err(_) => {
                self.avoid(host);
                None
            }
        }
    }

    async fn transmit(
        &self,
        spec: RequestSpec,
        host: usize,
        attempt: u64,
    ) -> Result<Answer, Error> {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "work is positive and small"
        )]
        let work = ((spec.work * 1_000.0) as u64).to_string();
        let operation = spec.operation.to_string();
        let attempt = attempt.to_string();
        let deadline = spec.deadline().as_millis().to_string();
        let caller = format!("caller-{}", spec.operation % CALLER_COUNT);
        let mut headers = vec![
            ("wg-caller", caller.as_str()),
            ("measure-work", work.as_str()),
            ("measure-operation", operation.as_str()),
            ("measure-attempt", attempt.as_str()),
            ("wg-deadline-ms", deadline.as_str()),
        ];
        if spec.route.once {
            headers.push(("idempotency-key", operation.as_str()));
        }
        let address = self.cluster.hosts[host].process.addresses.caller;
        let (method, path) = (spec.route.method, spec.path());
        self.cluster
            .client
            .send(address, method, &path, &headers, "strings=4")
            .await
    }

    fn classify(&self, spec: RequestSpec, attempt: u64, answer: &Answer) -> (Outcome, Reason) {
        let reason = || answer.json()["reason"].as_str().map(Arc::from);
        match answer.outcome() {
            "done" if answer.status == StatusCode::OK => {
                if answer.text() != target::response_body(spec.operation, spec.key) {
                    let mut violations = self.violations.lock().expect("not poisoned");
                    violations.wrong_answer += 1;
                    violations
                        .add_sample(|| format!("wrong answer: {spec:?} got {}", answer.text()));
                }
                if spec.route.once {
                    self.acknowledged.lock().expect("not poisoned").push(spec);
                }
                (Outcome::Served, None)
            }
            "not-run" => {
                self.refused.lock().expect("not poisoned").push(attempt);
                (Outcome::Refused, reason())
            }
            _ => (Outcome::Unknown, reason()),
        }
    }

    /// Records a failed request as a violation, unless a process was lost and may
    /// have closed the connection.
    fn record_failure(&self, host: usize, error: &Error) {
        if self.cluster.hosts.iter().any(crate::cluster::Host::is_lost) {
            return;
        }
        let name = self.cluster.hosts[host].name;
        let mut violations = self.violations.lock().expect("not poisoned");
        violations.failed_requests += 1;
        violations.add_sample(|| format!("request failed at {name}: {error:?}"));
    }

    fn avoid(&self, host: usize) {
        let until = (self.cluster.history.now() + AVOID_DURATION).as_millis();
        self.avoided[host].store(u64::try_from(until).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    /// Chooses a random node that callers do not avoid at present, if one is found
    /// in a few draws.
    pub fn pick_node(&self) -> usize {
        let now = self.cluster.history.now().as_millis();
        let mut rng = rand::rng();
        let mut host = 0;
        for _ in 0..self.avoided.len() * 2 {
            host = rng.random_range(0..self.avoided.len());
            if u128::from(self.avoided[host].load(Ordering::Relaxed)) <= now {
                break;
            }
        }
        host
    }
}

/// The longest delay before a request is resent. Some resends arrive while the
/// first request runs, others after its end.
const MAX_RESEND_DELAY: Duration = Duration::from_millis(150);

/// A stream of arrivals for one pool.
#[derive(Debug)]
struct Source {
    pool: usize,
    /// Whether the requests are those of the second member, which shares the
    /// first pool.
    second_member: bool,
    /// The gap until the next arrival, in units of the mean gap.
    next_arrival: f64,
}

impl Source {
    /// The arrivals per second at `share` of a run of `seconds` seconds.
    fn rate(
        &self,
        workload: &Workload,
        keys: &Keys,
        phase: Phase,
        share: f64,
        seconds: f64,
    ) -> f64 {
        let shared = phase == Phase::Shared && self.pool == 0;
        match (self.second_member, shared) {
            (true, false) => 0.0,
            (true, true) => workload.rate(0, SHARED_LOAD, keys) / 10.0,
            (false, true) => workload.rate(0, SHARED_LOAD, keys),
            (false, false) => workload.rate(self.pool, phase.level(share, seconds), keys),
        }
    }
}

/// Draws an exponential gap of mean 1, so that arrivals are a Poisson process.
fn exponential_gap(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
