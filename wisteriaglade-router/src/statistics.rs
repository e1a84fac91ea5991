//! The statistics of all members.

use std::collections::BTreeMap;

use wisteriaglade_types::Name;

use crate::Usage;

/// The name under which the members beyond the limit are counted together.
const OTHER_MEMBERS: &str = "other";

/// The statistics of a limited number of members.
#[derive(Debug)]
pub(crate) struct Statistics {
    max_members: usize,
    members: BTreeMap<Name, Usage>,
}

impl Statistics {
    pub(crate) const fn new(max_members: usize) -> Self {
        Self {
            max_members,
            members: BTreeMap::new(),
        }
    }

    /// Returns the statistics of a member, or the shared ones if the member is
    /// new and the limit is reached.
    pub(crate) fn entry(&mut self, member: &Name) -> &mut Usage {
        let separate = self.members.contains_key(member) || self.members.len() < self.max_members;
        let name = if separate {
            member.clone()
        } else {
            Name::from(OTHER_MEMBERS)
        };
        self.members.entry(name).or_default()
    }

    pub(crate) const fn members(&self) -> &BTreeMap<Name, Usage> {
        &self.members
    }
}
