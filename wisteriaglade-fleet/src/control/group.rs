//! The links between this control replica and the others.

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
    link::{Connection, Link},
    lock,
};

/// The links between this replica and the others, and the connections on them.
#[derive(Debug, Clone)]
pub(super) struct Group {
    hello: Hello,
    handle: Handle,
    stop: CancellationToken,
    inner: Arc<Mutex<Inner>>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The links that this replica has opened, by address.
    links: BTreeMap<SocketAddr, Link>,
    /// The connections to each replica, in the order in which they were
    /// established. Two replicas may both have opened a link to the other.
    connections: BTreeMap<u64, Vec<Connection>>,
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

    /// Spawns the task that sends the frames of the consensus thread.
    pub(super) fn start_sender(&self) {
        let (outbox, mut frames) = mpsc::unbounded_channel::<(u64, Frame)>();
        self.handle.set_outbox(outbox);
        let group = self.clone();
        let stop = self.stop.clone();
        tokio::spawn(async move {
            while let Some(Some((to, frame))) = stop.run_until_cancelled(frames.recv()).await {
                group.send(to, frame);
            }
        });
    }

    /// Sends a frame on the latest connection to a replica. Without a connection
    /// the frame is dropped; the consensus tolerates lost messages.
    fn send(&self, to: u64, frame: Frame) {
        let inner = lock(&self.inner);
        if let Some(connection) = inner
            .connections
            .get(&to)
            .and_then(|connections| connections.last())
        {
            connection.send(frame);
        }
    }

    /// Opens and closes links so that there is one to each of these addresses,
    /// except the replica's own. Frames are passed to `leader`.
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

    /// Adds a new connection, if the other side is a replica.
    pub(super) fn connected(&self, connection: &Connection) {
        if let Some(replica) = connection.hello.replica {
            let mut inner = lock(&self.inner);
            inner
                .connections
                .entry(replica)
                .or_default()
                .push(connection.clone());
        }
    }

    /// Removes a connection that has ended.
    pub(super) fn disconnected(&self, connection: &Connection) {
        let mut inner = lock(&self.inner);
        for connections in inner.connections.values_mut() {
            connections.retain(|other| !other.is_same(connection));
        }
        inner
            .connections
            .retain(|_, connections| !connections.is_empty());
    }

    /// The number of this replica.
    pub(super) fn id(&self) -> u64 {
        self.hello.replica.unwrap_or_default()
    }

    /// Whether there is a connection to a replica.
    pub(super) fn is_connected(&self, replica: u64) -> bool {
        lock(&self.inner).connections.contains_key(&replica)
    }

    /// Sends a [`Frame::Join`] to every connected replica, as the leader may not be
    /// known. `control` is the address on which this replica takes calls of
    /// operators.
    pub(super) fn request_join(&self, control: SocketAddr) {
        let Some(replica) = self.hello.replica else {
            return;
        };
        for connections in lock(&self.inner).connections.values() {
            if let Some(connection) = connections.last() {
                connection.send(Frame::Join { replica, control });
            }
        }
    }
}
