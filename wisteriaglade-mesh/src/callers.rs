//! Which kinds of work are parts of other work.

use std::collections::HashMap;

use wisteriaglade_types::Name;

/// Requests of a kind after which its callers are known.
const ENOUGH: u32 = 24;

/// The part of a kind's requests that come from one pool if the targets of
/// that pool send them.
const SINGLE: f64 = 0.95;

/// Counts are halved here, so that a change of callers shows.
const RECENT: u32 = 400;

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

/// Learns which kinds of work are parts of other work.
///
/// Callers are spread over all hosts. A kind that comes from the hosts of one
/// pool only is sent by the targets of that pool while they run a request.
#[derive(Debug, Default)]
pub(crate) struct Callers {
    kinds: HashMap<u64, Count>,
}

impl Callers {
    /// Notes a request of a kind that came from a host with a target of
    /// `pool`. Returns whether the kind is part of other work.
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

    /// Whether requests of a kind are part of other work.
    pub(crate) fn is_nested(&self, kind: u64) -> bool {
        self.kinds.get(&kind).is_some_and(Count::is_nested)
    }
}
