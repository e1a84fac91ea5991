//! Events that the driver passes to the planner.

use std::time::Duration;

use wisteriaglade_types::Node;

use super::Load;

/// An observation or a change of role, which the driver passes to
/// [`Planner::step`](super::Planner::step).
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// This replica has become the leader and has applied the no-op entry of
    /// its term, so every earlier fence is known to be committed. All waits
    /// start again.
    Lead,
    /// This replica is no longer the leader. The planner proposes nothing until
    /// the next `Lead`.
    Follow,
    /// A lease renewal of a node arrived at this replica.
    Renewed {
        /// The node that renewed its lease.
        node: Node,
    },
    /// A node reported its load, which it does about every second.
    Load {
        /// The node that reported.
        node: Node,
        /// The reported load.
        report: Load,
    },
    /// A node reported that its target does not respond. It repeats the report
    /// as long as that is the case.
    TargetUnresponsive {
        /// The node beside the target.
        node: Node,
    },
    /// An operator asserts that the host of a node is off, so that its target
    /// executes nothing any more. The deadlines of its requests need not be
    /// waited for.
    HostOff {
        /// The node whose host is off.
        node: Node,
    },
    /// A majority of the replicas has applied the fence of a node, and none of
    /// them acknowledged a renewal after `last`. The lease of the node
    /// therefore ends one lease duration after `last` instead of after the
    /// fence.
    RenewalsEnded {
        /// The fenced node.
        node: Node,
        /// The latest time at which a renewal can have been acknowledged, on
        /// the clock of `now`.
        last: Duration,
    },
    /// Time has passed. The driver sends this event every 10 to 50 ms, and
    /// after it has applied entries.
    Tick,
}
