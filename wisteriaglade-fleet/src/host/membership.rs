//! The host's link to the control leader.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::time::timeout;
use tracing::{info, warn};
use wisteriaglade_mesh::{Directory, Plan};

use super::{Host, LEASE};
use crate::{
    frame::{Frame, Hello},
    link::{Connection, Handler, Link},
    lock, read, write,
};

/// The interval of reports. Two may be lost before a lease runs short.
const RENEW: Duration = Duration::from_millis(400);

/// How often a host without a leader looks for one.
const SEARCH: Duration = Duration::from_millis(100);

/// How long a control replica may take to respond before another is asked.
const PATIENCE: Duration = Duration::from_millis(900);

/// How long a replica without a leader is asked again before another one is.
const LEADERLESS: Duration = Duration::from_millis(250);

/// Reports whose responses may still come.
const OPEN: usize = 16;

/// The state of the link to the leader.
#[derive(Debug)]
struct Uplink {
    /// The replica in use.
    address: SocketAddr,
    link: Link,
    connection: Option<Connection>,
    /// Since when this replica is asked, or when it last answered as leader.
    heard: Duration,
    /// Whether it has answered as leader.
    leads: bool,
    seq: u64,
    /// When the last reports were sent.
    sent: BTreeMap<u64, Duration>,
}

#[derive(Debug, Clone)]
struct Uplinks {
    host: Arc<Host>,
    inner: Arc<Mutex<Option<Uplink>>>,
}

/// Reports to the leader until the process ends.
pub(super) async fn keep(host: Arc<Host>) {
    let uplinks = Uplinks {
        host: Arc::clone(&host),
        inner: Arc::default(),
    };
    let stop = host.stop.clone();
    while !stop.is_cancelled() {
        let leads = uplinks.step();
        let pause = if leads { RENEW } else { SEARCH };
        // A nudge ends the pause early.
        let _ = timeout(pause, host.nudge.notified()).await;
    }
}

impl Uplinks {
    /// Reports, or turns to another replica. Returns whether there is a leader.
    fn step(&self) -> bool {
        let now = self.host.clock.now();
        let mut inner = lock(&self.inner);
        let is_stale = inner
            .as_ref()
            .is_none_or(|uplink| now.saturating_sub(uplink.heard) > PATIENCE);
        if is_stale {
            if let Some(uplink) = inner.as_ref().filter(|uplink| uplink.leads) {
                info!(event = "leader-lost", replica = %uplink.address);
            }
            let next = self.next(inner.as_ref().map(|uplink| uplink.address));
            self.turn(&mut inner, next, now);
        }
        let Some(uplink) = inner.as_mut() else {
            return false;
        };
        if let Some(connection) = uplink.connection.clone() {
            uplink.seq += 1;
            uplink.sent.insert(uplink.seq, now);
            while uplink.sent.len() > OPEN {
                uplink.sent.pop_first();
            }
            connection.send(Frame::Renew {
                seq: uplink.seq,
                report: self.host.report(),
                version: read(&self.host.view).version(),
            });
        }
        uplink.leads
    }

    /// The replica after this one.
    fn next(&self, current: Option<SocketAddr>) -> Option<SocketAddr> {
        let mut addresses = read(&self.host.view).replicas.clone();
        for seed in &self.host.settings.seeds {
            if !addresses.contains(seed) {
                addresses.push(*seed);
            }
        }
        let Some(current) = current else {
            // Hosts that start together spread over the replicas.
            let start = usize::try_from(self.host.session).unwrap_or(0);
            let at = start.checked_rem(addresses.len())?;
            return addresses.get(at).copied();
        };
        let at = addresses.iter().position(|address| *address == current);
        let next = at.map_or(0, |at| (at + 1) % addresses.len().max(1));
        addresses.get(next).copied()
    }

    /// Turns to a replica.
    fn turn(&self, inner: &mut Option<Uplink>, next: Option<SocketAddr>, now: Duration) {
        let Some(address) = next else {
            warn!(event = "no-replicas", detail = "the settings name no seeds");
            return;
        };
        let seq = inner.as_ref().map_or(0, |uplink| uplink.seq);
        if let Some(uplink) = inner.take() {
            uplink.link.close();
        }
        let hello = Hello {
            session: self.host.session,
            address: self.host.settings.link,
            replica: None,
        };
        let stop = self.host.stop.child_token();
        let link = Link::open(address, hello, self.clone(), stop);
        *inner = Some(Uplink {
            address,
            link,
            connection: None,
            heard: now,
            leads: false,
            seq,
            sent: BTreeMap::new(),
        });
    }

    fn redirect(&self, leader: Option<SocketAddr>) {
        let now = self.host.clock.now();
        let mut inner = lock(&self.inner);
        let Some(uplink) = inner.as_mut() else { return };
        uplink.leads = false;
        match leader {
            Some(leader) if leader != uplink.address => {
                self.turn(&mut inner, Some(leader), now);
            }
            _ if now.saturating_sub(uplink.heard) > LEADERLESS => {
                let next = self.next(Some(uplink.address));
                self.turn(&mut inner, next, now);
            }
            _ => {}
        }
    }

    fn renewed(&self, seq: u64, leased: bool) {
        let now = self.host.clock.now();
        let mut inner = lock(&self.inner);
        let Some(uplink) = inner.as_mut() else { return };
        let sent = uplink.sent.get(&seq).copied();
        uplink.heard = now;
        if !uplink.leads {
            uplink.leads = true;
            info!(event = "leader-found", replica = %uplink.address);
        }
        drop(inner);
        if let Some(sent) = sent.filter(|_| leased) {
            lock(&self.host.tracker).lease(sent, LEASE);
        }
        let left = lock(&self.host.tracker).lease_left(now).as_millis();
        let left = i64::try_from(left).unwrap_or(i64::MAX);
        self.host.metrics.lease_left.set(left);
    }

    fn replace(&self, plan: Plan, connection: &Connection) {
        let version = plan.version;
        if write(&self.host.view).replace(plan) {
            info!(event = "plan", version, leader = %connection.hello.address);
            let version = i64::try_from(version).unwrap_or(i64::MAX);
            self.host.metrics.plan_version.set(version);
            self.host.viewed.notify_waiters();
        }
    }

    fn publish(&self, replicas: Vec<SocketAddr>, hosts: u32, directory: &Directory) {
        let host = &self.host;
        let mut view = write(&host.view);
        view.replicas = replicas;
        view.hosts = hosts;
        view.update(directory);
        let addresses = view.all().map(|entry| entry.address).collect();
        lock(&host.tracker).update(view.index, &view.keys);
        drop(view);
        host.peers.keep(&addresses);
        let now = host.clock.now();
        let index = i64::try_from(directory.index).unwrap_or(i64::MAX);
        host.metrics.directory_index.set(index);
        host.budget(hosts);
        host.viewed.notify_waiters();
        tracing::debug!(
            event = "directory",
            index = directory.index,
            complete = directory.complete,
            targets = directory.entries.as_ref().map_or(0, Vec::len),
            at_ms = now.as_millis()
        );
    }
}

impl Handler for Uplinks {
    fn receive(&self, connection: &Connection, frame: Frame) {
        let is_current = lock(&self.inner).as_ref().is_some_and(|uplink| {
            uplink
                .connection
                .as_ref()
                .is_some_and(|other| other.is_same(connection))
        });
        if !is_current {
            return;
        }
        match frame {
            Frame::Renewed { seq, leased } => self.renewed(seq, leased),
            Frame::Redirect { leader } => self.redirect(leader),
            Frame::Publish {
                replicas,
                hosts,
                directory,
            } => self.publish(replicas, hosts, &directory),
            Frame::Plan(plan) => self.replace(plan, connection),
            Frame::PlanChange(change) => {
                let old = read(&self.host.view).plan.clone();
                // A change that builds on another plan is followed by the whole
                // plan: the next report names the version that is known here.
                if let Some(plan) = old.and_then(|old| change.apply(&old)) {
                    self.replace(plan, connection);
                } else {
                    info!(event = "plan-change-unfit", from = change.from);
                }
            }
            _ => warn!(event = "frame-unexpected", peer = %connection.hello.address),
        }
    }

    fn connected(&self, connection: &Connection) {
        let mut inner = lock(&self.inner);
        let uplink = inner.as_mut();
        if let Some(uplink) = uplink.filter(|uplink| uplink.address == connection.hello.address) {
            uplink.connection = Some(connection.clone());
            self.host.nudge.notify_one();
        }
    }

    fn disconnected(&self, connection: &Connection) {
        let mut inner = lock(&self.inner);
        if let Some(uplink) = inner.as_mut()
            && uplink
                .connection
                .as_ref()
                .is_some_and(|other| other.is_same(connection))
        {
            uplink.connection = None;
        }
    }
}

impl Host {
    /// Shares the fleet's budget for repeats among the hosts.
    fn budget(&self, hosts: u32) {
        let repeats = self.settings.repeats;
        let share = repeats.slack * super::BUDGET_USED / f64::from(hosts.max(1));
        lock(&self.allowance).resize(share.max(1.0));
    }
}
