//! Sends requests as a caller and records how each of them ended.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// One attempt of a caller to run a request, and how it ended.
#[derive(Debug, Clone)]
pub struct Call {
    /// Unique per attempt; sent in the header `token`, which the target echoes.
    pub token: String,
    /// The index of the host whose node received the request.
    pub via: usize,
    pub method: &'static str,
    pub path: String,
    pub idempotency_key: Option<String>,
    pub start: Instant,
    pub took: Duration,
    pub result: CallResult,
}

/// How a request ended.
#[derive(Debug, Clone)]
pub enum CallResult {
    Answer(Reply),
    /// The node refused the connection, so nothing was sent.
    ConnectFailed(String),
    /// The connection ended without a whole answer.
    Interrupted(String),
}

/// A complete response, with the headers and fields that the tests check.
#[derive(Debug, Clone, Default)]
pub struct Reply {
    pub status: u16,
    pub outcome: String,
    pub reason: String,
    pub token: String,
    pub replayed: bool,
    pub owner: String,
    pub epoch: u64,
    pub retry_after: String,
}

impl Call {
    /// The value of `wg-outcome`, or `unconnected` or `cut` without a response.
    pub fn outcome(&self) -> &str {
        match &self.result {
            CallResult::Answer(reply) => &reply.outcome,
            CallResult::ConnectFailed(_) => "unconnected",
            CallResult::Interrupted(_) => "cut",
        }
    }

    /// Whether the target's successful response arrived.
    pub fn served(&self) -> bool {
        matches!(&self.result, CallResult::Answer(reply) if reply.outcome == "done" && reply.status == 200)
    }

    /// Returns the call, or its description as an error if it was not served.
    pub fn expect(self) -> Result<Self, String> {
        if self.served() {
            Ok(self)
        } else {
            Err(format!("{self:?}"))
        }
    }
}

/// Sends calls and keeps a record of every one that has ended.
#[derive(Debug, Clone, Default)]
pub struct Calls {
    all: Arc<Mutex<Vec<Call>>>,
    next: Arc<AtomicU64>,
}

/// The time after which a caller gives up. The deadlines of all rules are
/// shorter.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// The contents of a request.
#[derive(Debug, Clone, Default)]
pub struct RequestSpec {
    pub method: &'static str,
    pub path: String,
    pub idempotency_key: Option<String>,
    /// The time that the target works on the request; the target's default if
    /// absent.
    pub work: Option<Duration>,
    pub deadline: Option<Duration>,
    pub body: Bytes,
}

impl RequestSpec {
    /// A read of `key`, which the rules allow to run more than once.
    pub fn read(key: &str) -> Self {
        Self {
            method: "GET",
            path: format!("/bookings/{key}"),
            ..Self::default()
        }
    }

    /// A booking of `key`, which runs at most once for the idempotency key
    /// `id`.
    pub fn book(key: &str, id: &str) -> Self {
        Self {
            method: "POST",
            path: format!("/bookings/{key}"),
            idempotency_key: Some(id.to_owned()),
            body: Bytes::from_static(b"strings=4"),
            ..Self::default()
        }
    }

    /// Sets the time that the target works on the request.
    pub fn with_work(self, work: Duration) -> Self {
        Self {
            work: Some(work),
            ..self
        }
    }
}

impl Calls {
    /// Sends one request over a new connection and records the call.
    pub async fn send(&self, via: usize, address: SocketAddr, spec: RequestSpec) -> Call {
        let token = format!("t{}", self.next.fetch_add(1, Ordering::Relaxed));
        let start = Instant::now();
        let exchange = exchange(address, &spec, &token);
        let result = tokio::time::timeout(CALL_TIMEOUT, exchange).await;
        let call = Call {
            token,
            via,
            method: spec.method,
            path: spec.path,
            idempotency_key: spec.idempotency_key,
            start,
            took: start.elapsed(),
            result: result
                .unwrap_or_else(|_| CallResult::Interrupted("no answer in time".to_owned())),
        };
        self.all.lock().unwrap().push(call.clone());
        call
    }

    /// Returns every call that has ended.
    pub fn all(&self) -> Vec<Call> {
        self.all.lock().unwrap().clone()
    }
}

async fn exchange(address: SocketAddr, spec: &RequestSpec, token: &str) -> CallResult {
    let stream = match TcpStream::connect(address).await {
        Ok(stream) => stream,
        Err(error) => return CallResult::ConnectFailed(error.to_string()),
    };
    let _ = stream.set_nodelay(true);
    match answer(stream, address, spec, token).await {
        Ok(reply) => CallResult::Answer(reply),
        Err(error) => CallResult::Interrupted(format!("{error:?}")),
    }
}

async fn answer(
    stream: TcpStream,
    address: SocketAddr,
    spec: &RequestSpec,
    token: &str,
) -> Result<Reply, hyper::Error> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let mut request = Request::builder()
        .method(spec.method)
        .uri(&spec.path)
        .header("host", address.to_string())
        .header("token", token);
    let millis = |time: Duration| time.as_millis().to_string();
    if let Some(key) = &spec.idempotency_key {
        request = request.header("idempotency-key", key);
    }
    if let Some(work) = spec.work {
        request = request.header("work-ms", millis(work));
    }
    if let Some(deadline) = spec.deadline {
        request = request.header("wg-deadline-ms", millis(deadline));
    }
    let request = request.body(Full::new(spec.body.clone())).unwrap();
    let outcome = async {
        let (parts, body) = sender.send_request(request).await?.into_parts();
        let body = body.collect().await?.to_bytes();
        let text = |name: &str| {
            let value = parts
                .headers
                .get(name)
                .and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        let document: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        Ok(Reply {
            status: parts.status.as_u16(),
            outcome: text("wg-outcome"),
            reason: document["reason"].as_str().unwrap_or_default().to_owned(),
            token: text("token"),
            replayed: text("wg-replayed") == "true",
            owner: text("wg-owner"),
            epoch: text("wg-epoch").parse().unwrap_or(0),
            retry_after: text("retry-after"),
        })
    }
    .await;
    driver.abort();
    outcome
}
