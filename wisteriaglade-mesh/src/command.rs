//! Entries of the control log.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wisteriaglade_types::Name;

use crate::{Owner, Plan, Span};

/// An entry of the control log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Puts a plan in force.
    Configure {
        /// The version that the operator built on.
        base: u64,
        /// The plan.
        plan: Plan,
        /// The operator's text, which is read back as it was sent.
        text: Bytes,
    },
    /// Makes the addresses of a control replica known.
    Register {
        /// The replica.
        replica: u64,
        /// Where the other processes reach it.
        link: SocketAddr,
        /// Where operators reach it.
        control: SocketAddr,
    },
    /// Gives unowned keys to owners.
    Grant {
        /// The pool.
        pool: Name,
        /// The keys and their new owners.
        grants: Vec<(Span, Owner)>,
    },
    /// Asks the holders of keys to pass them on.
    Shift {
        /// The pool.
        pool: Name,
        /// The keys and who takes them.
        moves: Vec<(Span, Owner)>,
    },
    /// Records what a target has released.
    Free {
        /// The pool.
        pool: Name,
        /// The target.
        owner: Owner,
        /// The keys, the fencing token with which they were held, and what
        /// the next holder gets.
        rows: Vec<(Span, u64, Name)>,
    },
    /// Takes all keys from a target that holds nothing any more.
    Forget {
        /// The target.
        owner: Owner,
    },
}

/// What a command has led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// It is in force, or was accepted before.
    Done,
    /// Another version is in force.
    Conflict {
        /// That version.
        current: u64,
    },
    /// The version does not rise.
    Old {
        /// The version in force.
        current: u64,
    },
}
