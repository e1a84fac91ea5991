//! The control state machine and the planner that proposes its changes.
//!
//! [`State`] is replicated: every replica of the control log and every node
//! applies the same [`Command`]s in the same order and gets equal copies. It
//! records the nodes, their targets, the owner and the epoch of each shard, the
//! holders of the records of each shard, and the rules.
//!
//! [`planner::Planner`] runs on the leader of the control log. It turns lease
//! renewals, load reports and the state into the commands to propose: it fences
//! silent nodes, assigns shards without a usable owner, empties draining nodes,
//! balances the load and gives hot keys shards of their own.
//!
//! The package has no I/O, no clock and no source of randomness. The time is a
//! [`Duration`](std::time::Duration) since the start of the process, which the
//! driver passes.
//!
//! # Safety of ownership
//!
//! An epoch is the index of the entry that granted the shard, and only grows.
//! A shard gets a new owner in two ways only: by [`Command::Release`] of the
//! present owner, or by [`Command::Assign`] when it has no owner or a fenced
//! one. [`State::apply`] enforces this for any sequence of commands. Commands
//! about a shard name the epoch that their proposer saw, so that a late or
//! repeated copy has no effect.
//!
//! The state has no clock, so the wait between the fence of an owner and the
//! assignment of its shards is the duty of the planner.
//!
//! # Hot keys
//!
//! [`Command::Single`] gives a key a dedicated shard with the owner and the
//! holders of the shard that the key was in, and [`Command::Merge`] is refused
//! until both have the same owner and holders again. So neither changes the
//! owner of the key, and the holders of its records are the same nodes before
//! and after.
//!
//! # What a driver must do
//!
//! - Start every process of a cluster with the same [`Config`], and call
//!   [`State::skip`] for entries without a command.
//! - Acknowledge no lease renewal when [`State::is_fenced`] holds or the log
//!   has a later [`Command::Fence`] of the node.
//! - Dispatch nothing for a shard between proposing its release and learning
//!   the outcome. A refused release leaves the owner in place.
//! - Move the records of a key between the base shard and the dedicated shard
//!   at their holders when `Single` and `Merge` are applied.
//! - Ask [`planner::replacement`] at the owner after each change of the nodes,
//!   copy the records, and then propose [`Command::Hold`].
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
//!
//! # Examples
//!
//! A leader feeds the planner and proposes what it returns:
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
//!         ticket: index.into(),
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
//! // Node 2 falls silent.
//! let later = Duration::from_millis(3_200);
//! planner.step(later, Event::Renewed { node: Node::new(1) }, &state, &mut proposals);
//! planner.step(later, Event::Tick, &state, &mut proposals);
//! assert_eq!(proposals, [Command::Fence { node: Node::new(2) }]);
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
