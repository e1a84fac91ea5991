//! Links to the other hosts.

use std::{
    collections::{BTreeSet, HashMap},
    marker::PhantomData,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{sync::oneshot, time::Instant};
use tokio_util::sync::CancellationToken;
use tracing::{info, warn};
use wisteriaglade_mesh::{Load, Reason};
use wisteriaglade_types::Name;
use wisteriaglade_wire::Clock;

use super::{
    Host,
    admission::{Key, RESTART, Reply, millis},
};
use crate::{
    Dialect,
    frame::{Content, Frame, Hello, Offer, Outcome},
    link::{Connection, Handler, Link},
    lock,
};

/// How long a request waits for a connection before another target is tried.
const CONNECT: Duration = Duration::from_millis(250);

/// The longest body that goes with an offer, in bytes. A longer one is fetched
/// when the request is about to run, and so is every request that may run only
/// once: until then it can be taken back.
const INLINE: usize = 512;

/// How long a host may stay silent before offers that it has not fetched are
/// taken back. A host that works responds to a ping, sent after 250 ms.
const SUSPECT: Duration = Duration::from_millis(350);

/// How long offers that were not fetched wait for a new connection.
const RETURN: Duration = Duration::from_millis(150);

/// How long a host may be out of reach before its repeatable requests are
/// taken for lost.
const LOST: Duration = Duration::from_millis(700);

/// The links to the other hosts.
#[derive(Debug)]
pub(super) struct Peers {
    hello: Hello,
    clock: Clock,
    stop: CancellationToken,
    next: AtomicU64,
    inner: Arc<Mutex<HashMap<SocketAddr, Peer>>>,
}

#[derive(Debug)]
struct Peer {
    link: Link,
    connection: Option<Connection>,
    /// The run of the process on the other side that was last connected.
    session: Option<u64>,
    /// Since when there is no connection.
    down: Duration,
    open: HashMap<u64, Open>,
}

#[derive(Debug)]
struct Open {
    offer: Offer,
    /// The content, if the offer leaves it out.
    content: Option<Content>,
    /// Whether the content was fetched, so that the request may run.
    fetched: bool,
    since: Duration,
    /// When it was offered, by the clock of the links.
    at: Instant,
    /// The run of the process that it was sent to.
    sent: Option<u64>,
    reply: oneshot::Sender<Outcome>,
}

/// A request under way to another host. Dropping it cancels the request.
#[derive(Debug)]
pub(super) struct Ticket {
    id: u64,
    address: SocketAddr,
    inner: Arc<Mutex<HashMap<SocketAddr, Peer>>>,
    outcome: oneshot::Receiver<Outcome>,
}

impl Ticket {
    /// How the request ended.
    pub(super) async fn outcome(&mut self) -> Outcome {
        match (&mut self.outcome).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::Unknown {
                detail: Name::from("the link was closed"),
                load: Load::default(),
            },
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut peers = lock(&self.inner);
        let Some(peer) = peers.get_mut(&self.address) else {
            return;
        };
        if let Some(open) = peer.open.remove(&self.id)
            && open.sent.is_some()
            && let Some(connection) = &peer.connection
        {
            connection.send(Frame::Cancel { id: self.id });
        }
    }
}

impl Peers {
    pub(super) fn new(hello: Hello, clock: Clock, stop: CancellationToken) -> Self {
        Self {
            hello,
            clock,
            stop,
            next: AtomicU64::new(1),
            inner: Arc::default(),
        }
    }

    /// A number for a request.
    pub(super) fn number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether no request is under way.
    pub(super) fn is_idle(&self) -> bool {
        lock(&self.inner).values().all(|peer| peer.open.is_empty())
    }

    /// Offers a request to another host.
    pub(super) fn offer(&self, now: Duration, address: SocketAddr, offer: Offer) -> Ticket {
        let mut offer = offer;
        let is_large = offer
            .content
            .as_ref()
            .is_some_and(|content| content.body.len() > INLINE);
        let is_held = is_large || !offer.repeatable;
        let content = offer.content.take_if(|_| is_held);
        let (reply, outcome) = oneshot::channel();
        let id = offer.id;
        let mut peers = lock(&self.inner);
        let peer = peers.entry(address).or_insert_with(|| {
            let sink = Outbound {
                address,
                clock: self.clock,
                inner: Arc::clone(&self.inner),
            };
            Peer {
                link: Link::open(address, self.hello.clone(), sink, self.stop.child_token()),
                connection: None,
                session: None,
                down: now,
                open: HashMap::new(),
            }
        });
        let mut open = Open {
            offer,
            content,
            fetched: false,
            since: now,
            at: Instant::now(),
            sent: None,
            reply,
        };
        if let Some(connection) = &peer.connection {
            open.sent = peer.session;
            connection.send(Frame::Offer(open.offer.clone()));
        }
        peer.open.insert(id, open);
        Ticket {
            id,
            address,
            inner: Arc::clone(&self.inner),
            outcome,
        }
    }

    /// Closes links to hosts that are no longer known.
    pub(super) fn keep(&self, addresses: &BTreeSet<SocketAddr>) {
        lock(&self.inner).retain(|address, peer| {
            let keep = addresses.contains(address) || !peer.open.is_empty();
            if !keep {
                peer.link.close();
            }
            keep
        });
    }

    /// Ends requests that have no connection for too long.
    pub(super) fn look(&self, now: Duration) {
        for peer in lock(&self.inner).values_mut() {
            if let Some(connection) = &peer.connection {
                let heard = connection.last_received();
                let silent = peer
                    .open
                    .extract_if(|_, open| {
                        open.is_held() && open.at > heard && open.at.elapsed() > SUSPECT
                    })
                    .collect::<Vec<_>>();
                for (id, open) in silent {
                    info!(event = "offer-taken-back", request = %open.offer.request, peer = %connection.hello.address);
                    connection.send(Frame::Cancel { id });
                    open.end_unreachable();
                }
                continue;
            }
            let is_refused = peer.link.connect_failed();
            let is_lost = now.saturating_sub(peer.down) > LOST;
            let late = peer.open.extract_if(|_, open| match open.sent {
                None => is_refused || now.saturating_sub(open.since) > CONNECT,
                Some(_) if open.is_held() => is_refused || now.saturating_sub(peer.down) > RETURN,
                Some(_) => open.offer.repeatable && is_lost,
            });
            for (_, open) in late.collect::<Vec<_>>() {
                open.end_unreachable();
            }
        }
    }
}

impl Open {
    /// Whether the other side does not have the content, so that the request
    /// has not run there and cannot.
    fn is_held(&self) -> bool {
        self.content.is_some() && !self.fetched
    }

    /// Ends a request whose host is out of reach.
    fn end_unreachable(self) {
        let outcome = if self.sent.is_some() && !self.is_held() {
            Outcome::Unknown {
                detail: Name::from("the host is out of reach"),
                load: Load::default(),
            }
        } else {
            Outcome::Rejected {
                reason: Reason::Unreachable,
                retry: millis(RESTART),
                by_target: false,
                load: Load::default(),
            }
        };
        // The caller may have left.
        let _ = self.reply.send(outcome);
    }
}

/// The side of a link that was opened here.
#[derive(Debug, Clone)]
struct Outbound {
    address: SocketAddr,
    clock: Clock,
    inner: Arc<Mutex<HashMap<SocketAddr, Peer>>>,
}

impl Handler for Outbound {
    fn receive(&self, connection: &Connection, frame: Frame) {
        match frame {
            Frame::Fetch { id } => {
                let mut peers = lock(&self.inner);
                let peer = peers.get_mut(&self.address);
                let open = peer.and_then(|peer| peer.open.get_mut(&id));
                let Some((open, content)) = open.and_then(|open| {
                    let content = open.content.clone()?;
                    Some((open, content))
                }) else {
                    // It was cancelled or taken back, and must not hold a slot.
                    connection.send(Frame::Cancel { id });
                    return;
                };
                open.fetched = true;
                connection.send(Frame::Content { id, content });
            }
            Frame::Outcome { id, outcome } => {
                let mut peers = lock(&self.inner);
                let open = peers
                    .get_mut(&self.address)
                    .and_then(|peer| peer.open.remove(&id));
                if let Some(open) = open {
                    // The caller may have left.
                    let _ = open.reply.send(outcome);
                }
            }
            _ => warn!(event = "frame-unexpected", peer = %connection.hello.address),
        }
    }

    fn connected(&self, connection: &Connection) {
        let mut peers = lock(&self.inner);
        let Some(peer) = peers.get_mut(&self.address) else {
            return;
        };
        let session = connection.hello.session;
        peer.connection = Some(connection.clone());
        peer.session = Some(session);
        let former = peer
            .open
            .extract_if(|_, open| open.sent.is_some_and(|sent| sent != session));
        for (_, open) in former.collect::<Vec<_>>() {
            info!(event = "peer-restarted", peer = %self.address, request = %open.offer.request);
            open.end_unreachable();
        }
        // What was sent on a lost connection is sent again; the other side
        // runs each request once.
        let now = self.clock.now();
        for open in peer.open.values_mut() {
            open.sent = Some(session);
            let spent = millis(now.saturating_sub(open.since));
            let mut offer = open.offer.clone();
            offer.deadline = offer.deadline.saturating_sub(spent);
            offer.objective = offer.objective.saturating_sub(spent);
            connection.send(Frame::Offer(offer));
        }
    }

    fn disconnected(&self, connection: &Connection) {
        let mut peers = lock(&self.inner);
        if let Some(peer) = peers.get_mut(&self.address)
            && peer
                .connection
                .as_ref()
                .is_some_and(|other| other.is_same(connection))
        {
            peer.connection = None;
            peer.down = self.clock.now();
        }
    }
}

/// The side of a link that another host opened.
#[derive(Debug)]
pub(super) struct Inbound<D> {
    host: Arc<Host>,
    dialect: PhantomData<D>,
}

impl<D> Clone for Inbound<D> {
    fn clone(&self) -> Self {
        Self {
            host: Arc::clone(&self.host),
            dialect: PhantomData,
        }
    }
}

impl<D: Dialect> Inbound<D> {
    pub(super) fn new(host: Arc<Host>) -> Self {
        Self {
            host,
            dialect: PhantomData,
        }
    }
}

impl<D: Dialect> Handler for Inbound<D> {
    fn receive(&self, connection: &Connection, frame: Frame) {
        let key = |id| Key {
            host: connection.hello.address,
            session: connection.hello.session,
            id,
        };
        match frame {
            Frame::Offer(offer) => {
                let reply = Reply::Connection(connection.clone());
                self.host.offer::<D>(key(offer.id), offer, reply);
            }
            Frame::Content { id, content } => self.host.deliver(key(id), content),
            Frame::Cancel { id } => self.host.cancel::<D>(key(id)),
            _ => warn!(event = "frame-unexpected", peer = %connection.hello.address),
        }
    }

    fn connected(&self, _: &Connection) {}

    fn disconnected(&self, _: &Connection) {}
}
