//! Request routing, admission control and key range ownership, without I/O.
//!
//! A fleet runs two kinds of processes. A *host process* runs next to one
//! target: it accepts requests from the callers on its host, forwards them to
//! targets, and admits requests to its own target. A *control process* is a
//! replica of the state that must survive failures: the accepted [`Plan`] and
//! the owner of each key range.
//!
//! This crate holds the decisions of both as plain data structures. The crate
//! `wisteriaglade-fleet` drives them: it owns the sockets, timers and threads,
//! passes in messages and the current time, and carries out what is returned.
//!
//! # Usage
//!
//! A host process uses:
//!
//! - [`Table`] to find the rule that matches a request.
//! - [`Balancer`] to rank the targets that may serve the request.
//! - [`RetryBudget`] to limit how many requests are sent to a second target.
//! - [`Queue`] to decide which requests its target runs, which wait and which
//!   are rejected.
//! - [`Grantor`] to decide which key ranges its target may hold, and for how
//!   long.
//! - [`KeyRates`] to measure the request rate of each key.
//!
//! A control process uses:
//!
//! - [`State`], the replicated state machine that [`Command`]s change.
//! - [`Roster`], the latest [`Report`] of each host.
//! - [`Planner`], which assigns key ranges to targets on the leader.
//!
//! Nothing here reads a clock. Callers pass the time as a [`Duration`] since an
//! arbitrary start, from a monotonic clock that keeps running while the host is
//! suspended.
//!
//! [`Duration`]: std::time::Duration
//!
//! # Examples
//!
//! Finding the rule of a request:
//!
//! ```
//! use std::time::Duration;
//! use wisteriaglade_mesh::{Destination, Plan, Rule, Table};
//!
//! let plan = Plan {
//!     version: 1,
//!     rules: vec![Rule {
//!         name: "designs".into(),
//!         host: "shop.example".into(),
//!         prefix: "/designs/".into(),
//!         idempotent: true,
//!         timeout: Duration::from_secs(1),
//!         objective: Duration::from_millis(300),
//!         priority: 1,
//!         max_attempts: 2,
//!         destinations: vec![Destination { pool: "catalogue".into(), weight: 1.0 }],
//!     }],
//!     ..Plan::default()
//! };
//! let table = Table::new(&plan);
//! assert!(table.find("shop.example", "/designs/7").is_some());
//! assert!(table.find("shop.example", "/bookings/7").is_none());
//! ```

mod allotment;
mod balancer;
mod change;
mod command;
mod directory;
mod grantor;
mod issuer;
mod key_rates;
mod keyspace;
mod nesting;
mod notice;
mod notices;
mod owner;
mod plan;
mod plan_error;
mod planner;
mod queue;
mod range;
mod report;
mod retry_budget;
mod roster;
mod span;
mod state;
mod table;
mod targets;

pub use crate::{
    allotment::Allotment,
    balancer::{Balancer, Candidate},
    change::Change,
    command::{Command, Reply},
    directory::{Directory, Entry, EntryUpdate, KeyspaceUpdate},
    grantor::{Grant, Grantor},
    issuer::{Call, Issuer, Order, Response},
    key_rates::KeyRates,
    keyspace::Keyspace,
    notice::Notice,
    notices::Notices,
    owner::Owner,
    plan::{Destination, Limits, Plan, Pool, Rule},
    plan_error::PlanError,
    planner::Planner,
    queue::{Arrival, Completion, Effect, Load, Queue, Reason},
    range::Range,
    report::{Condition, Report, TargetReport},
    retry_budget::RetryBudget,
    roster::{ReceivedReport, Roster},
    span::Span,
    state::{Member, State},
    table::Table,
    targets::Targets,
};
