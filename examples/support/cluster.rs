//! A cluster of daemons with their targets on loopback, in one process. Each host
//! has a loopback address of its own.

use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use http::StatusCode;
use tokio_util::sync::CancellationToken;
use wisteriaglade::node::{Daemon, Settings};

use super::{
    addresses::Block,
    client::{Client, Error},
    target::{Config, Target},
};

/// The operator token that every host of a sample cluster accepts.
pub const OPERATOR_TOKEN: &str = "sample-operator-token";

/// How long a change of the rules is sent again that was not confirmed.
const APPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// The ports of every host; hosts differ in their addresses.
const CALLER_PORT: u16 = 8080;
const PEER_PORT: u16 = 7946;
const ADMIN_PORT: u16 = 9090;

/// One host to start: a daemon, and a target beside it unless `target` is absent.
#[derive(Debug, Clone)]
pub struct Host {
    pub name: String,
    pub data_centre: String,
    pub target: Option<Config>,
}

/// A running host. Cancelling `stop` shuts its daemon down.
#[derive(Debug)]
pub struct RunningHost {
    pub name: String,
    pub caller: SocketAddr,
    pub admin: SocketAddr,
    pub target: Option<Arc<Target>>,
    pub stop: CancellationToken,
}

/// A running cluster and a client for it.
#[derive(Debug)]
pub struct Cluster {
    pub hosts: Vec<RunningHost>,
    pub client: Client,
}

impl Cluster {
    /// Starts every host and announces its target. The first `replicas` hosts are
    /// control replicas, which store their data below `data`. `extra` is appended
    /// to every settings file.
    pub async fn start(
        hosts: &[Host],
        replicas: usize,
        holders: usize,
        extra: &str,
        data: &Path,
    ) -> Result<Self, Error> {
        let block = Block::reserve()?;
        let mut running = Vec::new();
        for (position, host) in hosts.iter().enumerate() {
            let text = settings(host, position, (block, replicas), holders, extra, data);
            running.push(launch(host, &text).await?);
        }
        let cluster = Self {
            hosts: running,
            client: Client::new(),
        };
        cluster.announce().await?;
        Ok(cluster)
    }

    /// Starts the hosts that `targets.txt` in `folder` lists, each with its
    /// settings file and a sample target. Control replicas store their data below
    /// `data`.
    pub async fn from_folder(folder: &Path, data: &Path) -> Result<Self, Error> {
        let mut running = Vec::new();
        for line in std::fs::read_to_string(folder.join("targets.txt"))?.lines() {
            let words: Vec<&str> = line.split_whitespace().collect();
            let [name, pool, slots, connections] = words[..] else {
                continue;
            };
            if name == "#" {
                continue;
            }
            let path = folder.join(format!("{name}.yaml"));
            let mut settings = Settings::read(&path)?;
            "warn".clone_into(&mut settings.log);
            if let Some(replica) = &mut settings.replica {
                replica.data = data.join(name);
            }
            let config = Config {
                pool: pool.to_owned(),
                slots: slots.parse()?,
                connections: connections.parse()?,
                fencing: true,
                service: Duration::from_millis(5),
            };
            running.push(start(name, settings, Some(config)).await?);
        }
        let cluster = Self {
            hosts: running,
            client: Client::new(),
        };
        cluster.announce().await?;
        Ok(cluster)
    }

    /// Announces every target to the node on its host.
    async fn announce(&self) -> Result<(), Error> {
        for host in &self.hosts {
            if let Some(target) = &host.target {
                let document = target.announcement();
                self.client
                    .json(host.admin, "PUT", "/v1/target", OPERATOR_TOKEN, &document)
                    .await?;
            }
        }
        Ok(())
    }

    /// Waits until every node holds a lease and a current state, knows all pools,
    /// and no shard is ownerless or moving.
    ///
    /// # Errors
    ///
    /// Fails when `timeout` has passed.
    pub async fn wait_until_ready(&self, timeout: Duration) -> Result<(), Error> {
        let start = Instant::now();
        loop {
            if self.is_ready().await {
                return Ok(());
            }
            if start.elapsed() > timeout {
                return Err("timed out waiting for the cluster to be ready".into());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn is_ready(&self) -> bool {
        let pools = self.hosts.iter().filter_map(|host| host.target.as_ref());
        let pools: std::collections::BTreeSet<&str> =
            pools.map(|target| target.config.pool.as_str()).collect();
        for host in &self.hosts {
            let status = self.client.send(host.admin, "GET", "/v1/status", &[], "");
            let Ok(status) = status.await else {
                return false;
            };
            let status = status.json();
            let known = status["pools"].as_array().map_or(0, Vec::len);
            let owned = status["pools"].as_array().is_some_and(|pools| {
                pools
                    .iter()
                    .all(|pool| pool["ownerless"] == 0 && pool["moving"] == 0)
            });
            if status["lease"] != true
                || status["current"] != true
                || known != pools.len()
                || !owned
            {
                return false;
            }
        }
        true
    }

    /// Replaces the rules in force and returns the new version. `id` is the change
    /// id.
    pub async fn apply(&self, id: &str, text: &str) -> Result<u64, Error> {
        let admin = self.hosts[0].admin;
        let present = self.client.send(admin, "GET", "/v1/rules", &[], "").await?;
        let document = serde_json::json!({
            "id": id,
            "base": present.json()["version"],
            "text": text,
        });
        let start = Instant::now();
        let answer = loop {
            let answer = self
                .client
                .json(admin, "PUT", "/v1/rules", OPERATOR_TOKEN, &document)
                .await?;
            // The change was not confirmed in time, for example because of slow
            // disks. It is sent again under the same id.
            if answer.status != StatusCode::SERVICE_UNAVAILABLE || start.elapsed() > APPLY_TIMEOUT {
                break answer;
            }
        };
        answer.json()["version"]
            .as_u64()
            .ok_or_else(|| format!("rules refused: {} {}", answer.status, answer.text()).into())
    }

    /// Waits until `version` of the rules, or a later one, is in force on every
    /// node.
    ///
    /// # Errors
    ///
    /// Fails when `timeout` has passed.
    pub async fn wait_until_in_force(&self, version: u64, timeout: Duration) -> Result<(), Error> {
        let start = Instant::now();
        for host in &self.hosts {
            loop {
                let rules = self.client.send(host.admin, "GET", "/v1/rules", &[], "");
                if rules.await?.json()["version"].as_u64() >= Some(version) {
                    break;
                }
                if start.elapsed() > timeout {
                    return Err(format!(
                        "timed out waiting for the rules to be in force at {}",
                        host.name
                    )
                    .into());
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
        Ok(())
    }
}

/// Returns the address of the host at `position` in a block.
fn address(block: Block, position: usize, port: u16) -> SocketAddr {
    let last = u8::try_from(position + 1).unwrap_or(u8::MAX);
    (block.address(last), port).into()
}

/// Writes the settings file of one host.
fn settings(
    host: &Host,
    position: usize,
    (block, replicas): (Block, usize),
    holders: usize,
    extra: &str,
    data: &Path,
) -> String {
    use std::fmt::Write as _;
    let own = |port| address(block, position, port);
    let mut text = format!(
        "host: {}\ndata_centre: {}\nlisten:\n  caller: {}\n  peer: {}\n  admin: {}\n\
         cluster_key: sample-cluster-key-on-loopback\nholders: {holders}\nlog: warn\nreplicas:\n",
        host.name,
        host.data_centre,
        own(CALLER_PORT),
        own(PEER_PORT),
        own(ADMIN_PORT)
    );
    for replica in 0..replicas {
        let peer = address(block, replica, PEER_PORT);
        let _ = writeln!(text, "  - {{ id: {}, peer: '{peer}' }}", replica + 1);
    }
    if position < replicas {
        let data = data.join(&host.name);
        let _ = writeln!(
            text,
            "replica: {{ id: {}, data: '{}' }}",
            position + 1,
            data.display()
        );
    }
    let hash = blake3::hash(OPERATOR_TOKEN.as_bytes()).to_hex();
    let _ = writeln!(
        text,
        "operators:\n  - {{ name: sample, token_hash: '{hash}' }}"
    );
    text.push_str(extra);
    text
}

async fn launch(host: &Host, text: &str) -> Result<RunningHost, Error> {
    let settings = Settings::parse(&host.name, text)?;
    start(&host.name, settings, host.target.clone()).await
}

async fn start(
    name: &str,
    settings: Settings,
    config: Option<Config>,
) -> Result<RunningHost, Error> {
    let daemon = Daemon::start(settings).await?;
    let target = match config {
        Some(config) => Some(Target::start(config).await?),
        None => None,
    };
    let stop = CancellationToken::new();
    let running = RunningHost {
        name: name.to_owned(),
        caller: daemon.caller(),
        admin: daemon.admin(),
        target,
        stop: stop.clone(),
    };
    tokio::spawn(daemon.run(stop));
    Ok(running)
}
