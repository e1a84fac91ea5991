//! The nodes of a pool that may receive shards, ordered by their load for their
//! capacity.

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
    pub(crate) heat: f64,
}

impl Entry {
    pub(crate) fn pressure(&self) -> f64 {
        self.pressure_with(0.0)
    }

    pub(crate) fn pressure_with(&self, more: f64) -> f64 {
        (self.load + more) / self.capacity
    }
}

/// The nodes of a pool that may receive shards. The pressure of a node is its
/// load divided by its capacity.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    entries: Vec<Entry>,
    /// The position of each node in `entries`.
    places: BTreeMap<Node, usize>,
    /// For each data centre, a heap of the positions of its entries, lowest
    /// pressure first. It may contain outdated elements.
    heaps: BTreeMap<Name, BinaryHeap<Reverse<(u64, usize)>>>,
}

impl Roster {
    pub(crate) fn new(entries: Vec<Entry>) -> Self {
        let places = entries.iter().map(|entry| entry.node);
        let places = places.zip(0..).collect();
        let heaps = BTreeMap::new();
        let mut roster = Self {
            entries,
            places,
            heaps,
        };
        for place in 0..roster.entries.len() {
            roster.push(place);
        }
        roster
    }

    pub(crate) fn entries(&self) -> &[Entry] {
        &self.entries
    }

    pub(crate) fn get(&self, node: Node) -> Option<&Entry> {
        self.places.get(&node).map(|place| &self.entries[*place])
    }

    pub(crate) fn mean(&self) -> f64 {
        let load: f64 = self.entries.iter().map(|entry| entry.load).sum();
        let capacity: f64 = self.entries.iter().map(|entry| entry.capacity).sum();
        load / capacity
    }

    /// Adds to the load of a node, which may be negative.
    pub(crate) fn add(&mut self, node: Node, load: f64) {
        if let Some(place) = self.places.get(&node).copied() {
            self.entries[place].load += load;
            self.push(place);
        }
    }

    /// Chooses the node with the lowest pressure after receiving one more
    /// shard, and adds the shard to its load. Among nodes within one shard of
    /// the lowest, it prefers one that holds no records of the shard and is in
    /// a data centre without a holder, so that one failure does not take the
    /// owner together with a holder.
    pub(crate) fn pick(&mut self, holders: &[Node], centres: &[Name]) -> Option<Node> {
        let mut best: Option<(bool, f64, Node)> = None;
        let lowest = self.lowest()?;
        for (centre, heap) in &mut self.heaps {
            let Some(entry) = top(heap, &self.entries) else {
                continue;
            };
            let pressure = entry.pressure_with(1.0);
            let near = holders.contains(&entry.node) || centres.contains(centre);
            // At most one shard above the lowest pressure.
            let equal = pressure <= lowest + 1.0 / entry.capacity;
            let better = best.is_none_or(|(old, than, _)| (near, pressure) < (old, than));
            if equal && better {
                best = Some((near, pressure, entry.node));
            }
        }
        let (_, _, node) = best?;
        self.add(node, 1.0);
        Some(node)
    }

    fn lowest(&mut self) -> Option<f64> {
        let entries = &self.entries;
        let tops = self
            .heaps
            .values_mut()
            .filter_map(|heap| top(heap, entries));
        let pressures = tops.map(|entry| entry.pressure_with(1.0));
        pressures.min_by(f64::total_cmp)
    }

    /// Adds an entry to the heap of its data centre with its present pressure.
    /// Earlier elements of the entry become outdated, and `top` drops them.
    fn push(&mut self, place: usize) {
        let entry = &self.entries[place];
        let filing = Reverse((order(entry), place));
        if let Some(heap) = self.heaps.get_mut(&entry.data_centre) {
            heap.push(filing);
        } else {
            let heap = BinaryHeap::from([filing]);
            self.heaps.insert(entry.data_centre.clone(), heap);
        }
    }
}

/// Returns the pressure with one more shard as an integer that sorts in the
/// same order, as the bits of non-negative floats do.
fn order(entry: &Entry) -> u64 {
    entry.pressure_with(1.0).max(0.0).to_bits()
}

/// Returns the entry with the lowest pressure, and drops outdated elements.
fn top<'a>(
    heap: &mut BinaryHeap<Reverse<(u64, usize)>>,
    entries: &'a [Entry],
) -> Option<&'a Entry> {
    while let Some(Reverse((pressure, place))) = heap.peek() {
        let entry = &entries[*place];
        if *pressure == order(entry) {
            return Some(entry);
        }
        heap.pop();
    }
    None
}
