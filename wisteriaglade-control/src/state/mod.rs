//! The replicated state: its tables, the commands that change them, and the
//! look-ups.

mod apply;
mod config;
mod grant;
mod pool;
mod process;
mod row;
mod rules;
mod snapshot;
mod status;

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Hash, Index, Name, Node, Shard, Version};

pub use self::{
    config::Config, grant::Grant, pool::Pool, process::Process, rules::Revision, status::Status,
};
use self::{row::Row, rules::Rules};
use crate::Reply;

/// The replicated control state: nodes, pools with their shard tables, and
/// rules.
///
/// Replicas that apply the same commands at the same indexes have equal states.
/// The look-ups on the path of a request, [`State::locate`] and
/// [`State::node`], do not allocate.
///
/// # Example
///
/// ```
/// use wisteriaglade_control::{Command, Config, Reply, State};
/// use wisteriaglade_types::{Index, Node};
///
/// let mut state = State::new(Config::default());
/// let address = "127.0.0.1:7000".parse().unwrap();
/// let join = Command::Join {
///     nonce: 17,
///     host: "lantern-1".into(),
///     data_centre: "Bangor".into(),
///     caller: address,
///     peer: address,
///     admin: address,
/// };
/// let reply = state.apply(Index::new(4), &join);
/// assert_eq!(reply, Reply::Joined(Node::new(4)));
/// assert_eq!(State::decode(&state.encode()).unwrap(), state);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    config: Config,
    configured: bool,
    index: Index,
    nodes: BTreeMap<Node, Process>,
    pools: BTreeMap<Name, Pool>,
    rules: Rules,
}

impl State {
    /// The maximum number of holders of the records of a shard.
    pub const MAX_HOLDERS: usize = Row::MAX_HOLDERS;

    /// Creates an empty state with the settings that hold until a
    /// [`Command::Configure`](crate::Command::Configure).
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            config,
            configured: false,
            index: Index::new(0),
            nodes: BTreeMap::new(),
            pools: BTreeMap::new(),
            rules: Rules::new(),
        }
    }

    /// Returns the settings of the state machine.
    #[must_use]
    pub const fn config(&self) -> Config {
        self.config
    }

    /// Returns whether a [`Command::Configure`](crate::Command::Configure) has
    /// set the settings.
    #[must_use]
    pub const fn is_configured(&self) -> bool {
        self.configured
    }

    /// Returns the index of the last applied entry, or 0 before the first.
    #[must_use]
    pub const fn index(&self) -> Index {
        self.index
    }

    /// Returns the grant of the shard that a key belongs to, or `None` when the
    /// pool does not exist. The dedicated shard of a hot key takes precedence.
    #[must_use]
    pub fn locate(&self, pool: &str, hash: Hash) -> Option<Grant> {
        let pool = self.pools.get(pool)?;
        pool.grant(pool.shard(hash))
    }

    /// Returns the description of a node, or `None` when it has not joined or
    /// has been removed.
    #[must_use]
    pub fn node(&self, node: Node) -> Option<&Process> {
        self.nodes.get(&node)
    }

    /// Returns all nodes in the order of their ids.
    #[must_use]
    pub fn nodes(&self) -> impl ExactSizeIterator<Item = &Process> {
        self.nodes.values()
    }

    /// Returns the shard table of a pool, or `None` when no target has
    /// announced itself in it.
    #[must_use]
    pub fn pool(&self, pool: &str) -> Option<&Pool> {
        self.pools.get(pool)
    }

    /// Returns all pools in the order of their names.
    #[must_use]
    pub fn pools(&self) -> impl ExactSizeIterator<Item = (&Name, &Pool)> {
        self.pools.iter()
    }

    /// Returns the grant of each shard of a pool, dedicated shards last.
    pub fn shards(&self, pool: &str) -> impl Iterator<Item = Grant> {
        self.pools.get(pool).into_iter().flat_map(Pool::grants)
    }

    /// Returns the grants of the shards that a node owns. All are in the pool
    /// of its target. This reads the whole shard table of the pool.
    pub fn shards_of(&self, node: Node) -> impl Iterator<Item = Grant> {
        let process = self
            .nodes
            .get(&node)
            .filter(|process| process.shard_count > 0);
        let pool = process.and_then(Process::pool).map_or("", Name::as_str);
        self.shards(pool)
            .filter(move |grant| grant.owner == Some(node))
    }

    /// Returns the holders of the records of a shard, which may be fenced or
    /// removed nodes.
    #[must_use]
    pub fn holders(&self, pool: &str, shard: Shard) -> &[Node] {
        self.pools.get(pool).map_or(&[], |pool| pool.holders(shard))
    }

    /// Returns whether a node is fenced or has been removed, so that its lease
    /// must not be renewed. An id above the last applied index is not fenced:
    /// that node may join later.
    #[must_use]
    pub fn is_fenced(&self, node: Node) -> bool {
        match self.nodes.get(&node) {
            Some(process) => process.is_fenced(),
            None => node.get() <= self.index.get(),
        }
    }

    /// Returns the version and the text of the current rules.
    #[must_use]
    pub fn rules(&self) -> (Version, &str) {
        self.rules.current()
    }

    /// Returns the last 1,000 changes of the rules, oldest first.
    #[must_use]
    pub fn history(&self) -> impl DoubleEndedIterator<Item = &Revision> {
        self.rules.history()
    }

    /// Returns the reply to the first attempt of a change of the rules, or
    /// `None` when it is not among the last 10,000 changes.
    #[must_use]
    pub fn outcome(&self, id: u128) -> Option<&Reply> {
        self.rules.outcome(id)
    }

    /// Returns the longest deadline of a pool in the current rules, or zero.
    #[must_use]
    pub fn longest_deadline(&self, pool: &str) -> Duration {
        self.rules.longest_deadline(pool)
    }

    /// Returns the longest deadline of a pool in the last eight versions of the
    /// rules. Requests that began under an earlier version may still run.
    #[must_use]
    pub fn longest_recent_deadline(&self, pool: &str) -> Duration {
        self.rules.longest_recent_deadline(pool)
    }
}
