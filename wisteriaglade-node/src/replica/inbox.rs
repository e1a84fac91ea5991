//! What the other tasks of the process ask of the replica.

use std::sync::{Arc, Mutex, RwLock, mpsc};

use bytes::Bytes;
use tokio::sync::{oneshot, watch};
use wisteriaglade_consensus as consensus;
use wisteriaglade_control::{Command, planner};
use wisteriaglade_types::Index;

use super::{Acknowledged, board::Board};
use crate::{lock, message::Proposed, read};

/// Entries after a snapshot that a subscriber gets one by one. The replica keeps
/// ten times as many in memory.
const REUSED: u64 = 1_000;

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
    /// The last snapshot for subscribers, with the index that it contains.
    pub(crate) encoded: Arc<Mutex<Option<(Index, Bytes)>>>,
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

    /// A snapshot of the control state for a subscriber.
    ///
    /// Subscribers that come together share one: encoding takes 30 ms at full
    /// size, and the state is locked meanwhile.
    pub(crate) fn snapshot(&self) -> (Index, Bytes) {
        let mut encoded = lock(&self.encoded);
        let board = read(&self.board);
        if let Some((index, bytes)) = &*encoded
            && board.applied.get() - index.get() < REUSED
        {
            return (*index, bytes.clone());
        }
        let bytes = Bytes::from(board.state.encode());
        *encoded = Some((board.applied, bytes.clone()));
        (board.applied, bytes)
    }

    /// Passes an observation to the planner.
    pub(crate) fn observe(&self, event: planner::Event) {
        let _ = self.inbox.send(Input::Observe(event));
    }
}
