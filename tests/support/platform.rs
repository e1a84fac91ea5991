//! A fleet in platform mode: real router processes, test doubles for the
//! application servers, and the calls of an operator.

use std::{
    net::{Ipv4Addr, SocketAddr},
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http::StatusCode;
use serde_json::json;
use tempfile::TempDir;
use tokio::{net::TcpListener, task::JoinHandle};

use super::{
    addresses::Block,
    client::Client,
    process::{Process, print_log_tail},
    proxy::{Endpoint, Impairment, Network},
    server::{self, Observations, RELAY_PORT, SERVER_PORT},
    wait_for,
};

pub use super::server::{Arrival, Servers};

pub(super) const CONTROL_PORT: u16 = 8620;
const CALLERS_PORT: u16 = 8629;
const READY_PORT: u16 = 8625;
const LINK_PORT: u16 = 7600;
const METRICS_PORT: u16 = 7601;

/// The timeout of an operator's call.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout of the rules of a plan in seconds, unless a test asks for another one.
pub(super) const RULE_TIMEOUT_S: f64 = 3.0;

/// The deadline of a request in milliseconds, unless a test asks for another one.
const DEADLINE_MS: u32 = 2_000;

const PUT_PLAN: &str = "/rpc?call=config.put";
const GET_PLAN: &str = "/rpc?call=config.get";

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

    /// The address that the host's server takes requests on.
    pub fn server(&self) -> SocketAddr {
        (self.address, RELAY_PORT).into()
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

    /// What the process has written to its log and to standard error.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
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

/// A fleet of control replicas and of hosts with servers. The servers belong to
/// a pool that is sharded by key (`keyed`) or to one that is not (`plain`).
#[derive(Debug)]
pub struct Fleet {
    pub hosts: Vec<Host>,
    pub observations: Arc<Mutex<Observations>>,
    pub client: Client,
    net: Arc<Network>,
    pub version: u64,
    block: Block,
    _folder: TempDir,
}

impl Fleet {
    /// Starts a fleet whose servers take their ranges in the answers to their
    /// heartbeats. See [`Fleet::start_with`].
    pub async fn start(seed: u8, controls: u8, keyed: u8, plain: u8) -> Self {
        Self::start_with(seed, controls, keyed, plain, Servers::Heartbeat).await
    }

    /// Starts `controls` control replicas and the given numbers of `keyed` and
    /// `plain` hosts, and applies a first plan. `seed` is that of the relays.
    pub async fn start_with(
        seed: u8,
        controls: u8,
        keyed: u8,
        plain: u8,
        servers: Servers,
    ) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let block = Block::reserve().unwrap();
        let observations = Arc::new(Mutex::new(Observations::default()));
        let seeds: Vec<String> = (1..=controls.min(3))
            .map(|host| format!("{}:{CONTROL_PORT}", block.address(host)))
            .collect();
        let relays = Network::new(seed.into());
        let mut hosts = Vec::new();
        for number in 1..=controls + keyed + plain {
            let address = block.address(number);
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
                    Some(server::start(address, service, servers, Arc::clone(&observations)).await);
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
            block,
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
        let address = self.block.address(u8::try_from(number).unwrap());
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

    /// Ends the server on a host, which then holds nothing.
    pub fn stop_server(&mut self, host: usize) {
        if let Some(server) = self.hosts[host].server.take() {
            server.abort();
        }
        let id = self.server_id(host);
        self.observations.lock().unwrap().record_end(&id);
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
        self.configure_with_timeout(RULE_TIMEOUT_S).await
    }

    /// Sends a new plan whose rules have the given timeout in seconds; see
    /// [`Fleet::configure`].
    pub async fn configure_with_timeout(&mut self, timeout_s: f64) -> u64 {
        let controls: Vec<_> = self.controls().collect();
        self.version = put_plan(&self.client, &controls, self.version, timeout_s).await;
        self.version
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

    /// The operators' addresses of the control replicas.
    pub fn controls(&self) -> impl Iterator<Item = SocketAddr> {
        let controls = self.hosts.iter().filter(|host| host.is_control);
        controls.map(Host::control)
    }

    /// Sets the headers that the answers of the server on a host carry besides the
    /// usual ones.
    pub fn set_headers(&self, host: usize, headers: &[(&'static str, &'static str)]) {
        let mut observations = self.observations.lock().unwrap();
        let id = self.server_id(host);
        observations.headers.insert(id, headers.to_vec());
    }

    /// Sets the time that the server on a host works on a request.
    pub fn set_work_time(&self, host: usize, time: Duration) {
        let mut observations = self.observations.lock().unwrap();
        observations.work_times.insert(self.server_id(host), time);
    }

    /// Returns the requests that reached the server on a host, in order.
    pub fn arrivals(&self, host: usize) -> Vec<Arrival> {
        let observations = self.observations.lock().unwrap();
        let server = self.server_id(host);
        let arrivals = observations.arrivals.iter();
        let own = arrivals.filter(|arrival| arrival.server == server);
        own.cloned().collect()
    }

    /// The id of the server on a host.
    pub fn server_id(&self, host: usize) -> String {
        format!("i-{}", self.hosts[host].address)
    }

    /// Sends one request through a host and returns the status and the body.
    pub async fn request(
        &self,
        host: usize,
        kind: &str,
        id: &str,
        key: u16,
    ) -> (StatusCode, String) {
        send_request(&self.client, self.hosts[host].callers(), kind, id, key).await
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

    /// Fails the test if an invariant was violated or a booking or charge ran
    /// twice, and prints the logs.
    pub fn check(&self) {
        let observations = self.observations.lock().unwrap();
        let mut violations = observations.violations.clone();
        let twice = observations
            .runs
            .iter()
            .filter(|(id, _)| id.starts_with("book") || id.starts_with("charge"))
            .filter(|(_, runs)| **runs > 1);
        violations.extend(twice.map(|(id, runs)| format!("{id} ran {runs} times")));
        assert!(
            violations.is_empty(),
            "violated invariants: {violations:#?}"
        );
    }
}

impl Drop for Fleet {
    /// Prints the logs of a test that failed.
    fn drop(&mut self) {
        if std::thread::panicking() {
            for host in &self.hosts {
                print_log_tail(&host.log);
            }
        }
    }
}

/// Sends one request to a host and returns the status and the body. An error of
/// the connection counts as status 502.
pub async fn send_request(
    client: &Client,
    address: SocketAddr,
    kind: &str,
    id: &str,
    key: u16,
) -> (StatusCode, String) {
    send_request_within(client, address, kind, id, key, DEADLINE_MS).await
}

/// Sends one request with a deadline in milliseconds; see [`send_request`].
pub async fn send_request_within(
    client: &Client,
    address: SocketAddr,
    kind: &str,
    id: &str,
    key: u16,
    deadline_ms: u32,
) -> (StatusCode, String) {
    let method = if kind == "read" { "GET" } else { "POST" };
    let path = format!("/{kind}/{id}");
    let (key, deadline) = (key.to_string(), deadline_ms.to_string());
    let headers = [
        ("host", "x.example"),
        ("x-wisteriaglade-request-id", id),
        ("x-wisteriaglade-deadline-ms", deadline.as_str()),
        ("x-wisteriaglade-shard-key", key.as_str()),
    ];
    // The body of a booking is too long to be sent along with an offer.
    let body = Bytes::from(vec![b'x'; if kind == "read" { 0 } else { 2_000 }]);
    match client.send(address, method, &path, &headers, body).await {
        Ok(answer) => (answer.status, answer.text()),
        Err(error) => (StatusCode::BAD_GATEWAY, error.to_string()),
    }
}

/// Sends a plan that builds on version `base` until a control replica accepts it,
/// and returns its version. `timeout_s` is that of its rules in seconds.
pub async fn put_plan(client: &Client, controls: &[SocketAddr], base: u64, timeout_s: f64) -> u64 {
    let version = base + 2;
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({"name": name, "path-prefix": prefix, "kind": kind, "timeout-s": timeout_s,
            "slo-s": timeout_s / 3.0, "priority": 0, "service": service, "max-attempts": 2})
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
            route("charge", "/charge/", "non_idempotent", "keyed"),
            route("book", "/book/", "non_idempotent", "plain")]}]
    })
    .to_string();
    let mut attempt = 0;
    wait_for(Duration::from_secs(30), "a plan", || {
        let control = controls[attempt % controls.len()];
        attempt += 1;
        let body = Bytes::from(body.clone());
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
    version
}
