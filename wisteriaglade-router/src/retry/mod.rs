//! Retry budgets: retries stay a small part of the requests of a member, so
//! that they cannot multiply an overload.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use wisteriaglade_router::retry::{Budget, Config};
//! use wisteriaglade_types::Name;
//!
//! let mut budget = Budget::new(Config::default());
//! let (now, member) = (Duration::ZERO, Name::from("ribeira"));
//! for _ in 0..100 {
//!     budget.request(now, &member);
//! }
//! let retries = (0..100).filter(|_| budget.retry(now, &member)).count();
//! assert_eq!(retries, 10 + 3);
//! ```

mod bucket;
mod budget;
mod config;

pub use self::{budget::Budget, config::Config};
