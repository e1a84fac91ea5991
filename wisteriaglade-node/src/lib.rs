//! The process that runs on every host of a cluster.
//!
//! A [`Daemon`] runs beside one target. It accepts requests from callers,
//! forwards each request to the node that owns its key, and dispatches the
//! requests for its own shards to the target. A process whose settings assign
//! it a control replica also stores the control log and takes part in the
//! election of the control leader.
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
//! # Examples
//!
//! Settings can also be parsed from a string, which is how a program that
//! embeds a node passes them:
//!
//! ```
//! use wisteriaglade_node::Settings;
//!
//! let error = Settings::parse("node.yaml", "host: caerdydd-1").unwrap_err();
//! assert!(error.to_string().starts_with("node.yaml: "));
//! ```
//!
//! # Structure
//!
//! The packages for consensus, control, admission and records do no I/O. This
//! package passes events to them and carries out the effects that they return.
//! A request passes through the modules `caller`, `ingress`, `forward` (when
//! another node owns the key), `peer`, `work`, `admission` and `target`. The
//! module `membership` joins the cluster, renews the lease and releases
//! shards; `subscription` keeps the local copy of the control state up to
//! date; `replica` runs the control replica.

mod admin;
mod admission;
mod body;
mod caller;

mod context;
mod daemon;
mod datagrams;
mod deduplicator;
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
mod notice;
mod payload;
mod peer;
mod pool;
mod records;
mod refusal;
mod replica;
#[doc(hidden)]
pub mod sample;
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
