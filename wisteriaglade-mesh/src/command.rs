//! Entries of the control log.
//!
//! Control replicas propose [`Command`]s, and [`State::apply`] turns committed
//! ones into [`Reply`]s.
//!
//! [`State::apply`]: crate::State::apply

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wisteriaglade_types::Name;

use crate::{Owner, Plan, Span};

/// An entry of the control log.
///
/// It is stored in the log and sent between replicas by position: the order and
/// types of variants and fields must not change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the plan in force.
    Configure {
        /// The version that the operator's plan builds on.
        base: u64,
        /// The decoded plan.
        plan: Plan,
        /// The plan as the operator sent it. Operators read these bytes back.
        text: Bytes,
    },
    /// Records the addresses of a control replica.
    Register {
        /// The id of the replica.
        replica: u64,
        /// The address for hosts and other control replicas.
        peer_address: SocketAddr,
        /// The address for operators.
        admin_address: SocketAddr,
    },
    /// Grants unowned keys to targets. The index of the entry becomes the
    /// fencing token.
    Grant {
        /// The pool of the keys.
        pool: Name,
        /// The keys and their new owners.
        grants: Vec<(Span, Owner)>,
    },
    /// Asks the holders of keys to release them to other targets.
    Move {
        /// The pool of the keys.
        pool: Name,
        /// The keys and their next owners.
        moves: Vec<(Span, Owner)>,
    },
    /// Records the keys that a target has released.
    Release {
        /// The pool of the keys.
        pool: Name,
        /// The target that held them.
        owner: Owner,
        /// The keys, the fencing token under which they were held, and the
        /// handover text for the next holder.
        released: Vec<(Span, u64, Name)>,
    },
    /// Removes a target from all key ranges, because it has ended or all its
    /// holds have expired.
    Revoke {
        /// The target that is removed.
        owner: Owner,
    },
}

/// The result of applying a [`Command`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// The command was applied, or its plan was already accepted before.
    Done,
    /// The plan is rejected: it builds on another version than the one in
    /// force.
    Conflict {
        /// The version in force.
        current: u64,
    },
    /// The plan is rejected: its version is not above the one in force.
    StaleVersion {
        /// The version in force.
        current: u64,
    },
}
