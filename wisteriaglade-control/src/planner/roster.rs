//! The nodes of a pool that may receive shards, with their loads.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
};

use wisteriaglade_types::{Name, Node};

/// A node that may receive shards.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) node: Node,
    pub(crate) data_centre: Name,
    /// How many shards it can serve, in any unit that is the same for all.
    pub(crate) capacity: f64,
    /// The shards that it has or is about to have.
    pub(crate) load: f64,
    /// The demand of a shard of this node, relative to the mean of the pool.
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

/// The nodes of a pool that may receive shards.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    entries: Vec<Entry>,
    /// The places of the entries, by the order of their nodes.
    places: BTreeMap<Node, usize>,
    /// For each data centre its entries, lowest pressure first.
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

    /// Changes the load of a node.
    pub(crate) fn add(&mut self, node: Node, load: f64) {
        if let Some(place) = self.places.get(&node).copied() {
            self.entries[place].load += load;
            self.push(place);
        }
    }

    /// Chooses the node with the lowest pressure after it gets one more shard.
    /// Among nodes that are nearly equal it prefers one that is no holder of
    /// the shard and is in a data centre without a holder, so that one loss
    /// does not take the owner together with a holder.
    pub(crate) fn pick(&mut self, holders: &[Node], centres: &[Name]) -> Option<Node> {
        let mut best: Option<(bool, f64, Node)> = None;
        let lowest = self.lowest()?;
        for (centre, heap) in &mut self.heaps {
            let Some(entry) = top(heap, &self.entries) else {
                continue;
            };
            let pressure = entry.pressure_with(1.0);
            let near = holders.contains(&entry.node) || centres.contains(centre);
            // Nearly equal: one shard apart.
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

    /// Files an entry under its present pressure. Older filings of it become
    /// invalid, and `top` drops them.
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

/// The bits of a positive float have the order of the float.
fn order(entry: &Entry) -> u64 {
    entry.pressure_with(1.0).max(0.0).to_bits()
}

/// The entry with the lowest pressure.
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
