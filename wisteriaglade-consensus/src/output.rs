//! What a driver carries out for a replica.

use wisteriaglade_types::{Index, Term};

use crate::{Change, Entry, Message, Reason, Replica, Role, Snapshot};

/// An effect of [`Raft::step`](crate::Raft::step).
///
/// The driver carries outputs out strictly in order. When a [`Persist`] fails,
/// it discards the outputs after it and feeds
/// [`Input::Failed`](crate::Input::Failed).
///
/// [`Persist`]: Self::Persist
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Write and sync a change before anything that follows.
    Persist(Change),
    /// Send a message. It may be lost.
    Send {
        /// The receiver.
        to: Replica,
        /// The message.
        message: Message,
    },
    /// Apply committed entries to the state machine. They follow the last
    /// applied or restored entry without a gap.
    Apply(Vec<Entry>),
    /// Replace the state machine by a snapshot.
    Restore(Snapshot),
    /// A proposal was committed and applied.
    Committed {
        /// The ticket of the proposal.
        ticket: u64,
        /// The index of its entry.
        index: Index,
    },
    /// A proposal was dropped.
    Dropped {
        /// The ticket of the proposal.
        ticket: u64,
        /// The current leader, when it is known.
        leader: Option<Replica>,
        /// Why, and whether the proposal may still be committed.
        reason: Reason,
    },
    /// The role, the term or the known leader has changed.
    Role {
        /// The new role of this replica.
        role: Role,
        /// The current term.
        term: Term,
        /// The leader of the term, when it is known.
        leader: Option<Replica>,
    },
}
