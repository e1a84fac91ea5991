//! The JSON documents of the admin listener.

#![allow(
    clippy::struct_field_names,
    clippy::struct_excessive_bools,
    reason = "the fields are the names in the JSON documents"
)]

use std::{collections::BTreeMap, net::SocketAddr};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What a target says of itself.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(super) struct Target {
    pub(super) pool: String,
    pub(super) address: SocketAddr,
    pub(super) slots: u32,
    pub(super) connections: u32,
    #[serde(default)]
    pub(super) fencing: bool,
    #[serde(default)]
    pub(super) cold_start_ms: u64,
}

/// A load report of a target.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(super) struct Load {
    pub(super) running: u32,
    #[serde(default)]
    pub(super) queued: u32,
    #[serde(default = "healthy")]
    pub(super) healthy: bool,
}

const fn healthy() -> bool {
    true
}

/// A rules file.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(super) struct Text {
    pub(super) text: String,
}

/// A change of the rules.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(super) struct Change {
    /// A random identifier that stays the same when the change is resent.
    pub(super) id: String,
    /// The version that the change was written against.
    pub(super) base: u64,
    pub(super) text: String,
}

/// The rules in force.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Rules {
    pub(super) version: u64,
    pub(super) text: String,
}

/// The version that a change made.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Accepted {
    pub(super) version: u64,
}

/// A change with a wrong base, and the change that won.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Conflict {
    pub(super) version: u64,
    pub(super) winner: Revision,
}

/// One accepted change.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Revision {
    pub(super) version: u64,
    pub(super) id: String,
    pub(super) operator: String,
}

/// The result of a check.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Checked {
    pub(super) valid: bool,
    pub(super) rules: usize,
    pub(super) problems: Vec<String>,
}

/// What a change would do.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Difference {
    pub(super) version: u64,
    pub(super) added: Vec<String>,
    pub(super) removed: Vec<String>,
    pub(super) changed: Vec<String>,
}

/// The state of this process and what it knows of the cluster.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Status {
    pub(super) host: String,
    pub(super) data_centre: String,
    pub(super) node: Option<u64>,
    pub(super) lease: bool,
    pub(super) current: bool,
    pub(super) applied_index: u64,
    pub(super) rules_version: u64,
    pub(super) control_leader: Option<u64>,
    pub(super) pending: usize,
    pub(super) nodes: Vec<Node>,
    pub(super) pools: Vec<Pool>,
}

/// One process of the cluster.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Node {
    pub(super) node: u64,
    pub(super) host: String,
    pub(super) data_centre: String,
    pub(super) status: String,
    pub(super) pool: String,
    pub(super) shards: u32,
    pub(super) caller: SocketAddr,
    pub(super) admin: SocketAddr,
}

/// One pool.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Pool {
    pub(super) pool: String,
    pub(super) shards: u32,
    pub(super) ownerless: usize,
    pub(super) moving: usize,
    pub(super) hot_keys: usize,
}

/// Whether this process serves.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Health {
    pub(super) healthy: bool,
    pub(super) joined: bool,
    pub(super) lease: bool,
    pub(super) current: bool,
    pub(super) target_suspect: bool,
    pub(super) storage_failed: bool,
}

/// A request to explain.
#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct Question {
    pub(super) method: String,
    pub(super) path: String,
}

/// Which rule covers a request and where its key lives.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Explanation {
    pub(super) rule: String,
    pub(super) line: usize,
    pub(super) asked_by: String,
    pub(super) member: String,
    pub(super) pool: String,
    pub(super) key: String,
    pub(super) hash: String,
    pub(super) shard: Option<u32>,
    pub(super) epoch: Option<u64>,
    pub(super) owner: Option<u64>,
    pub(super) owner_host: Option<String>,
    pub(super) owner_caller: Option<SocketAddr>,
    pub(super) moving_to: Option<u64>,
    pub(super) holders: Vec<u64>,
}

/// How one member is treated at the target beside this process.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Member {
    pub(super) member: String,
    pub(super) arrivals: u64,
    pub(super) completions: u64,
    pub(super) busy_ms: u64,
    pub(super) mean_wait_us: u64,
    pub(super) longest_wait_us: u64,
    pub(super) refused: BTreeMap<String, u64>,
}

/// A node in a path.
#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct Path {
    pub(super) node: u64,
}
