//! A replicated log: the step function and its storage.
//!
//! [`Raft`] is one replica of a group that agrees on a sequence of entries. It
//! performs no I/O and reads no clock: a driver feeds it an [`Input`] with the
//! current time and carries out each [`Output`]. [`storage`] is the only module
//! with I/O.
//!
//! # Usage
//!
//! 1. Open the [`Storage`](storage::Storage) of the replica and pass what it
//!    restored to [`Raft::new`].
//! 2. Feed [`Input::Tick`] about every 10 ms, each message of another replica
//!    and each proposal.
//! 3. Carry out the outputs strictly in order. An [`Output::Persist`] must be
//!    synced before the next output is carried out; if it fails, discard the
//!    outputs that follow and feed [`Input::Failed`].
//! 4. From time to time feed [`Input::Compact`] with a snapshot of the state
//!    machine.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//! use wisteriaglade_consensus::{Config, Input, Output, Raft, Replica, Restored};
//!
//! let own = Replica::new(1);
//! let mut raft = Raft::new(Config::new(own, [own]), Restored::default(), Duration::ZERO);
//! let mut outputs = Vec::new();
//! let now = Duration::from_millis(10);
//! raft.step(now, Input::Tick, &mut outputs);
//! raft.step(now, Input::Propose { ticket: 7, data: (*b"command").into() }, &mut outputs);
//! assert!(matches!(outputs.last(), Some(Output::Committed { ticket: 7, .. })));
//! ```

mod assembly;
mod bytes;
mod change;
mod config;
mod entry;
mod input;
mod log;
mod message;
mod output;
mod payload;
mod progress;
mod raft;
mod reason;
mod replica;
mod restored;
mod role;
mod snapshot;
pub mod storage;
mod vote;

pub use crate::{
    change::Change, config::Config, entry::Entry, input::Input, message::Message, output::Output,
    payload::Payload, raft::Raft, reason::Reason, replica::Replica, restored::Restored, role::Role,
    snapshot::Snapshot, vote::Vote,
};
