//! The statistics of all members.

use std::collections::BTreeMap;

use wisteriaglade_types::Name;

use crate::Usage;

/// The name under which the members beyond the limit are counted together.
const OTHER: &str = "other";

/// The statistics of a limited number of members.
#[derive(Debug)]
pub(crate) struct Ledger {
    limit: usize,
    usage: BTreeMap<Name, Usage>,
}

impl Ledger {
    pub(crate) const fn new(limit: usize) -> Self {
        Self {
            limit,
            usage: BTreeMap::new(),
        }
    }

    /// Returns the statistics of a member, or the shared ones if the member is
    /// new and the limit is reached.
    pub(crate) fn of(&mut self, member: &Name) -> &mut Usage {
        let known = self.usage.contains_key(member) || self.usage.len() < self.limit;
        let name = if known {
            member.clone()
        } else {
            Name::from(OTHER)
        };
        self.usage.entry(name).or_default()
    }

    pub(crate) const fn all(&self) -> &BTreeMap<Name, Usage> {
        &self.usage
    }
}
