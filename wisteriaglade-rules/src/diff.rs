//! The comparison of two sets.

use std::{collections::HashMap, sync::Arc};

use serde::Serialize;

use crate::Rule;

/// A rule that differs between two sets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The rule in the older set.
    pub before: Arc<Rule>,
    /// The rule in the newer set.
    pub after: Arc<Rule>,
}

/// The difference between two sets.
///
/// Rules correspond when they have the same template and a method in common.
/// Lines are not compared.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// Rules that only the newer set has.
    pub added: Vec<Arc<Rule>>,
    /// Rules that only the older set has.
    pub removed: Vec<Arc<Rule>>,
    /// Rules that both sets have with different fields.
    pub changed: Vec<Change>,
}

impl Diff {
    /// Whether the sets have equal rules.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }

    pub(crate) fn between(old: &[Arc<Rule>], new: &[Arc<Rule>]) -> Self {
        let mut candidates: HashMap<&str, Vec<&Arc<Rule>>> = HashMap::new();
        for rule in old {
            candidates
                .entry(rule.template.as_str())
                .or_default()
                .push(rule);
        }
        let mut diff = Self::default();
        for after in new {
            match take(&mut candidates, after) {
                None => diff.added.push(Arc::clone(after)),
                Some(before) if before.same(after) => {}
                Some(before) => diff.changed.push(Change {
                    before: Arc::clone(before),
                    after: Arc::clone(after),
                }),
            }
        }
        diff.removed = candidates.into_values().flatten().cloned().collect();
        diff.removed.sort_by_key(|rule| rule.line);
        diff
    }
}

/// Takes the rule that corresponds. Rules of one set with the same template
/// have no method in common, so a rule with equal methods is the only one.
fn take<'a>(
    candidates: &mut HashMap<&str, Vec<&'a Arc<Rule>>>,
    rule: &Rule,
) -> Option<&'a Arc<Rule>> {
    let list = candidates.get_mut(rule.template.as_str())?;
    let position = list
        .iter()
        .position(|old| old.methods.intersects(rule.methods))?;
    Some(list.remove(position))
}
