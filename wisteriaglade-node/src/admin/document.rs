//! The JSON documents of the admin listener.
//!
//! Field names are the names in the documents, so renaming a field changes the
//! interface unless a serde attribute keeps its name.

#![allow(
    clippy::struct_field_names,
    clippy::struct_excessive_bools,
    reason = "the fields are the names in the JSON documents"
)]

use std::{collections::BTreeMap, net::SocketAddr};

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The announcement of a target.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(super) struct Target {
    /// The pool that the target serves.
    pub(super) pool: String,
    /// Where the target accepts requests.
    pub(super) address: SocketAddr,
    /// The number of requests that the target executes concurrently.
    pub(super) slots: u32,
    /// The maximum number of connections that the target accepts.
    pub(super) connections: u32,
    /// Whether the target checks fencing tokens.
    #[serde(default)]
    pub(super) fencing: bool,
    /// The time from the start of the target until it runs at full speed, in
    /// milliseconds.
    #[serde(default)]
    pub(super) cold_start_ms: u64,
}

/// A load report of a target.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(super) struct Load {
    /// The number of requests that the target runs.
    pub(super) running: u32,
    /// The number of requests that wait inside the target.
    #[serde(default)]
    pub(super) queued: u32,
    #[serde(default = "healthy")]
    pub(super) healthy: bool,
}

const fn healthy() -> bool {
    true
}

/// The text of a rules file that is to be checked or compared.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(super) struct Text {
    pub(super) text: String,
}

/// A change of the rules.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub(super) struct Change {
    /// A random change id. A change that is sent again has the same one.
    pub(super) id: String,
    /// The version that the change was made against.
    pub(super) base: u64,
    pub(super) text: String,
}

/// The rules in force.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Rules {
    pub(super) version: u64,
    pub(super) text: String,
}

/// The version that an accepted change created.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Accepted {
    pub(super) version: u64,
}

/// The answer to a change whose base is not the current version.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Conflict {
    pub(super) version: u64,
    /// The change that created the current version.
    pub(super) winner: Revision,
}

/// An accepted change of the rules.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Revision {
    pub(super) version: u64,
    pub(super) id: String,
    pub(super) operator: String,
}

/// The result of checking a rules file.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Checked {
    pub(super) valid: bool,
    /// The number of rules, or 0 when the file is not valid.
    pub(super) rules: usize,
    pub(super) problems: Vec<String>,
}

/// The rules that a file adds, removes and changes, compared with those in
/// force.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Difference {
    pub(super) version: u64,
    pub(super) added: Vec<String>,
    pub(super) removed: Vec<String>,
    pub(super) changed: Vec<String>,
}

/// The state of this process and its view of the cluster.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Status {
    pub(super) host: String,
    pub(super) data_centre: String,
    /// The node id, absent until the process has joined.
    pub(super) node: Option<u64>,
    pub(super) lease: bool,
    pub(super) current: bool,
    pub(super) applied_index: u64,
    pub(super) rules_version: u64,
    pub(super) control_leader: Option<u64>,
    /// The number of requests that are queued or run at this node.
    pub(super) pending: usize,
    pub(super) nodes: Vec<Node>,
    pub(super) pools: Vec<Pool>,
}

/// A node of the cluster.
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

/// A pool and its shards.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Pool {
    pub(super) pool: String,
    pub(super) shards: u32,
    /// The number of shards without an owner.
    pub(super) ownerless: usize,
    /// The number of shards that are moving to another node.
    pub(super) moving: usize,
    pub(super) hot_keys: usize,
}

/// Whether this process can serve requests, and the conditions for it.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct Health {
    pub(super) healthy: bool,
    pub(super) joined: bool,
    pub(super) lease: bool,
    pub(super) current: bool,
    pub(super) target_suspect: bool,
    pub(super) storage_failed: bool,
}

/// The query parameters that describe a request to explain.
#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct ExplainQuery {
    pub(super) method: String,
    pub(super) path: String,
}

/// The rule that matches a request, and the shard and owner of its key.
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

/// Figures of one member's requests at the target beside this process.
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

/// The path parameter that names a node.
#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct Path {
    pub(super) node: u64,
}
