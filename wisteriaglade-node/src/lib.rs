//! The daemon of the router: settings, listeners, drivers, metrics and traces.
//!
//! One [`Daemon`] runs beside each target. It takes requests from callers,
//! sends each one to the node that owns its key, and admits those for its own
//! target. By its settings it is a control replica as well.
//!
//! # Usage
//!
//! ```no_run
//! use std::path::Path;
//!
//! use tokio_util::sync::CancellationToken;
//! use wisteriaglade_node::{Daemon, Settings};
//!
//! # async fn run() -> Result<(), Box<dyn std::error::Error>> {
//! let settings = Settings::read(Path::new("node.yaml"))?;
//! let daemon = Daemon::start(settings).await?;
//! let stop = CancellationToken::new();
//! daemon.run(stop).await;
//! # Ok(())
//! # }
//! ```
//!
//! # Structure
//!
//! Decisions are made by packages without I/O; this package feeds them events
//! and carries out their effects. A request passes the modules `caller`,
//! `ingress`, `forward` (when another node owns the key), `peer`, `work`,
//! `admission` and `target`. The membership of a process is kept by `membership`,
//! its copy of the control state by `subscription`, and the control replica
//! runs in `replica`.

mod admin;
mod admission;
mod body;
mod caller;

mod context;
mod daemon;
mod datagrams;
mod forward;
mod header;
mod hot;
mod ingress;
mod job;
mod lease;
mod load;
mod membership;
mod message;
mod metrics;
mod payload;
mod peer;
mod pool;
mod records;
mod refusal;
mod replica;
#[doc(hidden)]
pub mod sample;
mod seen;
pub mod settings;
mod subscription;
mod target;
pub mod telemetry;
mod trace;
mod view;
mod work;

use wisteriaglade_wire::{lock, read, write};

pub use crate::{
    daemon::{Daemon, Error, Result},
    settings::Settings,
};
