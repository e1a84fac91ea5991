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
    pub end: End,
}

/// How a request ended.
#[derive(Debug, Clone)]
pub enum End {
    Answer(Reply),
    /// The node refused the connection, so nothing was sent.
    Unconnected(String),
    /// The connection ended without a whole answer.
    Cut(String),
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
        match &self.end {
            End::Answer(reply) => &reply.outcome,
            End::Unconnected(_) => "unconnected",
            End::Cut(_) => "cut",
        }
    }

    /// Whether the target's successful response arrived.
    pub fn served(&self) -> bool {
        matches!(&self.end, End::Answer(reply) if reply.outcome == "done" && reply.status == 200)
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
const PATIENCE: Duration = Duration::from_secs(15);

/// The contents of a request.
#[derive(Debug, Clone, Default)]
pub struct Ask {
    pub method: &'static str,
    pub path: String,
    pub idempotency_key: Option<String>,
    /// The time that the target works on the request; the target's default if
    /// absent.
    pub work: Option<Duration>,
    pub deadline: Option<Duration>,
    pub body: Bytes,
}

impl Ask {
    /// A read of `key`, which the rules allow to run more than once.
    pub fn read(key: &str) -> Self {
        Self {
            method: "GET",
            path: format!("/bookings/{key}"),
            ..Self::default()
        }
    }

    /// A booking of `key`, which runs at most once for the idempotency key `id`.
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
    pub fn taking(self, work: Duration) -> Self {
        Self {
            work: Some(work),
            ..self
        }
    }
}

impl Calls {
    /// Sends one request over a new connection and records the call.
    pub async fn send(&self, via: usize, address: SocketAddr, ask: Ask) -> Call {
        let token = format!("t{}", self.next.fetch_add(1, Ordering::Relaxed));
        let start = Instant::now();
        let exchange = exchange(address, &ask, &token);
        let end = tokio::time::timeout(PATIENCE, exchange).await;
        let call = Call {
            token,
            via,
            method: ask.method,
            path: ask.path,
            idempotency_key: ask.idempotency_key,
            start,
            took: start.elapsed(),
            end: end.unwrap_or_else(|_| End::Cut("no answer in time".to_owned())),
        };
        self.all.lock().unwrap().push(call.clone());
        call
    }

    /// Returns every call that has ended.
    pub fn all(&self) -> Vec<Call> {
        self.all.lock().unwrap().clone()
    }
}

async fn exchange(address: SocketAddr, ask: &Ask, token: &str) -> End {
    let stream = match TcpStream::connect(address).await {
        Ok(stream) => stream,
        Err(error) => return End::Unconnected(error.to_string()),
    };
    let _ = stream.set_nodelay(true);
    match answer(stream, address, ask, token).await {
        Ok(reply) => End::Answer(reply),
        Err(error) => End::Cut(format!("{error:?}")),
    }
}

async fn answer(
    stream: TcpStream,
    address: SocketAddr,
    ask: &Ask,
    token: &str,
) -> Result<Reply, hyper::Error> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let mut request = Request::builder()
        .method(ask.method)
        .uri(&ask.path)
        .header("host", address.to_string())
        .header("token", token);
    let millis = |time: Duration| time.as_millis().to_string();
    if let Some(key) = &ask.idempotency_key {
        request = request.header("idempotency-key", key);
    }
    if let Some(work) = ask.work {
        request = request.header("work-ms", millis(work));
    }
    if let Some(deadline) = ask.deadline {
        request = request.header("wg-deadline-ms", millis(deadline));
    }
    let request = request.body(Full::new(ask.body.clone())).unwrap();
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
