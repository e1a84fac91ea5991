use std::time::Duration;

use wisteriaglade_types::{Epoch, Name, Node, Request, Shard};

use crate::{Answer, Cover, Fingerprint, Key, holder::Reply};

/// What the owner's side is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The control log grants a shard to this process, or changes the holders or
    /// the keys of a shard that it owns.
    ///
    /// Events follow the order of the log. When a key gets a dedicated shard, the
    /// `Own` of that shard comes before the `Own` of its parent with the key
    /// excepted. A dedicated shard starts with the holders that its parent has in
    /// the log; a key is merged back only while both shards have the same holders,
    /// and the merge gives the parent a new epoch.
    Own {
        /// The pool.
        pool: Name,
        /// The shard.
        shard: Shard,
        /// The epoch of the grant.
        epoch: Epoch,
        /// The keys of the shard.
        cover: Cover,
        /// The holders in the log; empty before the first ones are chosen.
        holders: Vec<Node>,
    },
    /// This process gives a shard up. No further request starts; those that run
    /// may still end.
    Disown {
        /// The pool.
        pool: Name,
        /// The shard.
        shard: Shard,
    },
    /// Another set of holders is to take the place of the present one. The present
    /// set cancels a replacement; one that was proposed may still take effect. A set
    /// that the shard had before in the same epoch is ignored.
    Replace {
        /// The pool.
        pool: Name,
        /// The shard.
        shard: Shard,
        /// The new holders.
        holders: Vec<Node>,
    },
    /// A request that runs at most once arrives. A request that is already known
    /// here and has had no final effect is ignored.
    Begin {
        /// The shard.
        shard: Shard,
        /// The work.
        key: Key,
        /// The method and path.
        fingerprint: Fingerprint,
        /// The request.
        request: Request,
        /// The point in time, since process start, until which it may start.
        deadline: Duration,
    },
    /// The work of a request after [`Effect::Run`](super::Effect::Run) is over.
    Finish {
        /// The request.
        request: Request,
        /// The response; `None` when the outcome is not known.
        answer: Option<Answer>,
    },
    /// The work of a request after [`Effect::Run`](super::Effect::Run) certainly
    /// did not run and will not.
    Abort {
        /// The request.
        request: Request,
    },
    /// A holder replied.
    Reply {
        /// The holder.
        from: Node,
        /// The call that it replies to.
        call: u64,
        /// The reply.
        reply: Reply,
    },
    /// The calls to a node failed. They may have taken effect.
    Lost {
        /// The node.
        node: Node,
    },
    /// Time has passed. Expected every 50 ms or more often while requests wait.
    Tick,
}
