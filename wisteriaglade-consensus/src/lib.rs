//! A replicated log based on the Raft consensus algorithm.
//!
//! This package provides the protocol as a step function, and the storage that
//! makes its state durable. [`Raft`] is one replica of a group that agrees on a
//! sequence of entries. It performs no I/O and reads no clock: the program that
//! embeds it, called the driver, passes each event as an [`Input`] with the
//! current time and carries out the returned [`Output`]s. [`storage`] is the
//! only module with I/O. The transport between replicas belongs to the driver.
//!
//! # Usage
//!
//! 1. Open the [`Storage`](storage::Storage) of the replica and pass the
//!    [`Restored`] state to [`Raft::new`].
//! 2. Pass [`Input::Tick`] about every 10 ms, and every message from another
//!    replica and every proposal as it arrives. Pass proposals that are queued
//!    at the same time to one [`Raft::step_batch`], which writes them with one sync.
//! 3. Carry out the outputs strictly in order. Sync the change of an
//!    [`Output::Persist`] before carrying out the next output; if that fails,
//!    discard the remaining outputs and pass [`Input::StorageFailed`].
//! 4. Pass [`Input::Compact`] with a snapshot of the state machine from time to
//!    time, so that the log does not grow without bound.
//!
//! # Guarantees
//!
//! - A proposal reported as [`Output::Committed`] is on the disks of a majority
//!   and is applied by every replica at the same index.
//! - A proposal reported as [`Output::Dropped`] was not appended, unless
//!   [`Reason::is_outcome_unknown`] returns true.
//! - A replica that rejoins after a network partition does not cause an
//!   election: it asks for pre-votes first, and replicas that are in contact
//!   with a leader refuse them.
//! - A leader that receives no responses from a majority for an election
//!   timeout steps down.
//!
//! The log survives as long as a majority of the group keeps its disks. A
//! replica that lost its disk must not rejoin under its old id, because its
//! votes and entries are lost: replace it by a new replica.
//!
//! # Groups
//!
//! [`Input::ChangeMembers`] replaces, adds or removes one replica at a time. A
//! replacement takes two entries: the first removes the old replica and the
//! second adds the new one, so that commits never wait for the new replica to
//! catch up. A leader that replaces itself adds the new replica first and
//! removes itself last.
//!
//! A new replica starts with an empty directory and an empty member list, and
//! waits for the leader to contact it. A removed replica receives no
//! notification; it causes no election because the others refuse its pre-votes.
//!
//! # Examples
//!
//! A driver of a group with one replica. In a larger group the driver also
//! sends the message of each [`Output::Send`].
//!
//! ```
//! use std::time::Duration;
//! use wisteriaglade_consensus::{
//!     Config, Input, Output, Payload, Raft, Replica,
//!     storage::{Result, Storage},
//! };
//!
//! fn drive(raft: &mut Raft, storage: &mut Storage, now: Duration, input: Input) -> Vec<Vec<u8>> {
//!     let mut outputs = Vec::new();
//!     let mut applied = Vec::new();
//!     raft.step(now, input, &mut outputs);
//!     for output in outputs {
//!         match output {
//!             Output::Persist(change) => {
//!                 if storage.persist(&change).is_err() {
//!                     applied.extend(drive(raft, storage, now, Input::StorageFailed));
//!                     break;
//!                 }
//!             }
//!             Output::Apply(entries) => {
//!                 for entry in entries {
//!                     if let Payload::Data(data) = entry.payload {
//!                         applied.push(data.to_vec());
//!                     }
//!                 }
//!             }
//!             _ => {}
//!         }
//!     }
//!     applied
//! }
//!
//! # fn main() -> Result<()> {
//! let directory = tempfile::tempdir().expect("a temporary directory");
//! let (mut storage, restored) = Storage::open(directory.path())?;
//! let own = Replica::new(1);
//! let mut raft = Raft::new(Config::new(own, [own]), restored, Duration::ZERO);
//! let now = Duration::from_millis(10);
//! drive(&mut raft, &mut storage, now, Input::Tick);
//! let input = Input::Propose { ticket: 7, data: (*b"command").into() };
//! assert_eq!(drive(&mut raft, &mut storage, now, input), [b"command"]);
//! # Ok(())
//! # }
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
