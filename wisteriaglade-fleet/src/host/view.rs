//! The host's copy of the plan and the directory, as the control leader
//! published them.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use wisteriaglade_mesh::{Directory, Entry, Keyspace, Plan, Table};
use wisteriaglade_types::Name;

/// The plan, targets and key ranges that a host routes by.
#[derive(Debug, Default)]
pub(super) struct View {
    /// The plan in force; `None` before one was received.
    pub(super) plan: Option<Arc<Plan>>,
    /// The rules of the plan, indexed for look-up.
    pub(super) rule_table: Arc<Table>,
    /// The peer addresses of the control replicas.
    pub(super) replicas: Vec<SocketAddr>,
    /// The number of hosts that report to the leader.
    pub(super) host_count: u32,
    /// The entry of the control log that `keyspaces` reflects.
    pub(super) directory_index: u64,
    /// The targets of each pool.
    targets_by_pool: HashMap<Name, Vec<Entry>>,
    /// The key ranges of each sharded pool.
    pub(super) keyspaces: BTreeMap<Name, Keyspace>,
}

impl View {
    /// Whether requests can be routed.
    pub(super) fn is_ready(&self) -> bool {
        self.plan.is_some() && !self.targets_by_pool.is_empty()
    }

    /// Returns the version of the plan; 0 if there is none.
    pub(super) fn plan_version(&self) -> u64 {
        self.plan.as_ref().map_or(0, |plan| plan.version)
    }

    /// Puts a plan in force. Returns whether it was newer than the current one; an
    /// older one is ignored, so that no removed rule comes back.
    pub(super) fn replace_plan(&mut self, plan: Plan) -> bool {
        if plan.version <= self.plan_version() {
            return false;
        }
        self.rule_table = Arc::new(Table::new(&plan));
        self.plan = Some(Arc::new(plan));
        true
    }

    /// Updates the targets and key ranges from a directory.
    pub(super) fn apply_directory(&mut self, directory: &Directory) {
        if let Some(entries) = &directory.entries {
            self.replace_targets(entries.clone(), directory.complete);
        }
        // A directory of a replica that lags behind must not undo later changes of
        // the key ranges.
        if directory.index >= self.directory_index {
            self.directory_index = directory.index;
            directory.keyspaces.apply(&mut self.keyspaces);
        }
    }

    /// Replaces the targets. If `complete` is not set, known targets that are
    /// missing in `entries` are kept.
    fn replace_targets(&mut self, mut entries: Vec<Entry>, complete: bool) {
        if !complete {
            // The leader is new, and some hosts may not have reported to it yet.
            for old in self.targets_by_pool.values().flatten() {
                let is_known = entries
                    .iter()
                    .any(|entry| entry.owner == old.owner || entry.address == old.address);
                if !is_known {
                    entries.push(old.clone());
                }
            }
        }
        self.targets_by_pool.clear();
        for entry in entries {
            self.targets_by_pool
                .entry(entry.pool.clone())
                .or_default()
                .push(entry);
        }
    }

    /// Returns the targets of a pool.
    pub(super) fn targets(&self, pool: &Name) -> &[Entry] {
        self.targets_by_pool.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the targets of all pools.
    pub(super) fn all_targets(&self) -> impl Iterator<Item = &Entry> {
        self.targets_by_pool.values().flatten()
    }

    /// Returns the target that holds a key; `None` if it has no holder or the
    /// holder is not in the directory.
    pub(super) fn holder(&self, pool: &Name, key: u16) -> Option<&Entry> {
        let owner = self.keyspaces.get(pool)?.find(key)?.owner.as_ref()?;
        self.targets(pool)
            .iter()
            .find(|entry| entry.owner == *owner)
    }

    /// Whether a pool is sharded by key.
    pub(super) fn is_sharded(&self, pool: &Name) -> bool {
        let plan = self.plan.as_ref();
        plan.and_then(|plan| plan.pool(pool))
            .is_some_and(|pool| pool.sharded)
    }
}
