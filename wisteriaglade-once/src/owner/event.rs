use std::time::Duration;

use wisteriaglade_types::{Epoch, Name, Node, Request, Shard};

use crate::{Answer, Fingerprint, Key, Keyspace, holder::Reply};

/// An input of an [`Owner`](super::Owner).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The control log grants a shard to this process, or changes the holders or the keys
    /// of a shard that the process owns.
    ///
    /// Events must follow the order of the log. When a key gets a dedicated shard, the
    /// `Grant` of that shard comes before the `Grant` of its parent that excludes the key. A
    /// dedicated shard starts with the holders that its parent has in the log. A key is
    /// merged back only while both shards have the same holders, and the merge gives the
    /// parent a new epoch.
    Grant {
        /// The pool of the shard.
        pool: Name,
        /// The number of the shard.
        shard: Shard,
        /// The epoch of the grant.
        epoch: Epoch,
        /// The keys of the shard.
        keyspace: Keyspace,
        /// The holders in the log; empty until the first ones are chosen.
        holders: Vec<Node>,
    },
    /// This process gives a shard up. No further request starts; running requests may
    /// still finish.
    Release {
        /// The pool of the shard.
        pool: Name,
        /// The number of the shard.
        shard: Shard,
    },
    /// Replace the holders of a shard. The current set cancels a replacement, but one that
    /// was already proposed may still take effect. A set that the shard had earlier in the
    /// same epoch is ignored.
    Replace {
        /// The pool of the shard.
        pool: Name,
        /// The number of the shard.
        shard: Shard,
        /// The wanted holders.
        holders: Vec<Node>,
    },
    /// A request that runs at most once arrives. The event is ignored if the same request
    /// is known and has had no final effect.
    Begin {
        /// The shard that the key is routed to.
        shard: Shard,
        /// Identifies the work; equal keys are resends of each other.
        key: Key,
        /// The hash of the method and path.
        fingerprint: Fingerprint,
        /// Identifies this request among all requests, resends included.
        request: Request,
        /// The time since process start until which the request may start.
        deadline: Duration,
    },
    /// A request that was dispatched for [`Effect::Run`](super::Effect::Run) has ended.
    Finish {
        /// The request of the `Run`.
        request: Request,
        /// The response; `None` if the outcome is not known.
        answer: Option<Answer>,
    },
    /// A request with [`Effect::Run`](super::Effect::Run) certainly did not run and will
    /// not.
    Abort {
        /// The request of the `Run`.
        request: Request,
    },
    /// A holder replied to an [`Effect::Call`](super::Effect::Call).
    Reply {
        /// The node of the holder.
        from: Node,
        /// The number of the call.
        call: u64,
        /// The reply as returned by [`Holder::handle`](crate::holder::Holder::handle).
        reply: Reply,
    },
    /// A node cannot be reached. All calls in flight to it are given up; they may have
    /// taken effect.
    Unreachable {
        /// The node that cannot be reached.
        node: Node,
    },
    /// Time has passed; checks timeouts. Expected at least every 50 ms while requests
    /// wait.
    Tick,
}
