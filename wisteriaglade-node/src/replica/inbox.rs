//! The interface between the replica's thread and the other tasks of the
//! process.

use std::sync::{Arc, Mutex, RwLock, mpsc};

use bytes::Bytes;
use tokio::sync::{oneshot, watch};
use wisteriaglade_consensus as consensus;
use wisteriaglade_control::{Command, planner};
use wisteriaglade_types::Index;

use super::{Acknowledgements, status::Status};
use crate::{lock, message::Proposed, read};

/// The number of entries by which a cached snapshot may be behind. A
/// subscriber gets these entries one by one, and the replica keeps ten times
/// as many in memory.
const MAX_SNAPSHOT_LAG: u64 = 1_000;

/// An input of the replica's thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A consensus message from another replica.
    Message {
        from: consensus::Replica,
        message: consensus::Message,
    },
    /// Proposes a command. `reply` receives the outcome.
    Propose {
        command: Box<Command>,
        reply: oneshot::Sender<Proposed>,
    },
    /// An observation for the planner, which ignores it unless this replica
    /// leads.
    Observe(planner::Event),
    /// Reads committed entries from an index on. `reply` receives `None` when
    /// they are compacted.
    Read {
        from: Index,
        reply: oneshot::Sender<Option<Vec<consensus::Entry>>>,
    },
    /// Ends the thread.
    Stop,
}

/// Access to the replica's thread from the other tasks of the process.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    /// The id of the replica.
    pub(crate) id: u64,
    pub(crate) inbox: mpsc::Sender<Input>,
    pub(crate) status: Arc<RwLock<Status>>,
    pub(crate) acknowledgements: Arc<Acknowledgements>,
    /// The latest encoded snapshot for subscribers, with the index of its last
    /// entry.
    pub(crate) cached_snapshot: Arc<Mutex<Option<(Index, Bytes)>>>,
    /// The commit index, which wakes the tasks that serve subscribers.
    pub(crate) commit: watch::Receiver<Index>,
}

impl Handle {
    /// Proposes a command and waits for the outcome.
    pub(crate) async fn propose(&self, command: Command) -> Proposed {
        let (reply, outcome) = oneshot::channel();
        let command = Box::new(command);
        if self.inbox.send(Input::Propose { command, reply }).is_err() {
            return Proposed::NotLeader(None);
        }
        outcome.await.unwrap_or(Proposed::Unknown)
    }

    /// Returns committed entries from an index on, or `None` when they are
    /// compacted or the thread has ended.
    pub(crate) async fn read(&self, from: Index) -> Option<Vec<consensus::Entry>> {
        let (reply, entries) = oneshot::channel();
        self.inbox.send(Input::Read { from, reply }).ok()?;
        entries.await.ok()?
    }

    /// Returns an encoded snapshot of the control state and the index of its
    /// last entry.
    ///
    /// Subscribers that arrive together share one snapshot, because encoding
    /// takes 30 ms at full size and holds the lock on the state meanwhile.
    pub(crate) fn snapshot(&self) -> (Index, Bytes) {
        let mut cached = lock(&self.cached_snapshot);
        let status = read(&self.status);
        if let Some((index, bytes)) = &*cached
            && status.applied.get() - index.get() < MAX_SNAPSHOT_LAG
        {
            return (*index, bytes.clone());
        }
        let bytes = Bytes::from(status.state.encode());
        *cached = Some((status.applied, bytes.clone()));
        (status.applied, bytes)
    }

    /// Passes an observation to the planner.
    pub(crate) fn observe(&self, event: planner::Event) {
        let _ = self.inbox.send(Input::Observe(event));
    }
}
