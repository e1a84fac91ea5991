//! Admission, fairness, limits, health and retries as a reducer without I/O.
//!
//! A [`Router`] decides for one target which request runs next, which one
//! waits and which one is refused. It has no clock and no source of
//! randomness: the driver passes the time and executes the effects.
//!
//! # Usage
//!
//! ```
//! use std::time::Duration;
//!
//! use wisteriaglade_router::{Arrival, Capacity, Class, Config, Effect, Event, Length, Router};
//! use wisteriaglade_types::{Hash, Name, Request};
//!
//! let mut router = Router::new(Config::default());
//! let mut effects = Vec::new();
//! let capacity = Capacity {
//!     slots: 6,
//!     connections: 110,
//!     cold_start: Duration::ZERO,
//! };
//! router.step(Duration::ZERO, Event::Target(Some(capacity)), &mut effects);
//!
//! let request = Request::new(1);
//! let arrival = Arrival {
//!     request,
//!     member: Name::from("ribeira"),
//!     caller: Name::from("court-3"),
//!     route: 4,
//!     key: Hash::of("transcript-17"),
//!     weight: 1,
//!     length: Length::Short,
//!     deadline: Duration::from_secs(2),
//! };
//! router.step(Duration::from_millis(1), Event::Arrive(arrival), &mut effects);
//!
//! let dispatch = Effect::Dispatch { request, class: Class::Short };
//! assert!(effects.contains(&dispatch));
//! ```

mod arrival;
mod brake;
mod capacity;
mod class;
mod config;
mod effect;
mod event;
mod finish;
mod flow;
mod job;
mod knee;
mod ledger;
mod length;
mod lengths;
mod level;
mod limit;
pub mod peer;
mod policy;
mod queue;
mod reason;
mod report;
pub mod retry;
mod router;
mod running;
mod sketch;
mod standing;
mod summary;
mod target;
mod tenant;
mod trust;
mod usage;
mod waiting;
mod warm;
mod watch;
mod window;

pub use crate::{
    arrival::Arrival, capacity::Capacity, class::Class, config::Config, effect::Effect,
    event::Event, finish::Finish, length::Length, policy::Policy, reason::Reason, report::Report,
    router::Router, summary::Summary, usage::Usage,
};
