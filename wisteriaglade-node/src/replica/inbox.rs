//! What the other tasks of the process ask of the replica.

use std::sync::{Arc, RwLock, mpsc};

use tokio::sync::{oneshot, watch};
use wisteriaglade_consensus as consensus;
use wisteriaglade_control::{Command, planner};
use wisteriaglade_types::Index;

use super::{Acknowledged, board::Board};
use crate::message::Proposed;

/// An input of the replica's thread.
#[derive(Debug)]
pub(crate) enum Input {
    /// A consensus message of another replica.
    Message {
        from: consensus::Replica,
        message: consensus::Message,
    },
    /// A change to commit.
    Propose {
        command: Box<Command>,
        reply: oneshot::Sender<Proposed>,
    },
    /// An observation for the planner.
    Observe(planner::Event),
    /// Asks for committed entries from an index on.
    Read {
        from: Index,
        reply: oneshot::Sender<Option<Vec<consensus::Entry>>>,
    },
    /// Ends the thread.
    Stop,
}

/// Access to the replica of this process.
#[derive(Debug, Clone)]
pub(crate) struct Handle {
    pub(crate) id: u64,
    pub(crate) inbox: mpsc::Sender<Input>,
    pub(crate) board: Arc<RwLock<Board>>,
    pub(crate) acknowledged: Arc<Acknowledged>,
    pub(crate) commit: watch::Receiver<Index>,
}

impl Handle {
    /// Proposes a command and waits for its outcome.
    pub(crate) async fn propose(&self, command: Command) -> Proposed {
        let (reply, outcome) = oneshot::channel();
        let command = Box::new(command);
        if self.inbox.send(Input::Propose { command, reply }).is_err() {
            return Proposed::NotLeader(None);
        }
        outcome.await.unwrap_or(Proposed::Unknown)
    }

    /// Committed entries from an index on, or `None` when they are compacted.
    pub(crate) async fn read(&self, from: Index) -> Option<Vec<consensus::Entry>> {
        let (reply, entries) = oneshot::channel();
        self.inbox.send(Input::Read { from, reply }).ok()?;
        entries.await.ok()?
    }

    /// Passes an observation to the planner.
    pub(crate) fn observe(&self, event: planner::Event) {
        let _ = self.inbox.send(Input::Observe(event));
    }
}
