//! Relays that inject network faults between hosts, and between a node and its
//! target.
//!
//! Where a test uses relays, hosts reach each other only through them. A
//! process sends from the IP address that it listens on, so a relay knows both
//! ends of each connection and datagram. An [`Impairment`] applies to one
//! direction between two ends.

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
pub enum Endpoint {
    Host(usize),
    Target(usize),
}

/// The faults that are injected in one direction.
#[derive(Debug, Clone, Copy, Default)]
pub struct Impairment {
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
enum ConnectionState {
    Open,
    /// Both ends are reset.
    Reset,
    /// Both ends stay open, and bytes are discarded.
    Silent,
    /// The opening end is reset, the accepting end stays open.
    HalfOpen,
}

/// The opening end, the accepting end and the state of a connection.
type Connection = (Endpoint, Endpoint, watch::Sender<ConnectionState>);

/// All relays of one test and the faults that they inject.
#[derive(Debug)]
pub struct Network {
    impairments: Mutex<HashMap<(Endpoint, Endpoint), Impairment>>,
    connections: Mutex<HashMap<u64, Connection>>,
    next: AtomicU64,
    random: Mutex<StdRng>,
}

impl Network {
    pub fn new(seed: u64) -> Arc<Self> {
        Arc::new(Self {
            impairments: Mutex::default(),
            connections: Mutex::default(),
            next: AtomicU64::new(0),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
        })
    }

    /// Sets the impairment of one direction. `cut` also resets existing
    /// connections.
    pub fn set(&self, from: Endpoint, to: Endpoint, impairment: Impairment) {
        self.impairments
            .lock()
            .unwrap()
            .insert((from, to), impairment);
        if impairment.cut {
            self.set_state(from, to, ConnectionState::Reset);
            self.set_state(to, from, ConnectionState::Reset);
        }
    }

    /// Sets the impairment of both directions between two groups of hosts.
    pub fn between(&self, ones: &[usize], others: &[usize], impairment: Impairment) {
        for (&one, &other) in ones.iter().flat_map(|a| others.iter().map(move |b| (a, b))) {
            self.set(Endpoint::Host(one), Endpoint::Host(other), impairment);
            self.set(Endpoint::Host(other), Endpoint::Host(one), impairment);
        }
    }

    /// Makes the existing connections between two ends silent, whichever end
    /// opened them. New connections work.
    pub fn silence(&self, one: Endpoint, other: Endpoint) {
        self.set_state(one, other, ConnectionState::Silent);
        self.set_state(other, one, ConnectionState::Silent);
    }

    /// Resets the opening end of the existing connections from `from` to `to`;
    /// the accepting end stays open.
    pub fn half_open(&self, from: Endpoint, to: Endpoint) {
        self.set_state(from, to, ConnectionState::HalfOpen);
    }

    fn set_state(&self, from: Endpoint, to: Endpoint, state: ConnectionState) {
        for (one, other, sender) in self.connections.lock().unwrap().values() {
            if (*one, *other) == (from, to) {
                sender.send_replace(state);
            }
        }
    }

    fn impairment(&self, from: Endpoint, to: Endpoint) -> Impairment {
        let impairments = self.impairments.lock().unwrap();
        impairments.get(&(from, to)).copied().unwrap_or_default()
    }

    fn sample_delay(&self, impairment: Impairment) -> Duration {
        let share: f64 = self.random.lock().unwrap().random();
        impairment.delay + impairment.jitter.mul_f64(share)
    }

    /// Relays the TCP connections of `listener` to `forward`. `source` maps the
    /// peer's IP address to the end that opened the connection.
    pub fn relay_tcp(
        self: &Arc<Self>,
        listener: TcpListener,
        forward: SocketAddr,
        to: Endpoint,
        source: impl Fn(IpAddr) -> Endpoint + Send + 'static,
    ) {
        let net = Arc::clone(self);
        tokio::spawn(async move {
            while let Ok((stream, address)) = listener.accept().await {
                let net = Arc::clone(&net);
                let from = source(address.ip());
                tokio::spawn(async move { net.relay_connection(stream, forward, from, to).await });
            }
        });
    }

    async fn relay_connection(
        &self,
        near: TcpStream,
        forward: SocketAddr,
        from: Endpoint,
        to: Endpoint,
    ) {
        if self.impairment(from, to).cut || self.impairment(to, from).cut {
            let _ = near.set_zero_linger();
            return;
        }
        let Ok(far) = TcpStream::connect(forward).await else {
            let _ = near.set_zero_linger();
            return;
        };
        let (_, _) = (near.set_nodelay(true), far.set_nodelay(true));
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let state = watch::Sender::new(ConnectionState::Open);
        let changes = state.subscribe();
        let entry = (from, to, state);
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
        (from, to): (Endpoint, Endpoint),
        is_opener: bool,
        mut state: watch::Receiver<ConnectionState>,
    ) {
        let extra = self.sample_delay(Impairment {
            delay: Duration::ZERO,
            ..self.impairment(from, to)
        });
        let mut buffer = vec![0; 16 * 1024];
        // Once bytes are discarded, the rest of the stream must be too.
        let mut discarding = false;
        loop {
            let now = *state.borrow_and_update();
            match now {
                ConnectionState::Reset => {
                    let _ = read.as_ref().set_zero_linger();
                    let _ = write.as_ref().set_zero_linger();
                    return;
                }
                ConnectionState::HalfOpen if is_opener => {
                    let _ = read.as_ref().set_zero_linger();
                    drop(read);
                    // Keeps the accepting end open.
                    write.keep_open_until_reset(&mut state).await;
                    return;
                }
                _ => {}
            }
            let count = tokio::select! {
                _ = state.changed() => continue,
                count = read.read(&mut buffer) => count.unwrap_or(0),
            };
            let impairment = self.impairment(from, to);
            discarding |= impairment.silent || now != ConnectionState::Open;
            if count == 0 {
                if discarding {
                    // The end of the stream is not forwarded either.
                    write.keep_open_until_reset(&mut state).await;
                } else {
                    let _ = write.shutdown().await;
                }
                return;
            }
            if discarding {
                continue;
            }
            let wait = impairment.delay + extra;
            if !wait.is_zero() {
                tokio::time::sleep(wait).await;
            }
            if write.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }

    /// Relays datagrams to `forward`, and replies back to their senders.
    pub fn relay_udp(
        self: &Arc<Self>,
        socket: UdpSocket,
        forward: SocketAddr,
        to: Endpoint,
        source: impl Fn(IpAddr) -> Endpoint + Send + 'static,
    ) {
        let net = Arc::clone(self);
        let socket = Arc::new(socket);
        tokio::spawn(async move {
            let mut reply_sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
            let mut buffer = vec![0; 64 * 1024];
            loop {
                let Ok((count, address)) = socket.recv_from(&mut buffer).await else {
                    continue;
                };
                let from = source(address.ip());
                let out = if let Some(out) = reply_sockets.get(&address) {
                    Arc::clone(out)
                } else {
                    let ip = socket.local_addr().unwrap().ip();
                    let out = Arc::new(UdpSocket::bind((ip, 0)).await.unwrap());
                    reply_sockets.insert(address, Arc::clone(&out));
                    net.relay_replies(Arc::clone(&out), Arc::clone(&socket), address, (to, from));
                    out
                };
                net.forward_datagram(out, buffer[..count].to_vec(), forward, (from, to));
            }
        });
    }

    /// Relays the datagrams that arrive on `back` to `address`.
    fn relay_replies(
        self: &Arc<Self>,
        back: Arc<UdpSocket>,
        socket: Arc<UdpSocket>,
        address: SocketAddr,
        ends: (Endpoint, Endpoint),
    ) {
        let net = Arc::clone(self);
        tokio::spawn(async move {
            let mut buffer = vec![0; 64 * 1024];
            loop {
                if let Ok((count, _)) = back.recv_from(&mut buffer).await {
                    let bytes = buffer[..count].to_vec();
                    net.forward_datagram(Arc::clone(&socket), bytes, address, ends);
                }
            }
        });
    }

    /// Forwards one datagram to `address`, subject to the impairment of its
    /// direction.
    fn forward_datagram(
        self: &Arc<Self>,
        socket: Arc<UdpSocket>,
        bytes: Vec<u8>,
        address: SocketAddr,
        (from, to): (Endpoint, Endpoint),
    ) {
        let impairment = self.impairment(from, to);
        let lost = self.random.lock().unwrap().random::<f64>() < impairment.loss;
        if lost || impairment.cut || impairment.silent {
            return;
        }
        let wait = self.sample_delay(impairment);
        tokio::spawn(async move {
            if !wait.is_zero() {
                tokio::time::sleep(wait).await;
            }
            let _ = socket.send_to(&bytes, address).await;
        });
    }
}

/// Keeps the write half of a connection open without writing.
trait KeepOpen {
    async fn keep_open_until_reset(self, state: &mut watch::Receiver<ConnectionState>);
}

impl KeepOpen for OwnedWriteHalf {
    async fn keep_open_until_reset(self, state: &mut watch::Receiver<ConnectionState>) {
        let reset = state.wait_for(|state| *state == ConnectionState::Reset);
        let _ = tokio::time::timeout(Duration::from_mins(1), reset).await;
    }
}
