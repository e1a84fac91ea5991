//! Retry budgets, which limit the retries of each member to a small fraction of
//! its requests so that retries cannot amplify an overload.
//!
//! # Examples
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
//!     budget.deposit(now, &member);
//! }
//! let retries = (0..100).filter(|_| budget.try_withdraw(now, &member)).count();
//! assert_eq!(retries, 10 + 3);
//! ```

mod bucket;
mod budget;
mod config;

pub use self::{budget::Budget, config::Config};
