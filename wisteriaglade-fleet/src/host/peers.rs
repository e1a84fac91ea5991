//! Links to the other hosts.
//!
//! [`Peers`] keeps one link to each host that this one sends requests to, and
//! the offers on it that have no outcome yet. [`Inbound`] handles the frames
//! on links that other hosts opened. After a connection is lost, the sender
//! offers its requests again; the receiver runs each one once.
//!
//! While the content of a request has not been fetched, the request cannot have
//! run, so the sender may withdraw the offer and try another target.

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
    admission::{OfferId, RESTART_RETRY_AFTER, Reply, millis},
};
use crate::{
    Dialect,
    frame::{Content, Frame, Hello, Offer, Outcome},
    link::{Connection, Handler, Link},
    lock,
};

/// How long an offer that has not been sent waits for a connection before
/// another target is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The largest body, in bytes, that is included in an offer. A larger one is
/// fetched when the request is about to run. The content of a request that may
/// run only once is always fetched, so that the offer can be withdrawn until
/// then.
const MAX_INLINE_BODY_BYTES: usize = 512;

/// How long a host may stay silent before offers whose content it has not
/// fetched are withdrawn. A working host responds to the ping that a link sends
/// after 250 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(350);

/// How long offers whose content was not fetched wait for a lost connection to
/// be established again.
const RECONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a host may be disconnected before the repeatable requests that it
/// may have run are taken for lost.
const LOST_TIMEOUT: Duration = Duration::from_millis(700);

/// The links that this host opened to other hosts.
#[derive(Debug)]
pub(super) struct Peers {
    hello: Hello,
    clock: Clock,
    stop: CancellationToken,
    next_id: AtomicU64,
    inner: Arc<Mutex<HashMap<SocketAddr, Peer>>>,
}

/// The link to one host and its open offers.
#[derive(Debug)]
struct Peer {
    link: Link,
    /// The connection; `None` while there is none.
    connection: Option<Connection>,
    /// The session of the process that was last connected.
    session: Option<u64>,
    /// Since when there has been no connection.
    down_since: Duration,
    /// The offers without an outcome, by their id.
    pending: HashMap<u64, PendingOffer>,
}

/// An offer to another host that has no outcome yet.
#[derive(Debug)]
struct PendingOffer {
    offer: Offer,
    /// The content, if it is left out of the offer.
    content: Option<Content>,
    /// Whether the content was fetched, so that the request may have run.
    fetched: bool,
    /// When it was offered, on the clock of the process.
    offered_at: Duration,
    /// When it was offered, on the clock of [`Connection::heard`].
    offered_instant: Instant,
    /// The session of the process that it was sent to; `None` before it was
    /// sent.
    sent_session: Option<u64>,
    reply: oneshot::Sender<Outcome>,
}

/// The sender's handle to an offer to another host. Dropping it cancels the
/// request.
#[derive(Debug)]
pub(super) struct OfferHandle {
    id: u64,
    address: SocketAddr,
    inner: Arc<Mutex<HashMap<SocketAddr, Peer>>>,
    outcome: oneshot::Receiver<Outcome>,
}

impl OfferHandle {
    /// Waits for the outcome of the request.
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

impl Drop for OfferHandle {
    fn drop(&mut self) {
        let mut peers = lock(&self.inner);
        let Some(peer) = peers.get_mut(&self.address) else {
            return;
        };
        if let Some(pending) = peer.pending.remove(&self.id)
            && pending.sent_session.is_some()
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
            next_id: AtomicU64::new(1),
            inner: Arc::default(),
        }
    }

    /// Returns an unused offer id.
    pub(super) fn next_offer_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether no offer is open.
    pub(super) fn is_idle(&self) -> bool {
        lock(&self.inner)
            .values()
            .all(|peer| peer.pending.is_empty())
    }

    /// Offers a request to another host. The first offer to a host opens the link
    /// to it.
    pub(super) fn offer(&self, now: Duration, address: SocketAddr, offer: Offer) -> OfferHandle {
        let mut offer = offer;
        let is_large = offer
            .content
            .as_ref()
            .is_some_and(|content| content.body.len() > MAX_INLINE_BODY_BYTES);
        let defers_content = is_large || !offer.repeatable;
        let content = offer.content.take_if(|_| defers_content);
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
                down_since: now,
                pending: HashMap::new(),
            }
        });
        let mut pending = PendingOffer {
            offer,
            content,
            fetched: false,
            offered_at: now,
            offered_instant: Instant::now(),
            sent_session: None,
            reply,
        };
        if let Some(connection) = &peer.connection {
            pending.sent_session = peer.session;
            connection.send(Frame::Offer(pending.offer.clone()));
        }
        peer.pending.insert(id, pending);
        OfferHandle {
            id,
            address,
            inner: Arc::clone(&self.inner),
            outcome,
        }
    }

    /// Closes the links to hosts that are not in `addresses` and have no open
    /// offer.
    pub(super) fn retain(&self, addresses: &BTreeSet<SocketAddr>) {
        lock(&self.inner).retain(|address, peer| {
            let keep = addresses.contains(address) || !peer.pending.is_empty();
            if !keep {
                peer.link.close();
            }
            keep
        });
    }

    /// Ends offers to hosts that have been silent or disconnected too long. Called
    /// at a fixed interval.
    pub(super) fn tick(&self, now: Duration) {
        for peer in lock(&self.inner).values_mut() {
            if let Some(connection) = &peer.connection {
                let heard = connection.last_received();
                let silent = peer
                    .pending
                    .extract_if(|_, pending| {
                        pending.awaits_fetch()
                            && pending.offered_instant > heard
                            && pending.offered_instant.elapsed() > SILENCE_TIMEOUT
                    })
                    .collect::<Vec<_>>();
                for (id, pending) in silent {
                    info!(event = "offer-taken-back", request = %pending.offer.request, peer = %connection.hello.address);
                    connection.send(Frame::Cancel { id });
                    pending.fail_unreachable();
                }
                continue;
            }
            let is_refused = peer.link.connect_failed();
            let is_lost = now.saturating_sub(peer.down_since) > LOST_TIMEOUT;
            let expired = peer
                .pending
                .extract_if(|_, pending| match pending.sent_session {
                    None => is_refused || now.saturating_sub(pending.offered_at) > CONNECT_TIMEOUT,
                    Some(_) if pending.awaits_fetch() => {
                        is_refused || now.saturating_sub(peer.down_since) > RECONNECT_TIMEOUT
                    }
                    Some(_) => pending.offer.repeatable && is_lost,
                });
            for (_, pending) in expired.collect::<Vec<_>>() {
                pending.fail_unreachable();
            }
        }
    }
}

impl PendingOffer {
    /// Whether the other host lacks the content, so that the request has not run
    /// there and cannot.
    fn awaits_fetch(&self) -> bool {
        self.content.is_some() && !self.fetched
    }

    /// Ends an offer whose host is unreachable: the outcome is unknown if the
    /// request may have run, else it is a rejection.
    fn fail_unreachable(self) {
        let outcome = if self.sent_session.is_some() && !self.awaits_fetch() {
            Outcome::Unknown {
                detail: Name::from("the host is unreachable"),
                load: Load::default(),
            }
        } else {
            Outcome::Rejected {
                reason: Reason::Unreachable,
                retry: millis(RESTART_RETRY_AFTER),
                by_target: false,
                load: Load::default(),
            }
        };
        // Fails if the caller has disconnected, which is harmless.
        let _ = self.reply.send(outcome);
    }
}

/// Handles the frames on a link that this host opened.
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
                let pending = peer.and_then(|peer| peer.pending.get_mut(&id));
                let Some((pending, content)) = pending.and_then(|pending| {
                    let content = pending.content.clone()?;
                    Some((pending, content))
                }) else {
                    // The offer was cancelled or withdrawn; the request must not
                    // occupy a slot.
                    connection.send(Frame::Cancel { id });
                    return;
                };
                pending.fetched = true;
                connection.send(Frame::Content { id, content });
            }
            Frame::Outcome { id, outcome } => {
                let mut peers = lock(&self.inner);
                let pending = peers
                    .get_mut(&self.address)
                    .and_then(|peer| peer.pending.remove(&id));
                if let Some(pending) = pending {
                    // Fails if the caller has disconnected, which is harmless.
                    let _ = pending.reply.send(outcome);
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
        let outdated = peer
            .pending
            .extract_if(|_, pending| pending.sent_session.is_some_and(|sent| sent != session));
        for (_, pending) in outdated.collect::<Vec<_>>() {
            info!(event = "peer-restarted", peer = %self.address, request = %pending.offer.request);
            pending.fail_unreachable();
        }
        // Offers sent on the lost connection are sent again with the time that is
        // left; the other host runs each request once.
        let now = self.clock.now();
        for pending in peer.pending.values_mut() {
            pending.sent_session = Some(session);
            let spent = millis(now.saturating_sub(pending.offered_at));
            let mut offer = pending.offer.clone();
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
            peer.down_since = self.clock.now();
        }
    }
}

/// Handles the frames on a link that another host opened.
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
        let offer_id = |id| OfferId {
            host: connection.hello.address,
            session: connection.hello.session,
            id,
        };
        match frame {
            Frame::Offer(offer) => {
                let reply = Reply::Remote(connection.clone());
                self.host.admit::<D>(offer_id(offer.id), offer, reply);
            }
            Frame::Content { id, content } => self.host.deliver(offer_id(id), content),
            Frame::Cancel { id } => self.host.cancel::<D>(offer_id(id)),
            _ => warn!(event = "frame-unexpected", peer = %connection.hello.address),
        }
    }

    fn connected(&self, _: &Connection) {}

    fn disconnected(&self, _: &Connection) {}
}
