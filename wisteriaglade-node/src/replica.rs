//! The control replica that runs in this process.
//!
//! The consensus algorithm, the state machine and the planner share one
//! dedicated thread, because syncing the log to disk blocks for milliseconds.
//! Other tasks send it inputs through a [`Handle`] and read its published
//! [`Status`].

mod acknowledgements;
mod error;
pub(crate) mod expiry;
mod inbox;
pub(crate) mod link;
mod status;
mod worker;

pub(crate) use self::{
    acknowledgements::Acknowledgements,
    error::Error,
    inbox::{Handle, Input},
    status::{Renewal, Status},
    worker::{Options, start},
};

/// The result of starting a replica.
pub(crate) type Result<T> = std::result::Result<T, Error>;
