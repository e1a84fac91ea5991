//! Errors found when a plan is validated.

use std::fmt;

use wisteriaglade_types::Name;

/// The reason why a [`Plan`](crate::Plan) is invalid.
///
/// Its text is sent to the operator who submitted the plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanError {
    /// A rule refers to a pool that the plan does not define.
    UnknownPool {
        /// The name of the rule.
        rule: Name,
        /// The name of the missing pool.
        pool: Name,
    },
    /// A rule has a weight that is negative or not a number.
    InvalidWeight {
        /// The name of the rule.
        rule: Name,
    },
    /// A rule has a timeout above ten minutes.
    TimeoutTooLong {
        /// The name of the rule.
        rule: Name,
    },
    /// A rule has a path prefix that does not begin with a slash.
    InvalidPrefix {
        /// The name of the rule.
        rule: Name,
    },
    /// A rule has an empty host name.
    EmptyHost {
        /// The name of the rule.
        rule: Name,
    },
    /// A rule has no destination.
    NoPool {
        /// The name of the rule.
        rule: Name,
    },
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownPool { rule, pool } => {
                write!(f, "rule {rule}: pool {pool} is not defined")
            }
            Self::InvalidWeight { rule } => write!(f, "rule {rule}: a weight is below 0"),
            Self::TimeoutTooLong { rule } => {
                write!(f, "rule {rule}: the time limit exceeds ten minutes")
            }
            Self::InvalidPrefix { rule } => {
                write!(
                    f,
                    "rule {rule}: the path prefix does not begin with a slash"
                )
            }
            Self::EmptyHost { rule } => write!(f, "rule {rule}: the host name is empty"),
            Self::NoPool { rule } => write!(f, "rule {rule}: no pool is named"),
        }
    }
}

impl std::error::Error for PlanError {}
