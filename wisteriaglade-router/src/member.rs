//! The queue of one member.

use std::collections::BTreeMap;

use wisteriaglade_types::Name;

use crate::{Class, flow::Flow};

/// The waiting requests of one member, in a flow for each of its callers.
#[derive(Debug)]
pub(crate) struct Member {
    /// The start tag of the member's next request in the virtual time among
    /// members, in nanoseconds.
    pub(crate) start_tag: u64,
    /// The virtual time among the member's callers, in nanoseconds.
    pub(crate) virtual_time: u64,
    pub(crate) weight: u32,
    pub(crate) flows: BTreeMap<Name, Flow>,
    /// The number of waiting requests of each class.
    pub(crate) counts: [usize; 2],
}

impl Member {
    pub(crate) const fn new(start_tag: u64, weight: u32) -> Self {
        Self {
            start_tag,
            virtual_time: 0,
            weight,
            flows: BTreeMap::new(),
            counts: [0; 2],
        }
    }

    pub(crate) const fn len(&self) -> usize {
        self.counts[0] + self.counts[1]
    }

    /// Returns the name of the flow that a caller uses. At most `max_callers`
    /// have a flow of their own, to bound the memory. At the limit, a new
    /// caller replaces an idle one; if none is idle, it uses the shared flow
    /// with the empty name.
    pub(crate) fn flow_name(&mut self, caller: &Name, max_callers: usize) -> Name {
        if self.flows.contains_key(caller) {
            return caller.clone();
        }
        if self.flows.len() >= max_callers {
            let idle = self.flows.iter().find(|(_, flow)| flow.is_empty());
            match idle.map(|(name, _)| name.clone()) {
                Some(name) => drop(self.flows.remove(&name)),
                None => return Name::from(""),
            }
        }
        caller.clone()
    }

    /// Returns the caller with the most waiting requests of a class.
    pub(crate) fn longest_flow(&self, class: Class) -> Option<&Name> {
        let busy_flows = self.flows.iter().filter(|(_, f)| f.len(class) > 0);
        busy_flows
            .max_by_key(|(_, flow)| flow.len(class))
            .map(|(name, _)| name)
    }
}
