//! Settings of the state machine, equal on all replicas.

use serde::{Deserialize, Serialize};

/// Settings of the state machine.
///
/// They decide the outcome of commands. A command of the log
/// ([`Command::Configure`](crate::Command::Configure)) therefore sets them, and
/// snapshots contain them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The number of shards of a new pool, without dedicated ones. It is
    /// rounded up to a power of two and limited to [`Config::MAX_SHARDS`].
    pub shards: u32,
    /// The number of holders of the records of a shard, from 1 to
    /// [`State::MAX_HOLDERS`](crate::State::MAX_HOLDERS).
    pub holders: usize,
}

impl Config {
    /// The maximum number of shards of a pool. It bounds the memory that one
    /// announcement can allocate to 48 MB.
    pub const MAX_SHARDS: u32 = 1 << 20;

    pub(crate) fn pool_shards(self) -> u32 {
        self.shards.clamp(1, Self::MAX_SHARDS).next_power_of_two()
    }
}

impl Default for Config {
    fn default() -> Self {
        Self {
            shards: 256,
            holders: crate::State::MAX_HOLDERS,
        }
    }
}
