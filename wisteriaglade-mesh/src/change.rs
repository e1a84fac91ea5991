//! The difference between two plans.
//!
//! The leader sends hosts a [`Change`] instead of a whole plan when they have
//! an earlier version.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};
use wisteriaglade_types::Name;

use crate::{Limits, Plan, Pool, Rule};

/// The edit that turns one plan into a later one.
///
/// A plan has hundreds of rules and is changed many times an hour, by a few
/// rules at a time, so sending the difference to every host saves traffic.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The version of the plan that the change applies to.
    pub from: u64,
    /// The version of the plan that results.
    pub version: u64,
    pools: Vec<Pool>,
    limits: Limits,
    /// The host names and path prefixes of removed rules.
    removed: Vec<(Name, Name)>,
    /// Rules that were added or changed.
    upserted: Vec<Rule>,
}

impl Change {
    /// Computes the difference between two plans.
    ///
    /// Returns `None` if one of the plans has two rules with the same host name
    /// and path prefix. The order of such rules matters, and a change does not
    /// keep it.
    #[must_use]
    pub fn between(old: &Plan, new: &Plan) -> Option<Self> {
        let (before, after) = (by_selector(old)?, by_selector(new)?);
        let is_removed = |rule: &&Rule| !after.contains_key(&selector(rule));
        let removed = old.rules.iter().filter(is_removed);
        let is_upserted = |rule: &&Rule| before.get(&selector(rule)) != Some(rule);
        Some(Self {
            from: old.version,
            version: new.version,
            pools: new.pools.clone(),
            limits: new.limits,
            removed: removed
                .map(|rule| (rule.host.clone(), rule.prefix.clone()))
                .collect(),
            upserted: new.rules.iter().filter(is_upserted).cloned().collect(),
        })
    }

    /// Returns the later plan, or `None` if `old` is not the version that the
    /// change applies to.
    #[must_use]
    pub fn apply(&self, old: &Plan) -> Option<Plan> {
        if old.version != self.from {
            return None;
        }
        let removed = self.removed.iter().map(|(host, prefix)| (host, prefix));
        let dropped: HashSet<Selector> =
            removed.chain(self.upserted.iter().map(selector)).collect();
        let kept = old
            .rules
            .iter()
            .filter(|rule| !dropped.contains(&selector(rule)));
        let mut rules: Vec<Rule> = kept.cloned().collect();
        rules.extend(self.upserted.iter().cloned());
        Some(Plan {
            version: self.version,
            pools: self.pools.clone(),
            rules,
            limits: self.limits,
        })
    }
}

/// The host name and path prefix of a rule, which select its requests.
type Selector<'a> = (&'a Name, &'a Name);

fn selector(rule: &Rule) -> Selector<'_> {
    (&rule.host, &rule.prefix)
}

/// Indexes the rules of a plan, or returns `None` if two of them have the same
/// host name and path prefix.
fn by_selector(plan: &Plan) -> Option<HashMap<Selector<'_>, &Rule>> {
    let rules = plan.rules.iter();
    let map: HashMap<_, _> = rules.map(|rule| (selector(rule), rule)).collect();
    (map.len() == plan.rules.len()).then_some(map)
}
