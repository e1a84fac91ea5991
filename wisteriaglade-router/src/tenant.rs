//! The queue of one member.

use std::collections::BTreeMap;

use wisteriaglade_types::Name;

use crate::{Class, flow::Flow};

/// The waiting requests of one member, in a flow for each of its callers.
#[derive(Debug)]
pub(crate) struct Tenant {
    /// The start tag of the member's next request in the virtual time among
    /// members, in nanoseconds.
    pub(crate) tag: u64,
    /// The virtual time among the member's callers, in nanoseconds.
    pub(crate) clock: u64,
    pub(crate) weight: u32,
    pub(crate) flows: BTreeMap<Name, Flow>,
    /// The number of waiting requests of each class.
    pub(crate) waiting: [usize; 2],
}

impl Tenant {
    pub(crate) const fn new(tag: u64, weight: u32) -> Self {
        Self {
            tag,
            clock: 0,
            weight,
            flows: BTreeMap::new(),
            waiting: [0; 2],
        }
    }

    pub(crate) const fn len(&self) -> usize {
        self.waiting[0] + self.waiting[1]
    }

    /// Returns the name of the flow that a caller uses. At most `limit` callers
    /// have a flow of their own, to bound the memory. At the limit, a new
    /// caller replaces an idle one; if none is idle, it uses the shared flow
    /// with the empty name.
    pub(crate) fn flow(&mut self, caller: &Name, limit: usize) -> Name {
        if self.flows.contains_key(caller) {
            return caller.clone();
        }
        if self.flows.len() >= limit {
            let idle = self.flows.iter().find(|(_, flow)| flow.is_empty());
            match idle.map(|(name, _)| name.clone()) {
                Some(name) => drop(self.flows.remove(&name)),
                None => return Name::from(""),
            }
        }
        caller.clone()
    }

    /// Returns the caller with the most waiting requests of a class.
    pub(crate) fn longest(&self, class: Class) -> Option<&Name> {
        let candidates = self.flows.iter().filter(|(_, f)| f.len(class) > 0);
        candidates
            .max_by_key(|(_, flow)| flow.len(class))
            .map(|(name, _)| name)
    }
}
