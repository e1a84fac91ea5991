//! The difference between two plans.

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Name;

use crate::{Limits, Plan, Pool, Rule};

/// What turns one plan into a later one.
///
/// A plan has hundreds of rules and changes by a few, many times an hour, on
/// every host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The version that it builds on.
    pub from: u64,
    /// The version that it leads to.
    pub version: u64,
    pools: Vec<Pool>,
    limits: Limits,
    /// Host names and prefixes of rules that end.
    removed: Vec<(Name, Name)>,
    /// Rules that are new or differ.
    put: Vec<Rule>,
}

impl Change {
    /// The difference between two plans.
    ///
    /// `None` when a plan has two rules for the same requests: their order
    /// matters, and a change does not carry it.
    #[must_use]
    pub fn between(old: &Plan, new: &Plan) -> Option<Self> {
        if has_twins(old) || has_twins(new) {
            return None;
        }
        let is_same = |a: &Rule, b: &Rule| a.host == b.host && a.prefix == b.prefix;
        let gone = |rule: &&Rule| !new.rules.iter().any(|other| is_same(rule, other));
        let removed = old.rules.iter().filter(gone);
        let fresh = |rule: &&Rule| !old.rules.contains(rule);
        Some(Self {
            from: old.version,
            version: new.version,
            pools: new.pools.clone(),
            limits: new.limits,
            removed: removed
                .map(|rule| (rule.host.clone(), rule.prefix.clone()))
                .collect(),
            put: new.rules.iter().filter(fresh).cloned().collect(),
        })
    }

    /// The later plan, if this is the plan that the change builds on.
    #[must_use]
    pub fn apply(&self, old: &Plan) -> Option<Plan> {
        if old.version != self.from {
            return None;
        }
        let mut rules = old.rules.clone();
        rules.retain(|rule| {
            let is_removed = self
                .removed
                .iter()
                .any(|(host, prefix)| *host == rule.host && *prefix == rule.prefix);
            let is_replaced = self
                .put
                .iter()
                .any(|new| new.host == rule.host && new.prefix == rule.prefix);
            !is_removed && !is_replaced
        });
        rules.extend(self.put.iter().cloned());
        Some(Plan {
            version: self.version,
            pools: self.pools.clone(),
            rules,
            limits: self.limits,
        })
    }
}

/// Whether two rules are for the same requests.
fn has_twins(plan: &Plan) -> bool {
    let mut seen = std::collections::HashSet::new();
    plan.rules
        .iter()
        .any(|rule| !seen.insert((&rule.host, &rule.prefix)))
}
