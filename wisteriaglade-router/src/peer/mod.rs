//! Health of the nodes that an ingress node forwards to.
//!
//! A silent connection says nothing about the node at its other end, because
//! something between the two may have lost the state of that one connection.
//! So the first silence leads to a new connection, and only repeated failures
//! of new connections to a refusal.
//!
//! # Example
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
