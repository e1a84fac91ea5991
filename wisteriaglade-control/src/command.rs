//! The commands of the control log. Nodes, operators and the planner propose
//! them, and [`State::apply`](crate::State::apply) executes them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Epoch, Hash, Name, Node, Shard, Version};

use crate::{Assignment, Config, Target};

/// A change of the [`State`](crate::State), stored as one entry of the control
/// log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Adds a node. Its id is the index of the entry. A command with the nonce
    /// of an existing node returns the id of that node, so that a retried join
    /// does not create a second one.
    Join {
        /// A random number that the process chooses at its start.
        nonce: u128,
        /// The host that the process runs on.
        host: Name,
        /// The data centre of the host.
        data_centre: Name,
        /// The caller address, where callers connect to the node.
        caller: SocketAddr,
        /// The peer address, where other nodes and replicas connect to the
        /// node.
        peer: SocketAddr,
        /// The admin address, where operators and the local target connect to
        /// the node.
        admin: SocketAddr,
    },
    /// Sets or updates the target of a node and makes the node ready. The first
    /// target of a pool creates the pool.
    Announce {
        /// The node that the target runs beside.
        node: Node,
        /// The pool that the target serves.
        pool: Name,
        /// The address, capacity and abilities of the target.
        target: Target,
    },
    /// Stops giving shards to a node. The planner moves its present shards to
    /// other nodes.
    Drain {
        /// The node to drain.
        node: Node,
    },
    /// Removes a node that owns no shards.
    Leave {
        /// The node to remove.
        node: Node,
    },
    /// Fences a node: from now on its lease renewals are refused, permanently.
    Fence {
        /// The node to fence.
        node: Node,
    },
    /// Removes a fenced node that owns no shards.
    Remove {
        /// The node to remove.
        node: Node,
    },
    /// Gives an owner to shards that have none or whose owner is fenced. Each
    /// assignment is checked on its own.
    Assign {
        /// The pool of all the shards.
        pool: Name,
        /// The shards with their new owners.
        assignments: Vec<Assignment>,
    },
    /// Asks the owner of a shard to hand it over. The epoch prevents a delayed
    /// copy of the proposal from moving the shard on from its new owner.
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
    /// Hands over shards whose transfer is pending; proposed by their owner.
    /// Each shard is checked on its own. The epochs prevent a delayed copy of
    /// an earlier release from affecting a later grant to the same node.
    Release {
        /// The owner of the shards.
        node: Node,
        /// The shards and the epochs of their current grants.
        shards: Vec<(Shard, Epoch)>,
    },
    /// Sets the holders of the records of a shard.
    SetHolders {
        /// The owner of the shard, which proposes the change.
        node: Node,
        /// The pool of the shard.
        pool: Name,
        /// The shard whose holders change.
        shard: Shard,
        /// The epoch of the current grant.
        epoch: Epoch,
        /// The holders that the proposer saw, in their order. They must match
        /// the present ones. Otherwise a delayed copy of an earlier change
        /// could bring back holders that lack later records.
        base: Vec<Node>,
        /// The new holders: at least one and at most
        /// [`State::MAX_HOLDERS`](crate::State::MAX_HOLDERS).
        holders: Vec<Node>,
    },
    /// Gives a hot key a dedicated shard with the owner and the holders of the
    /// shard that the key is in.
    Dedicate {
        /// The pool of the key.
        pool: Name,
        /// The hash of the key.
        hash: Hash,
    },
    /// Removes the dedicated shard of a key. The command is refused unless the
    /// dedicated shard and the shard that the key returns to have the same
    /// owner and the same holders.
    Merge {
        /// The pool of the key.
        pool: Name,
        /// The hash of the key.
        hash: Hash,
    },
    /// Replaces the rules, if the base is still the current version.
    ChangeRules {
        /// A random number that identifies the change. A retry carries the same
        /// id and gets the reply of the first attempt.
        id: u128,
        /// The version of the rules that the change was based on.
        base: Version,
        /// The name of the operator who makes the change.
        operator: Name,
        /// The text of the rules file. The proposer has checked it.
        text: Arc<str>,
        /// The longest deadline of each pool in `text`. The proposer computes
        /// it, so that this package does not parse rules.
        longest_deadlines: Vec<(Name, Duration)>,
    },
    /// Sets the settings of the state machine, once. They decide the outcome of
    /// commands and therefore come from the log: two processes with different
    /// settings of their own would derive different states from the same log.
    Configure {
        /// The settings of all replicas.
        config: Config,
    },
}
