//! The process beside a target.

mod admission;
mod beats;
mod exchange;
mod ingress;
mod membership;
mod peers;
mod ready;
mod target;
mod tracker;
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
    time::{MissedTickBehavior, interval, sleep},
};
use tokio_util::sync::CancellationToken;
use tracing::info;
use wisteriaglade_mesh::{Balancer, Report, RetryBudget};
use wisteriaglade_wire::Clock;

use crate::{
    Dialect, Settings,
    frame::Hello,
    link, lock,
    metrics::{Metrics, Page},
    server,
    settings::Beside,
};
use admission::Admission;
use peers::Peers;
use tracker::Tracker;
use view::View;

/// How long a host may let its target hold keys after a report to the leader.
///
/// It has to outlast an election (about a second) with the report and the
/// heartbeat after it (0.9 s); the keys of a lost host wait for its end.
pub(crate) const LEASE: Duration = Duration::from_secs(3);

/// How often waiting requests and peers are looked at.
const LOOK: Duration = Duration::from_millis(50);

/// How long a process that was asked to end still takes new connections.
/// Callers are sent elsewhere after two questions without a 200, one a second.
const LINGER: Duration = Duration::from_millis(2_300);

/// How long a process that was asked to end still offers its target to other
/// hosts. The news takes about 0.2 s, and what comes until then has the rest of
/// the grace.
const WITHDRAW: Duration = Duration::from_millis(1_900);

/// How long a process that was asked to end still takes requests. What is
/// taken later may not be done when the process is killed.
const TAKES: Duration = Duration::from_millis(2_800);

/// The time before the end of the grace in which the process ends for sure.
const MARGIN: Duration = Duration::from_millis(400);

/// The part of the fleet's budget for repeats that the hosts use. The rest is
/// left for what a host cannot count, such as connections that the target
/// counts as a request.
const BUDGET_USED: f64 = 0.6;

/// Names this run of the process, in Unix milliseconds. A later run of the
/// same host has a higher one unless the clock was set back by more than the
/// pause between the two.
pub(crate) fn session() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map_or(0, |since| since.as_millis());
    u64::try_from(millis).unwrap_or(u64::MAX)
}

/// The process beside a target.
#[derive(Debug)]
pub(crate) struct Host {
    settings: Settings,
    beside: Beside,
    session: u64,
    clock: Clock,
    metrics: Arc<Metrics>,
    view: RwLock<View>,
    /// Woken when the directory or the plan changes.
    viewed: Notify,
    tracker: Mutex<Tracker>,
    /// Woken when the leader should hear of something at once.
    nudge: Notify,
    admission: Admission,
    peers: Peers,
    choice: Mutex<Balancer>,
    allowance: Mutex<RetryBudget>,
    leaving: AtomicBool,
    /// Set when other hosts should send no more requests for the target.
    withdrawn: AtomicBool,
    /// Requests of callers that have no answer yet.
    callers: AtomicUsize,
    /// Set when the process takes no more requests.
    closed: AtomicBool,
    stop: CancellationToken,
}

/// Runs the process until the token is cancelled and its work is done.
///
/// # Errors
///
/// When an address cannot be listened on.
pub(crate) async fn run<D: Dialect>(
    settings: Settings,
    stop: CancellationToken,
) -> std::io::Result<()> {
    let beside = settings.beside.clone();
    let beside = beside.ok_or_else(|| std::io::Error::other("no target in the settings"))?;
    let session = session();
    let clock = Clock::new();
    let metrics = Metrics::new();
    // Listeners and links outlive the request to stop.
    let ended = CancellationToken::new();
    let hello = Hello {
        session,
        address: settings.link,
        replica: None,
    };
    let repeats = settings.repeats;
    let host = Arc::new(Host {
        tracker: Mutex::new(Tracker::new(settings.link, settings.beat)),
        admission: Admission::new(beside.target),
        peers: Peers::new(hello.clone(), clock, ended.clone()),
        view: RwLock::default(),
        viewed: Notify::new(),
        nudge: Notify::new(),
        choice: Mutex::default(),
        allowance: Mutex::new(RetryBudget::new(repeats.ratio * BUDGET_USED, 1.0)),
        leaving: AtomicBool::new(false),
        withdrawn: AtomicBool::new(false),
        callers: AtomicUsize::new(0),
        closed: AtomicBool::new(false),
        stop: ended.clone(),
        settings,
        beside,
        session,
        clock,
        metrics,
    });
    let settings = &host.settings;
    link::listen(
        settings.link,
        hello,
        peers::Inbound::<D>::new(Arc::clone(&host)),
        ended.clone(),
    )?;
    server::listen(
        host.beside.callers,
        ingress::Ingress::<D>::new(Arc::clone(&host)),
        ended.clone(),
    )?;
    server::listen(
        host.beside.ready,
        ready::Ready::new(Arc::clone(&host)),
        ended.clone(),
    )?;
    server::listen(
        settings.control,
        beats::Beats::<D>::new(Arc::clone(&host)),
        ended.clone(),
    )?;
    server::listen(
        settings.metrics,
        Page(Arc::clone(&host.metrics)),
        ended.clone(),
    )?;
    tokio::spawn(membership::keep(Arc::clone(&host)));
    info!(
        event = "start",
        role = "host",
        host = %settings.host,
        session,
        link = %settings.link,
        pool = %host.beside.pool,
        target = %host.beside.target
    );
    let mut ticks = interval(LOOK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            _ = ticks.tick() => host.look::<D>(),
        }
    }
    host.leave::<D>().await;
    ended.cancel();
    Ok(())
}

impl Host {
    /// Does what no message announces.
    fn look<D: Dialect>(self: &Arc<Self>) {
        let now = self.clock.now();
        self.expire::<D>();
        self.peers.look(now);
        let mut tracker = lock(&self.tracker);
        if tracker.look(now) {
            drop(tracker);
            self.nudge.notify_one();
        }
    }

    /// Finishes the work at hand and takes none that would be cut off.
    async fn leave<D: Dialect>(self: &Arc<Self>) {
        let from = self.clock.now();
        self.leaving.store(true, Ordering::Relaxed);
        info!(event = "leave", host = %self.settings.host, open = self.admission.open());
        let end = from + self.settings.grace.saturating_sub(MARGIN);
        loop {
            sleep(LOOK).await;
            self.look::<D>();
            let now = self.clock.now();
            if now > from + WITHDRAW && !self.withdrawn.swap(true, Ordering::Relaxed) {
                self.nudge.notify_one();
            }
            if now > from + TAKES && !self.closed.swap(true, Ordering::Relaxed) {
                info!(event = "closed", host = %self.settings.host, open = self.admission.open());
            }
            let idle = self.admission.is_idle() && self.peers.is_idle();
            if (idle && self.callers.load(Ordering::Relaxed) == 0 && now > from + LINGER)
                || now > end
            {
                info!(event = "stop", role = "host", host = %self.settings.host, idle);
                return;
            }
        }
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Whether the process takes no more requests.
    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// What the leader is told.
    fn report(&self) -> Report {
        let mean = self.admission.mean();
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
