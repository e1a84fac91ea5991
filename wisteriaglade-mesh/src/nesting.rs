//! Detection of nested work.
//!
//! [`Queue`](crate::Queue) owns one [`Nesting`] and records each request that
//! arrives.

use std::collections::HashMap;

use wisteriaglade_types::Name;

/// Requests of a kind that have to be counted before the kind can be classified
/// as nested.
const MIN_REQUESTS: u32 = 24;

/// The share of a kind's requests that has to come from one pool for the kind
/// to be classified as nested.
const SINGLE_POOL_SHARE: f64 = 0.95;

/// Counts are halved when they reach this number, so that they follow a change
/// of callers.
const MAX_REQUESTS: u32 = 400;

/// Counted requests of one kind.
#[derive(Debug, Default)]
struct KindCount {
    total: u32,
    /// The number of requests from each pool.
    pools: HashMap<Name, u32>,
}

impl KindCount {
    fn is_nested(&self) -> bool {
        let most = self.pools.values().max().copied().unwrap_or(0);
        self.total >= MIN_REQUESTS && f64::from(most) >= f64::from(self.total) * SINGLE_POOL_SHARE
    }
}

/// Detects which kinds of work are nested: sent by a target as part of another
/// request that it is running.
///
/// Independent callers are spread over the hosts of all pools. A kind that
/// comes only from the hosts of one pool is therefore taken to be sent by the
/// targets of that pool.
#[derive(Debug, Default)]
pub(crate) struct Nesting {
    kinds: HashMap<u64, KindCount>,
}

impl Nesting {
    /// Counts a request of a kind that came from a host whose target belongs to
    /// `pool`. Returns whether the kind is nested.
    pub(crate) fn record(&mut self, kind: u64, pool: &Name) -> bool {
        let count = self.kinds.entry(kind).or_default();
        count.total += 1;
        *count.pools.entry(pool.clone()).or_default() += 1;
        if count.total >= MAX_REQUESTS {
            count.total /= 2;
            for number in count.pools.values_mut() {
                *number /= 2;
            }
        }
        count.is_nested()
    }

    /// Returns whether a kind is nested.
    pub(crate) fn is_nested(&self, kind: u64) -> bool {
        self.kinds.get(&kind).is_some_and(KindCount::is_nested)
    }
}
