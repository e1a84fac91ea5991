//! The routing configuration.
//!
//! Operators submit a [`Plan`], the control replicas store it, and every host
//! routes by it.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Name;

use crate::PlanError;

/// The longest timeout that a rule may have. The operators' interface
/// documents this limit.
const MAX_TIMEOUT: Duration = Duration::from_mins(10);

/// A complete configuration: pools, routing rules and request limits.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The number that the operator gave the plan. It rises with each plan, not
    /// always by one.
    pub version: u64,
    /// The pools that the rules refer to.
    pub pools: Vec<Pool>,
    /// The routing rules. Among rules for the same host name and prefix the
    /// first one applies.
    pub rules: Vec<Rule>,
    /// The limits on requests of callers.
    pub limits: Limits,
}

impl Plan {
    /// Validates the plan on its own, without comparing it with the plan in
    /// force.
    ///
    /// # Errors
    ///
    /// Returns the first [`PlanError`] found.
    pub fn check(&self) -> Result<(), PlanError> {
        self.rules.iter().try_for_each(|rule| self.check_rule(rule))
    }

    /// Returns the pool with a name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name.as_str() == name)
    }

    fn check_rule(&self, rule: &Rule) -> Result<(), PlanError> {
        let name = rule.name.clone();
        if rule.host.is_empty() {
            return Err(PlanError::EmptyHost { rule: name });
        }
        if !rule.prefix.starts_with('/') {
            return Err(PlanError::InvalidPrefix { rule: name });
        }
        if rule.timeout > MAX_TIMEOUT {
            return Err(PlanError::TimeoutTooLong { rule: name });
        }
        if rule.destinations.is_empty() {
            return Err(PlanError::NoPool { rule: name });
        }
        for destination in &rule.destinations {
            if destination.weight.is_nan() || destination.weight < 0.0 {
                return Err(PlanError::InvalidWeight { rule: name });
            }
            if self.pool(&destination.pool).is_none() {
                let pool = destination.pool.clone();
                return Err(PlanError::UnknownPool { rule: name, pool });
            }
        }
        Ok(())
    }
}

/// A pool of targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// The name of the pool, which its targets announce.
    pub name: Name,
    /// The number of connections that one target accepts from all its callers
    /// together.
    pub max_connections: u32,
    /// Whether each key is owned by a single target.
    pub sharded: bool,
}

/// A routing rule for a host name and path prefix.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    /// The name that the operator gave the rule.
    pub name: Name,
    /// The host name of the requests that the rule matches.
    pub host: Name,
    /// The path prefix of the requests that the rule matches.
    pub prefix: Name,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// The time after which a caller stops waiting for the response.
    pub timeout: Duration,
    /// The latency objective: a response after this time is worth less to the
    /// caller.
    pub objective: Duration,
    /// The priority of its requests; 0 is the highest.
    pub priority: u32,
    /// The number of targets that one request may be sent to, first attempt
    /// included.
    pub max_attempts: u32,
    /// The pools that serve the requests, chosen at random by weight.
    pub destinations: Vec<Destination>,
}

/// A weighted destination of a rule.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Destination {
    /// The name of the pool.
    pub pool: Name,
    /// Its share of the requests, relative to the sum over the rule.
    pub weight: f64,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest request header section, in bytes.
    pub max_header_bytes: usize,
    /// The largest request body, in bytes.
    pub max_body_bytes: usize,
    /// How long a caller may take to send the header section.
    pub header_timeout: Duration,
    /// How long a connection may stay open without a request.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply before a plan is known.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
