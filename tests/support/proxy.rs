//! Relays that inject network faults between hosts, and between a node and its
//! target.
//!
//! Hosts reach each other through relays only. A process sends from the IP
//! address that it listens on, so a relay knows both ends of each connection
//! and datagram. A [`Rule`] applies to one direction between two ends.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use rand::{RngExt as _, SeedableRng, rngs::StdRng};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream, UdpSocket,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// One end of a connection: a host by its index, or that host's target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum End {
    Host(usize),
    Target(usize),
}

/// The faults that are injected in one direction.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rule {
    /// The delay of every datagram and every read of a stream.
    pub delay: Duration,
    /// The upper bound of a random delay that is added per connection and
    /// datagram, so that they are reordered.
    pub jitter: Duration,
    /// The fraction of datagrams that are dropped, from 0 to 1.
    pub loss: f64,
    /// Bytes and datagrams are accepted and discarded.
    pub silent: bool,
    /// Existing and new connections are reset, and datagrams are dropped.
    pub cut: bool,
}

/// The state of a relayed connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Open,
    /// Both ends are reset.
    Reset,
    /// Both ends stay open, and bytes are discarded.
    Silent,
    /// The opening end is reset, the accepting end stays open.
    Half,
}

/// The opening end, the accepting end and the state of a connection.
type Connection = (End, End, watch::Sender<Fate>);

/// All relays of one test and the faults that they inject.
#[derive(Debug)]
pub struct Net {
    rules: Mutex<HashMap<(End, End), Rule>>,
    connections: Mutex<HashMap<u64, Connection>>,
    next: AtomicU64,
    random: Mutex<StdRng>,
}

impl Net {
    pub fn new(seed: u64) -> Arc<Self> {
        Arc::new(Self {
            rules: Mutex::default(),
            connections: Mutex::default(),
            next: AtomicU64::new(0),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
        })
    }

    /// Sets the rule of one direction. `cut` also resets existing connections.
    pub fn set(&self, from: End, to: End, rule: Rule) {
        self.rules.lock().unwrap().insert((from, to), rule);
        if rule.cut {
            self.fate(from, to, Fate::Reset);
            self.fate(to, from, Fate::Reset);
        }
    }

    /// Sets the rule of both directions between two groups of hosts.
    pub fn between(&self, ones: &[usize], others: &[usize], rule: Rule) {
        for (&one, &other) in ones.iter().flat_map(|a| others.iter().map(move |b| (a, b))) {
            self.set(End::Host(one), End::Host(other), rule);
            self.set(End::Host(other), End::Host(one), rule);
        }
    }

    /// Makes the existing connections between two ends silent, whichever end
    /// opened them. New connections work.
    pub fn lose(&self, one: End, other: End) {
        self.fate(one, other, Fate::Silent);
        self.fate(other, one, Fate::Silent);
    }

    /// Resets the opening end of the existing connections from `from` to `to`;
    /// the accepting end stays open.
    pub fn half_open(&self, from: End, to: End) {
        self.fate(from, to, Fate::Half);
    }

    fn fate(&self, from: End, to: End, fate: Fate) {
        for (one, other, sender) in self.connections.lock().unwrap().values() {
            if (*one, *other) == (from, to) {
                sender.send_replace(fate);
            }
        }
    }

    fn rule(&self, from: End, to: End) -> Rule {
        let rules = self.rules.lock().unwrap();
        rules.get(&(from, to)).copied().unwrap_or_default()
    }

    fn jitter(&self, rule: Rule) -> Duration {
        let share: f64 = self.random.lock().unwrap().random();
        rule.delay + rule.jitter.mul_f64(share)
    }

    /// Relays the TCP connections of `listener` to `forward`. `source` maps the
    /// peer's IP address to the end that opened the connection.
    pub fn tcp(
        self: &Arc<Self>,
        listener: TcpListener,
        forward: SocketAddr,
        to: End,
        source: impl Fn(IpAddr) -> End + Send + 'static,
    ) {
        let net = Arc::clone(self);
        tokio::spawn(async move {
            while let Ok((stream, address)) = listener.accept().await {
                let net = Arc::clone(&net);
                let from = source(address.ip());
                tokio::spawn(async move { net.connection(stream, forward, from, to).await });
            }
        });
    }

    async fn connection(&self, near: TcpStream, forward: SocketAddr, from: End, to: End) {
        if self.rule(from, to).cut || self.rule(to, from).cut {
            let _ = near.set_zero_linger();
            return;
        }
        let Ok(far) = TcpStream::connect(forward).await else {
            let _ = near.set_zero_linger();
            return;
        };
        let (_, _) = (near.set_nodelay(true), far.set_nodelay(true));
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let fate = watch::Sender::new(Fate::Open);
        let changes = fate.subscribe();
        let entry = (from, to, fate);
        self.connections.lock().unwrap().insert(id, entry);
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::join!(
            self.pump(near_read, far_write, (from, to), true, changes.clone()),
            self.pump(far_read, near_write, (to, from), false, changes),
        );
        self.connections.lock().unwrap().remove(&id);
    }

    /// Copies bytes in one direction until the end of the stream or a reset.
    async fn pump(
        &self,
        mut read: OwnedReadHalf,
        mut write: OwnedWriteHalf,
        (from, to): (End, End),
        opening: bool,
        mut fate: watch::Receiver<Fate>,
    ) {
        let extra = self.jitter(Rule {
            delay: Duration::ZERO,
            ..self.rule(from, to)
        });
        let mut buffer = vec![0; 16 * 1024];
        // Once bytes are discarded, the rest of the stream must be too.
        let mut swallowed = false;
        loop {
            let now = *fate.borrow_and_update();
            match now {
                Fate::Reset => {
                    let _ = read.as_ref().set_zero_linger();
                    let _ = write.as_ref().set_zero_linger();
                    return;
                }
                Fate::Half if opening => {
                    let _ = read.as_ref().set_zero_linger();
                    drop(read);
                    // Keeps the accepting end open.
                    write.forget_until_closed(&mut fate).await;
                    return;
                }
                _ => {}
            }
            let count = tokio::select! {
                _ = fate.changed() => continue,
                count = read.read(&mut buffer) => count.unwrap_or(0),
            };
            let rule = self.rule(from, to);
            swallowed |= rule.silent || now != Fate::Open;
            if count == 0 {
                if swallowed {
                    // The end of the stream is not forwarded either.
                    write.forget_until_closed(&mut fate).await;
                } else {
                    let _ = write.shutdown().await;
                }
                return;
            }
            if swallowed {
                continue;
            }
            let wait = rule.delay + extra;
            if !wait.is_zero() {
                tokio::time::sleep(wait).await;
            }
            if write.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }

    /// Relays datagrams to `forward`, and replies back to their senders.
    pub fn udp(
        self: &Arc<Self>,
        socket: UdpSocket,
        forward: SocketAddr,
        to: End,
        source: impl Fn(IpAddr) -> End + Send + 'static,
    ) {
        let net = Arc::clone(self);
        let socket = Arc::new(socket);
        tokio::spawn(async move {
            let mut returns: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
            let mut buffer = vec![0; 64 * 1024];
            loop {
                let Ok((count, address)) = socket.recv_from(&mut buffer).await else {
                    continue;
                };
                let from = source(address.ip());
                let out = if let Some(out) = returns.get(&address) {
                    Arc::clone(out)
                } else {
                    let ip = socket.local_addr().unwrap().ip();
                    let out = Arc::new(UdpSocket::bind((ip, 0)).await.unwrap());
                    returns.insert(address, Arc::clone(&out));
                    net.answers(Arc::clone(&out), Arc::clone(&socket), address, (to, from));
                    out
                };
                net.datagram(out, buffer[..count].to_vec(), forward, (from, to));
            }
        });
    }

    /// Relays the datagrams that arrive on `back` to `address`.
    fn answers(
        self: &Arc<Self>,
        back: Arc<UdpSocket>,
        socket: Arc<UdpSocket>,
        address: SocketAddr,
        ends: (End, End),
    ) {
        let net = Arc::clone(self);
        tokio::spawn(async move {
            let mut buffer = vec![0; 64 * 1024];
            loop {
                if let Ok((count, _)) = back.recv_from(&mut buffer).await {
                    let bytes = buffer[..count].to_vec();
                    net.datagram(Arc::clone(&socket), bytes, address, ends);
                }
            }
        });
    }

    /// Forwards one datagram to `address`, subject to the rule of its direction.
    fn datagram(
        self: &Arc<Self>,
        socket: Arc<UdpSocket>,
        bytes: Vec<u8>,
        address: SocketAddr,
        (from, to): (End, End),
    ) {
        let rule = self.rule(from, to);
        let lost = self.random.lock().unwrap().random::<f64>() < rule.loss;
        if lost || rule.cut || rule.silent {
            return;
        }
        let wait = self.jitter(rule);
        tokio::spawn(async move {
            if !wait.is_zero() {
                tokio::time::sleep(wait).await;
            }
            let _ = socket.send_to(&bytes, address).await;
        });
    }
}

/// Keeps the write half of a connection open without writing.
trait Hold {
    async fn forget_until_closed(self, fate: &mut watch::Receiver<Fate>);
}

impl Hold for OwnedWriteHalf {
    async fn forget_until_closed(self, fate: &mut watch::Receiver<Fate>) {
        let reset = fate.wait_for(|fate| *fate == Fate::Reset);
        let _ = tokio::time::timeout(Duration::from_mins(1), reset).await;
    }
}
