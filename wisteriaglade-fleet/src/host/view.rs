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
    pub(super) table: Arc<Table>,
    /// The peer addresses of the control replicas.
    pub(super) replicas: Vec<SocketAddr>,
    /// The number of hosts that report to the leader.
    pub(super) hosts: u32,
    /// The entry of the control log that `keys` reflects.
    pub(super) index: u64,
    /// The targets of each pool.
    pools: HashMap<Name, Vec<Entry>>,
    /// The key ranges of each sharded pool.
    pub(super) keys: BTreeMap<Name, Keyspace>,
}

impl View {
    /// Whether requests can be routed.
    pub(super) fn is_ready(&self) -> bool {
        self.plan.is_some() && !self.pools.is_empty()
    }

    /// Returns the version of the plan; 0 if there is none.
    pub(super) fn version(&self) -> u64 {
        self.plan.as_ref().map_or(0, |plan| plan.version)
    }

    /// Puts a plan in force. Returns whether it was newer than the current one; an
    /// older one is ignored, so that no removed rule comes back.
    pub(super) fn replace(&mut self, plan: Plan) -> bool {
        if plan.version <= self.version() {
            return false;
        }
        self.table = Arc::new(Table::new(&plan));
        self.plan = Some(Arc::new(plan));
        true
    }

    /// Updates the targets and key ranges from a directory.
    pub(super) fn update(&mut self, directory: &Directory) {
        if let Some(entries) = &directory.entries {
            self.list(entries.clone(), directory.complete);
        }
        // A directory of a replica that lags behind must not undo later changes of
        // the key ranges.
        if directory.index >= self.index {
            self.index = directory.index;
            directory.keys.apply(&mut self.keys);
        }
    }

    /// Replaces the targets. If `complete` is not set, known targets that are
    /// missing in `entries` are kept.
    fn list(&mut self, mut entries: Vec<Entry>, complete: bool) {
        if !complete {
            // The leader is new, and some hosts may not have reported to it yet.
            for old in self.pools.values().flatten() {
                let is_known = entries
                    .iter()
                    .any(|entry| entry.owner == old.owner || entry.address == old.address);
                if !is_known {
                    entries.push(old.clone());
                }
            }
        }
        self.pools.clear();
        for entry in entries {
            self.pools
                .entry(entry.pool.clone())
                .or_default()
                .push(entry);
        }
    }

    /// Returns the targets of a pool.
    pub(super) fn targets(&self, pool: &Name) -> &[Entry] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the targets of all pools.
    pub(super) fn all(&self) -> impl Iterator<Item = &Entry> {
        self.pools.values().flatten()
    }

    /// Returns the target that holds a key; `None` if it has no holder or the
    /// holder is not in the directory.
    pub(super) fn holder(&self, pool: &Name, key: u16) -> Option<&Entry> {
        let owner = self.keys.get(pool)?.find(key)?.owner.as_ref()?;
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
