//! Detection of nested work.
//!
//! [`Queue`](crate::Queue) owns one [`Callers`] and records each request that
//! arrives.

use std::collections::HashMap;

use wisteriaglade_types::Name;

/// Requests of a kind that have to be counted before the kind can be classified
/// as nested.
const ENOUGH: u32 = 24;

/// The share of a kind's requests that has to come from one pool for the kind
/// to be classified as nested.
const SINGLE: f64 = 0.95;

/// Counts are halved when they reach this number, so that they follow a change
/// of callers.
const RECENT: u32 = 400;

/// Counted requests of one kind.
#[derive(Debug, Default)]
struct Count {
    all: u32,
    pools: HashMap<Name, u32>,
}

impl Count {
    fn is_nested(&self) -> bool {
        let most = self.pools.values().max().copied().unwrap_or(0);
        self.all >= ENOUGH && f64::from(most) >= f64::from(self.all) * SINGLE
    }
}

/// Detects which kinds of work are nested: sent by a target as part of another
/// request that it is running.
///
/// Independent callers are spread over the hosts of all pools. A kind that
/// comes only from the hosts of one pool is therefore taken to be sent by the
/// targets of that pool.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    kinds: HashMap<u64, Count>,
}

impl Callers {
    /// Counts a request of a kind that came from a host whose target belongs to
    /// `pool`. Returns whether the kind is nested.
    pub(crate) fn note(&mut self, kind: u64, pool: &Name) -> bool {
        let count = self.kinds.entry(kind).or_default();
        count.all += 1;
        *count.pools.entry(pool.clone()).or_default() += 1;
        if count.all >= RECENT {
            count.all /= 2;
            for number in count.pools.values_mut() {
                *number /= 2;
            }
        }
        count.is_nested()
    }

    /// Returns whether a kind is nested.
    pub(crate) fn is_nested(&self, kind: u64) -> bool {
        self.kinds.get(&kind).is_some_and(Count::is_nested)
    }
}
