//! The links between control replicas.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::{leader::Leader, replica::Handle};
use crate::{
    frame::{Frame, Hello},
    link::{Link, Port},
    lock,
};

/// The links between this replica and the others.
#[derive(Debug, Clone)]
pub(super) struct Group {
    hello: Hello,
    handle: Handle,
    stop: CancellationToken,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    links: BTreeMap<SocketAddr, Link>,
    /// The connections to each replica, latest last.
    ports: BTreeMap<u64, Vec<Port>>,
}

impl Group {
    pub(super) fn new(hello: Hello, handle: Handle, stop: CancellationToken) -> Self {
        Self {
            hello,
            handle,
            stop,
            inner: Arc::default(),
        }
    }

    /// Starts to send what the consensus sends.
    pub(super) fn attach(&self) {
        let (outbox, mut frames) = mpsc::unbounded_channel::<(u64, Frame)>();
        self.handle.attach(outbox);
        let group = self.clone();
        let stop = self.stop.clone();
        tokio::spawn(async move {
            while let Some(Some((to, frame))) = stop.run_until_cancelled(frames.recv()).await {
                group.send(to, frame);
            }
        });
    }

    /// Sends a frame to a replica. It is lost while there is no connection, as
    /// a network may lose it.
    fn send(&self, to: u64, frame: Frame) {
        let inner = lock(&self.inner);
        if let Some(port) = inner.ports.get(&to).and_then(|ports| ports.last()) {
            port.send(frame);
        }
    }

    /// Keeps links to exactly these replicas.
    pub(super) fn connect(&self, leader: &Leader, addresses: &BTreeSet<SocketAddr>) {
        let mut inner = lock(&self.inner);
        inner.links.retain(|address, link| {
            let keep = addresses.contains(address);
            if !keep {
                link.close();
            }
            keep
        });
        for address in addresses {
            if *address == self.hello.address || inner.links.contains_key(address) {
                continue;
            }
            let stop = self.stop.child_token();
            let link = Link::open(*address, self.hello.clone(), leader.clone(), stop);
            inner.links.insert(*address, link);
        }
    }

    /// Notes a new connection.
    pub(super) fn up(&self, port: &Port) {
        if let Some(replica) = port.hello.replica {
            let mut inner = lock(&self.inner);
            inner.ports.entry(replica).or_default().push(port.clone());
        }
    }

    /// Forgets a connection.
    pub(super) fn down(&self, port: &Port) {
        let mut inner = lock(&self.inner);
        for ports in inner.ports.values_mut() {
            ports.retain(|other| !other.is(port));
        }
        inner.ports.retain(|_, ports| !ports.is_empty());
    }

    /// The number of this replica.
    pub(super) fn id(&self) -> u64 {
        self.hello.replica.unwrap_or_default()
    }

    /// Whether there is a connection to a replica.
    pub(super) fn reaches(&self, replica: u64) -> bool {
        lock(&self.inner).ports.contains_key(&replica)
    }

    /// Asks every connected replica for a place in the group.
    pub(super) fn ask(&self, control: SocketAddr) {
        let Some(replica) = self.hello.replica else {
            return;
        };
        for ports in lock(&self.inner).ports.values() {
            if let Some(port) = ports.last() {
                port.send(Frame::Join { replica, control });
            }
        }
    }
}
