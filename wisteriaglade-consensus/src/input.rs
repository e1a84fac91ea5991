//! What a driver feeds into a replica.

use std::sync::Arc;

use wisteriaglade_types::Index;

use crate::{Message, Replica};

/// An event for [`Raft::step`](crate::Raft::step).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Time has passed. The driver sends it about every 10 ms.
    Tick,
    /// A message arrived from another replica.
    Message {
        /// The sender, as authenticated by the connection.
        from: Replica,
        /// The message.
        message: Message,
    },
    /// A command to append.
    Propose {
        /// Returned with the outcome.
        ticket: u64,
        /// The command.
        data: Arc<[u8]>,
    },
    /// A snapshot of the state machine, which allows earlier entries to be
    /// removed. Ignored when it is older than the current snapshot or beyond
    /// the commit index.
    Compact {
        /// The last entry that the snapshot contains.
        index: Index,
        /// The encoded state machine.
        data: Arc<[u8]>,
    },
    /// A new group, which may add one replica and remove one replica. The
    /// current group again is acknowledged with the commit index, so that a
    /// change whose outcome is unknown can be repeated.
    Members {
        /// Returned with the outcome.
        ticket: u64,
        /// The complete new group.
        members: Vec<Replica>,
    },
    /// A write or sync has failed. The replica takes no further part.
    Failed,
}
