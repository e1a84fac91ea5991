//! The queue of one member.

use std::collections::BTreeMap;

use wisteriaglade_types::Name;

use crate::{Class, flow::Flow};

/// The callers of one member and their virtual time.
#[derive(Debug)]
pub(crate) struct Tenant {
    /// The virtual time at which the next request of this member is due.
    pub(crate) tag: u64,
    /// The virtual time inside the member, which its callers share.
    pub(crate) clock: u64,
    pub(crate) weight: u32,
    pub(crate) flows: BTreeMap<Name, Flow>,
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

    /// The queue of a caller. At most `limit` callers have their own; an idle
    /// one is replaced, and further callers share the queue with the empty
    /// name, so that memory is bounded.
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

    /// The caller whose queue of a class is the longest.
    pub(crate) fn longest(&self, class: Class) -> Option<&Name> {
        let candidates = self.flows.iter().filter(|(_, f)| f.len(class) > 0);
        candidates
            .max_by_key(|(_, flow)| flow.len(class))
            .map(|(name, _)| name)
    }
}
