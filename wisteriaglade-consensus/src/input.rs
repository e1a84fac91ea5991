//! The events that a driver passes to the step function.

use std::sync::Arc;

use wisteriaglade_types::Index;

use crate::{Message, Replica};

/// An event for [`Raft::step`](crate::Raft::step).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// Time has passed. The driver passes a tick about every 10 ms.
    Tick,
    /// A message arrived from another replica.
    Message {
        /// The sender, as authenticated by the connection.
        from: Replica,
        /// The decoded message.
        message: Message,
    },
    /// A command for the state machine, which the leader appends to the log.
    Propose {
        /// Chosen by the driver and returned with the outcome.
        ticket: u64,
        /// The encoded command.
        data: Arc<[u8]>,
    },
    /// A snapshot of this replica's state machine, after which earlier entries
    /// can be removed. It is ignored unless it is newer than the current
    /// snapshot and covers committed entries only.
    Compact {
        /// The last entry applied to the state machine in the snapshot.
        index: Index,
        /// The encoded state machine.
        data: Arc<[u8]>,
    },
    /// A change of the group, which may add at most one replica and remove at
    /// most one. A change to the current group is acknowledged with the commit
    /// index, so that a change whose outcome is unknown can be repeated.
    ChangeMembers {
        /// Chosen by the driver and returned with the outcome.
        ticket: u64,
        /// All members of the new group.
        members: Vec<Replica>,
    },
    /// A write or sync has failed. The replica becomes a passive follower and
    /// ignores further messages, ticks and snapshots.
    StorageFailed,
}
