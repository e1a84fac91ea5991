//! The processes of a fleet.
//!
//! A fleet has two kinds of processes, and [`run`] runs the one that the
//! [`Settings`] describe:
//!
//! - the process beside a target takes requests from the callers on its host
//!   and forwards each to the host of a target that may run it;
//! - a control replica takes part in replicating the plan and the owner of each
//!   key range, and as leader publishes both to the hosts.
//!
//! `wisteriaglade-mesh` makes the decisions, and this package does the I/O.
//! Header names, calls and message formats come from a [`Dialect`], so that the
//! package does not depend on those of one platform.
//!
//! # Usage
//!
//! 1. Implement [`Dialect`] for the platform that the fleet runs on.
//! 2. Fill in [`Settings`]; `beside` selects the kind of process.
//! 3. Call [`start_log`] to write logs to standard output.
//! 4. Call [`run`] with a token, and cancel the token to end the process.

mod control;
pub mod dialect;
mod frame;
mod host;
mod link;
mod listener;
mod log;
mod metrics;
mod server;
pub mod settings;

use tokio_util::sync::CancellationToken;
use wisteriaglade_wire::{lock, read, write};

pub use crate::{dialect::Dialect, log::start as start_log, settings::Settings};

/// Runs a process until the token is cancelled and its work is done.
///
/// With [`Settings::beside`] it is the process beside a target, otherwise a
/// control replica.
///
/// # Errors
///
/// When an address cannot be bound, when a control replica has no data folder,
/// or when that folder cannot be used.
pub async fn run<D: Dialect>(settings: Settings, stop: CancellationToken) -> std::io::Result<()> {
    if settings.beside.is_some() {
        host::run::<D>(settings, stop).await
    } else {
        control::run::<D>(settings, stop).await
    }
}
