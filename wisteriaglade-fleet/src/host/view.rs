//! The host's copy of the plan and the directory, as the control leader
//! published them.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use wisteriaglade_mesh::{Directory, Entry, Keyspace, Plan, Table, Targets};
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
    /// The running targets.
    targets: Targets,
    /// The key ranges of each sharded pool.
    pub(super) keyspaces: BTreeMap<Name, Keyspace>,
}

impl View {
    /// Whether requests can be routed.
    pub(super) fn is_ready(&self) -> bool {
        self.plan.is_some() && !self.targets.is_empty()
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
        self.targets.apply(&directory.entries, directory.complete);
        // A directory of a replica that lags behind must not undo later changes of
        // the key ranges.
        if directory.index >= self.directory_index {
            self.directory_index = directory.index;
            directory.keyspaces.apply(&mut self.keyspaces);
        }
    }

    /// Returns the targets of a pool.
    pub(super) fn targets(&self, pool: &Name) -> &[Entry] {
        self.targets.of(pool)
    }

    /// Returns the targets of all pools.
    pub(super) fn all_targets(&self) -> impl Iterator<Item = &Entry> {
        self.targets.all()
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
