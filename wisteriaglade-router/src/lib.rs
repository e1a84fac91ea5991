//! Admission, fairness, limits, health and retries as a reducer without I/O.
//!
//! One process runs beside each target, and one [`Router`] in it decides which
//! request runs next, which one waits and which one is refused. The package has
//! no clock, no randomness and no I/O: the driver passes the time and the
//! events to [`Router::step`] and executes the [`Effect`]s. The same events at
//! the same times give the same effects.
//!
//! # Duties
//!
//! - *Decisions.* Each [`Event::Arrive`] gets exactly one [`Effect::Dispatch`]
//!   or [`Effect::Refuse`]. A refused request was not dispatched, so the answer
//!   is `not-run`. A dispatched request ends with one [`Event::Finish`];
//!   [`Effect::Cancel`] asks the driver to bring that about.
//! - *Concurrency limit.* It starts at the announced slots and follows the
//!   service times, between 1 and the smaller of twice the slots and the
//!   connections. A shed request lowers it at once.
//! - *Fairness.* Start-time fair queueing over busy time among members, then
//!   among the callers of a member. An idle member collects no credit; what it
//!   leaves unused goes to the others until it returns.
//! - *Deadlines.* A request that cannot meet its deadline is refused on arrival
//!   or as soon as that is known, with an estimated retry-after time. While the
//!   queue is standing, the freshest request of a caller goes first.
//! - *Long work.* It uses at most half of the slots, and a quarter while short
//!   work queues, but always one. The length comes from the rule or is learned
//!   by route and key; work that takes too long counts as long from then on.
//! - *Health.* A target that answers nothing for too long is reported with
//!   [`Effect::Suspect`]. Its own reports count only while they agree with its
//!   answers. A cold target is ramped up.
//! - *Connections.* [`Effect::Warm`] follows the recent peak of concurrency.
//!
//! [`retry::Budget`] and [`peer::Health`] are separate: a node uses them for
//! the requests that it forwards.
//!
//! # Usage
//!
//! Announce the target, pass the events and execute the effects. Between
//! events, pass [`Event::Tick`] at the time that [`Router::wake`] returns.
//!
//! ```
//! use std::time::Duration;
//!
//! use wisteriaglade_router::{
//!     Arrival, Capacity, Class, Config, Effect, Event, Finish, Length, Router,
//! };
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
//! let dispatch = Effect::Dispatch { request, class: Class::Short };
//! assert!(effects.contains(&dispatch));
//!
//! // The deadline is the next moment at which something happens by itself.
//! assert!(router.wake() <= Some(Duration::from_secs(2)));
//! let result = Finish::Served;
//! router.step(Duration::from_millis(9), Event::Finish { request, result }, &mut effects);
//! assert_eq!(router.members()[&Name::from("ribeira")].served, 1);
//! assert_eq!(router.summary().service, Some(Duration::from_millis(8)));
//! ```
//!
//! # Examples
//!
//! Without a target, requests are refused at once:
//!
//! ```
//! use std::time::Duration;
//!
//! use wisteriaglade_router::{Arrival, Config, Effect, Event, Length, Reason, Router};
//! use wisteriaglade_types::{Hash, Name, Request};
//!
//! let mut router = Router::new(Config::default());
//! let mut effects = Vec::new();
//! let arrival = Arrival {
//!     request: Request::new(1),
//!     member: Name::from("llewellyn"),
//!     caller: Name::from("shop"),
//!     route: 1,
//!     key: Hash::of("design-17"),
//!     weight: 1,
//!     length: Length::Learned,
//!     deadline: Duration::from_secs(1),
//! };
//! router.step(Duration::ZERO, Event::Arrive(arrival), &mut effects);
//! assert!(matches!(effects[0], Effect::Refuse { reason: Reason::Absent, .. }));
//! ```
//!
//! The policy that measurements compare against:
//!
//! ```
//! use wisteriaglade_router::{Config, Policy, Router};
//!
//! let config = Config { policy: Policy::Baseline, ..Config::default() };
//! let router = Router::new(config);
//! assert_eq!(router.summary().limit, 0, "no target yet");
//! ```
//!
//! # Sources
//!
//! Start-time fair queueing: Goyal, Vin and Cheng, 1996. Standing queues:
//! Nichols and Jacobson, "Controlling Queue Delay", 2012. Sketch: Cormode and
//! Muthukrishnan, 2005. Little's law relates concurrency, rate and service
//! time; see the estimate of the limit.

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
