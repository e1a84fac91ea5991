//! The processes of a fleet.
//!
//! [`run`] starts the process that the [`Settings`] describe: the one beside a
//! target, which takes requests of the callers on its host and forwards each
//! to the host of the target that may run it, or a control replica, which
//! holds the plan and the owner of each key range.
//!
//! The decisions are in `wisteriaglade-mesh`; this package carries them out.
//! How the outside world speaks is a [`Dialect`], so the package knows none of
//! its words.
//!
//! # Usage
//!
//! Implement [`Dialect`] for the world that the fleet runs in, build the
//! [`Settings`] from what the process is told, and call [`run`] with a token
//! that is cancelled when the process has to end.

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

/// Runs the process that the settings describe until the token is cancelled
/// and its work is done.
///
/// # Errors
///
/// When an address cannot be listened on, or the data folder cannot be used.
pub async fn run<D: Dialect>(settings: Settings, stop: CancellationToken) -> std::io::Result<()> {
    if settings.beside.is_some() {
        host::run::<D>(settings, stop).await
    } else {
        control::run::<D>(settings, stop).await
    }
}
