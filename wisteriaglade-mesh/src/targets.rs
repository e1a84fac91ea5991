//! A host's copy of the running targets.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
};

use wisteriaglade_types::Name;

use crate::{Entry, EntryUpdate};

/// The running targets of each pool, as the leader has published them.
///
/// A new leader learns the targets from the reports of their hosts. Until each
/// host has had time to report, targets that it has not named stay in the copy.
#[derive(Debug, Default)]
pub struct Targets {
    by_pool: HashMap<Name, Vec<Entry>>,
    /// The addresses of the hosts that the present leader has named.
    named: BTreeSet<SocketAddr>,
}

impl Targets {
    /// Returns the targets of a pool.
    #[must_use]
    pub fn of(&self, pool: &Name) -> &[Entry] {
        self.by_pool.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Returns the targets of all pools.
    pub fn all(&self) -> impl Iterator<Item = &Entry> {
        self.by_pool.values().flatten()
    }

    /// Returns whether no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_pool.is_empty()
    }

    /// Applies an update of the leader. If it is `complete`, targets that this
    /// leader has not named are removed.
    pub fn apply(&mut self, update: &EntryUpdate, complete: bool) {
        match update {
            EntryUpdate::Unchanged => return,
            EntryUpdate::Full(entries) => {
                self.named.clear();
                self.insert(entries);
            }
            EntryUpdate::Changed { updated, removed } => {
                self.retain(|entry| !removed.contains(&entry.address));
                self.insert(updated);
            }
        }
        if complete {
            let named = std::mem::take(&mut self.named);
            self.retain(|entry| named.contains(&entry.address));
            self.named = named;
        }
    }

    /// Adds targets in place of those of the same hosts and of the same targets
    /// on other hosts.
    fn insert(&mut self, entries: &[Entry]) {
        let addresses: BTreeSet<_> = entries.iter().map(|entry| entry.address).collect();
        let owners: BTreeSet<_> = entries.iter().map(|entry| &entry.owner).collect();
        self.retain(|entry| !addresses.contains(&entry.address) && !owners.contains(&entry.owner));
        for entry in entries {
            let pool = self.by_pool.entry(entry.pool.clone()).or_default();
            pool.push(entry.clone());
        }
        self.named.extend(addresses);
    }

    fn retain(&mut self, keep: impl Fn(&Entry) -> bool) {
        for entries in self.by_pool.values_mut() {
            entries.retain(&keep);
        }
        self.by_pool.retain(|_, entries| !entries.is_empty());
    }
}
