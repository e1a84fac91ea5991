//! Settings of a router.

use std::time::Duration;

use crate::Policy;

/// Settings of a [`Router`](crate::Router). The defaults suit targets with 6
/// to 12 slots and short work of about 10 ms.
#[derive(Debug, Clone)]
pub struct Config {
    /// The scheduling. Default: [`Policy::Adaptive`].
    pub policy: Policy,
    /// Requests that wait at most, over all members. Default: 1024.
    pub queue: usize,
    /// Requests of one member that wait at most. Default: 512.
    pub member_queue: usize,
    /// Callers of one member that have their own queue. Further callers share
    /// one. Default: 256.
    pub callers: usize,
    /// Members with their own statistics. Further members are counted together
    /// under the name `other`. Default: 256.
    pub members: usize,
    /// Whether the freshest request of a caller goes first while the queue is
    /// standing. Default: true.
    pub freshest: bool,
    /// How long work is still dispatched after [`Event::Drain`]. A leaving
    /// target must receive nothing after 3 s, so the default is 2.5 s.
    ///
    /// [`Event::Drain`]: crate::Event::Drain
    pub grace: Duration,
    /// The shortest silence after which a target can be suspected. Default:
    /// 300 ms, which leaves time to move the shards within 1 s.
    pub silence: Duration,
    /// New connections per second that are opened ahead of demand. Default: 50.
    pub warm_rate: u32,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            policy: Policy::Adaptive,
            queue: 1024,
            member_queue: 512,
            callers: 256,
            members: 256,
            freshest: true,
            grace: Duration::from_millis(2500),
            silence: Duration::from_millis(300),
            warm_rate: 50,
        }
    }
}
