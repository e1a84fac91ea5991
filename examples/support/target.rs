//! A sample target: an HTTP server with a fixed number of slots that records
//! every execution. Requests set their service time with the `work-ms` header.

use std::{
    collections::HashMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpListener,
    sync::{Semaphore, watch},
};
use tokio_util::sync::CancellationToken;

/// The fixed properties of a target, most of which it announces.
#[derive(Debug, Clone)]
pub struct Config {
    pub pool: String,
    pub slots: u32,
    pub connections: u32,
    pub fencing: bool,
    /// The service time of a request without a `work-ms` header.
    pub service: Duration,
}

/// One execution that the target started.
#[derive(Debug, Clone)]
pub struct Execution {
    pub method: String,
    pub path: String,
    pub shard: String,
    pub epoch: u64,
    pub idempotency_key: Option<String>,
    /// The `token` header, which identifies one attempt and is copied to the
    /// response.
    pub token: Option<String>,
    pub start: Instant,
    /// When the execution ended; absent while it runs.
    pub end: Option<Instant>,
    /// Whether the execution ran to its end. It is cancelled when its connection
    /// closes.
    pub complete: bool,
}

/// The present behaviour of a target, set by tests to simulate faults.
#[derive(Debug, Clone, Copy, Default)]
pub struct Behaviour {
    /// Whether requests are held back, neither started nor answered, until this is
    /// false again. Connections are still accepted.
    pub frozen: bool,
    /// Whether every request is refused with `not-run` before it starts.
    pub shed: bool,
    /// Time added to the service time of each request.
    pub slow: Duration,
    /// The requests per second that responses name as the limit of the target.
    pub limit: Option<&'static str>,
    /// Whether responses say that the target is leaving.
    pub leaving: bool,
}

/// A running target that listens on a loopback port.
#[derive(Debug)]
pub struct Target {
    pub address: SocketAddr,
    pub config: Config,
    executions: Mutex<Vec<Execution>>,
    /// The highest epoch seen of each shard. A fencing target refuses requests
    /// with a lower one.
    epochs: Mutex<HashMap<String, u64>>,
    slots: Semaphore,
    served: AtomicU64,
    behaviour: watch::Sender<Behaviour>,
    stop: CancellationToken,
}

impl Target {
    /// Starts a target on a free port.
    pub async fn start(config: Config) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let target = Arc::new(Self {
            address: listener.local_addr()?,
            slots: Semaphore::new(config.slots as usize),
            config,
            executions: Mutex::default(),
            epochs: Mutex::default(),
            served: AtomicU64::new(0),
            behaviour: watch::Sender::default(),
            stop: CancellationToken::new(),
        });
        tokio::spawn(accept(Arc::clone(&target), listener));
        Ok(target)
    }

    /// The body of the announcement to the node on the target's host.
    pub fn announcement(&self) -> serde_json::Value {
        serde_json::json!({
            "pool": self.config.pool,
            "address": self.address.to_string(),
            "slots": self.config.slots,
            "connections": self.config.connections,
            "fencing": self.config.fencing,
            "cold_start_ms": 0,
        })
    }

    /// Every execution so far, in the order of their starts.
    pub fn executions(&self) -> Vec<Execution> {
        self.executions.lock().expect("not poisoned").clone()
    }

    /// Sets the behaviour of the target.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.behaviour.send_replace(behaviour);
    }

    /// Stops the target: its connections close and new ones are refused.
    pub fn kill(&self) {
        self.stop.cancel();
    }

    /// Waits until the target is not frozen.
    async fn wait_until_unfrozen(&self) {
        let mut behaviour = self.behaviour.subscribe();
        // `wait_for` fails only if the sender is dropped, and `self` owns it.
        let _ = behaviour.wait_for(|now| !now.frozen).await;
    }

    /// Serves a request and copies its id to the response, by which the node matches
    /// them.
    async fn serve_with_id(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let id = request.headers().get("wg-request").cloned();
        let mut response = self.serve(request).await;
        let headers = response.headers_mut();
        if let Some(id) = id {
            headers.insert("wg-request", id);
        }
        let behaviour = *self.behaviour.borrow();
        if let Some(limit) = behaviour.limit {
            headers.insert("wg-limit", HeaderValue::from_static(limit));
        }
        if behaviour.leaving {
            headers.insert("wg-leaving", HeaderValue::from_static("1"));
        }
        response
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.wait_until_unfrozen().await;
        if self.behaviour.borrow().shed {
            return refusal("the target sheds");
        }
        let (parts, body) = request.into_parts();
        let execution = Execution {
            method: parts.method.to_string(),
            path: parts.uri.path().to_owned(),
            shard: header_text(&parts.headers, "wg-shard").unwrap_or_default(),
            epoch: header_text(&parts.headers, "wg-epoch")
                .and_then(|epoch| epoch.parse().ok())
                .unwrap_or(0),
            idempotency_key: header_text(&parts.headers, "idempotency-key"),
            token: header_text(&parts.headers, "token"),
            start: Instant::now(),
            end: None,
            complete: false,
        };
        if self.config.fencing && !self.check_epoch(&execution) {
            return refusal("the epoch is old");
        }
        let Ok(body) = body.collect().await else {
            return refusal("the body is incomplete");
        };
        let Ok(_slot) = self.slots.acquire().await else {
            return refusal("the target ends");
        };
        let answer = format!(
            "{} {} ran, {} bytes, number {}\n",
            execution.method,
            execution.path,
            body.to_bytes().len(),
            self.served.fetch_add(1, Ordering::Relaxed) + 1
        );
        let mut response = Response::new(Full::new(answer.into()));
        if let Some(token) = parts.headers.get("token") {
            response.headers_mut().insert("token", token.clone());
        }
        let run = RunGuard::start(self, execution);
        let service = header_text(&parts.headers, "work-ms")
            .and_then(|millis| millis.parse().ok())
            .map_or(self.config.service, Duration::from_millis);
        let slow = self.behaviour.borrow().slow;
        tokio::time::sleep(service + slow).await;
        self.wait_until_unfrozen().await;
        run.complete();
        response
    }

    /// Checks the fencing token: false if a higher epoch of the shard was seen.
    fn check_epoch(&self, execution: &Execution) -> bool {
        let mut epochs = self.epochs.lock().expect("not poisoned");
        let highest = epochs.entry(execution.shard.clone()).or_default();
        *highest = (*highest).max(execution.epoch);
        execution.epoch >= *highest
    }
}

/// A running execution. Dropping it records its end, as a cancellation unless
/// `complete` was called.
struct RunGuard<'a> {
    target: &'a Target,
    position: usize,
    complete: bool,
}

impl<'a> RunGuard<'a> {
    fn start(target: &'a Target, execution: Execution) -> Self {
        let mut executions = target.executions.lock().expect("not poisoned");
        executions.push(Execution {
            start: Instant::now(),
            ..execution
        });
        Self {
            target,
            position: executions.len() - 1,
            complete: false,
        }
    }

    fn complete(mut self) {
        self.complete = true;
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let mut executions = self.target.executions.lock().expect("not poisoned");
        let execution = &mut executions[self.position];
        execution.end = Some(Instant::now());
        execution.complete = self.complete;
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn refusal(detail: &str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(detail.to_owned())));
    *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
    response
        .headers_mut()
        .insert("wg-outcome", http::HeaderValue::from_static("not-run"));
    response
}

async fn accept(target: Arc<Target>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = target.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let target = Arc::clone(&target);
        let stop = target.stop.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let target = Arc::clone(&target);
                async move { Ok::<_, Infallible>(target.serve_with_id(request).await) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // The connection fails when the caller closes it, which is not an
            // error of the target.
            tokio::select! {
                () = stop.cancelled() => {}
                _ = connection => {}
            }
        });
    }
}
