//! The host process, a sidecar that runs beside one target.
//!
//! A host does three things:
//!
//! - It takes the requests of its callers, picks a target for each and sends the
//!   request to the host of that target.
//! - It queues the requests that hosts send for its own target and forwards
//!   them to the target when a slot is free.
//! - It answers the heartbeats of its target, reports the target's state to
//!   the control leader and grants the target its key ranges while the host
//!   has a lease.
//!
//! [`run`] is called by [`crate::run`] when the settings name a target.

mod admission;
mod exchange;
mod grants;
mod heartbeats;
mod ingress;
mod notice;
mod outcomes;
mod peers;
mod ready;
mod shutdown;
mod target;
mod tracker;
mod uplink;
mod view;

use std::{
    sync::{
        Arc, Mutex, RwLock,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::{
    sync::Notify,
    time::{MissedTickBehavior, interval, sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use tracing::info;
use wisteriaglade_mesh::{Balancer, Notices, Report, RetryBudget};
use wisteriaglade_wire::Clock;

use crate::{
    Dialect, Settings,
    frame::Hello,
    link, lock,
    metrics::{Endpoint, Metrics},
    server,
    settings::{Beside, GrantChannel},
};
use admission::Admission;
use notice::LimitLog;
use peers::Peers;
use shutdown::{Shutdown, Step};
use target::Client;
use tracker::Tracker;
use view::View;

/// The length of a lease: how long a host may let its target hold keys after
/// the host sent a report that the leader confirmed.
///
/// It exceeds the time of an election (about 1 s) plus the next report and
/// heartbeat (0.9 s), so that a change of leader takes no keys away. A longer
/// lease delays recovery: the keys of a lost host get a new holder only after
/// its lease has expired.
pub(crate) const LEASE: Duration = Duration::from_secs(3);

/// The interval of the periodic checks for expired requests, lost peers and a
/// silent target.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The longest time that the process waits for the last connections of callers
/// after its listeners have closed. It is within [`shutdown::MARGIN`].
const CLOSE_TIMEOUT: Duration = Duration::from_millis(300);

/// The share of the fleet's retry budget that the hosts use. The rest covers
/// repeats that a host cannot count, such as a connection that the target
/// counts as a request.
const RETRY_BUDGET_SHARE: f64 = 0.6;

/// Returns the id of this run of the process: its start in Unix milliseconds.
///
/// A later run of the same host has a higher id unless the clock was set back
/// by more than the time between the two starts.
pub(crate) fn session() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = elapsed.map_or(0, |elapsed| elapsed.as_millis());
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// The state of a host process, shared by its listeners, links and tasks.
#[derive(Debug)]
pub(crate) struct Host {
    settings: Settings,
    /// The settings that concern the target and its callers.
    sidecar: Beside,
    session: u64,
    clock: Clock,
    metrics: Arc<Metrics>,
    /// The plan and the directory as last received.
    view: RwLock<View>,
    /// Notified when the directory or the plan changes.
    view_changed: Notify,
    /// The state of the host's own target.
    tracker: Mutex<Tracker>,
    /// Whether a control leader has answered and is not known to be lost.
    has_leader: AtomicBool,
    /// Notified when a report should be sent to the leader immediately.
    report_now: Notify,
    /// Notified when calls that grant or release key ranges may be due.
    grants_due: Notify,
    /// Sends these calls. It is apart from the client for requests, so that they
    /// wait for no connection.
    grant_client: Client,
    /// The requests that wait or run at the host's own target.
    admission: Admission,
    /// What targets have said of themselves in answers to requests of callers on this
    /// host.
    notices: Mutex<Notices>,
    /// What was last logged about the limit that the target names.
    limit_log: Mutex<LimitLog>,
    /// The links to other hosts.
    peers: Peers,
    /// What is known of the load of targets; ranks them for a request.
    balancer: Mutex<Balancer>,
    /// The host's share of the fleet's retry budget.
    retry_budget: Mutex<RetryBudget>,
    /// Set once the process has been asked to stop.
    shutting_down: AtomicBool,
    /// Set when reports tell the leader that this host leaves, so that other
    /// hosts send no more requests for the target.
    withdrawn: AtomicBool,
    /// The number of callers' requests that have no response yet.
    open_requests: AtomicUsize,
    /// Set when new requests are refused.
    closed: AtomicBool,
    /// Cancelled when the shutdown is complete; ends listeners and links.
    stop: CancellationToken,
}

/// Runs a host process until `stop` is cancelled and the open requests have
/// ended, or until the grace period is nearly over.
///
/// # Errors
///
/// Returns an error if the settings name no target or if an address cannot be
/// listened on.
pub(crate) async fn run<D: Dialect>(
    settings: Settings,
    stop: CancellationToken,
) -> std::io::Result<()> {
    let sidecar = settings.beside.clone();
    let sidecar = sidecar.ok_or_else(|| std::io::Error::other("the settings name no target"))?;
    let session = session();
    let clock = Clock::new();
    let metrics = Metrics::new();
    // Listeners and links stay open after the request to stop, until the open
    // requests have ended.
    let shutdown_done = CancellationToken::new();
    let hello = Hello {
        session,
        address: settings.link,
        replica: None,
    };
    let repeats = settings.repeats;
    let host = Arc::new(Host {
        tracker: Mutex::new(Tracker::new(&settings, clock.now())),
        grants_due: Notify::new(),
        grant_client: Client::new(sidecar.target),
        admission: Admission::new(sidecar.target),
        peers: Peers::new(hello.clone(), clock, shutdown_done.clone()),
        notices: Mutex::default(),
        limit_log: Mutex::default(),
        view: RwLock::default(),
        view_changed: Notify::new(),
        has_leader: AtomicBool::new(false),
        report_now: Notify::new(),
        balancer: Mutex::default(),
        retry_budget: Mutex::new(RetryBudget::new(repeats.ratio * RETRY_BUDGET_SHARE, 1.0)),
        shutting_down: AtomicBool::new(false),
        withdrawn: AtomicBool::new(false),
        open_requests: AtomicUsize::new(0),
        closed: AtomicBool::new(false),
        stop: shutdown_done.clone(),
        settings,
        sidecar,
        session,
        clock,
        metrics,
    });
    let settings = &host.settings;
    link::listen(
        settings.link,
        hello,
        peers::Inbound::<D>::new(Arc::clone(&host)),
        shutdown_done.clone(),
    )?;
    let callers = server::listen(
        host.sidecar.callers,
        ingress::Ingress::<D>::new(Arc::clone(&host)),
        shutdown_done.clone(),
    )?;
    server::listen(
        host.sidecar.ready,
        ready::Ready::new(Arc::clone(&host)),
        shutdown_done.clone(),
    )?;
    server::listen(
        settings.control,
        heartbeats::Heartbeats::<D>::new(Arc::clone(&host)),
        shutdown_done.clone(),
    )?;
    server::listen(
        settings.metrics,
        Endpoint(Arc::clone(&host.metrics)),
        shutdown_done.clone(),
    )?;
    tokio::spawn(uplink::run(Arc::clone(&host)));
    tokio::spawn(Arc::clone(&host).start_limited::<D>());
    if host.settings.grants == GrantChannel::Call {
        tokio::spawn(grants::run::<D>(Arc::clone(&host)));
    }
    info!(
        event = "start",
        role = "host",
        host = %settings.host,
        session,
        link = %settings.link,
        pool = %host.sidecar.pool,
        target = %host.sidecar.target
    );
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            _ = ticks.tick() => host.tick::<D>(),
        }
    }
    host.shut_down::<D>().await;
    // Requests on the last connections are refused: the links to other hosts end.
    host.closed.store(true, Ordering::Relaxed);
    shutdown_done.cancel();
    let _ = timeout(CLOSE_TIMEOUT, callers).await;
    Ok(())
}

impl Host {
    /// Runs the periodic checks: expires requests, ends those of unreachable
    /// peers and detects a silent target.
    fn tick<D: Dialect>(self: &Arc<Self>) {
        let now = self.clock.now();
        self.tick_admission::<D>();
        self.peers.tick(now);
        self.log_limit(now);
        let mut tracker = lock(&self.tracker);
        if tracker.tick(now) {
            drop(tracker);
            self.report_now.notify_one();
        }
    }

    /// Shuts down gracefully: finishes open requests and refuses those that could
    /// not finish before the process is killed.
    async fn shut_down<D: Dialect>(self: &Arc<Self>) {
        let mut shutdown = Shutdown::new(self.clock.now(), self.settings.grace);
        self.shutting_down.store(true, Ordering::Relaxed);
        info!(event = "leave", host = %self.settings.host, open = self.admission.open_requests());
        loop {
            sleep(TICK_INTERVAL).await;
            self.tick::<D>();
            let is_idle = self.is_idle();
            match shutdown.step(self.clock.now(), is_idle) {
                Step::Wait => {}
                Step::Withdraw => {
                    self.withdrawn.store(true, Ordering::Relaxed);
                    self.report_now.notify_one();
                }
                Step::Refuse => {
                    self.closed.store(true, Ordering::Relaxed);
                    info!(event = "closed", host = %self.settings.host, open = self.admission.open_requests());
                }
                Step::End => {
                    info!(event = "stop", role = "host", host = %self.settings.host, idle = is_idle);
                    return;
                }
            }
        }
    }

    /// Whether no request is open: of callers, for the target or at other hosts.
    fn is_idle(&self) -> bool {
        self.admission.is_idle()
            && self.peers.is_idle()
            && self.open_requests.load(Ordering::Relaxed) == 0
    }

    fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::Relaxed)
    }

    /// Whether new requests are refused.
    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Returns the report for the leader, with the current state of the target.
    fn report(&self) -> Report {
        let mean = self.admission.mean_ms();
        Report {
            host: self.settings.host.clone(),
            session: self.session,
            address: self.settings.link,
            data_centre: self.settings.data_centre.clone(),
            leaving: self.withdrawn.load(Ordering::Relaxed),
            target: lock(&self.tracker).report(mean),
        }
    }
}
