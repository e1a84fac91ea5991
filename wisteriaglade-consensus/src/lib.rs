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
//!    and each proposal. Proposals that wait together go into one
//!    [`Raft::batch`], which writes them with one sync.
//! 3. Carry out the outputs strictly in order. An [`Output::Persist`] must be
//!    synced before the next output is carried out; if it fails, discard the
//!    outputs that follow and feed [`Input::Failed`].
//! 4. From time to time feed [`Input::Compact`] with a snapshot of the state
//!    machine.
//!
//! # Guarantees
//!
//! - A proposal that was reported as [`Output::Committed`] is on the disks of a
//!   majority and is applied by every replica at the same index.
//! - A proposal that was reported as [`Output::Dropped`] was not appended,
//!   unless [`Reason::is_unknown`] holds.
//! - A replica that was cut off causes no election when it returns, because it
//!   asks for pre-votes first and replicas that hear a leader refuse them.
//! - A leader that a majority does not acknowledge for an election timeout
//!   steps down.
//!
//! The log survives as long as a majority of the group keeps its disks. A
//! replica that lost its disk must not return under its old id, since it may
//! have forgotten votes and entries: replace it by a new replica.
//!
//! # Groups
//!
//! [`Input::Members`] replaces, adds or removes one replica at a time. A
//! replacement takes two entries: the old replica leaves first, so that the
//! group never waits for the new one to catch up. A leader that replaces itself
//! adds the new replica first and leaves last.
//!
//! A new replica starts with an empty directory and without members, and waits
//! for the leader. A replica that was removed is not told so; it stays passive
//! because the others refuse its pre-votes.
//!
//! # Examples
//!
//! A driver of a single replica. One of a larger group also sends the messages.
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
//!                     applied.extend(drive(raft, storage, now, Input::Failed));
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
