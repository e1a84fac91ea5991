//! The difference between two plans.

use std::collections::{HashMap, HashSet};

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
        let (before, after) = (by_address(old)?, by_address(new)?);
        let gone = |rule: &&Rule| !after.contains_key(&address(rule));
        let removed = old.rules.iter().filter(gone);
        let fresh = |rule: &&Rule| before.get(&address(rule)) != Some(rule);
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
        let removed = self.removed.iter().map(|(host, prefix)| (host, prefix));
        let ended: HashSet<Address> = removed.chain(self.put.iter().map(address)).collect();
        let kept = old
            .rules
            .iter()
            .filter(|rule| !ended.contains(&address(rule)));
        let mut rules: Vec<Rule> = kept.cloned().collect();
        rules.extend(self.put.iter().cloned());
        Some(Plan {
            version: self.version,
            pools: self.pools.clone(),
            rules,
            limits: self.limits,
        })
    }
}

/// What the requests of a rule have in common: host name and prefix.
type Address<'a> = (&'a Name, &'a Name);

fn address(rule: &Rule) -> Address<'_> {
    (&rule.host, &rule.prefix)
}

/// The rules of a plan, or `None` if two are for the same requests.
fn by_address(plan: &Plan) -> Option<HashMap<Address<'_>, &Rule>> {
    let rules = plan.rules.iter();
    let map: HashMap<_, _> = rules.map(|rule| (address(rule), rule)).collect();
    (map.len() == plan.rules.len()).then_some(map)
}
