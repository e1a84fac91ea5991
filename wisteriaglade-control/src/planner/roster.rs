//! The nodes of a pool that may receive shards, with their capacities and
//! loads.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use wisteriaglade_types::{Name, Node};

/// A node that may receive shards, with its capacity and load.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) node: Node,
    pub(crate) data_centre: Name,
    /// The number of shards that it can serve, in a unit that is the same for
    /// all entries.
    pub(crate) capacity: f64,
    /// The shards that it owns or is about to own, weighted by their demand.
    pub(crate) load: f64,
    /// The mean demand of a shard of this node, relative to the mean of the
    /// pool.
    pub(crate) demand: f64,
}

impl Entry {
    pub(crate) fn load_factor(&self) -> f64 {
        self.load_factor_with(0.0)
    }

    pub(crate) fn load_factor_with(&self, more: f64) -> f64 {
        (self.load + more) / self.capacity
    }
}

/// The nodes of a pool that may receive shards. The load factor of a node is
/// its load divided by its capacity.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    entries: Vec<Entry>,
    /// The position of each node in `entries`.
    positions: BTreeMap<Node, usize>,
    /// For each data centre, a heap of the positions of its entries, lowest
    /// load factor first. It may contain outdated elements.
    heaps: BTreeMap<Name, BinaryHeap<Reverse<(u64, usize)>>>,
}

impl Roster {
    pub(crate) fn new(entries: Vec<Entry>) -> Self {
        let positions = entries.iter().map(|entry| entry.node);
        let positions = positions.zip(0..).collect();
        let heaps = BTreeMap::new();
        let mut roster = Self {
            entries,
            positions,
            heaps,
        };
        for position in 0..roster.entries.len() {
            roster.push(position);
        }
        roster
    }

    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    pub(crate) fn get(&self, node: Node) -> Option<&Entry> {
        self.positions
            .get(&node)
            .map(|position| &self.entries[*position])
    }

    pub(crate) fn mean_load_factor(&self) -> f64 {
        let load: f64 = self.entries.iter().map(|entry| entry.load).sum();
        let capacity: f64 = self.entries.iter().map(|entry| entry.capacity).sum();
        load / capacity
    }

    /// Adds to the load of a node, which may be negative.
    pub(crate) fn add_load(&mut self, node: Node, load: f64) {
        if let Some(position) = self.positions.get(&node).copied() {
            self.entries[position].load += load;
            self.push(position);
        }
    }

    /// Chooses the node with the lowest load factor after receiving one more
    /// shard, and adds the shard to its load. Among nodes within one shard of
    /// the lowest, it prefers one that holds no records of the shard and is in
    /// a data centre without a holder, so that one failure does not take the
    /// owner together with a holder.
    pub(crate) fn choose(&mut self, holders: &[Node], data_centres: &[Name]) -> Option<Node> {
        let mut best: Option<(bool, f64, Node)> = None;
        let lowest = self.lowest()?;
        for (data_centre, heap) in &mut self.heaps {
            let Some(entry) = peek_lowest(heap, &self.entries) else {
                continue;
            };
            let load_factor = entry.load_factor_with(1.0);
            let shares_domain = holders.contains(&entry.node) || data_centres.contains(data_centre);
            // At most one shard above the lowest load factor.
            let equal = load_factor <= lowest + 1.0 / entry.capacity;
            let better =
                best.is_none_or(|(old, than, _)| (shares_domain, load_factor) < (old, than));
            if equal && better {
                best = Some((shares_domain, load_factor, entry.node));
            }
        }
        let (_, _, node) = best?;
        self.add_load(node, 1.0);
        Some(node)
    }

    fn lowest(&mut self) -> Option<f64> {
        let entries = &self.entries;
        let lowest_entries = self
            .heaps
            .values_mut()
            .filter_map(|heap| peek_lowest(heap, entries));
        let load_factors = lowest_entries.map(|entry| entry.load_factor_with(1.0));
        load_factors.min_by(f64::total_cmp)
    }

    /// Adds an entry to the heap of its data centre with its present load
    /// factor. Earlier elements of the entry become outdated, and `peek_lowest`
    /// drops them.
    fn push(&mut self, position: usize) {
        let entry = &self.entries[position];
        let element = Reverse((sort_key(entry), position));
        if let Some(heap) = self.heaps.get_mut(&entry.data_centre) {
            heap.push(element);
        } else {
            let heap = BinaryHeap::from([element]);
            self.heaps.insert(entry.data_centre.clone(), heap);
        }
    }
}

/// Returns the load factor with one more shard as an integer that sorts in the
/// same order, as the bits of non-negative floats do.
fn sort_key(entry: &Entry) -> u64 {
    entry.load_factor_with(1.0).max(0.0).to_bits()
}

/// Drops outdated elements from the top of a heap, and returns the entry with
/// the lowest load factor.
fn peek_lowest<'a>(
    heap: &mut BinaryHeap<Reverse<(u64, usize)>>,
    entries: &'a [Entry],
) -> Option<&'a Entry> {
    while let Some(Reverse((load_factor, position))) = heap.peek() {
        let entry = &entries[*position];
        if *load_factor == sort_key(entry) {
            return Some(entry);
        }
        heap.pop();
    }
    None
}
