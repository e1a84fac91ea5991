//! The retry budget of a host.
//!
//! A host process owns one [`RetryBudget`] and asks it before it sends a request
//! to a second target.

use std::collections::HashMap;

use wisteriaglade_types::Name;

/// A retry budget: a token bucket for each pool that limits how many requests
/// are sent to a second target.
///
/// Each request to a pool adds a fraction of a retry, so retries stay a fixed
/// ratio of the demand instead of multiplying it under overload.
#[derive(Debug)]
pub struct RetryBudget {
    /// The retries that a request earns.
    ratio: f64,
    /// The most unused retries of a pool.
    burst: f64,
    /// The unused retries of each pool.
    pools: HashMap<Name, f64>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries for each request, with at most
    /// `burst` unused retries for each pool. A pool starts with `burst`.
    #[must_use]
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            pools: HashMap::new(),
        }
    }

    /// Sets the most unused retries that a pool may have.
    pub fn resize(&mut self, burst: f64) {
        self.burst = burst;
    }

    /// Adds the share of a retry that a request to a pool earns.
    pub fn deposit(&mut self, pool: &Name) {
        let burst = self.burst;
        let retries = self.pools.entry(pool.clone()).or_insert(burst);
        *retries = (*retries + self.ratio).min(burst);
    }

    /// Takes one retry from a pool. Returns `false` if less than one is left.
    pub fn try_withdraw(&mut self, pool: &Name) -> bool {
        let burst = self.burst;
        let retries = self.pools.entry(pool.clone()).or_insert(burst);
        let is_left = *retries >= 1.0;
        if is_left {
            *retries -= 1.0;
        }
        is_left
    }
}
