//! A complete configuration of routing rules.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Name;

use crate::Fault;

/// The longest time limit of a rule. The operators' interface states it.
const TIMEOUT_MAX: Duration = Duration::from_mins(10);

/// A complete configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The operator's number; versions rise in uneven steps.
    pub version: u64,
    /// The pools of targets.
    pub pools: Vec<Pool>,
    /// The routing rules.
    pub rules: Vec<Rule>,
    /// What a caller may send.
    pub limits: Limits,
}

impl Plan {
    /// Checks what can be checked without the current plan.
    ///
    /// # Errors
    ///
    /// The first [`Fault`] found.
    pub fn check(&self) -> Result<(), Fault> {
        self.rules.iter().try_for_each(|rule| self.check_rule(rule))
    }

    /// The pool with a name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name.as_str() == name)
    }

    fn check_rule(&self, rule: &Rule) -> Result<(), Fault> {
        let name = rule.name.clone();
        if rule.host.is_empty() {
            return Err(Fault::Host { rule: name });
        }
        if !rule.prefix.starts_with('/') {
            return Err(Fault::Prefix { rule: name });
        }
        if rule.timeout > TIMEOUT_MAX {
            return Err(Fault::Timeout { rule: name });
        }
        if rule.split.is_empty() {
            return Err(Fault::NoPool { rule: name });
        }
        for part in &rule.split {
            if part.weight.is_nan() || part.weight < 0.0 {
                return Err(Fault::Weight { rule: name });
            }
            if self.pool(&part.pool).is_none() {
                let pool = part.pool.clone();
                return Err(Fault::UnknownPool { rule: name, pool });
            }
        }
        Ok(())
    }
}

/// A pool of targets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// The name that targets announce.
    pub name: Name,
    /// Connections that one target accepts from all its callers.
    pub connections: u32,
    /// Whether each key belongs to one target.
    pub sharded: bool,
}

/// A routing rule.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    /// The operator's name of the rule.
    pub name: Name,
    /// The host name that requests address.
    pub host: Name,
    /// The beginning of the paths that the rule is for.
    pub prefix: Name,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// The longest time that a caller waits.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub objective: Duration,
    /// The rank of its requests; 0 is the highest.
    pub priority: u32,
    /// Targets that one request may be sent to.
    pub attempts: u32,
    /// Where requests go, by weight.
    pub split: Vec<Part>,
}

/// One destination of a rule.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The pool.
    pub pool: Name,
    /// Its share of the requests, relative to the other parts.
    pub weight: f64,
}

/// What a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub head: usize,
    /// The largest body of a request, in bytes.
    pub body: usize,
    /// How long a head may take to arrive.
    pub head_time: Duration,
    /// How long a connection may stay without a request.
    pub idle: Duration,
}

impl Default for Limits {
    /// The limits before a plan is known.
    fn default() -> Self {
        Self {
            head: 16 * 1024,
            body: 64 * 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}
