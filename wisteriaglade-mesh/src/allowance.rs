//! The budget for sending a request again.

use std::collections::HashMap;

use wisteriaglade_types::Name;

/// A host's share of the budget for sending requests to a second target.
///
/// Each request earns a part of a repeat, so repeats never multiply demand.
#[derive(Debug)]
pub struct Allowance {
    ratio: f64,
    burst: f64,
    pools: HashMap<Name, f64>,
}

impl Allowance {
    /// An allowance of `ratio` repeats a request, of which at most `burst` are
    /// saved up.
    #[must_use]
    pub fn new(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            pools: HashMap::new(),
        }
    }

    /// Changes how many repeats may be saved up.
    pub fn resize(&mut self, burst: f64) {
        self.burst = burst;
    }

    /// Notes a request to a pool.
    pub fn earn(&mut self, pool: &Name) {
        let burst = self.burst;
        let saved = self.pools.entry(pool.clone()).or_insert(burst);
        *saved = (*saved + self.ratio).min(burst);
    }

    /// Takes one repeat, if there is one.
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
