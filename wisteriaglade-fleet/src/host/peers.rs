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
    link::{Link, Port, Sink},
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
    next: AtomicU64,
    inner: Arc<Mutex<HashMap<SocketAddr, Peer>>>,
}

/// The link to one host and its open offers.
#[derive(Debug)]
struct Peer {
    link: Link,
    /// The connection; `None` while there is none.
    port: Option<Port>,
    /// The session of the process that was last connected.
    session: Option<u64>,
    /// Since when there has been no connection.
    down: Duration,
    /// The offers without an outcome, by their id.
    open: HashMap<u64, Open>,
}

/// An offer to another host that has no outcome yet.
#[derive(Debug)]
struct Open {
    offer: Offer,
    /// The content, if it is left out of the offer.
    content: Option<Content>,
    /// Whether the content was fetched, so that the request may have run.
    fetched: bool,
    /// When it was offered, on the clock of the process.
    since: Duration,
    /// When it was offered, on the clock of [`Port::heard`].
    at: Instant,
    /// The session of the process that it was sent to; `None` before it was
    /// sent.
    sent: Option<u64>,
    reply: oneshot::Sender<Outcome>,
}

/// The sender's handle to an offer to another host. Dropping it cancels the
/// request.
#[derive(Debug)]
pub(super) struct Ticket {
    id: u64,
    address: SocketAddr,
    inner: Arc<Mutex<HashMap<SocketAddr, Peer>>>,
    outcome: oneshot::Receiver<Outcome>,
}

impl Ticket {
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

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut peers = lock(&self.inner);
        let Some(peer) = peers.get_mut(&self.address) else {
            return;
        };
        if let Some(open) = peer.open.remove(&self.id)
            && open.sent.is_some()
            && let Some(port) = &peer.port
        {
            port.send(Frame::Cancel { id: self.id });
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

    /// Returns an unused offer id.
    pub(super) fn number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether no offer is open.
    pub(super) fn is_idle(&self) -> bool {
        lock(&self.inner).values().all(|peer| peer.open.is_empty())
    }

    /// Offers a request to another host. The first offer to a host opens the link
    /// to it.
    pub(super) fn offer(&self, now: Duration, address: SocketAddr, offer: Offer) -> Ticket {
        let mut offer = offer;
        let is_large = offer
            .content
            .as_ref()
            .is_some_and(|content| content.body.len() > MAX_INLINE_BODY_BYTES);
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
                port: None,
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
        if let Some(port) = &peer.port {
            open.sent = peer.session;
            port.send(Frame::Offer(open.offer.clone()));
        }
        peer.open.insert(id, open);
        Ticket {
            id,
            address,
            inner: Arc::clone(&self.inner),
            outcome,
        }
    }

    /// Closes the links to hosts that are not in `addresses` and have no open
    /// offer.
    pub(super) fn keep(&self, addresses: &BTreeSet<SocketAddr>) {
        lock(&self.inner).retain(|address, peer| {
            let keep = addresses.contains(address) || !peer.open.is_empty();
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
            if let Some(port) = &peer.port {
                let heard = port.heard();
                let silent = peer
                    .open
                    .extract_if(|_, open| {
                        open.is_held() && open.at > heard && open.at.elapsed() > SILENCE_TIMEOUT
                    })
                    .collect::<Vec<_>>();
                for (id, open) in silent {
                    info!(event = "offer-taken-back", request = %open.offer.request, peer = %port.hello.address);
                    port.send(Frame::Cancel { id });
                    open.end_unreachable();
                }
                continue;
            }
            let is_refused = peer.link.is_refused();
            let is_lost = now.saturating_sub(peer.down) > LOST_TIMEOUT;
            let late = peer.open.extract_if(|_, open| match open.sent {
                None => is_refused || now.saturating_sub(open.since) > CONNECT_TIMEOUT,
                Some(_) if open.is_held() => {
                    is_refused || now.saturating_sub(peer.down) > RECONNECT_TIMEOUT
                }
                Some(_) => open.offer.repeatable && is_lost,
            });
            for (_, open) in late.collect::<Vec<_>>() {
                open.end_unreachable();
            }
        }
    }
}

impl Open {
    /// Whether the other host lacks the content, so that the request has not run
    /// there and cannot.
    fn is_held(&self) -> bool {
        self.content.is_some() && !self.fetched
    }

    /// Ends an offer whose host is unreachable: the outcome is unknown if the
    /// request may have run, else it is a rejection.
    fn end_unreachable(self) {
        let outcome = if self.sent.is_some() && !self.is_held() {
            Outcome::Unknown {
                detail: Name::from("the host is unreachable"),
                load: Load::default(),
            }
        } else {
            Outcome::Rejected {
                reason: Reason::Unreachable,
                retry: millis(RESTART_RETRY_AFTER),
                arrived: false,
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

impl Sink for Outbound {
    fn receive(&self, port: &Port, frame: Frame) {
        match frame {
            Frame::Fetch { id } => {
                let mut peers = lock(&self.inner);
                let peer = peers.get_mut(&self.address);
                let open = peer.and_then(|peer| peer.open.get_mut(&id));
                let Some((open, content)) = open.and_then(|open| {
                    let content = open.content.clone()?;
                    Some((open, content))
                }) else {
                    // The offer was cancelled or withdrawn; the request must not
                    // occupy a slot.
                    port.send(Frame::Cancel { id });
                    return;
                };
                open.fetched = true;
                port.send(Frame::Content { id, content });
            }
            Frame::Outcome { id, outcome } => {
                let mut peers = lock(&self.inner);
                let open = peers
                    .get_mut(&self.address)
                    .and_then(|peer| peer.open.remove(&id));
                if let Some(open) = open {
                    // Fails if the caller has disconnected, which is harmless.
                    let _ = open.reply.send(outcome);
                }
            }
            _ => warn!(event = "frame-unexpected", peer = %port.hello.address),
        }
    }

    fn up(&self, port: &Port) {
        let mut peers = lock(&self.inner);
        let Some(peer) = peers.get_mut(&self.address) else {
            return;
        };
        let session = port.hello.session;
        peer.port = Some(port.clone());
        peer.session = Some(session);
        let former = peer
            .open
            .extract_if(|_, open| open.sent.is_some_and(|sent| sent != session));
        for (_, open) in former.collect::<Vec<_>>() {
            info!(event = "peer-restarted", peer = %self.address, request = %open.offer.request);
            open.end_unreachable();
        }
        // Offers sent on the lost connection are sent again with the time that is
        // left; the other host runs each request once.
        let now = self.clock.now();
        for open in peer.open.values_mut() {
            open.sent = Some(session);
            let spent = millis(now.saturating_sub(open.since));
            let mut offer = open.offer.clone();
            offer.deadline = offer.deadline.saturating_sub(spent);
            offer.objective = offer.objective.saturating_sub(spent);
            port.send(Frame::Offer(offer));
        }
    }

    fn down(&self, port: &Port) {
        let mut peers = lock(&self.inner);
        if let Some(peer) = peers.get_mut(&self.address)
            && peer.port.as_ref().is_some_and(|other| other.is(port))
        {
            peer.port = None;
            peer.down = self.clock.now();
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

impl<D: Dialect> Sink for Inbound<D> {
    fn receive(&self, port: &Port, frame: Frame) {
        let offer_id = |id| OfferId {
            host: port.hello.address,
            session: port.hello.session,
            id,
        };
        match frame {
            Frame::Offer(offer) => {
                let reply = Reply::Remote(port.clone());
                self.host.admit::<D>(offer_id(offer.id), offer, reply);
            }
            Frame::Content { id, content } => self.host.deliver(offer_id(id), content),
            Frame::Cancel { id } => self.host.cancel::<D>(offer_id(id)),
            _ => warn!(event = "frame-unexpected", peer = %port.hello.address),
        }
    }

    fn up(&self, _: &Port) {}

    fn down(&self, _: &Port) {}
}
