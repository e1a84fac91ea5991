//! A cluster of real router processes on loopback addresses, each with a target
//! that runs in the test process.

use std::{
    fmt::Write as _,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use rand::{RngExt as _, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{Mutex, MutexGuard},
    task::JoinHandle,
};

use super::{
    addresses::Block,
    calls::{Call, Calls, RequestSpec},
    check,
    client::{Answer, Client},
    process::{self, Process},
    proxy::{Endpoint, Network},
    target::{Config, Target},
    wait_for,
};

/// The part of an operator's token after `NAME-`.
const TOKEN: &str = "integration-token";

/// Held by each [`Cluster`], so that tests that measure time run one at a time.
static SERIAL: Mutex<()> = Mutex::const_new(());

/// The rules that every test starts with. The longest deadline is 2 s.
pub const RULES: &str = "\
llewellyn bookings GET /bookings/{key} repeat deadline=2s length=short weight=1 # Megan, reads
llewellyn bookings POST /bookings/{key} once deadline=2s length=learned weight=1 # Megan, bookings
";

/// The data centre of each host. The first three hosts run control replicas.
const DATA_CENTRES: [&str; 5] = ["caerdydd", "abertawe", "aberystwyth", "bangor", "bangor"];

/// The pool of every target.
const POOL: &str = "bookings";

const CALLER_PORT: u16 = 8080;
const PEER_PORT: u16 = 7946;
const ADMIN_PORT: u16 = 9090;

/// The configuration of a [`Cluster`].
#[derive(Debug, Clone)]
pub struct Options {
    pub hosts: usize,
    /// Whether the targets check fencing tokens.
    pub fencing: bool,
    /// Whether hosts reach each other through relays.
    pub proxy: bool,
    /// Whether nodes reach their targets through relays.
    pub target_proxy: bool,
    /// The slots of each target.
    pub slots: u32,
    /// The time that a target works on a request by default.
    pub service_time: Duration,
    /// Text that is appended to the settings file of each host.
    pub extra_settings: &'static str,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            hosts: 5,
            fencing: true,
            proxy: false,
            target_proxy: false,
            slots: 12,
            service_time: Duration::from_millis(2),
            extra_settings: "",
        }
    }
}

/// One host: its addresses, its target and its process while that runs.
#[derive(Debug)]
pub struct Host {
    pub name: String,
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
    pub target: Arc<Target>,
    pub process: Option<Process>,
    settings: PathBuf,
    log: PathBuf,
    announcer: JoinHandle<()>,
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    pub hosts: Vec<Host>,
    pub net: Arc<Network>,
    pub calls: Calls,
    pub client: Client,
    pub seed: u64,
    options: Options,
    data: TempDir,
    _serial_guard: MutexGuard<'static, ()>,
}

impl Cluster {
    /// Starts a cluster and waits until [`RULES`] are in force at every node.
    ///
    /// The environment variable `SEED` sets the seed of the random choices.
    pub async fn start(options: Options) -> Self {
        let serial_guard = SERIAL.lock().await;
        let seed = std::env::var("SEED")
            .ok()
            .and_then(|seed| seed.parse().ok());
        let seed = seed.unwrap_or_else(rand::random);
        eprintln!("SEED={seed}");
        let data = tempfile::tempdir().unwrap();
        let block = Block::reserve().unwrap();
        let net = Network::new(seed);
        let mut hosts = Vec::new();
        for number in 0..options.hosts {
            hosts.push(start_host(number, block, &options, &net, &data).await);
        }
        let mut cluster = Self {
            hosts,
            net,
            calls: Calls::default(),
            client: Client::new(),
            seed,
            options,
            data,
            _serial_guard: serial_guard,
        };
        for number in 0..cluster.hosts.len() {
            cluster.launch(number);
        }
        cluster.ready().await;
        cluster.change(0, "megan", "start", 0, RULES).await;
        cluster.in_force(1, Duration::from_secs(5)).await;
        cluster
    }

    /// Starts the process of a host without waiting for it.
    pub fn launch(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        host.process = Some(Process::start(&host.settings, &host.log));
    }

    /// Returns the process of a host, which must be running.
    pub fn process(&self, number: usize) -> &Process {
        self.hosts[number].process.as_ref().unwrap()
    }

    /// Kills the process of a host.
    pub fn kill(&mut self, number: usize) {
        self.hosts[number].process.take().unwrap().kill();
    }

    /// Waits until every running node holds a lease, is current and sees all
    /// running nodes ready, and every shard has an owner and none is moving.
    pub async fn ready(&self) {
        let bound = Duration::from_secs(20);
        wait_for(bound, "a settled cluster", || self.check_ready()).await;
    }

    async fn check_ready(&self) -> Result<(), String> {
        for (number, host) in self.hosts.iter().enumerate() {
            if host.process.is_none() {
                continue;
            }
            let status = self.status(number).await?;
            let ready = status["nodes"].as_array().map_or(0, |nodes| {
                let ready = nodes.iter().filter(|node| node["status"] == "ready");
                ready.count()
            });
            let running = self.hosts.iter().filter(|host| host.process.is_some());
            let pool = &status["pools"][0];
            if status["lease"] != true
                || status["current"] != true
                || ready != running.count()
                || pool["ownerless"] != 0
                || pool["moving"] != 0
            {
                return Err(status.to_string());
            }
        }
        Ok(())
    }

    /// Returns a node's status document.
    pub async fn status(&self, number: usize) -> Result<Value, String> {
        self.get(number, "/v1/status").await
    }

    /// Reads a document from the operator API of a node.
    pub async fn get(&self, number: usize, path: &str) -> Result<Value, String> {
        let send = self
            .client
            .send(self.hosts[number].admin, "GET", path, &[], "");
        let answer = tokio::time::timeout(Duration::from_secs(1), send).await;
        let answer = answer.map_err(|error| error.to_string())?;
        Ok(answer.map_err(|error| error.to_string())?.json())
    }

    /// Sends a change of the rules to a node, with `base` as the version that
    /// it is based on.
    pub async fn change(
        &self,
        via: usize,
        operator: &str,
        id: &str,
        base: u64,
        text: &str,
    ) -> Answer {
        let document = json!({ "id": id, "base": base, "text": text });
        let token = format!("{operator}-{TOKEN}");
        let admin = self.hosts[via].admin;
        let send = self
            .client
            .json(admin, "PUT", "/v1/rules", &token, &document);
        send.await.unwrap()
    }

    /// Sends an operator's POST request with an empty document.
    pub async fn post(&self, via: usize, path: &str) -> Answer {
        let admin = self.hosts[via].admin;
        let token = format!("megan-{TOKEN}");
        let empty = json!({});
        let send = self.client.json(admin, "POST", path, &token, &empty);
        send.await.unwrap()
    }

    /// Waits until a version of the rules is in force at every running node,
    /// and returns the time that it took.
    pub async fn in_force(&self, version: u64, bound: Duration) -> Duration {
        let ((), took) = wait_for(bound, "rules in force everywhere", || async {
            for (number, host) in self.hosts.iter().enumerate() {
                if host.process.is_some() {
                    let rules = self.get(number, "/v1/rules").await?;
                    if rules["version"].as_u64() < Some(version) {
                        return Err(format!("{}: {}", host.name, rules["version"]));
                    }
                }
            }
            Ok(())
        })
        .await;
        took
    }

    /// Returns the host of the control leader, as the node `via` reports it.
    pub async fn leader(&self, via: usize) -> usize {
        let bound = Duration::from_secs(5);
        let (leader, _) = wait_for(bound, "a control leader", || async {
            let status = self.status(via).await?;
            let leader = status["control_leader"].as_u64();
            leader.ok_or_else(|| status.to_string())
        })
        .await;
        usize::try_from(leader).unwrap() - 1
    }

    /// Returns the host that owns a key and the hosts of its record holders.
    pub async fn owner(&self, via: usize, key: &str) -> Result<(usize, Vec<usize>), String> {
        let path = format!("/v1/explain?method=POST&path=/bookings/{key}");
        let found = self.get(via, &path).await?;
        let owner = found["owner_host"].as_str().unwrap_or_default();
        let owner = self.hosts.iter().position(|host| host.name == owner);
        let status = self.status(via).await?;
        let holders = found["holders"].as_array().into_iter().flatten();
        let holders = holders.filter_map(|holder| {
            let nodes = status["nodes"].as_array()?;
            let node = nodes.iter().find(|node| node["node"] == *holder)?;
            self.hosts.iter().position(|host| node["host"] == host.name)
        });
        let holders = holders.collect();
        owner
            .map(|owner| (owner, holders))
            .ok_or_else(|| found.to_string())
    }

    /// Returns `count` keys that a host owns.
    pub async fn keys_of(&self, owner: usize, count: usize) -> Vec<String> {
        let mut keys = Vec::new();
        let via = self.first_running();
        for number in 0.. {
            let key = format!("k{number}");
            if self.owner(via, &key).await.unwrap().0 == owner {
                keys.push(key);
            }
            if keys.len() == count {
                break;
            }
            assert!(number < 1_000, "host {owner} owns no keys");
        }
        keys
    }

    fn first_running(&self) -> usize {
        let running = self.hosts.iter().position(|host| host.process.is_some());
        running.unwrap()
    }

    /// Sends one request through a node.
    pub async fn call(&self, via: usize, spec: RequestSpec) -> Call {
        self.calls.send(via, self.hosts[via].caller, spec).await
    }

    /// Sends requests through the nodes in `via` from `concurrency` concurrent
    /// callers until the load is stopped. Half of the requests are bookings.
    pub fn load(&self, via: &[usize], concurrency: usize, work: Duration) -> Load {
        let stop = tokio_util::sync::CancellationToken::new();
        let callers = (0..concurrency).map(|caller| {
            let mut random = StdRng::seed_from_u64(self.seed.wrapping_add(caller as u64));
            let (calls, stop) = (self.calls.clone(), stop.clone());
            let nodes: Vec<_> = via.iter().map(|&n| (n, self.hosts[n].caller)).collect();
            tokio::spawn(async move {
                let mut number = 0;
                while !stop.is_cancelled() {
                    number += 1;
                    let (node, address) = nodes[random.random_range(0..nodes.len())];
                    let key = format!("k{}", random.random_range(0..200));
                    let spec = if random.random() {
                        RequestSpec::read(&key)
                    } else {
                        RequestSpec::book(&key, &format!("load-{caller}-{number}"))
                    };
                    let call = calls.send(node, address, spec.with_work(work)).await;
                    if !call.served() {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                }
            })
        });
        Load {
            callers: callers.collect(),
            stop,
        }
    }

    /// Fails the test if the records show a violation or the storage of a
    /// control replica has failed.
    pub async fn check(&self) {
        for (number, host) in self.hosts.iter().enumerate() {
            if host.process.is_some() {
                let health = self.get(number, "/v1/health").await.unwrap_or_default();
                assert_ne!(health["storage_failed"], true, "at {}", host.name);
            }
        }
        self.check_records();
    }

    /// Fails the test if the records show a violation.
    pub fn check_records(&self) {
        let found = check::violations(&self.executions(), &self.calls.all(), !self.options.fencing);
        assert!(found.is_empty(), "{} violations: {found:#?}", found.len());
    }

    /// Returns the data directory of a control replica.
    pub fn data_dir(&self, number: usize) -> PathBuf {
        self.data.path().join(&self.hosts[number].name)
    }

    /// Returns the executions of all targets.
    pub fn executions(&self) -> Vec<check::TargetExecution> {
        let hosts = self.hosts.iter().enumerate();
        let runs = hosts.map(|(number, host)| (number, host.target.executions()));
        runs.flat_map(|(number, runs)| runs.into_iter().map(move |run| (number, run)))
            .collect()
    }

    /// Applies an impairment in both directions between some hosts and all
    /// others.
    pub fn isolate(&self, some: &[usize], impairment: super::proxy::Impairment) {
        let others: Vec<usize> = (0..self.hosts.len())
            .filter(|n| !some.contains(n))
            .collect();
        self.net.between(some, &others, impairment);
    }
}

/// Concurrent callers, each of which sends one request after another.
#[derive(Debug)]
pub struct Load {
    callers: Vec<JoinHandle<()>>,
    stop: tokio_util::sync::CancellationToken,
}

impl Load {
    /// Stops the callers and waits for their requests in flight.
    pub async fn stop(self) {
        self.stop.cancel();
        for caller in self.callers {
            caller.await.unwrap();
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            host.announcer.abort();
            host.process.take();
            if std::thread::panicking() {
                process::print_log_tail(&host.log);
            }
        }
    }
}

/// Returns the address in a block with the last byte `last`.
fn address(block: Block, last: usize) -> IpAddr {
    block.address(u8::try_from(last).unwrap()).into()
}

/// Returns the host that has an address.
fn endpoint_of(ip: IpAddr) -> Endpoint {
    let IpAddr::V4(ip) = ip else {
        unreachable!("all addresses are IPv4")
    };
    Endpoint::Host(usize::from(ip.octets()[3]) - 1)
}

/// The last octet of the relay's address of host 0; a host's own address ends
/// in its index plus 1.
const RELAY_OFFSET: usize = 101;

/// Starts the target and the relays of a host and writes its settings file.
async fn start_host(
    number: usize,
    block: Block,
    options: &Options,
    net: &Arc<Network>,
    data: &TempDir,
) -> Host {
    let (own, relay) = (
        address(block, number + 1),
        address(block, number + RELAY_OFFSET),
    );
    let peer = SocketAddr::new(own, PEER_PORT);
    let admin = SocketAddr::new(own, ADMIN_PORT);
    if options.proxy {
        let tcp = TcpListener::bind((relay, PEER_PORT)).await.unwrap();
        let udp = UdpSocket::bind((relay, PEER_PORT)).await.unwrap();
        net.relay_tcp(tcp, peer, Endpoint::Host(number), endpoint_of);
        net.relay_udp(udp, peer, Endpoint::Host(number), endpoint_of);
    }
    let target = Target::start(Config {
        pool: POOL.to_owned(),
        slots: options.slots,
        connections: 110,
        fencing: options.fencing,
        service: options.service_time,
    });
    let target = target.await.unwrap();
    let mut announcement = target.announcement();
    if options.target_proxy {
        let tcp = TcpListener::bind((relay, 0)).await.unwrap();
        announcement["address"] = json!(tcp.local_addr().unwrap().to_string());
        net.relay_tcp(tcp, target.address, Endpoint::Target(number), move |_| {
            Endpoint::Host(number)
        });
    }
    let name = format!("{}-{}", DATA_CENTRES[number], number);
    let settings = data.path().join(format!("{name}.yaml"));
    let text = settings_text(&name, number, block, options, data);
    std::fs::write(&settings, text).unwrap();
    Host {
        caller: SocketAddr::new(own, CALLER_PORT),
        peer,
        admin,
        target,
        process: None,
        log: data.path().join(format!("{name}.log")),
        settings,
        announcer: tokio::spawn(announce(admin, announcement)),
        name,
    }
}

fn settings_text(
    name: &str,
    number: usize,
    block: Block,
    options: &Options,
    data: &TempDir,
) -> String {
    let own = address(block, number + 1);
    let peer_address = |host: usize| {
        let last = if options.proxy { RELAY_OFFSET } else { 1 };
        SocketAddr::new(address(block, host + last), PEER_PORT)
    };
    let mut text = format!(
        "host: {name}\ndata_centre: {}\nlisten:\n  caller: {own}:{CALLER_PORT}\n  peer: {own}:{PEER_PORT}\n  \
         admin: {own}:{ADMIN_PORT}\n  advertise: {{ peer: '{}' }}\n\
         cluster_key: integration-cluster-key\nshards: 64\nlog: info\nreplicas:\n",
        DATA_CENTRES[number],
        peer_address(number)
    );
    let replicas = options.hosts.min(3);
    for replica in 0..replicas {
        let peer = peer_address(replica);
        let _ = writeln!(text, "  - {{ id: {}, peer: '{peer}' }}", replica + 1);
    }
    if number < replicas {
        let data = data.path().join(name);
        let data = data.display();
        let _ = writeln!(text, "replica: {{ id: {}, data: '{data}' }}", number + 1);
    }
    text.push_str("operators:\n");
    for operator in ["megan", "gwen"] {
        let hash = blake3::hash(format!("{operator}-{TOKEN}").as_bytes()).to_hex();
        let _ = writeln!(text, "  - {{ name: {operator}, token_hash: '{hash}' }}");
    }
    text.push_str(options.extra_settings);
    text
}

/// Announces a target to its node every second until it is aborted.
async fn announce(admin: SocketAddr, announcement: Value) {
    let client = Client::new();
    loop {
        let send = client.json(admin, "PUT", "/v1/target", "", &announcement);
        let answer = tokio::time::timeout(Duration::from_secs(1), send).await;
        let pause = match answer {
            Ok(Ok(_)) => Duration::from_secs(1),
            // The node has not started yet.
            _ => Duration::from_millis(50),
        };
        tokio::time::sleep(pause).await;
    }
}
