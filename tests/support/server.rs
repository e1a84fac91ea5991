//! A test double for the application servers of a fleet, and what it observes.

use std::{
    collections::{BTreeMap, HashMap},
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::{net::TcpListener, task::JoinHandle, time::sleep};

use super::{
    client::Client,
    faulty,
    holds::{Holds, RangeCall},
    platform::CONTROL_PORT,
};

/// The port of the relay through which a host reaches its server.
pub(super) const RELAY_PORT: u16 = 8628;
/// The port that the server listens on.
pub(super) const SERVER_PORT: u16 = 8638;

/// The interval of the servers' heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// The time that a server works on a request.
const WORK_TIME: Duration = Duration::from_millis(15);

/// Each grant by call whose number is a multiple of this gets no answer.
const LATE_GRANT_INTERVAL: u64 = 23;

/// The time after which a grant without an answer is applied.
const GRANT_DELAY: Duration = Duration::from_millis(700);

/// The longest time that two servers may hold a key at once.
const MAX_OVERLAP: Duration = Duration::from_millis(500);

/// How the servers of a fleet take their key ranges and answer requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Servers {
    /// They take their ranges in the answers to their heartbeats.
    Heartbeat,
    /// They take their ranges by calls.
    Call,
    /// They answer as the id of a request asks; see [`faulty`].
    Faulty,
}

/// What the servers executed and held, for the checks at the end of a test.
#[derive(Debug, Default)]
pub struct Observations {
    /// The number of times that each request started to run, by request id.
    pub runs: HashMap<String, u32>,
    /// The number of times that a request arrived whose fault depends on it, by
    /// request id.
    pub offers: HashMap<String, u32>,
    /// The headers that the answers of a server carry besides the usual ones, by its
    /// id.
    pub headers: HashMap<String, Vec<(&'static str, &'static str)>>,
    /// The time that a server works on a request if it is not [`WORK_TIME`], by its
    /// id.
    pub work_times: HashMap<String, Duration>,
    /// The requests that reached a server, in order.
    pub arrivals: Vec<Arrival>,
    /// The number of requests that a server refused because it is another one or does
    /// not hold their key.
    pub misdirected: u32,
    /// The number of connections that a faulty server accepted.
    pub connections: u32,
    /// Descriptions of violated invariants.
    pub violations: Vec<String>,
    /// The latest holder of each sampled key.
    holders: BTreeMap<u16, Holder>,
}

/// A request that reached a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    /// The id of the server.
    pub server: String,
    /// The id of the request.
    pub request: String,
}

/// A server that holds a key, its fencing token and the end of its hold.
#[derive(Debug)]
struct Holder {
    server: String,
    fence: u64,
    until: Instant,
}

impl Observations {
    /// Records that a server holds a sampled key until `until`. It is a
    /// violation if another server holds the key for more than [`MAX_OVERLAP`]
    /// from now, or if the fencing token is not newer than that of the other
    /// server.
    fn record_hold(&mut self, sample: u16, server: &str, fence: u64, until: Instant) {
        let now = Instant::now();
        if let Some(other) = self.holders.get(&sample)
            && other.server != server
        {
            if other.until > now + MAX_OVERLAP {
                let left = other.until - now;
                let text = format!("keys {sample}: {server} and {} for {left:?}", other.server);
                self.violations.push(text);
            }
            if fence <= other.fence {
                let text = format!("keys {sample}: token {fence} after {}", other.fence);
                self.violations.push(text);
            }
        }
        let server = server.to_owned();
        self.holders.insert(
            sample,
            Holder {
                server,
                fence,
                until,
            },
        );
    }

    /// Records that a server has ended, and with it all that it held.
    pub(super) fn record_end(&mut self, server: &str) {
        let holders = self.holders.values_mut();
        for holder in holders.filter(|holder| holder.server == server) {
            holder.until = Instant::now();
        }
    }

    /// Records that a server has released a sampled key.
    fn record_release(&mut self, sample: u16, server: &str) {
        if let Some(holder) = self.holders.get_mut(&sample)
            && holder.server == server
        {
            holder.until = Instant::now();
        }
    }
}

/// A test double for an application server.
#[derive(Debug)]
struct Server {
    id: String,
    born: u64,
    service: String,
    address: SocketAddr,
    control: SocketAddr,
    sharded: bool,
    observations: Arc<Mutex<Observations>>,
    /// The ranges that the server was granted by calls; `None` if it takes its
    /// ranges in the answers to its heartbeats.
    holds: Option<Holds>,
    /// The number of grants by calls.
    grant_calls: AtomicU64,
    /// The granted ranges: first and last key, fencing token and expiry.
    held: Mutex<Vec<(u16, u16, u64, Instant)>>,
    /// The released ranges that no heartbeat has reported yet: first and last
    /// key and a unique token.
    released: Mutex<Vec<(u16, u16, String)>>,
    seq: Mutex<u64>,
}

impl Server {
    async fn answer(self: &Arc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let header = |name: &str| {
            let value = request.headers().get(name)?;
            Some(value.to_str().ok()?.to_owned())
        };
        let id = header("x-wisteriaglade-request-id").unwrap_or_default();
        let expected = header("x-wisteriaglade-target-instance");
        let key = header("x-wisteriaglade-shard-key").and_then(|key| key.parse::<u16>().ok());
        if request.uri().path() == "/grant" || request.uri().path() == "/release" {
            return self.answer_range_call(request).await;
        }
        let now = Instant::now();
        let (headers, work_time) = {
            let mut observations = self.observations.lock().unwrap();
            observations.arrivals.push(Arrival {
                at: now,
                server: self.id.clone(),
                request: id.clone(),
            });
            let work_time = observations.work_times.get(&self.id).copied();
            let headers = observations.headers.get(&self.id).cloned();
            (headers.unwrap_or_default(), work_time.unwrap_or(WORK_TIME))
        };
        let holds = key.is_some_and(|key| {
            if let Some(holds) = &self.holds {
                return holds.contains(key);
            }
            let held = self.held.lock().unwrap();
            held.iter()
                .any(|(from, to, _, until)| (*from..=*to).contains(&key) && *until > now)
        });
        if expected.is_some_and(|expected| expected != self.id) || (self.sharded && !holds) {
            self.observations.lock().unwrap().misdirected += 1;
            return Response::builder()
                .status(StatusCode::MISDIRECTED_REQUEST)
                .header("x-wisteriaglade-not-executed", "1")
                .body(Full::default())
                .unwrap();
        }
        *self
            .observations
            .lock()
            .unwrap()
            .runs
            .entry(id.clone())
            .or_default() += 1;
        let body = request.into_body().collect().await;
        match (&self.holds, key) {
            (Some(holds), Some(key)) => holds.run(key, sleep(work_time)).await,
            _ => sleep(work_time).await,
        }
        let text = format!(
            "{id} by {} {}",
            self.id,
            body.map_or(0, |b| b.to_bytes().len())
        );
        let response = Response::builder()
            .header("x-wisteriaglade-request-id", &id)
            .header("x-wisteriaglade-response-seal", format!("seal-{id}"));
        headers
            .into_iter()
            .fold(response, |response, (name, value)| {
                response.header(name, value)
            })
            .body(Full::new(Bytes::from(text)))
            .unwrap()
    }

    /// Answers a call that grants a range or takes it back. Each
    /// [`LATE_GRANT_INTERVAL`]th grant is applied late and gets no answer.
    async fn answer_range_call(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        let arrived = Instant::now();
        let is_grant = request.uri().path() == "/grant";
        let body = request.into_body().collect().await;
        let body = body.map(|body| serde_json::from_slice(&body.to_bytes()).ok());
        let (Some(_), Ok(Some(body))) = (&self.holds, body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let call = RangeCall::decode(&body);
        if !is_grant {
            let holds = self.holds.as_ref().unwrap();
            holds.release(call).await;
            let mut observations = self.observations.lock().unwrap();
            for sample in sampled_keys(call.from, call.to) {
                observations.record_release(sample, &self.id);
            }
            let text = format!("token-{}-{}", call.from, call.fence);
            return Response::builder()
                .header("x-wisteriaglade-handover", text)
                .body(Full::default())
                .unwrap();
        }
        let number = self.grant_calls.fetch_add(1, Ordering::Relaxed) + 1;
        if number.is_multiple_of(LATE_GRANT_INTERVAL) {
            let server = Arc::clone(self);
            tokio::spawn(async move {
                sleep(GRANT_DELAY).await;
                server.apply_grant(call, arrived);
            });
            return std::future::pending().await;
        }
        if self.apply_grant(call, arrived) {
            status(StatusCode::OK)
        } else {
            status(StatusCode::CONFLICT)
        }
    }

    /// Applies a grant that arrived at `arrived`, unless it is outdated.
    fn apply_grant(&self, call: RangeCall, arrived: Instant) -> bool {
        let until = arrived + call.hold.unwrap();
        let holds = self.holds.as_ref().unwrap();
        let is_taken = holds.grant(call, until);
        if is_taken {
            let mut observations = self.observations.lock().unwrap();
            for sample in sampled_keys(call.from, call.to) {
                observations.record_hold(sample, &self.id, call.fence, until);
            }
        }
        is_taken
    }

    /// Sends one heartbeat and applies the ranges that the answer grants.
    async fn send_heartbeat(&self, client: &Client) {
        let sent = Instant::now();
        let (holds, released) = {
            let mut held = self.held.lock().unwrap();
            held.retain(|(_, _, _, until)| *until > sent);
            let holds: Vec<_> = held
                .iter()
                .map(|(a, b, fence, _)| (*a, *b, *fence))
                .collect();
            (holds, self.released.lock().unwrap().clone())
        };
        let seq = {
            let mut seq = self.seq.lock().unwrap();
            *seq += 1;
            *seq
        };
        let body = json!({
            "service": self.service, "address": self.address.to_string(), "zone": "a",
            "version": "v1", "slots": 6, "state": "ready", "cold-remaining-s": 0, "seq": seq,
            "born": self.born, "holds": holds, "released": released,
        });
        let path = format!("/rpc?call=instances.heartbeat&of={}", self.id);
        let sending = client.send(self.control, "POST", &path, &[], body.to_string());
        let Ok(Ok(answer)) = tokio::time::timeout(Duration::from_secs(1), sending).await else {
            return;
        };
        if !answer.status.is_success() {
            return;
        }
        self.released
            .lock()
            .unwrap()
            .retain(|row| !released.contains(row));
        let answer = answer.json();
        if let (Some(rows), Some(hold)) = (answer["holds"].as_array(), answer["hold-s"].as_f64()) {
            self.apply_grants(rows, sent + Duration::from_secs_f64(hold));
        }
    }

    /// Replaces the held ranges by `rows`, valid until `until`, and releases
    /// those that are no longer granted.
    fn apply_grants(&self, rows: &[Value], until: Instant) {
        let number = |row: &Value, at: usize| row[at].as_u64().unwrap_or(0);
        let key = |row: &Value, at: usize| u16::try_from(number(row, at)).unwrap_or(0);
        let mut observations = self.observations.lock().unwrap();
        let mut held = self.held.lock().unwrap();
        for (from, to, fence, _) in held.drain(..) {
            let stays = rows
                .iter()
                .any(|row| key(row, 0) <= from && to <= key(row, 1) && number(row, 2) == fence);
            if !stays {
                let token = format!("token-{from}-{fence}");
                self.released.lock().unwrap().push((from, to, token));
                for sample in sampled_keys(from, to) {
                    observations.record_release(sample, &self.id);
                }
            }
        }
        for row in rows {
            let (from, to, fence) = (key(row, 0), key(row, 1), number(row, 2));
            held.push((from, to, fence, until));
            for sample in sampled_keys(from, to) {
                observations.record_hold(sample, &self.id, fence, until);
            }
        }
    }
}

/// Returns an empty answer.
fn status(status: StatusCode) -> Response<Full<Bytes>> {
    Response::builder()
        .status(status)
        .body(Full::default())
        .unwrap()
}

/// Returns the sampled keys in a range: every 512th.
fn sampled_keys(from: u16, to: u16) -> impl Iterator<Item = u16> {
    (0..=u16::MAX)
        .step_by(512)
        .filter(move |key| (from..=to).contains(key))
}

/// Starts a server and sends its heartbeats until the task is aborted.
pub(super) async fn start(
    address: Ipv4Addr,
    service: &str,
    servers: Servers,
    observations: Arc<Mutex<Observations>>,
) -> JoinHandle<()> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let server = Arc::new(Server {
        id: format!("i-{address}"),
        born: u64::try_from(since.as_millis()).unwrap(),
        service: service.to_owned(),
        address: (address, RELAY_PORT).into(),
        control: (address, CONTROL_PORT).into(),
        sharded: service == "keyed",
        observations,
        holds: (servers == Servers::Call).then(Holds::default),
        grant_calls: AtomicU64::new(0),
        held: Mutex::default(),
        released: Mutex::default(),
        seq: Mutex::new(0),
    });
    let listener = TcpListener::bind((address, SERVER_PORT)).await;
    let listener = listener.unwrap_or_else(|error| panic!("{address}:{SERVER_PORT}: {error}"));
    tokio::spawn(async move {
        let heartbeats = async {
            let client = Client::new();
            loop {
                server.send_heartbeat(&client).await;
                let is_busy = !server.released.lock().unwrap().is_empty();
                sleep(if is_busy {
                    HEARTBEAT_INTERVAL / 3
                } else {
                    HEARTBEAT_INTERVAL
                })
                .await;
            }
        };
        let accepts = async {
            if servers == Servers::Faulty {
                let observations = Arc::clone(&server.observations);
                faulty::serve(listener, faulty::Protocol::Platform, observations).await;
                return;
            }
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    continue;
                };
                let server = Arc::clone(&server);
                tokio::spawn(async move {
                    let service = service_fn(move |request| {
                        let server = Arc::clone(&server);
                        async move { Ok::<_, std::convert::Infallible>(server.answer(request).await) }
                    });
                    let connection = http1::Builder::new();
                    // An error here means that the caller closed the
                    // connection.
                    let _ = connection
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        };
        tokio::join!(heartbeats, accepts);
    })
}
