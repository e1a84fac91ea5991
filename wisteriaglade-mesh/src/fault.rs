//! Why a plan is invalid.

use std::fmt;

use wisteriaglade_types::Name;

/// Why a [`Plan`](crate::Plan) is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// A rule names a pool that the plan does not have.
    UnknownPool {
        /// The rule.
        rule: Name,
        /// The pool.
        pool: Name,
    },
    /// A weight is below 0 or not a number.
    Weight {
        /// The rule.
        rule: Name,
    },
    /// A time limit is above ten minutes.
    Timeout {
        /// The rule.
        rule: Name,
    },
    /// A path prefix does not begin with a slash.
    Prefix {
        /// The rule.
        rule: Name,
    },
    /// A rule has no host name.
    Host {
        /// The rule.
        rule: Name,
    },
    /// A rule sends requests to no pool.
    NoPool {
        /// The rule.
        rule: Name,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownPool { rule, pool } => {
                write!(f, "rule {rule}: pool {pool} is not defined")
            }
            Self::Weight { rule } => write!(f, "rule {rule}: a weight is below 0"),
            Self::Timeout { rule } => {
                write!(f, "rule {rule}: the time limit exceeds ten minutes")
            }
            Self::Prefix { rule } => {
                write!(
                    f,
                    "rule {rule}: the path prefix does not begin with a slash"
                )
            }
            Self::Host { rule } => write!(f, "rule {rule}: the host name is empty"),
            Self::NoPool { rule } => write!(f, "rule {rule}: no pool is named"),
        }
    }
}

impl std::error::Error for Fault {}
