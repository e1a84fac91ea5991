//! Settings of a router.

use std::time::Duration;

use crate::Policy;

/// Settings of a [`Router`](crate::Router). The defaults suit targets with 6 to
/// 12 slots and short service times of about 10 ms.
#[derive(Debug, Clone)]
pub struct Config {
    /// The scheduling policy. Default: [`Policy::Adaptive`].
    pub policy: Policy,
    /// The most requests that wait, over all members. Default: 1024.
    pub max_queued: usize,
    /// The most requests of one member that wait. Default: 512. The baseline
    /// policy has no such limit.
    pub max_queued_per_member: usize,
    /// The number of callers of one member that have a queue of their own.
    /// Further callers share one. Default: 256.
    pub max_callers_per_member: usize,
    /// The number of members with statistics of their own. Further members are
    /// counted together under the name `other`. Default: 256.
    pub max_members: usize,
    /// Whether each caller's newest short request is served first while there
    /// is a standing queue. Default: true.
    pub newest_first: bool,
    /// How long requests are still dispatched after [`Event::Drain`]. A
    /// draining target must not receive requests after 3 s, so the default is
    /// 2.5 s.
    ///
    /// [`Event::Drain`]: crate::Event::Drain
    pub drain_grace: Duration,
    /// The shortest time without any answer after which a target can become
    /// suspect. Default: 300 ms, which leaves time to move the shards within
    /// 1 s.
    pub min_silence: Duration,
    /// The most connections that are opened per second ahead of demand.
    /// Default: 50.
    pub prewarm_rate: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            policy: Policy::Adaptive,
            max_queued: 1024,
            max_queued_per_member: 512,
            max_callers_per_member: 256,
            max_members: 256,
            newest_first: true,
            drain_grace: Duration::from_millis(2500),
            min_silence: Duration::from_millis(300),
            prewarm_rate: 50,
        }
    }
}
