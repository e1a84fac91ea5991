//! The routing table, which finds the rule of a request.

use std::{collections::HashMap, sync::Arc};

use wisteriaglade_types::Name;

use crate::{Plan, Rule};

/// The rules of a plan, indexed by host name and path prefix.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// The rules of each host name in lower case, longest prefix first.
    hosts: HashMap<Name, Vec<Arc<Rule>>>,
}

impl Table {
    /// Builds the table of a plan.
    #[must_use]
    pub fn new(plan: &Plan) -> Self {
        let mut hosts: HashMap<Name, Vec<Arc<Rule>>> = HashMap::new();
        for rule in &plan.rules {
            let host = Name::from(rule.host.to_ascii_lowercase());
            hosts.entry(host).or_default().push(Arc::new(rule.clone()));
        }
        for rules in hosts.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        }
        Self { hosts }
    }

    /// Returns the rule for the host name with the longest prefix of the path.
    ///
    /// The case of the host name and a port after it are ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Rule>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let rules = match self.hosts.get(host) {
            Some(rules) => rules,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        rules
            .iter()
            .find(|rule| path.starts_with(rule.prefix.as_str()))
    }
}
