//! A stand-in for a target: an HTTP server with slots that records what it ran.

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
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpListener,
    sync::{Semaphore, watch},
};
use tokio_util::sync::CancellationToken;

/// What a target is like.
#[derive(Debug, Clone)]
pub struct Config {
    pub pool: String,
    pub slots: u32,
    pub connections: u32,
    pub fencing: bool,
    /// The time that short work takes.
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
    /// The caller's name for this one attempt, which the answer repeats.
    pub token: Option<String>,
    pub start: Instant,
    /// When the work ended; none while it runs.
    pub end: Option<Instant>,
    /// Whether the work ran to its end. Work whose connection closes is
    /// cancelled.
    pub complete: bool,
}

/// How a target behaves at the moment.
#[derive(Debug, Clone, Copy, Default)]
pub struct Behaviour {
    /// Connections are accepted and no request goes on until it ends.
    pub frozen: bool,
    /// Every request is refused before it starts.
    pub shed: bool,
    /// Added to the time that each request takes.
    pub slow: Duration,
}

/// A running target.
#[derive(Debug)]
pub struct Target {
    pub address: SocketAddr,
    pub config: Config,
    executions: Mutex<Vec<Execution>>,
    /// The highest epoch of each shard, which a fencing target checks.
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

    /// The announcement that the target sends to the node beside it.
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

    /// Every execution so far.
    pub fn executions(&self) -> Vec<Execution> {
        self.executions.lock().expect("not poisoned").clone()
    }

    /// Changes how the target behaves from now on.
    pub fn behave(&self, behaviour: Behaviour) {
        self.behaviour.send_replace(behaviour);
    }

    /// Ends the target: its connections break and new ones are refused.
    pub fn kill(&self) {
        self.stop.cancel();
    }

    /// Waits until the target is not frozen.
    async fn thaw(&self) {
        let mut behaviour = self.behaviour.subscribe();
        // The sender is part of `self`, so it outlives the wait.
        let _ = behaviour.wait_for(|now| !now.frozen).await;
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        self.thaw().await;
        if self.behaviour.borrow().shed {
            return refusal("the target sheds");
        }
        let (parts, body) = request.into_parts();
        let execution = Execution {
            method: parts.method.to_string(),
            path: parts.uri.path().to_owned(),
            shard: text(&parts.headers, "wg-shard").unwrap_or_default(),
            epoch: text(&parts.headers, "wg-epoch")
                .and_then(|epoch| epoch.parse().ok())
                .unwrap_or(0),
            idempotency_key: text(&parts.headers, "idempotency-key"),
            token: text(&parts.headers, "token"),
            start: Instant::now(),
            end: None,
            complete: false,
        };
        if self.config.fencing && !self.admit(&execution) {
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
        let run = Run::start(self, execution);
        let service = text(&parts.headers, "work-ms")
            .and_then(|millis| millis.parse().ok())
            .map_or(self.config.service, Duration::from_millis);
        let slow = self.behaviour.borrow().slow;
        tokio::time::sleep(service + slow).await;
        self.thaw().await;
        run.complete();
        response
    }

    fn admit(&self, execution: &Execution) -> bool {
        let mut epochs = self.epochs.lock().expect("not poisoned");
        let highest = epochs.entry(execution.shard.clone()).or_default();
        *highest = (*highest).max(execution.epoch);
        execution.epoch >= *highest
    }
}

/// One execution while it runs. Dropping it early records a cancellation.
struct Run<'a> {
    target: &'a Target,
    position: usize,
    complete: bool,
}

impl<'a> Run<'a> {
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

impl Drop for Run<'_> {
    fn drop(&mut self) {
        let mut executions = self.target.executions.lock().expect("not poisoned");
        let execution = &mut executions[self.position];
        execution.end = Some(Instant::now());
        execution.complete = self.complete;
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
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
                async move { Ok::<_, Infallible>(target.serve(request).await) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // A caller that goes away ends its connection, which is no fault
            // of the target.
            tokio::select! {
                () = stop.cancelled() => {}
                _ = connection => {}
            }
        });
    }
}
