//! A simulated target with a configurable speed, a cold start, delayed load
//! reports and faults. It records every execution in the history.

use std::{
    collections::{HashMap, VecDeque},
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use crate::{
    client::Client,
    history::{Execution, History},
    workload::SHORT_WORK_TIME,
};

/// The time a target takes to set up a new connection.
const CONNECT_COST: Duration = Duration::from_millis(1);

/// How long the cold start of a target lasts.
const COLD_START: Duration = Duration::from_millis(500);

/// The factor by which work takes longer during a cold start.
const COLD_FACTOR: f64 = 3.0;

/// The interval of load reports, and their age when they are sent.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const REPORT_DELAY: Duration = Duration::from_secs(1);

/// The connection limit that a target announces.
const MAX_CONNECTIONS: u32 = 110;

/// The fixed properties of a target. `host` and `pool` are positions in the
/// workload, and `name` is that of the pool.
#[derive(Debug, Clone)]
pub struct Config {
    pub host: usize,
    pub pool: usize,
    pub name: &'static str,
    pub slots: u32,
    pub speed: f64,
}

/// A running target that listens on a loopback port.
#[derive(Debug)]
pub struct Target {
    pub address: SocketAddr,
    config: Config,
    history: Arc<History>,
    started: Instant,
    slots: Semaphore,
    queued: AtomicU32,
    running: AtomicU32,
    /// Whether the target accepts requests without ever answering them.
    unresponsive: AtomicBool,
    /// The highest epoch seen of each shard, for the check of fencing tokens.
    epochs: Mutex<HashMap<u32, u64>>,
    stop: CancellationToken,
}

impl Target {
    /// Starts a target on a free port.
    pub async fn start(config: Config, history: Arc<History>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let target = Arc::new(Self {
            address: listener.local_addr()?,
            slots: Semaphore::new(config.slots as usize),
            config,
            history,
            started: Instant::now(),
            queued: AtomicU32::new(0),
            running: AtomicU32::new(0),
            unresponsive: AtomicBool::new(false),
            epochs: Mutex::default(),
            stop: CancellationToken::new(),
        });
        tokio::spawn(accept(Arc::clone(&target), listener));
        Ok(target)
    }

    pub fn announcement(&self) -> serde_json::Value {
        serde_json::json!({
            "pool": self.config.name,
            "address": self.address.to_string(),
            "slots": self.config.slots,
            "connections": MAX_CONNECTIONS,
            "fencing": true,
            "cold_start_ms": COLD_START.as_millis(),
        })
    }

    /// Stops the target: every connection closes and running work is cancelled.
    pub fn stop(&self) {
        self.stop.cancel();
    }

    /// Makes the target unresponsive: from now on it answers no request but still
    /// reports that it is healthy and idle.
    pub fn stop_responding(&self) {
        self.unresponsive.store(true, Ordering::Relaxed);
    }

    /// Sends load reports to the node on the target's host. Each one describes the
    /// load of one second before.
    pub async fn report(self: Arc<Self>, admin: SocketAddr, client: Client) {
        let mut past = VecDeque::new();
        let mut ticks = tokio::time::interval(REPORT_INTERVAL);
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                _ = ticks.tick() => {}
            }
            let unresponsive = self.unresponsive.load(Ordering::Relaxed);
            let load = |count: &AtomicU32| {
                if unresponsive {
                    0
                } else {
                    count.load(Ordering::Relaxed)
                }
            };
            let now = Instant::now();
            past.push_back((now, load(&self.running), load(&self.queued)));
            while past
                .front()
                .is_some_and(|&(at, ..)| now - at >= REPORT_DELAY)
            {
                let (_, running, queued) = past.pop_front().expect("checked");
                let document = serde_json::json!({
                    "running": running, "queued": queued, "healthy": true,
                });
                // A lost report needs no retry, since the next one replaces it.
                let _ = client
                    .json(admin, "POST", "/v1/target/load", "", &document)
                    .await;
            }
        }
    }

    /// Serves a request and copies its id to the response, by which the node matches
    /// them.
    async fn serve_with_id(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let id = request.headers().get("wg-request").cloned();
        let mut response = self.serve(request).await;
        if let Some(id) = id {
            response.headers_mut().insert("wg-request", id);
        }
        response
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        if self.unresponsive.load(Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
        let headers = &parts.headers;
        let shard = parse_header(headers, "wg-shard").unwrap_or(0);
        let epoch = parse_header(headers, "wg-epoch").unwrap_or(0);
        let operation = parse_header(headers, "measure-operation").unwrap_or(0);
        let key = parse_key(parts.uri.path());
        if body.collect().await.is_err() {
            return refusal("the body is incomplete");
        }
        let Ok(_slot) = self.acquire_slot().await else {
            return refusal("the target ends");
        };
        if !self.check_epoch(shard, epoch) {
            return refusal("the epoch is old");
        }
        let position = self.history.begin(Execution {
            host: self.config.host,
            pool: self.config.pool,
            key,
            shard,
            epoch,
            operation,
            attempt: parse_header(headers, "measure-attempt").unwrap_or(0),
            once: headers.contains_key("idempotency-key"),
            begin: self.history.now(),
            end: None,
            completed: false,
        });
        let mut run = RunGuard::begin(self, position);
        let work: u64 = parse_header(headers, "measure-work").unwrap_or(1_000);
        sleep(self.service_time(work)).await;
        run.completed = true;
        Response::new(Full::new(response_body(operation, key).into()))
    }

    async fn acquire_slot(
        &self,
    ) -> Result<tokio::sync::SemaphorePermit<'_>, tokio::sync::AcquireError> {
        let _queued = CountGuard::increment(&self.queued);
        self.slots.acquire().await
    }

    /// The service time of work given in thousandths of mean short work.
    fn service_time(&self, work: u64) -> Duration {
        let cold = if self.started.elapsed() < COLD_START {
            COLD_FACTOR
        } else {
            1.0
        };
        #[allow(clippy::cast_precision_loss, reason = "work is below 2^53")]
        let short = work as f64 / 1_000.0;
        SHORT_WORK_TIME.mul_f64(short * cold / self.config.speed)
    }

    fn check_epoch(&self, shard: u32, epoch: u64) -> bool {
        let mut epochs = self.epochs.lock().expect("not poisoned");
        let highest = epochs.entry(shard).or_default();
        // Requests without an epoch are sent directly, not through a node.
        *highest = (*highest).max(epoch);
        epoch == 0 || epoch >= *highest
    }
}

/// Builds the body of a response. It names the operation and the key, so that
/// callers detect a response to another request.
pub fn response_body(operation: u64, key: usize) -> String {
    format!("operation={operation} key={key} {:x<160} end\n", "")
}

/// Returns the number of the key in a path, or the largest number if there is
/// none.
fn parse_key(path: &str) -> usize {
    path.split('/')
        .nth(2)
        .and_then(|key| key.parse().ok())
        .unwrap_or(usize::MAX)
}

fn parse_header<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn refusal(detail: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(detail.as_bytes())));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let outcome = http::HeaderValue::from_static("not-run");
    response.headers_mut().insert("wg-outcome", outcome);
    response
}

/// Keeps a counter incremented until it is dropped.
struct CountGuard<'a>(&'a AtomicU32);

impl<'a> CountGuard<'a> {
    fn increment(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An execution in progress. Dropping it records the end, also when the node has
/// closed the connection.
struct RunGuard<'a> {
    target: &'a Target,
    position: usize,
    completed: bool,
    _count: CountGuard<'a>,
}

impl<'a> RunGuard<'a> {
    fn begin(target: &'a Target, position: usize) -> Self {
        Self {
            target,
            position,
            completed: false,
            _count: CountGuard::increment(&target.running),
        }
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.target.history.end(self.position, self.completed);
    }
}

async fn accept(target: Arc<Target>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = target.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        if let Ok((stream, _)) = accepted {
            let _ = stream.set_nodelay(true);
            tokio::spawn(serve_connection(Arc::clone(&target), stream));
        }
    }
}

async fn serve_connection(target: Arc<Target>, stream: TcpStream) {
    sleep(CONNECT_COST).await;
    let stop = target.stop.clone();
    let service = service_fn(move |request| {
        let target = Arc::clone(&target);
        async move { Ok::<_, Infallible>(target.serve_with_id(request).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = stop.cancelled() => {}
        // The connection fails when the node closes it, which is not an error
        // of the target.
        _ = connection => {}
    }
}
