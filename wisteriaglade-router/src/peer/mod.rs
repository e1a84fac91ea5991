//! Health of the nodes to which an ingress node forwards requests.
//!
//! A silent connection does not show that the other node has failed: a device
//! between the two nodes may have lost the state of this connection. After the
//! first silent connection, requests therefore use a new connection. They are
//! refused only after several attempts in a row had no answer.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use wisteriaglade_router::peer::{Config, Health, Outcome, Path};
//! use wisteriaglade_types::Node;
//!
//! let mut health = Health::new(Config::default());
//! let (now, owner) = (Duration::ZERO, Node::new(7));
//! assert_eq!(health.path(now, owner), Path::Pooled);
//! health.record(now, owner, Outcome::Silent);
//! assert_eq!(health.path(now, owner), Path::Fresh);
//! health.record(now, owner, Outcome::Answered);
//! assert_eq!(health.path(now, owner), Path::Pooled);
//! ```

mod config;
mod counts;
mod health;
mod outcome;
mod path;

pub use self::{config::Config, counts::Counts, health::Health, outcome::Outcome, path::Path};
