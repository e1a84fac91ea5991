//! Injects faults, and measures for how long the affected keys are unavailable.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::time::sleep;

use crate::{
    client::Error,
    cluster::Cluster,
    load::{Load, Outcome, RequestSpec},
    relay::Relay,
    workload::{Phase, Workload},
};

/// How long a paused node stays stopped.
const PAUSE_DURATION: Duration = Duration::from_secs(5);

/// The number of keys of the victims that are probed.
const PROBED_KEYS: usize = 8;

/// The interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(4);

/// How long keys are probed after a fault.
const PROBE_DURATION: Duration = Duration::from_secs(4);

/// The number of keys that are looked up to find some that a victim owns.
const CANDIDATE_KEYS: usize = 400;

/// The fault that is injected in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    HostKilled,
    OwnerPaused,
    UnresponsiveTarget,
    LeaderLost,
    DataCentreCut,
    SilentConnections,
    TargetDrained,
}

/// All faults, by their names on the command line.
pub const FAULTS: [(&str, Fault); 8] = [
    ("none", Fault::None),
    ("host-killed", Fault::HostKilled),
    ("owner-paused", Fault::OwnerPaused),
    ("lying-target", Fault::UnresponsiveTarget),
    ("leader-lost", Fault::LeaderLost),
    ("data-centre-cut", Fault::DataCentreCut),
    ("silent-connections", Fault::SilentConnections),
    ("target-drained", Fault::TargetDrained),
];

/// The injection of a fault: its victims and some of the keys that they own.
#[derive(Debug)]
pub struct Injection {
    pub fault: Fault,
    pub victims: Vec<usize>,
    keys: Vec<usize>,
    relay: Option<Arc<Relay>>,
    /// When the fault was injected, on the clock of the execution history.
    pub at: Option<Duration>,
    /// For each probed key, the longest time without a served probe.
    pub unavailable: Vec<Duration>,
}

impl Fault {
    pub fn from_name(name: &str) -> Option<Self> {
        let found = FAULTS.iter().find(|&&(known, _)| known == name);
        found.map(|&(_, fault)| fault)
    }

    /// The host that its peers must reach through a relay for this fault.
    pub fn relayed(self, workload: &Workload) -> Option<usize> {
        (self == Self::SilentConnections).then(|| non_replica_host(workload))
    }

    async fn victims(self, cluster: &Cluster, workload: &Workload) -> Result<Vec<usize>, Error> {
        Ok(match self {
            Self::None => Vec::new(),
            Self::LeaderLost => vec![cluster.leader().await?],
            Self::DataCentreCut => {
                // The first data centre in the list other than the leader's. It
                // has a control replica that is a follower.
                let leader = workload.hosts[cluster.leader().await?].data_centre;
                let cut = workload.hosts.iter().map(|host| host.data_centre);
                let cut = cut.clone().find(|&centre| centre != leader);
                let hosts = workload.hosts.iter().enumerate();
                hosts
                    .filter(|(_, host)| Some(host.data_centre) == cut)
                    .map(|(position, _)| position)
                    .collect()
            }
            _ => vec![non_replica_host(workload)],
        })
    }
}

/// The last host of the first pool, which has no control replica.
fn non_replica_host(workload: &Workload) -> usize {
    let last = workload.hosts.iter().rposition(|host| host.pool == 0);
    last.expect("the first pool has hosts")
}

impl Injection {
    /// Chooses the victims and finds keys that they own.
    pub async fn prepare(
        fault: Fault,
        load: &Load,
        relay: Option<Arc<Relay>>,
    ) -> Result<Self, Error> {
        let victims = fault.victims(&load.cluster, &load.workload).await?;
        let mut keys = Vec::new();
        for key in 0..CANDIDATE_KEYS {
            if victims.is_empty() || keys.len() >= PROBED_KEYS {
                break;
            }
            let path = probe_request(load, key).path();
            let owner = load.cluster.owner(0, &path).await;
            if owner.is_some_and(|owner| victims.contains(&owner)) {
                keys.push(key);
            }
        }
        Ok(Self {
            fault,
            victims,
            keys,
            relay,
            at: None,
            unavailable: Vec::new(),
        })
    }

    /// Injects the fault and probes the keys of the victims.
    pub async fn run(&mut self, load: &Arc<Load>) -> Result<(), Error> {
        if self.fault == Fault::None {
            return Ok(());
        }
        self.at = Some(load.cluster.history.now());
        self.inject(&load.cluster).await?;
        let resume = async {
            if self.fault == Fault::OwnerPaused {
                sleep(PAUSE_DURATION).await;
                for &victim in &self.victims {
                    load.cluster.hosts[victim].process.resume();
                }
            }
        };
        let (gaps, ()) = tokio::join!(probe_availability(load, &self.keys), resume);
        self.unavailable = gaps;
        Ok(())
    }

    async fn inject(&self, cluster: &Cluster) -> Result<(), Error> {
        for &victim in &self.victims {
            let host = &cluster.hosts[victim];
            match self.fault {
                Fault::None => {}
                Fault::HostKilled => {
                    host.mark_lost();
                    host.process.kill();
                    host.target.stop();
                }
                Fault::OwnerPaused => {
                    host.mark_lost();
                    host.process.pause();
                }
                Fault::UnresponsiveTarget => host.target.stop_responding(),
                Fault::LeaderLost => {
                    host.mark_lost();
                    host.process.kill();
                }
                Fault::DataCentreCut => {
                    host.mark_lost();
                    host.process.pause();
                    host.target.stop();
                }
                Fault::SilentConnections => {
                    if let Some(relay) = &self.relay {
                        relay.silence();
                    }
                }
                Fault::TargetDrained => {
                    cluster.command(victim, "POST", "/v1/target/drain").await?;
                }
            }
        }
        Ok(())
    }
}

/// A read of `key` that needs no work, on the first route of the first pool with
/// short, repeatable work.
pub fn probe_request(load: &Load, key: usize) -> RequestSpec {
    let mut routes = load.workload.routes.iter();
    let plain = routes.find(|route| route.pool == 0 && !route.once && !route.learned);
    RequestSpec {
        phase: Phase::Base,
        route: *plain.expect("the first pool has plain reads"),
        key,
        work: 0.0,
        operation: load.operation(),
    }
}

/// Probes the keys in turn and returns, for each one, the longest time without a
/// served probe.
async fn probe_availability(load: &Arc<Load>, keys: &[usize]) -> Vec<Duration> {
    let history = &load.cluster.history;
    let start = history.now();
    let served: Arc<Mutex<HashMap<usize, Vec<Duration>>>> = Arc::default();
    let mut probes = tokio::task::JoinSet::new();
    let mut ticks = tokio::time::interval(PROBE_INTERVAL);
    for &key in keys.iter().cycle() {
        ticks.tick().await;
        if history.now() > start + PROBE_DURATION {
            break;
        }
        let (load, served) = (Arc::clone(load), Arc::clone(&served));
        probes.spawn(async move {
            let host = load.pick_node();
            // Probes need work similar to that of other requests, since nodes
            // learn service times from all of them.
            let spec = RequestSpec {
                work: 0.5,
                ..probe_request(&load, key)
            };
            let answer = load.attempt(spec, host).await;
            if matches!(answer, Some((Outcome::Served, _))) {
                let now = load.cluster.history.now();
                let mut served = served.lock().expect("not poisoned");
                served.entry(key).or_default().push(now);
            }
        });
    }
    while probes.join_next().await.is_some() {}
    let end = history.now();
    let mut served = served.lock().expect("not poisoned");
    keys.iter()
        .map(|key| {
            let mut times = served.remove(key).unwrap_or_default();
            times.sort_unstable();
            if times
                .last()
                .is_none_or(|&last| last < start + PROBE_DURATION)
            {
                times.push(end.min(start + PROBE_DURATION).max(start));
            }
            let before = std::iter::once(start).chain(times.iter().copied());
            let gaps = before
                .zip(&times)
                .map(|(before, &at)| at.saturating_sub(before));
            gaps.max().unwrap_or_default()
        })
        .collect()
}
