//! Starts and stops the process: binds the listeners, builds the shared
//! context and spawns the tasks.

use std::{
    collections::HashMap,
    fmt, io,
    net::SocketAddr,
    sync::{Arc, Mutex, RwLock},
    time::Duration,
};

use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    time::timeout,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tracing::info;
use wisteriaglade_consensus as consensus;
use wisteriaglade_control::{self as control, State, planner};
use wisteriaglade_router as router;
use wisteriaglade_types::{Index, Node};
use wisteriaglade_wire::{Clock, Key, Listener};

use crate::{
    admin,
    admission::Admission,
    caller,
    context::{Addresses, Context},
    datagrams,
    deduplicator::Deduplicator,
    lease, load, membership,
    metrics::Metrics,
    notice::Notices,
    peer,
    pool::Pool,
    records::{self, Records},
    replica,
    settings::{self, Policy, Settings},
    subscription, target,
    view::View,
};

/// The result of starting a process.
pub type Result<T> = std::result::Result<T, Error>;

/// An error that prevents the process from starting.
#[derive(Debug)]
pub enum Error {
    /// The file with the cluster key cannot be read.
    Settings(settings::Error),
    /// The cluster key is too short.
    Key(wisteriaglade_wire::Error),
    /// An address cannot be bound. Holds the name of its field under `listen`,
    /// the address and the cause.
    Bind(&'static str, SocketAddr, io::Error),
    /// The admin listener cannot start. Holds the cause.
    Admin(String),
    /// The control replica cannot start. Holds the settings field, the data
    /// directory and the cause.
    Replica(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(error) => error.fmt(f),
            Self::Key(error) => write!(f, "field `cluster_key`: {error}"),
            Self::Bind(field, address, error) => {
                write!(
                    f,
                    "field `listen.{field}`: cannot listen on {address}: {error}"
                )
            }
            Self::Admin(detail) | Self::Replica(detail) => f.write_str(detail),
        }
    }
}

impl std::error::Error for Error {}

/// The number of consensus messages that are queued for one other replica.
const OUTBOX_CAPACITY: usize = 1_024;

/// The time that a draining process waits for its shards to move to other
/// nodes.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(10);

/// The time limit for the proposal that removes this node from the cluster.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

/// A running process, with its addresses bound and its tasks spawned.
#[derive(Debug)]
pub struct Daemon {
    context: Arc<Context>,
}

impl Daemon {
    /// Binds the addresses of the settings and spawns every task of the
    /// process.
    ///
    /// # Errors
    ///
    /// Returns an error when an address is in use, the data directory cannot
    /// be used, the file with the cluster key cannot be read or the cluster
    /// key is too short.
    pub async fn start(settings: Settings) -> Result<Self> {
        let secret = settings.secret().map_err(Error::Settings)?;
        let key = Key::new(&secret).map_err(Error::Key)?;
        let clock = Clock::new();
        let callers = bind("caller", settings.listen.caller)?;
        let peers = bind("peer", settings.listen.peer)?;
        let peer = peers
            .local_addr()
            .map_err(|error| Error::Bind("peer", settings.listen.peer, error))?;
        let udp = UdpSocket::bind(peer)
            .await
            .map_err(|error| Error::Bind("peer", peer, error))?;
        let addresses = Addresses {
            caller: callers
                .local_addr()
                .map_err(|error| Error::Bind("caller", settings.listen.caller, error))?,
            peer,
            admin: choose_port(settings.listen.admin)?,
        };
        let (replica, channels) = start_replica(&settings, clock)?;
        let context = Arc::new(context(settings, key, clock, addresses, udp, replica));
        for (id, outbox) in channels.messages {
            tokio::spawn(replica::link::send(Arc::clone(&context), id, outbox));
        }
        if let Some(fenced) = channels.fenced {
            tokio::spawn(replica::expiry::run(Arc::clone(&context), fenced));
        }
        let admin = admin::start(&context).map_err(|error| Error::Admin(error.to_string()))?;
        let daemon = Self { context };
        daemon.spawn(callers, peers);
        let shutdown = daemon.context.shutdown.clone();
        tokio::spawn(async move {
            shutdown.cancelled().await;
            // The process is ending, so a failure to close is not reported.
            let _ = admin.close().await;
        });
        info!(
            event = "started",
            host = %daemon.context.settings.host,
            caller = %addresses.caller,
            peer = %addresses.peer,
            admin = %addresses.admin
        );
        Ok(daemon)
    }

    /// Returns the address that accepts requests from callers, with the port that was
    /// bound.
    #[must_use]
    pub fn caller(&self) -> SocketAddr {
        self.context.addresses.caller
    }

    /// Returns the address that operators and the target use, with the port that was
    /// bound.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        self.context.addresses.admin
    }

    /// Serves until `stop` is cancelled, then drains: shards move to other
    /// nodes, and requests in flight are completed or reach the shutdown
    /// timeout.
    pub async fn run(self, stop: CancellationToken) {
        stop.cancelled().await;
        self.drain().await;
        self.context.shutdown.cancel();
        if let Some(replica) = &self.context.replica {
            let _ = replica.inbox.send(replica::Input::Stop);
        }
        info!(event = "stopped");
    }

    /// Drains this node: waits for its shards to move to other nodes, closes the
    /// listener for callers and waits for the requests in flight, then leaves the
    /// cluster if the shards did move. Each wait has a time limit.
    async fn drain(&self) {
        let context = &self.context;
        info!(event = "draining");
        context.leaving.cancel();
        context.drain_target();
        let handed_over = timeout(HAND_OVER_TIMEOUT, wait_until_handed_over(context)).await;
        context.draining.cancel();
        context.requests.close();
        let _ = timeout(context.settings.timing.shutdown, context.requests.wait()).await;
        if handed_over.is_ok()
            && let Some(node) = context.node()
        {
            // Otherwise the leader would wait for the lease of this node to end
            // before it removes the node, although the node owns nothing. A node
            // that has left refuses requests, so this comes last.
            context
                .propose(control::Command::Leave { node }, LEAVE_TIMEOUT)
                .await;
        }
    }

    /// Spawns the tasks that run until shutdown. `callers` and `peers` are the
    /// listeners of the caller and peer addresses.
    fn spawn(&self, callers: Listener, peers: Listener) {
        let context = &self.context;
        tokio::spawn(peer::listen(Arc::clone(context), peers));
        tokio::spawn(datagrams::receive(Arc::clone(context)));
        tokio::spawn(subscription::follow(Arc::clone(context)));
        tokio::spawn(membership::run(Arc::clone(context)));
        tokio::spawn(membership::renew(Arc::clone(context)));
        tokio::spawn(load::report(Arc::clone(context)));
        tokio::spawn(records::tick(Arc::clone(context)));
        let (admission, shutdown) = (Arc::clone(&context.admission), context.shutdown.clone());
        tokio::spawn(async move { admission.tick(shutdown).await });
        context
            .requests
            .spawn(caller::listen(Arc::clone(context), callers));
    }
}

/// Waits until this node owns no shard, or no other node could take its
/// shards.
async fn wait_until_handed_over(context: &Context) {
    let mut changes = context.applied.subscribe();
    while has_movable_shards(context) {
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Returns whether this node owns shards and another node is ready to serve
/// their pool.
fn has_movable_shards(context: &Context) -> bool {
    let view = crate::read(&context.view);
    let Some(own) = context.node().and_then(|node| view.state.node(node)) else {
        return false;
    };
    let others = own.pool().is_some_and(|pool| {
        let mut nodes = view.state.nodes();
        nodes.any(|other| other.node() != own.node() && other.is_ready(pool))
    });
    own.shard_count() > 0 && others
}

/// Opens a TCP listener. `field` names the settings field for the error.
fn bind(field: &'static str, address: SocketAddr) -> Result<Listener> {
    Listener::bind(address).map_err(|error| Error::Bind(field, address, error))
}

/// Replaces port 0 by a free port. The admin listener binds its address later,
/// but the address is already part of the context.
fn choose_port(address: SocketAddr) -> Result<SocketAddr> {
    if address.port() != 0 {
        return Ok(address);
    }
    std::net::TcpListener::bind(address)
        .and_then(|listener| listener.local_addr())
        .map_err(|error| Error::Bind("admin", address, error))
}

/// The channels on which the thread of the control replica sends to the tasks
/// of the process.
#[derive(Default)]
struct Channels {
    /// Consensus messages for each other replica, by its id.
    messages: Vec<(u64, mpsc::Receiver<consensus::Message>)>,
    /// Nodes whose fences were applied while this replica led.
    fenced: Option<mpsc::UnboundedReceiver<Node>>,
}

/// Starts the control replica, if the settings name one for this process.
/// Returns its handle and the channels that it sends on.
fn start_replica(settings: &Settings, clock: Clock) -> Result<(Option<replica::Handle>, Channels)> {
    let Some(local) = &settings.replica else {
        return Ok((None, Channels::default()));
    };
    let mut outbox = HashMap::new();
    let mut messages = Vec::new();
    for other in settings
        .replicas
        .iter()
        .filter(|other| other.id != local.id)
    {
        let (sender, receiver) = mpsc::channel(OUTBOX_CAPACITY);
        outbox.insert(other.id, sender);
        messages.push((other.id, receiver));
    }
    let (handle, fenced) = replica::start(replica::Options {
        id: local.id,
        members: settings.replicas.iter().map(|replica| replica.id).collect(),
        data: local.data.clone(),
        seed: rand::random(),
        state: control_config(settings),
        planner: planner::Config {
            renew: settings.timing.renew,
            suspect: settings.timing.suspect,
            lease: settings.timing.lease,
            ..planner::Config::default()
        },
        clock,
        outbox,
    })
    .map_err(|error| {
        let data = local.data.display();
        Error::Replica(format!("field `replica.data`: {data}: {error}"))
    })?;
    let channels = Channels {
        messages,
        fenced: Some(fenced),
    };
    Ok((Some(handle), channels))
}

/// Returns the configuration of the control state with which a new cluster
/// starts.
fn control_config(settings: &Settings) -> control::Config {
    control::Config {
        shards: settings.shards,
        holders: settings.holders,
    }
}

/// Builds the shared context of a process that has not joined yet. `addresses`
/// are the bound ones, and `replica` is the control replica of this process.
fn context(
    settings: Settings,
    key: Key,
    clock: Clock,
    addresses: Addresses,
    udp: UdpSocket,
    replica: Option<replica::Handle>,
) -> Context {
    let timing = &settings.timing;
    let limits = &settings.limits;
    let admission = router::Config {
        policy: match settings.policy {
            Policy::Current => router::Policy::Adaptive,
            Policy::Baseline => router::Policy::Baseline,
        },
        max_queued: limits.queue,
        ..router::Config::default()
    };
    let records = Records::new(settings.holder());
    Context {
        view: RwLock::new(View::new(State::new(control::Config::default()))),
        applied: watch::channel(Index::default()).0,
        lease: Mutex::new(lease::Lease::new(
            settings.replicas.len(),
            timing.lease,
            timing.staleness,
        )),
        node: watch::channel(None).0,
        announced: watch::channel(None).0,
        admission: Arc::new(Admission::new(clock, admission)),
        deduplicator: Deduplicator::default(),
        retry_budget: Mutex::new(router::retry::Budget::new(router::retry::Config::default())),
        notices: Notices::default(),
        peer_health: Mutex::new(router::peer::Health::new(router::peer::Config::default())),
        records,
        pool: Pool::new(key.clone(), addresses.peer.ip(), timing.connect),
        client: target::Client::new(timing.connect, MAX_IDLE_CONNECTIONS),
        udp,
        replica,
        leader: Mutex::new(None),
        metrics: Metrics::new(),
        leaving: CancellationToken::new(),
        draining: CancellationToken::new(),
        shutdown: CancellationToken::new(),
        requests: TaskTracker::new(),
        settings,
        key,
        clock,
        addresses,
    }
}

/// The number of idle connections to the target that are kept open. It equals
/// the number of connections that the targets of both members accept.
const MAX_IDLE_CONNECTIONS: usize = 110;
