//! The replicated control state of a cluster and the planner that proposes its
//! changes.
//!
//! [`State`] is a deterministic state machine. Every replica of the control log
//! and every node applies the same [`Command`]s in the same order and so holds
//! an equal copy. It records the nodes and their targets, the owner and the
//! epoch of each shard, the holders of the records of each shard, and the
//! rules.
//!
//! [`planner::Planner`] runs on the leader of the control log. From lease
//! renewals, load reports and the state it derives the commands to propose: it
//! fences silent nodes, assigns shards without a usable owner, empties draining
//! nodes, balances the load and gives hot keys dedicated shards.
//!
//! The package performs no I/O and reads neither a clock nor a source of
//! randomness. Times are [`Duration`](std::time::Duration)s since the start of
//! the process; the caller, called the driver below, passes them in.
//!
//! # Safety of ownership
//!
//! An epoch is the index of the log entry that granted the shard, and only
//! increases. A shard gets a new owner in two ways only: by
//! [`Command::Release`] from its present owner, or by [`Command::Assign`] when
//! it has no owner or a fenced one. [`State::apply`] enforces this for any
//! sequence of commands. Commands about a shard carry the epoch that the
//! proposer saw, so a delayed or duplicate proposal has no effect.
//!
//! The state has no clock. The planner therefore enforces the wait between the
//! fence of an owner and the assignment of its shards.
//!
//! # Hot keys
//!
//! [`Command::Dedicate`] gives a key a dedicated shard with the owner and the
//! holders of the shard that the key was in. [`Command::Merge`] is refused
//! unless both shards have the same owner and the same holders. Neither command
//! changes the owner of the key or the nodes that hold its records.
//!
//! # Obligations of the driver
//!
//! - Start every process of a cluster with the same [`Config`], and call
//!   [`State::skip`] for log entries that carry no command.
//! - Acknowledge no lease renewal of a node when [`State::is_fenced`] returns
//!   true for it, or when the log has a later [`Command::Fence`] of it.
//! - Dispatch no request for a shard between the proposal of its release and
//!   the reply. A refused release leaves the owner in place.
//! - When `Dedicate` or `Merge` is applied, move the records of the key between
//!   the base shard and the dedicated shard at their holders.
//! - After each change of the nodes, call [`planner::replacement`] at the owner
//!   of each shard, copy the records to the new holders, and then propose
//!   [`Command::SetHolders`].
//!
//! # Usage
//!
//! ```
//! use std::time::Duration;
//! use wisteriaglade_control::{Command, Config, Assignment, Reply, State, Target};
//! use wisteriaglade_types::{Epoch, Hash, Index, Node, Shard};
//!
//! let address = "127.0.0.1:7000".parse().unwrap();
//! let mut state = State::new(Config { shards: 1, holders: 3 });
//! state.apply(Index::new(1), &Command::Join {
//!     nonce: 9,
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
//!     assignments: vec![Assignment {
//!         shard: Shard::new(0),
//!         epoch: Epoch::new(0),
//!         to: node,
//!         holders: vec![node],
//!     }],
//! });
//! let grant = state.locate("catalogue", Hash::of("design-17")).unwrap();
//! assert_eq!((grant.owner, grant.epoch), (Some(node), Epoch::new(3)));
//! ```
//!
//! # Examples
//!
//! The leader passes events to the planner and proposes the commands that it
//! returns:
//!
//! ```
//! use std::time::Duration;
//! use wisteriaglade_control::{Command, Config, State, planner::{self, Event, Planner}};
//! use wisteriaglade_types::{Index, Node};
//!
//! let address = "127.0.0.1:7000".parse().unwrap();
//! let mut state = State::new(Config::default());
//! for (index, host) in [(1, "lantern-1"), (2, "lantern-2")] {
//!     state.apply(Index::new(index), &Command::Join {
//!         nonce: index.into(),
//!         host: host.into(),
//!         data_centre: "Bangor".into(),
//!         caller: address,
//!         peer: address,
//!         admin: address,
//!     });
//! }
//! let mut planner = Planner::new(planner::Config::default());
//! let mut proposals = Vec::new();
//! planner.step(Duration::ZERO, Event::Lead, &state, &mut proposals);
//! for node in [1, 2].map(Node::new) {
//!     planner.step(Duration::from_millis(100), Event::Renewed { node }, &state, &mut proposals);
//! }
//!
//! // Node 2 stops renewing its lease.
//! let later = Duration::from_millis(3_200);
//! planner.step(later, Event::Renewed { node: Node::new(1) }, &state, &mut proposals);
//! planner.step(later, Event::Tick, &state, &mut proposals);
//! assert_eq!(proposals, [Command::Fence { node: Node::new(2) }]);
//! ```

mod assignment;
mod command;
mod error;
pub mod planner;
mod reason;
mod reply;
mod state;
mod target;

pub use crate::{
    assignment::Assignment,
    command::Command,
    error::{Error, Kind, Result},
    reason::Reason,
    reply::Reply,
    state::{Config, Grant, Pool, Process, Revision, State, Status},
    target::Target,
};
