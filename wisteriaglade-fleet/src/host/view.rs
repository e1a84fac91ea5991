//! What a host knows of the fleet.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use wisteriaglade_mesh::{Directory, Entry, Keyspace, Plan, Table};
use wisteriaglade_types::Name;

/// What a host knows of the fleet.
#[derive(Debug, Default)]
pub(super) struct View {
    /// The plan in force, once one is known.
    pub(super) plan: Option<Arc<Plan>>,
    /// Its rules for look-up.
    pub(super) table: Arc<Table>,
    /// Where control replicas take links.
    pub(super) replicas: Vec<SocketAddr>,
    /// Hosts in the fleet.
    pub(super) hosts: u32,
    /// The log entry that the directory reflects.
    pub(super) index: u64,
    pools: HashMap<Name, Vec<Entry>>,
    /// The key ranges of each pool that is divided by key.
    pub(super) keys: BTreeMap<Name, Keyspace>,
}

impl View {
    /// Whether requests can be routed.
    pub(super) fn is_ready(&self) -> bool {
        self.plan.is_some() && !self.pools.is_empty()
    }

    /// The version of the plan; 0 when none is known.
    pub(super) fn version(&self) -> u64 {
        self.plan.as_ref().map_or(0, |plan| plan.version)
    }

    /// Puts a plan in force. An older one is ignored, so that no rule returns.
    pub(super) fn replace(&mut self, plan: Plan) -> bool {
        if plan.version <= self.version() {
            return false;
        }
        self.table = Arc::new(Table::new(&plan));
        self.plan = Some(Arc::new(plan));
        true
    }

    /// Takes a directory.
    pub(super) fn update(&mut self, directory: &Directory) {
        if let Some(entries) = &directory.entries {
            self.list(entries.clone(), directory.complete);
        }
        // A copy of a replica that is behind must not take keys back.
        if directory.index >= self.index {
            self.index = directory.index;
            directory.keyspaces.apply(&mut self.keys);
        }
    }

    fn list(&mut self, mut entries: Vec<Entry>, complete: bool) {
        if !complete {
            // The leader is new, and a host may not have reported to it yet.
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

    /// The targets of a pool.
    pub(super) fn targets(&self, pool: &Name) -> &[Entry] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// All targets.
    pub(super) fn all(&self) -> impl Iterator<Item = &Entry> {
        self.pools.values().flatten()
    }

    /// The target that holds a key.
    pub(super) fn holder(&self, pool: &Name, key: u16) -> Option<&Entry> {
        let owner = self.keys.get(pool)?.find(key)?.owner.as_ref()?;
        self.targets(pool)
            .iter()
            .find(|entry| entry.owner == *owner)
    }

    /// Whether a pool is divided by key.
    pub(super) fn is_sharded(&self, pool: &Name) -> bool {
        let plan = self.plan.as_ref();
        plan.and_then(|plan| plan.pool(pool))
            .is_some_and(|pool| pool.sharded)
    }
}
