//! Admission control, fair queueing, concurrency limits, health checks and
//! retry budgets for the requests to one target.
//!
//! One process runs beside each target. It drives one [`Router`], which decides
//! which request is dispatched next, which one waits and which one is refused.
//! This package reads no clock, uses no randomness and does no I/O: the driver
//! passes the current time and the events to [`Router::step`] and executes the
//! returned [`Effect`]s. The same events at the same times always produce the
//! same effects.
//!
//! # Behaviour
//!
//! - *Decisions.* Each [`Event::Arrive`] gets exactly one [`Effect::Dispatch`]
//!   or [`Effect::Refuse`]. A refused request was never dispatched, so its
//!   outcome is `not-run`. The driver reports the end of each dispatched
//!   request with one [`Event::Finish`]; [`Effect::Cancel`] asks the driver to
//!   end the request early.
//! - *Concurrency limit.* It starts at the announced slots and is adjusted from
//!   the measured service times, between 1 and the smaller of twice the slots
//!   and the connections. A shed request lowers it immediately.
//! - *Fairness.* Start-time fair queueing shares the busy time of the target
//!   among members and, inside a member, among its callers. An idle member
//!   collects no credit; the others use its share until it returns.
//! - *Deadlines.* A request that cannot meet its deadline is refused on arrival
//!   or as soon as the router can tell, with an estimated retry-after time.
//!   While there is a standing queue, each caller's newest request is served
//!   first.
//! - *Long work.* Long requests use at most half of the slots, and at most a
//!   quarter while short requests queue, but never fewer than one. The length
//!   is stated by the rule or learned by route and key; a short request that
//!   runs for too long is counted as long from then on.
//! - *Health.* A target that stops answering is reported with
//!   [`Effect::Suspect`]. Its own load reports are used only while they agree
//!   with its answers. During a cold start the limit rises gradually.
//! - *Connections.* [`Effect::Prewarm`] sets the number of open connections
//!   from the recent peak of concurrency.
//!
//! - *Rate limit.* A target may name the requests per second that it takes
//!   ([`Event::RateLimit`]). Requests then start at that rate; those that would
//!   wait past their deadline are refused with a retry-after time of their own,
//!   at the rate of the limit.
//!
//! [`retry::Budget`] and [`peer::Health`] are independent of [`Router`]: an
//! ingress node uses them for the requests that it forwards to other nodes.
//!
//! # Usage
//!
//! Announce the target with [`Event::Target`], pass each event to
//! [`Router::step`] and execute the effects in order. If no event occurs before
//! the time that [`Router::wake`] returns, pass [`Event::Tick`] at that time.
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
//! // Without another event, the router must run again at the deadline at the
//! // latest.
//! assert!(router.wake() <= Some(Duration::from_secs(2)));
//! let result = Finish::Served;
//! router.step(Duration::from_millis(9), Event::Finish { request, result }, &mut effects);
//! assert_eq!(router.members()[&Name::from("ribeira")].served, 1);
//! assert_eq!(router.summary().service_time, Some(Duration::from_millis(8)));
//! ```
//!
//! # Examples
//!
//! Without a target, every request is refused on arrival:
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
//! [`Policy::Baseline`] is the reference policy for comparisons:
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
//! - Start-time fair queueing: Goyal, Vin and Cheng, 1996.
//! - Standing queues: Nichols and Jacobson, "Controlling Queue Delay", 2012.
//! - Count-min sketch, for learned service times: Cormode and Muthukrishnan,
//!   2005.
//! - Little's law (concurrency = rate × service time), for the concurrency
//!   limit.

mod arrival;
mod backoff;
mod capacity;
mod class;
mod config;
mod congestion;
mod detector;
mod effect;
mod estimator;
mod event;
mod finish;
mod flow;
mod job;
mod knee;
mod length;
mod level;
mod limit;
mod member;
pub mod peer;
mod policy;
mod prewarm;
mod queue;
mod reason;
mod reliability;
mod report;
pub mod retry;
mod router;
mod running;
mod sketch;
mod statistics;
mod summary;
mod target;
pub mod throttle;
mod usage;
mod waiting;
mod window;

pub use crate::{
    arrival::Arrival, capacity::Capacity, class::Class, config::Config, effect::Effect,
    event::Event, finish::Finish, length::Length, policy::Policy, reason::Reason, report::Report,
    router::Router, summary::Summary, usage::Usage,
};
