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
//! use wisteriaglade_router::peer::{Config, Connection, Health, Outcome};
//! use wisteriaglade_types::Node;
//!
//! let mut health = Health::new(Config::default());
//! let (now, owner) = (Duration::ZERO, Node::new(7));
//! assert_eq!(health.connection(now, owner), Connection::Pooled);
//! health.record(now, owner, Outcome::Silent);
//! assert_eq!(health.connection(now, owner), Connection::New);
//! health.record(now, owner, Outcome::Answered);
//! assert_eq!(health.connection(now, owner), Connection::Pooled);
//! ```

mod config;
mod connection;
mod counts;
mod health;
mod outcome;

pub use self::{
    config::Config, connection::Connection, counts::Counts, health::Health, outcome::Outcome,
};
