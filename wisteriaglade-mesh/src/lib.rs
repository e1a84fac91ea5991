//! Routing, admission and ownership of key ranges, as decisions without I/O.
//!
//! A fleet has two kinds of processes. A host process runs beside one target,
//! takes requests of the callers on its host and admits work to its target. A
//! control process is a replica of the state that has to survive: the accepted
//! [`Plan`] and the owner of each key range.
//!
//! # Usage
//!
//! - [`Table`] finds the rule of a request.
//! - [`Choice`] ranks the targets that may serve it.
//! - [`Queue`] decides at the target's host which request runs, waits or is
//!   rejected.
//! - [`Guard`] decides which key ranges a target may hold, and for how long.
//! - [`State`] is the replicated state machine, [`Planner`] the leader's
//!   decisions about key ranges, and [`Roster`] what the leader has heard from
//!   the hosts.
//!
//! Nothing here reads a clock: callers pass the time as a [`Duration`] since an
//! arbitrary start, on a clock that goes on while the host is suspended.
//!
//! [`Duration`]: std::time::Duration
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//! use wisteriaglade_mesh::{Part, Plan, Rule, Table};
//!
//! let plan = Plan {
//!     version: 1,
//!     rules: vec![Rule {
//!         name: "designs".into(),
//!         host: "shop.example".into(),
//!         prefix: "/designs/".into(),
//!         repeatable: true,
//!         timeout: Duration::from_secs(1),
//!         objective: Duration::from_millis(300),
//!         priority: 1,
//!         attempts: 2,
//!         split: vec![Part { pool: "catalogue".into(), weight: 1.0 }],
//!     }],
//!     ..Plan::default()
//! };
//! let table = Table::new(&plan);
//! assert!(table.find("shop.example", "/designs/7").is_some());
//! assert!(table.find("shop.example", "/bookings/7").is_none());
//! ```

mod allowance;
mod callers;
mod change;
mod choice;
mod command;
mod directory;
mod fault;
mod guard;
mod heat;
mod keyspace;
mod owner;
mod plan;
mod planner;
mod queue;
mod range;
mod report;
mod roster;
mod span;
mod state;
mod table;

pub use crate::{
    allowance::Allowance,
    change::Change,
    choice::{Candidate, Choice},
    command::{Command, Reply},
    directory::{Directory, Entry, Keys},
    fault::Fault,
    guard::{Grant, Guard},
    heat::Heat,
    keyspace::Keyspace,
    owner::Owner,
    plan::{Limits, Part, Plan, Pool, Rule},
    planner::Planner,
    queue::{Arrival, Effect, Finish, Load, Queue, Reason},
    range::Range,
    report::{Condition, Report, TargetReport},
    roster::{Record, Roster},
    span::Span,
    state::{Member, State},
    table::Table,
};
