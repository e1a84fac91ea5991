//! The effects that the step function asks its driver to carry out.

use wisteriaglade_types::{Index, Term};

use crate::{Change, Entry, Message, Reason, Replica, Role, Snapshot};

/// An effect that [`Raft::step`](crate::Raft::step) asks the driver to carry
/// out.
///
/// The driver carries outputs out strictly in order. When a [`Persist`] fails,
/// it discards the outputs after it and passes
/// [`Input::StorageFailed`](crate::Input::StorageFailed) to the replica.
///
/// [`Persist`]: Self::Persist
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Write a change to storage and sync it before carrying out the next
    /// output.
    Persist(Change),
    /// Send a message to another replica. The network may lose it.
    Send {
        /// The replica that receives the message.
        to: Replica,
        /// The content to encode and send.
        message: Message,
    },
    /// Apply committed entries to the state machine. The first one directly
    /// follows the last entry that was applied or restored.
    Apply(Vec<Entry>),
    /// Replace the state machine by the one in a snapshot.
    Restore(Snapshot),
    /// Report that a proposal was committed. The [`Apply`](Self::Apply) with
    /// its entry precedes this output.
    Committed {
        /// The ticket that the driver passed with the proposal.
        ticket: u64,
        /// The index of the proposal's entry.
        index: Index,
    },
    /// Report that this replica no longer tracks a proposal.
    Dropped {
        /// The ticket that the driver passed with the proposal.
        ticket: u64,
        /// The leader of the current term, or `None` when it is unknown.
        leader: Option<Replica>,
        /// Why the proposal was dropped. It also tells whether the proposal
        /// may still be committed.
        reason: Reason,
    },
    /// Report that the role, the term or the known leader has changed.
    Role {
        /// The role of this replica in the current term.
        role: Role,
        /// The term that this replica is in.
        term: Term,
        /// The leader of that term, or `None` when it is unknown.
        leader: Option<Replica>,
    },
}
