//! The control replica of this process.
//!
//! The consensus step function, the state machine and the planner run on one
//! thread of their own, since a sync of the disk blocks for milliseconds.

mod acknowledged;
mod board;
mod error;
pub(crate) mod expiry;
mod inbox;
pub(crate) mod link;
mod worker;

pub(crate) use self::{
    acknowledged::Acknowledged,
    board::{Board, Verdict},
    error::Error,
    inbox::{Handle, Input},
    worker::{Options, start},
};

/// The result of starting a replica.
pub(crate) type Result<T> = std::result::Result<T, Error>;
