//! What the planner is told.

use std::time::Duration;

use wisteriaglade_types::Node;

use super::Load;

/// What the planner is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// This replica has become the leader and has applied the no-op entry of
    /// its term, so that every earlier fence is known to be committed. All
    /// waits start again.
    Lead,
    /// This replica is no longer the leader. Nothing is proposed until `Lead`.
    Follow,
    /// A lease renewal of a node arrived.
    Renewed {
        /// The node.
        node: Node,
    },
    /// A node reported its load.
    Load {
        /// The node.
        node: Node,
        /// Its report.
        report: Load,
    },
    /// A node reported that its target does not respond. It repeats the report
    /// while that lasts.
    Refused {
        /// The node.
        node: Node,
    },
    /// An operator asserts that the host of a node is off, so that its target
    /// executes nothing any more.
    Lost {
        /// The node.
        node: Node,
    },
    /// A majority of the replicas has applied the fence of a node, and none of
    /// them acknowledged a renewal after `last`, on the clock of `now`. The
    /// lease of the node ends a lease after that, not a lease after the fence.
    Ceased {
        /// The fenced node.
        node: Node,
        /// When the last renewal was acknowledged at the latest.
        last: Duration,
    },
    /// Time has passed. The driver sends it every 10 to 50 ms, and after it has
    /// applied entries.
    Tick,
}
