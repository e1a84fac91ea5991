//! Runs one deployment on loopback: each node as a process of its own, the
//! targets in this process.

use std::{
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, Ordering},
    },
    time::{Duration, Instant},
};

use serde_json::Value;
use tokio_util::task::AbortOnDropHandle;

use crate::{
    client::{Client, Error},
    history::History,
    process::{self, Addresses, Process},
    relay::Relay,
    target::{Config, Target},
    workload::Workload,
};

/// The operator token that every node accepts.
const OPERATOR_TOKEN: &str = "measurement-operator-token";

/// The number of control replicas, which run on the first hosts of a workload.
pub const REPLICAS: usize = 3;

/// The longest wait for a node to start, for the cluster to be ready, or for rules
/// to be in force.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// One host of a running cluster: a node and the target beside it.
#[derive(Debug)]
pub struct Host {
    pub name: &'static str,
    pub process: Process,
    log: PathBuf,
    pub target: Arc<Target>,
    /// Whether a fault has killed or paused the node.
    pub lost: AtomicBool,
    _reports: AbortOnDropHandle<()>,
}

/// A running cluster. Dropping it ends all node processes.
#[derive(Debug)]
pub struct Cluster {
    pub hosts: Vec<Host>,
    pub client: Client,
    pub history: Arc<History>,
}

impl Cluster {
    /// Starts every host, with its files below `data`, and waits until the cluster
    /// is ready. The host at `relayed` advertises the address of the returned
    /// relay, so its peers connect through it.
    pub async fn start(
        workload: &Workload,
        policy: &str,
        relayed: Option<usize>,
        data: &Path,
    ) -> Result<(Self, Option<Arc<Relay>>), Error> {
        let binary = process::binary()?;
        let addresses = addresses(workload.hosts.len());
        let relay = match relayed {
            Some(host) => Some(Relay::start(addresses[host].peer).await?),
            None => None,
        };
        let mut cluster = Self {
            hosts: Vec::new(),
            client: Client::new(),
            history: Arc::new(History::new()),
        };
        for (position, host) in workload.hosts.iter().enumerate() {
            let advertised = relay.as_ref().filter(|_| relayed == Some(position));
            let advertised = advertised.map(|relay| relay.address);
            let text = settings(workload, position, policy, &addresses, advertised, data);
            let file = data.join(format!("{}.yaml", host.name));
            std::fs::write(&file, text)?;
            let process = Process::start(&binary, &file, addresses[position])?;
            let config = Config {
                host: position,
                pool: host.pool,
                name: workload.pools[host.pool],
                slots: workload.slots,
                speed: host.speed,
            };
            let target = Target::start(config, Arc::clone(&cluster.history)).await?;
            let admin = addresses[position].admin;
            let reports = Arc::clone(&target).report(admin, cluster.client.clone());
            cluster.hosts.push(Host {
                name: host.name,
                process,
                log: file.with_extension("log"),
                target,
                lost: AtomicBool::new(false),
                _reports: AbortOnDropHandle::new(tokio::spawn(reports)),
            });
        }
        cluster.announce().await?;
        cluster.wait_until_ready(workload.pools.len()).await?;
        Ok((cluster, relay))
    }

    async fn announce(&self) -> Result<(), Error> {
        let start = Instant::now();
        for host in &self.hosts {
            let document = host.target.announcement();
            let admin = host.process.addresses.admin;
            // The admin listener refuses connections until the node has started.
            while let Err(error) = self
                .client
                .json(admin, "PUT", "/v1/target", OPERATOR_TOKEN, &document)
                .await
            {
                if start.elapsed() > WAIT_TIMEOUT {
                    return Err(format!("{} did not start: {error}", host.name).into());
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Waits until every node serves requests and every shard has an owner.
    async fn wait_until_ready(&self, pools: usize) -> Result<(), Error> {
        let start = Instant::now();
        for host in 0..self.hosts.len() {
            while !self.is_ready(host, pools).await {
                if start.elapsed() > WAIT_TIMEOUT {
                    return Err(self.describe_unready(host).await.into());
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Describes a node that is not ready: its status and the last lines of its
    /// log, newest first.
    async fn describe_unready(&self, host: usize) -> String {
        let status = self.get(host, "/v1/status").await;
        let status = status.map_or_else(|error| error.to_string(), |status| status.to_string());
        let host = &self.hosts[host];
        let log = std::fs::read_to_string(&host.log).unwrap_or_default();
        let tail = log.lines().rev().take(5).collect::<Vec<_>>().join("\n");
        format!("{} is not ready: {status}\n{tail}", host.name)
    }

    async fn is_ready(&self, host: usize, pools: usize) -> bool {
        let Ok(status) = self.get(host, "/v1/status").await else {
            return false;
        };
        let known = status["pools"].as_array().cloned().unwrap_or_default();
        let owned = known
            .iter()
            .all(|pool| pool["ownerless"] == 0 && pool["moving"] == 0);
        let leads = status["control_leader"].is_u64();
        let ready = status["lease"] == true && status["current"] == true;
        ready && leads && owned && known.len() == pools
    }

    /// Fetches a JSON document from the admin address of a host.
    pub async fn get(&self, host: usize, path: &str) -> Result<Value, Error> {
        let admin = self.hosts[host].process.addresses.admin;
        Ok(self.client.send(admin, "GET", path, &[], "").await?.json())
    }

    /// Sends an operator's command to the admin address of a host.
    pub async fn command(&self, host: usize, method: &str, path: &str) -> Result<(), Error> {
        let admin = self.hosts[host].process.addresses.admin;
        let client = &self.client;
        let answer = client
            .json(admin, method, path, OPERATOR_TOKEN, &Value::Null)
            .await?;
        if answer.status.is_success() {
            Ok(())
        } else {
            Err(format!("{method} {path}: {}", answer.status).into())
        }
    }

    /// Replaces the rules in force and returns the new version. `id` is the change
    /// id.
    pub async fn apply(&self, id: &str, text: &str) -> Result<u64, Error> {
        let present = self.get(0, "/v1/rules").await?;
        let admin = self.hosts[0].process.addresses.admin;
        let base = &present["version"];
        let document = serde_json::json!({"id": id, "base": base, "text": text});
        let answer = self
            .client
            .json(admin, "PUT", "/v1/rules", OPERATOR_TOKEN, &document)
            .await?;
        let version = answer.json()["version"].as_u64();
        version.ok_or_else(|| format!("rules refused: {}", answer.text()).into())
    }

    /// Waits until `version` of the rules is in force on every node that is not
    /// lost, and returns the time this took.
    pub async fn wait_until_in_force(&self, version: u64) -> Result<Duration, Error> {
        let start = Instant::now();
        for host in 0..self.hosts.len() {
            while !self.hosts[host].is_lost() {
                let rules = self.get(host, "/v1/rules").await?;
                if rules["version"].as_u64() >= Some(version) {
                    break;
                }
                if start.elapsed() > WAIT_TIMEOUT {
                    return Err("timed out waiting for the rules to be in force".into());
                }
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        }
        Ok(start.elapsed())
    }

    /// The host that owns the key in `path`, according to one node.
    pub async fn owner(&self, node: usize, path: &str) -> Option<usize> {
        let path = format!("/v1/explain?method=GET&path={path}");
        let explanation = self.get(node, &path).await.ok()?;
        let name = explanation["owner_host"].as_str()?;
        self.hosts.iter().position(|host| host.name == name)
    }

    /// The host whose control replica is the leader.
    pub async fn leader(&self) -> Result<usize, Error> {
        let status = self.get(0, "/v1/status").await?;
        let id = status["control_leader"]
            .as_u64()
            .ok_or("no control leader")?;
        Ok(usize::try_from(id)? - 1)
    }
}

impl Host {
    pub fn is_lost(&self) -> bool {
        self.lost.load(Ordering::Relaxed)
    }

    /// Marks the node as lost. Called just before a fault kills or pauses it.
    pub fn mark_lost(&self) {
        self.lost.store(true, Ordering::Relaxed);
    }
}

/// The number of clusters that this process has started.
static CLUSTERS_STARTED: AtomicU8 = AtomicU8::new(0);

/// The largest number of hosts in a cluster.
const MAX_HOSTS: u8 = 20;

/// Chooses a loopback address for each host. Free ports of 127.0.0.1 are not used,
/// since an outgoing connection could take a port after it is chosen and before
/// the node binds it.
fn addresses(count: usize) -> Vec<Addresses> {
    let cluster = CLUSTERS_STARTED.fetch_add(1, Ordering::Relaxed) * MAX_HOSTS;
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip = |host: usize| {
        let host = u8::try_from(host + 1).expect("a cluster has a few hosts");
        IpAddr::from([127, 64 | (high & 63), low, cluster + host])
    };
    (0..count)
        .map(|host| Addresses {
            caller: SocketAddr::new(ip(host), 8080),
            peer: SocketAddr::new(ip(host), 7946),
            admin: SocketAddr::new(ip(host), 9090),
        })
        .collect()
}

/// Writes the settings file of one node.
fn settings(
    workload: &Workload,
    position: usize,
    policy: &str,
    addresses: &[Addresses],
    advertised: Option<SocketAddr>,
    data: &Path,
) -> String {
    use std::fmt::Write as _;
    let host = workload.hosts[position];
    let own = addresses[position];
    let mut text = format!(
        "host: {}\ndata_centre: {}\npolicy: {policy}\nlog: warn\n\
         cluster_key: measurement-cluster-key-on-loopback\n\
         listen:\n  caller: {}\n  peer: {}\n  admin: {}\n",
        host.name, host.data_centre, own.caller, own.peer, own.admin
    );
    if let Some(address) = advertised {
        let _ = writeln!(text, "  advertise: {{ peer: '{address}' }}");
    }
    text.push_str("replicas:\n");
    for (replica, address) in addresses.iter().enumerate().take(REPLICAS) {
        let id = replica + 1;
        let _ = writeln!(text, "  - {{ id: {id}, peer: '{}' }}", address.peer);
    }
    if position < REPLICAS {
        let data = data.join(host.name);
        let id = position + 1;
        let _ = writeln!(text, "replica: {{ id: {id}, data: '{}' }}", data.display());
    }
    let hash = blake3::hash(OPERATOR_TOKEN.as_bytes()).to_hex();
    let _ = writeln!(
        text,
        "operators:\n  - {{ name: measure, token_hash: '{hash}' }}"
    );
    text
}
