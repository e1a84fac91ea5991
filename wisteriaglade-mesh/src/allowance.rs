//! The retry budget of a host.
//!
//! A host process owns one [`Allowance`] and asks it before it sends a request
//! to a second target.

use std::collections::HashMap;

use wisteriaglade_types::Name;

/// A retry budget: a token bucket for each pool that limits how many requests
/// are sent to a second target.
///
/// Each request to a pool adds a fraction of a retry, so retries stay a fixed
/// ratio of the demand instead of multiplying it under overload.
#[derive(Debug)]
pub struct Allowance {
    ratio: f64,
    burst: f64,
    pools: HashMap<Name, f64>,
}

impl Allowance {
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
    pub fn earn(&mut self, pool: &Name) {
        let burst = self.burst;
        let saved = self.pools.entry(pool.clone()).or_insert(burst);
        *saved = (*saved + self.ratio).min(burst);
    }

    /// Takes one retry from a pool. Returns `false` if less than one is left.
    pub fn spend(&mut self, pool: &Name) -> bool {
        let burst = self.burst;
        let saved = self.pools.entry(pool.clone()).or_insert(burst);
        let has = *saved >= 1.0;
        if has {
            *saved -= 1.0;
        }
        has
    }
}
