//! A fleet in platform mode: real router processes, and test doubles for the
//! application servers, their heartbeats and the operator.

use std::{
    collections::{BTreeMap, HashMap},
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
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
use tempfile::TempDir;
use tokio::{net::TcpListener, task::JoinHandle, time::sleep};

use super::{
    client::Client,
    faulty,
    holds::{Holds, RangeCall},
    process::{Process, print_log_tail},
    proxy::{Endpoint, Impairment, Network},
    wait_for,
};

const CONTROL_PORT: u16 = 8620;
const CALLERS_PORT: u16 = 8629;
const READY_PORT: u16 = 8625;
/// The port of the relay through which a host reaches its server.
const RELAY_PORT: u16 = 8628;
/// The port that the server listens on.
const SERVER_PORT: u16 = 8638;
const LINK_PORT: u16 = 7600;
const METRICS_PORT: u16 = 7601;

/// The interval of the servers' heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// The time that a server works on a request.
const WORK_TIME: Duration = Duration::from_millis(15);

/// Each grant by call whose number is a multiple of this gets no answer.
const LATE_GRANT_INTERVAL: u64 = 23;

/// The time after which a grant without an answer is applied.
const GRANT_DELAY: Duration = Duration::from_millis(700);

/// The timeout of an operator's call.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

const PUT_PLAN: &str = "/rpc?call=config.put";
const GET_PLAN: &str = "/rpc?call=config.get";

/// The longest time that two servers may hold a key at once.
const MAX_OVERLAP: Duration = Duration::from_millis(500);

/// What the servers executed and held, for the checks at the end of a test.
#[derive(Debug, Default)]
pub struct Observations {
    /// The number of times that each request started to run, by request id.
    pub runs: HashMap<String, u32>,
    /// Descriptions of violated invariants.
    pub violations: Vec<String>,
    /// The latest holder of each sampled key.
    holders: BTreeMap<u16, Holder>,
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
        let holds = key.is_some_and(|key| {
            if let Some(holds) = &self.holds {
                return holds.contains(key);
            }
            let held = self.held.lock().unwrap();
            held.iter()
                .any(|(from, to, _, until)| (*from..=*to).contains(&key) && *until > now)
        });
        if expected.is_some_and(|expected| expected != self.id) || (self.sharded && !holds) {
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
            (Some(holds), Some(key)) => holds.run(key, sleep(WORK_TIME)).await,
            _ => sleep(WORK_TIME).await,
        }
        let text = format!(
            "{id} by {} {}",
            self.id,
            body.map_or(0, |b| b.to_bytes().len())
        );
        Response::builder()
            .header("x-wisteriaglade-request-id", &id)
            .header("x-wisteriaglade-response-seal", format!("seal-{id}"))
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

/// A host of the fleet: a control replica, or a node with its server.
#[derive(Debug)]
pub struct Host {
    pub address: Ipv4Addr,
    pub is_control: bool,
    settings: PathBuf,
    data: PathBuf,
    log: PathBuf,
    pub process: Option<Process>,
    server: Option<JoinHandle<()>>,
}

impl Host {
    /// The address that callers send their requests to.
    pub fn callers(&self) -> SocketAddr {
        (self.address, CALLERS_PORT).into()
    }

    /// The address for the target's heartbeats, or for operators on a control
    /// replica.
    pub fn control(&self) -> SocketAddr {
        (self.address, CONTROL_PORT).into()
    }

    /// The addresses that the process listens on.
    pub fn listeners(&self) -> Vec<SocketAddr> {
        let mut ports = vec![CONTROL_PORT, LINK_PORT, METRICS_PORT];
        if !self.is_control {
            ports.extend([CALLERS_PORT, READY_PORT]);
        }
        let address = |port| SocketAddr::from((self.address, port));
        ports.into_iter().map(address).collect()
    }

    /// Starts the process.
    pub fn start(&mut self) {
        self.process = Some(Process::start_platform(&self.settings, &self.log));
    }

    /// Kills the process if it runs.
    pub fn kill(&mut self) {
        if let Some(process) = self.process.take() {
            process.kill();
        }
    }

    /// Deletes the data directory, as the loss of the disk would.
    pub fn delete_data(&self) {
        let _ = std::fs::remove_dir_all(&self.data);
    }

    /// Sets `bootstrap=false`, as for every start after the first.
    pub fn disable_bootstrap(&self) {
        let text = std::fs::read_to_string(&self.settings).unwrap();
        std::fs::write(
            &self.settings,
            text.replace("bootstrap=true", "bootstrap=false"),
        )
        .unwrap();
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(server) = &self.server {
            server.abort();
        }
    }
}

/// A fault of the connections between a host and its target.
#[derive(Debug, Clone, Copy)]
pub enum LinkFault {
    None,
    /// Bytes are delayed.
    Delay,
    /// Existing and new connections are reset.
    Reset,
    /// Requests are forwarded, responses are discarded.
    DropResponses,
    /// Existing connections go silent; new ones work.
    Silent,
    /// The host's ends are reset; the target's ends stay open.
    HalfOpen,
}

impl LinkFault {
    pub const ALL: [Self; 5] = [
        Self::Delay,
        Self::Reset,
        Self::DropResponses,
        Self::Silent,
        Self::HalfOpen,
    ];
}

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

/// A fleet of control replicas and of hosts with servers. The servers belong to
/// a pool that is sharded by key (`keyed`) or to one that is not (`plain`).
#[derive(Debug)]
pub struct Fleet {
    pub hosts: Vec<Host>,
    pub observations: Arc<Mutex<Observations>>,
    pub client: Client,
    net: Arc<Network>,
    version: u64,
    _folder: TempDir,
}

impl Fleet {
    /// Starts a fleet whose servers take their ranges in the answers to their
    /// heartbeats. See [`Fleet::start_with`].
    pub async fn start(net: u8, controls: u8, keyed: u8, plain: u8) -> Self {
        Self::start_with(net, controls, keyed, plain, Servers::Heartbeat).await
    }

    /// Starts `controls` control replicas and the given numbers of `keyed` and
    /// `plain` hosts, and applies a first plan. `net` is the third octet of the
    /// loopback addresses and must differ between tests that run concurrently.
    pub async fn start_with(net: u8, controls: u8, keyed: u8, plain: u8, servers: Servers) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let observations = Arc::new(Mutex::new(Observations::default()));
        let seeds: Vec<String> = (1..=controls.min(3))
            .map(|host| format!("127.9.{net}.{host}:{CONTROL_PORT}"))
            .collect();
        let relays = Network::new(net.into());
        let mut hosts = Vec::new();
        for number in 1..=controls + keyed + plain {
            let address = Ipv4Addr::new(127, 9, net, number);
            let is_control = number <= controls;
            let service = if number <= controls + keyed {
                "keyed"
            } else {
                "plain"
            };
            let data = folder.path().join(format!("data-{number}"));
            let settings = folder.path().join(format!("{number}.conf"));
            let mut text = format!(
                "node=host-{number}\nzone=a\nlisten.control={address}:{CONTROL_PORT}\n\
                 internal-ports={LINK_PORT},7615\nseeds={}\nbootstrap=true\nheartbeat-s=0.25\n\
                 fault-tolerance.machines={}\nbounds.drain-s=2\nbounds.grace-s=6\n\
                 bounds.max-hold-s=10\nbounds.retry-budget-ratio=0.2\n\
                 bounds.budget-window-s=10\nbounds.budget-slack=50\ngrants={}\n",
                seeds.join(","),
                (controls - 1) / 2,
                if servers == Servers::Call {
                    "request"
                } else {
                    "heartbeat"
                }
            );
            if is_control {
                text.push_str(&["data-dir=", &data.to_string_lossy(), "\n"].concat());
            } else {
                let node_settings = format!(
                    "listen.outbound={address}:{CALLERS_PORT}\nlisten.ready={address}:{READY_PORT}\n\
                     app-addr={address}:{RELAY_PORT}\nservice={service}\n"
                );
                text.push_str(&node_settings);
            }
            std::fs::write(&settings, text).unwrap();
            let mut host = Host {
                address,
                is_control,
                settings,
                data,
                log: folder.path().join(format!("{number}.log")),
                process: None,
                server: None,
            };
            host.start();
            if !is_control {
                host.server =
                    Some(start_server(address, service, servers, Arc::clone(&observations)).await);
                let end = hosts.len();
                let listener = TcpListener::bind((address, RELAY_PORT)).await.unwrap();
                let server_address = (address, SERVER_PORT).into();
                relays.relay_tcp(listener, server_address, Endpoint::Target(end), move |_| {
                    Endpoint::Host(end)
                });
            }
            hosts.push(host);
        }
        let mut fleet = Self {
            hosts,
            observations,
            client: Client::new(),
            net: relays,
            version: 0,
            _folder: folder,
        };
        fleet.configure().await;
        for host in &fleet.hosts {
            host.disable_bootstrap();
        }
        fleet
    }

    /// Starts another control replica with an empty disk, at an address of its own
    /// that no settings file names, and returns its number.
    pub fn add_control(&mut self) -> usize {
        let first = &self.hosts[0];
        let number = self.hosts.len() + 1;
        let [a, b, c, _] = first.address.octets();
        let address = Ipv4Addr::new(a, b, c, u8::try_from(number).unwrap());
        let data = first.data.with_file_name(format!("data-{number}"));
        let replace = |line: &str| match line.split_once('=') {
            Some(("node", _)) => format!("node=host-{number}"),
            Some(("listen.control", _)) => format!("listen.control={address}:{CONTROL_PORT}"),
            Some(("data-dir", _)) => format!("data-dir={}", data.display()),
            _ => line.to_owned(),
        };
        let text = std::fs::read_to_string(&first.settings).unwrap();
        let lines: Vec<String> = text.lines().map(replace).collect();
        let settings = first.settings.with_file_name(format!("{number}.conf"));
        std::fs::write(&settings, lines.join("\n")).unwrap();
        let mut host = Host {
            address,
            is_control: true,
            log: settings.with_extension("log"),
            settings,
            data,
            process: None,
            server: None,
        };
        host.start();
        self.hosts.push(host);
        number - 1
    }

    /// Whether a leader has added the replica on a host to the group, as the logs
    /// say.
    pub fn group_has(&self, host: usize) -> bool {
        let log = std::fs::read_to_string(&self.hosts[host].log).unwrap_or_default();
        let replica = log
            .split("event=\"replica\" replica=")
            .nth(1)
            .and_then(|rest| rest.split(' ').next());
        let Some(replica) = replica else {
            return false;
        };
        self.hosts.iter().any(|other| {
            let log = std::fs::read_to_string(&other.log).unwrap_or_default();
            log.lines().any(|line| {
                line.contains("event=\"group\"") && line.contains(&format!("joined={replica}"))
            })
        })
    }

    /// Injects a fault into the connections between a host and its target.
    pub fn inject_fault(&self, host: usize, fault: LinkFault) {
        let (near, far) = (Endpoint::Host(host), Endpoint::Target(host));
        let impairment = |impairment: Impairment| {
            self.net.set(near, far, impairment);
            self.net.set(far, near, impairment);
        };
        match fault {
            LinkFault::None => impairment(Impairment::default()),
            LinkFault::Delay => impairment(Impairment {
                delay: Duration::from_millis(20),
                jitter: Duration::from_millis(80),
                ..Impairment::default()
            }),
            LinkFault::Reset => impairment(Impairment {
                cut: true,
                ..Impairment::default()
            }),
            LinkFault::DropResponses => self.net.set(
                far,
                near,
                Impairment {
                    silent: true,
                    ..Impairment::default()
                },
            ),
            LinkFault::Silent => self.net.silence(near, far),
            LinkFault::HalfOpen => self.net.half_open(near, far),
        }
    }

    /// Sends a new plan until a control replica accepts it, and returns its
    /// version.
    pub async fn configure(&mut self) -> u64 {
        let base = self.version;
        let version = base + 2;
        let route = |name: &str, prefix: &str, kind: &str, service: &str| {
            json!({"name": name, "path-prefix": prefix, "kind": kind, "timeout-s": 3.0,
                "slo-s": 1.0, "priority": 0, "service": service, "max-attempts": 2})
        };
        let body = json!({
            "version": version,
            "services": [
                {"name": "keyed", "max-conns": 60, "sharded": true},
                {"name": "plain", "max-conns": 60}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 1_000_000,
                "header-timeout-s": 3, "idle-timeout-s": 15},
            "virtual-hosts": [{"host": "x.example", "paths": [
                route("read", "/read/", "idempotent", "keyed"),
                route("book", "/book/", "non_idempotent", "plain")]}]
        })
        .to_string();
        let controls: Vec<_> = self.controls().collect();
        let mut attempt = 0;
        wait_for(Duration::from_secs(30), "a plan", || {
            let control = controls[attempt % controls.len()];
            attempt += 1;
            let body = Bytes::from(body.clone());
            let client = &self.client;
            async move {
                let base = base.to_string();
                let headers = [("if-match", base.as_str())];
                let sending = client.send(control, "POST", PUT_PLAN, &headers, body);
                match tokio::time::timeout(OPERATOR_TIMEOUT, sending).await {
                    Ok(Ok(answer)) if answer.status == StatusCode::OK => Ok(()),
                    Ok(Ok(answer)) => Err(format!("{} {}", answer.status, answer.text())),
                    Ok(Err(error)) => Err(error.to_string()),
                    Err(_) => Err("no answer".to_owned()),
                }
            }
        })
        .await;
        self.version = version;
        version
    }

    /// Returns the plan's version as the first control replica that answers
    /// gives it.
    pub async fn version(&self, bound: Duration) -> u64 {
        let controls: Vec<_> = self.controls().collect();
        let mut attempt = 0;
        let (version, _) = wait_for(bound, "the plan in force", || {
            let control = controls[attempt % controls.len()];
            attempt += 1;
            let client = &self.client;
            async move {
                let sending = client.send(control, "POST", GET_PLAN, &[], Bytes::new());
                match tokio::time::timeout(OPERATOR_TIMEOUT, sending).await {
                    Ok(Ok(answer)) if answer.status == StatusCode::OK => answer.json()["version"]
                        .as_u64()
                        .ok_or_else(|| answer.text()),
                    Ok(Ok(answer)) => Err(format!("{} {}", answer.status, answer.text())),
                    Ok(Err(error)) => Err(error.to_string()),
                    Err(_) => Err("no answer".to_owned()),
                }
            }
        })
        .await;
        version
    }

    fn controls(&self) -> impl Iterator<Item = SocketAddr> {
        let controls = self.hosts.iter().filter(|host| host.is_control);
        controls.map(Host::control)
    }

    /// Sends one request through a host and returns the status and the body.
    pub async fn request(
        &self,
        host: usize,
        kind: &str,
        id: &str,
        key: u16,
    ) -> (StatusCode, String) {
        let method = if kind == "read" { "GET" } else { "POST" };
        let path = format!("/{kind}/{id}");
        let key = key.to_string();
        let headers = [
            ("host", "x.example"),
            ("x-wisteriaglade-request-id", id),
            ("x-wisteriaglade-deadline-ms", "2000"),
            ("x-wisteriaglade-shard-key", key.as_str()),
        ];
        let address = self.hosts[host].callers();
        // The body of a booking is too long to be sent along with an offer.
        let body = Bytes::from(vec![b'x'; if kind == "read" { 0 } else { 2_000 }]);
        match self
            .client
            .send(address, method, &path, &headers, body)
            .await
        {
            Ok(answer) => (answer.status, answer.text()),
            Err(error) => (StatusCode::BAD_GATEWAY, error.to_string()),
        }
    }

    /// Waits until a read of `key` through a host is served, and returns the
    /// time that it took.
    pub async fn wait_until_served(&self, host: usize, key: u16, bound: Duration) -> Duration {
        let mut attempt = 0;
        let ((), took) = wait_for(bound, "a keyed request", || {
            attempt += 1;
            let id = format!("probe-{host}-{key}-{attempt}");
            async move {
                match self.request(host, "read", &id, key).await {
                    (StatusCode::OK, _) => Ok(()),
                    (status, text) => Err(format!("{status} {text}")),
                }
            }
        })
        .await;
        took
    }

    /// Fails the test if an invariant was violated or a booking ran twice, and
    /// prints the logs.
    pub fn check(&self) {
        let observations = self.observations.lock().unwrap();
        let mut violations = observations.violations.clone();
        let twice = observations
            .runs
            .iter()
            .filter(|(id, runs)| id.starts_with("book") && **runs > 1);
        violations.extend(twice.map(|(id, runs)| format!("{id} ran {runs} times")));
        if !violations.is_empty() {
            for host in &self.hosts {
                print_log_tail(&host.log);
            }
            panic!("violated invariants: {violations:#?}");
        }
    }
}

/// Starts a server and sends its heartbeats until the task is aborted.
async fn start_server(
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
    let listener = TcpListener::bind((address, SERVER_PORT)).await.unwrap();
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
                faulty::serve(listener, Arc::clone(&server.observations)).await;
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
