//! The commands of the control log.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Epoch, Hash, Name, Node, Shard, Version};

use crate::{Config, Move, Target};

/// One change of the [`State`](crate::State), as an entry of the control log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Adds a process. The node id is the index of the entry; a repeated
    /// ticket returns the first id while that node exists.
    Join {
        /// A random number that the process chose at its start.
        ticket: u128,
        /// The machine that the process runs on.
        host: Name,
        /// The data centre of the machine.
        data_centre: Name,
        /// Where callers reach the process.
        caller: SocketAddr,
        /// Where other processes reach the process.
        peer: SocketAddr,
        /// Where operators and the local target reach the process.
        admin: SocketAddr,
    },
    /// Sets the target of a node. The first target of a pool creates the pool.
    Announce {
        /// The node beside the target.
        node: Node,
        /// The pool of the target.
        pool: Name,
        /// The target.
        target: Target,
    },
    /// Gives the node no more shards; the planner moves its shards away.
    Drain {
        /// The node to empty.
        node: Node,
    },
    /// Removes a node without shards.
    Leave {
        /// The node that leaves.
        node: Node,
    },
    /// Stops the lease renewals of a node for good.
    Fence {
        /// The node to fence.
        node: Node,
    },
    /// Deletes a fenced node without shards.
    Remove {
        /// The node to delete.
        node: Node,
    },
    /// Gives an owner to shards without one, or whose owner is fenced.
    /// Each move is checked on its own.
    Assign {
        /// The pool of all moves.
        pool: Name,
        /// The shards and their new owners.
        moves: Vec<Move>,
    },
    /// Asks the owner of a shard to hand it over. The epoch is named so that a
    /// late copy of the proposal does not move the shard on from its new owner.
    Transfer {
        /// The pool of the shard.
        pool: Name,
        /// The shard to move.
        shard: Shard,
        /// The epoch of the current grant.
        epoch: Epoch,
        /// The new owner.
        to: Node,
    },
    /// The owner hands over shards that are moving. Each shard is checked on
    /// its own. The epoch is named so that a late copy of an earlier release
    /// has no effect on a later grant to the same node.
    Release {
        /// The owner.
        node: Node,
        /// The shards with the epochs of their current grants.
        shards: Vec<(Shard, Epoch)>,
    },
    /// Sets the holders of the records of a shard.
    Hold {
        /// The current owner, which proposes the change.
        node: Node,
        /// The pool of the shard.
        pool: Name,
        /// The shard.
        shard: Shard,
        /// The epoch of the current grant.
        epoch: Epoch,
        /// The holders that the proposer saw. Without it, a late copy of an
        /// earlier change could bring back holders that lack later records.
        base: Vec<Node>,
        /// The new holders, at most [`State::HOLDERS`](crate::State::HOLDERS).
        holders: Vec<Node>,
    },
    /// Gives a hot key a dedicated shard, with the owner and the holders of
    /// the shard that the key is in.
    Single {
        /// The pool of the key.
        pool: Name,
        /// The hash of the key.
        hash: Hash,
    },
    /// Removes the dedicated shard of a key. It is refused until the dedicated
    /// shard and the shard that takes the key back have the same owner and the
    /// same holders.
    Merge {
        /// The pool of the key.
        pool: Name,
        /// The hash of the key.
        hash: Hash,
    },
    /// Replaces the rules.
    Change {
        /// A random number that identifies the change over its retries.
        id: u128,
        /// The version that the change was written against.
        base: Version,
        /// Who makes the change.
        operator: Name,
        /// The rules file, which the proposer has checked.
        text: Arc<str>,
        /// The longest deadline of each pool in `text`, which the proposer
        /// computed, so that this package does not parse rules.
        longest: Vec<(Name, Duration)>,
    },
    /// Sets the settings that decide the outcome of commands, once. They come
    /// from the log and not from each process, since two processes with
    /// different settings would apply the same log to different states.
    Configure {
        /// The settings.
        config: Config,
    },
}
