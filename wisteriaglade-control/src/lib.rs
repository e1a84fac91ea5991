//! The control state machine and the planner that proposes its changes.
//!
//! [`State`] is replicated: every replica of the control log and every node
//! applies the same [`Command`]s in the same order and gets equal copies. It
//! records the nodes, their targets, the owner and the epoch of each shard, the
//! holders of the records of each shard, and the rules.
//!
//! The package has no I/O, no clock and no source of randomness.
//!
//! # Safety of ownership
//!
//! An epoch is the index of the entry that granted the shard, and only grows.
//! A shard gets a new owner in two ways only: by [`Command::Release`] of the
//! present owner, or by [`Command::Assign`] when it has no owner or a fenced
//! one. [`State::apply`] enforces this for any sequence of commands. It has no
//! clock, so the wait between the fence of an owner and the assignment of its
//! shards is the duty of [`planner::Planner`].
//!
//! # Usage
//!
//! ```
//! use std::time::Duration;
//! use wisteriaglade_control::{Command, Config, Move, Reply, State, Target};
//! use wisteriaglade_types::{Epoch, Hash, Index, Node, Shard};
//!
//! let address = "127.0.0.1:7000".parse().unwrap();
//! let mut state = State::new(Config { shards: 1, holders: 3 });
//! state.apply(Index::new(1), &Command::Join {
//!     ticket: 9,
//!     host: "lantern-1".into(),
//!     data_centre: "Bangor".into(),
//!     caller: address,
//!     peer: address,
//!     admin: address,
//! });
//! let node = Node::new(1);
//! state.apply(Index::new(2), &Command::Announce {
//!     node,
//!     pool: "catalogue".into(),
//!     target: Target {
//!         address,
//!         slots: 12,
//!         connections: 110,
//!         fencing: true,
//!         cold_start: Duration::ZERO,
//!     },
//! });
//! state.apply(Index::new(3), &Command::Assign {
//!     pool: "catalogue".into(),
//!     moves: vec![Move {
//!         shard: Shard::new(0),
//!         epoch: Epoch::new(0),
//!         to: node,
//!         holders: vec![node],
//!     }],
//! });
//! let grant = state.locate("catalogue", Hash::of("design-17")).unwrap();
//! assert_eq!((grant.owner, grant.epoch), (Some(node), Epoch::new(3)));
//! ```

mod command;
mod error;
mod moves;
pub mod planner;
mod reason;
mod reply;
mod state;
mod target;

pub use crate::{
    command::Command,
    error::{Error, Kind, Result},
    moves::Move,
    reason::Reason,
    reply::Reply,
    state::{Config, Grant, Pool, Process, Revision, State, Status},
    target::Target,
};
