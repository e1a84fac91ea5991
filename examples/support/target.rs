//! A stand-in for a target: an HTTP server with slots that records what it ran.

use std::{
    collections::HashMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::Semaphore};

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

    async fn serve(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (parts, body) = request.into_parts();
        let execution = Execution {
            method: parts.method.to_string(),
            path: parts.uri.path().to_owned(),
            shard: text(&parts.headers, "wg-shard").unwrap_or_default(),
            epoch: text(&parts.headers, "wg-epoch")
                .and_then(|epoch| epoch.parse().ok())
                .unwrap_or(0),
            idempotency_key: text(&parts.headers, "idempotency-key"),
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
        self.executions
            .lock()
            .expect("not poisoned")
            .push(execution);
        let service = text(&parts.headers, "work-ms")
            .and_then(|millis| millis.parse().ok())
            .map_or(self.config.service, Duration::from_millis);
        tokio::time::sleep(service).await;
        Response::new(Full::new(answer.into()))
    }

    fn admit(&self, execution: &Execution) -> bool {
        let mut epochs = self.epochs.lock().expect("not poisoned");
        let highest = epochs.entry(execution.shard.clone()).or_default();
        *highest = (*highest).max(execution.epoch);
        execution.epoch >= *highest
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
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let target = Arc::clone(&target);
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let target = Arc::clone(&target);
                async move { Ok::<_, Infallible>(target.serve(request).await) }
            });
            // A caller that goes away ends its connection, which is no fault
            // of the target.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
