//! The host's link to the control leader.
//!
//! A host has a link to one control replica at a time. It sends reports, which
//! renew the lease, and receives the plan and the directory. If the replica
//! does not lead or does not respond, the host connects to another one.
//! [`run`] runs as a task for the life of the process.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::Ordering},
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

/// The interval of reports to the leader. Two in a row may be lost before the
/// lease gets too short.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);

/// The interval of reports while no leader is known.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// How long a control replica may stay silent before the host connects to
/// another one.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);

/// How long a replica that knows no leader is asked before the host connects to
/// another one.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(250);

/// The number of reports whose send times are kept until their responses
/// arrive.
const MAX_PENDING_REPORTS: usize = 16;

/// The link to one control replica, which is taken for the leader.
#[derive(Debug)]
struct ReplicaLink {
    /// The peer address of the replica.
    address: SocketAddr,
    link: Link,
    /// The connection; `None` while there is none.
    connection: Option<Connection>,
    /// When the replica last answered as leader, or when the link was opened if
    /// it has not.
    last_heard: Duration,
    /// Whether its last response was that of a leader.
    is_leader: bool,
    /// The number of the last report; continues when the replica changes.
    seq: u64,
    /// When each of the last reports was sent, by its number.
    sent_at: BTreeMap<u64, Duration>,
}

/// The current link to a control replica, shared with the task that reads its
/// frames.
#[derive(Debug, Clone)]
struct Uplink {
    host: Arc<Host>,
    inner: Arc<Mutex<Option<ReplicaLink>>>,
}

/// Sends reports to the leader until the process ends.
pub(super) async fn run(host: Arc<Host>) {
    let uplink = Uplink {
        host: Arc::clone(&host),
        inner: Arc::default(),
    };
    let stop = host.stop.clone();
    while !stop.is_cancelled() {
        let is_leader = uplink.report();
        let pause = if is_leader {
            REPORT_INTERVAL
        } else {
            SEARCH_INTERVAL
        };
        // The pause ends early when there is something to report.
        let _ = timeout(pause, host.report_now.notified()).await;
    }
}

impl Uplink {
    /// Sends a report, after a switch to another replica if the current one has
    /// been silent too long. Returns whether the replica leads.
    fn report(&self) -> bool {
        let now = self.host.clock.now();
        let mut inner = lock(&self.inner);
        let is_stale = inner
            .as_ref()
            .is_none_or(|replica| now.saturating_sub(replica.last_heard) > RESPONSE_TIMEOUT);
        if is_stale {
            if let Some(replica) = inner.as_ref().filter(|replica| replica.is_leader) {
                info!(event = "leader-lost", replica = %replica.address);
            }
            let next = self.next_replica(inner.as_ref().map(|replica| replica.address));
            self.switch_to(&mut inner, next, now);
        }
        let Some(replica) = inner.as_mut() else {
            return false;
        };
        if let Some(connection) = replica.connection.clone() {
            replica.seq += 1;
            replica.sent_at.insert(replica.seq, now);
            while replica.sent_at.len() > MAX_PENDING_REPORTS {
                replica.sent_at.pop_first();
            }
            let (version, index) = {
                let view = read(&self.host.view);
                (view.plan_version(), view.directory_index)
            };
            connection.send(Frame::Renew {
                seq: replica.seq,
                report: self.host.report(),
                version,
                index,
            });
        }
        replica.is_leader
    }

    /// Returns the replica to try after `current`, in the order of the known
    /// replicas followed by the seeds; without `current`, one that depends on
    /// the session.
    fn next_replica(&self, current: Option<SocketAddr>) -> Option<SocketAddr> {
        let mut addresses = read(&self.host.view).replicas.clone();
        for seed in &self.host.settings.seeds {
            if !addresses.contains(seed) {
                addresses.push(*seed);
            }
        }
        let Some(current) = current else {
            // Spreads hosts that start at the same time over the replicas.
            let start = usize::try_from(self.host.session).unwrap_or(0);
            let at = start.checked_rem(addresses.len())?;
            return addresses.get(at).copied();
        };
        let at = addresses.iter().position(|address| *address == current);
        let next = at.map_or(0, |at| (at + 1) % addresses.len().max(1));
        addresses.get(next).copied()
    }

    /// Closes the current link and opens one to `next`.
    fn switch_to(&self, inner: &mut Option<ReplicaLink>, next: Option<SocketAddr>, now: Duration) {
        self.host.has_leader.store(false, Ordering::Relaxed);
        let Some(address) = next else {
            warn!(
                event = "no-replicas",
                detail = "no control replica is known and the settings name no seeds"
            );
            return;
        };
        let seq = inner.as_ref().map_or(0, |replica| replica.seq);
        if let Some(replica) = inner.take() {
            replica.link.close();
        }
        let hello = Hello {
            session: self.host.session,
            address: self.host.settings.link,
            replica: None,
        };
        let stop = self.host.stop.child_token();
        let link = Link::open(address, hello, self.clone(), stop);
        *inner = Some(ReplicaLink {
            address,
            link,
            connection: None,
            last_heard: now,
            is_leader: false,
            seq,
            sent_at: BTreeMap::new(),
        });
    }

    /// Handles the response of a replica that does not lead: connects to the
    /// leader that it names, or to the next replica if it has named none for too
    /// long.
    fn handle_redirect(&self, leader: Option<SocketAddr>) {
        let now = self.host.clock.now();
        let mut inner = lock(&self.inner);
        let Some(replica) = inner.as_mut() else {
            return;
        };
        replica.is_leader = false;
        self.host.has_leader.store(false, Ordering::Relaxed);
        match leader {
            Some(leader) if leader != replica.address => {
                self.switch_to(&mut inner, Some(leader), now);
            }
            _ if now.saturating_sub(replica.last_heard) > LEADERLESS_TIMEOUT => {
                let next = self.next_replica(Some(replica.address));
                self.switch_to(&mut inner, next, now);
            }
            _ => {}
        }
    }

    /// Handles the response of the leader to a report. The lease counts from when
    /// the report was sent.
    fn handle_renewed(&self, seq: u64, leased: bool) {
        let now = self.host.clock.now();
        let mut inner = lock(&self.inner);
        let Some(replica) = inner.as_mut() else {
            return;
        };
        let sent = replica.sent_at.get(&seq).copied();
        replica.last_heard = now;
        if !replica.is_leader {
            replica.is_leader = true;
            self.host.has_leader.store(true, Ordering::Relaxed);
            info!(event = "leader-found", replica = %replica.address);
        }
        drop(inner);
        if let Some(sent) = sent.filter(|_| leased) {
            lock(&self.host.tracker).renew_lease(sent, LEASE);
            self.host.grants_due.notify_one();
        }
        let left = lock(&self.host.tracker).lease_left(now).as_millis();
        let left = i64::try_from(left).unwrap_or(i64::MAX);
        self.host.metrics.lease_left.set(left);
    }

    /// Takes a plan from the leader unless the current one is at least as new.
    fn replace_plan(&self, plan: Plan, connection: &Connection) {
        let version = plan.version;
        if write(&self.host.view).replace_plan(plan) {
            info!(event = "plan", version, leader = %connection.hello.address);
            let version = i64::try_from(version).unwrap_or(i64::MAX);
            self.host.metrics.plan_version.set(version);
            self.host.view_changed.notify_waiters();
        }
    }

    /// Takes a directory from the leader and passes it to the parts of the host
    /// that depend on it.
    fn apply_directory(&self, replicas: Vec<SocketAddr>, hosts: u32, directory: &Directory) {
        let host = &self.host;
        let mut view = write(&host.view);
        view.replicas = replicas;
        view.host_count = hosts;
        view.apply_directory(directory);
        let addresses = view.all_targets().map(|entry| entry.address).collect();
        lock(&host.tracker).update_keyspaces(view.directory_index, &view.keyspaces);
        drop(view);
        host.grants_due.notify_one();
        host.peers.retain(&addresses);
        let now = host.clock.now();
        host.forget_notices(now);
        if lock(&host.tracker).lease_left(now).is_zero() {
            // The leader gives no lease to a host that lacks key ranges which this
            // directory may have brought.
            host.report_now.notify_one();
        }
        let index = i64::try_from(directory.index).unwrap_or(i64::MAX);
        host.metrics.directory_index.set(index);
        host.resize_retry_budget(hosts);
        host.view_changed.notify_waiters();
        tracing::debug!(
            event = "directory",
            index = directory.index,
            complete = directory.complete,
            targets = read(&host.view).all_targets().count(),
            at_ms = now.as_millis()
        );
    }
}

impl Handler for Uplink {
    fn receive(&self, connection: &Connection, frame: Frame) {
        let is_current = lock(&self.inner).as_ref().is_some_and(|replica| {
            replica
                .connection
                .as_ref()
                .is_some_and(|other| other.is_same(connection))
        });
        if !is_current {
            return;
        }
        match frame {
            Frame::Renewed { seq, leased } => self.handle_renewed(seq, leased),
            Frame::Redirect { leader } => self.handle_redirect(leader),
            Frame::Publish {
                replicas,
                hosts,
                directory,
            } => self.apply_directory(replicas, hosts, &directory),
            Frame::Plan(plan) => self.replace_plan(plan, connection),
            Frame::PlanChange(change) => {
                let old = read(&self.host.view).plan.clone();
                // A change that is based on another version cannot be applied. The
                // leader then sends the whole plan, because the next report names
                // the version that this host has.
                if let Some(plan) = old.and_then(|old| change.apply(&old)) {
                    self.replace_plan(plan, connection);
                } else {
                    info!(event = "plan-change-unfit", from = change.from);
                }
            }
            _ => warn!(event = "frame-unexpected", peer = %connection.hello.address),
        }
    }

    fn connected(&self, connection: &Connection) {
        let mut inner = lock(&self.inner);
        let replica = inner.as_mut();
        if let Some(replica) = replica.filter(|replica| replica.address == connection.hello.address)
        {
            replica.connection = Some(connection.clone());
            self.host.report_now.notify_one();
        }
    }

    fn disconnected(&self, connection: &Connection) {
        let mut inner = lock(&self.inner);
        if let Some(replica) = inner.as_mut()
            && replica
                .connection
                .as_ref()
                .is_some_and(|other| other.is_same(connection))
        {
            replica.connection = None;
        }
    }
}

impl Host {
    /// Sets this host's share of the fleet's retry budget: an equal part for each
    /// host, but at least 1 repeat.
    fn resize_retry_budget(&self, hosts: u32) {
        let repeats = self.settings.repeats;
        let share = repeats.slack * super::RETRY_BUDGET_SHARE / f64::from(hosts.max(1));
        lock(&self.retry_budget).resize(share.max(1.0));
    }
}
