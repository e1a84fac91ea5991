//! The differences between two sets of rules, for the operator to see before a
//! change is applied.

use std::{collections::HashMap, sync::Arc};

use serde::Serialize;

use crate::Rule;

/// A rule that both sets have, with different fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The rule in the older set.
    pub before: Arc<Rule>,
    /// The rule in the newer set.
    pub after: Arc<Rule>,
}

/// The differences between an older and a newer set.
///
/// Two rules correspond if they have the same template and a method in common.
/// Line numbers are not compared.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Diff {
    /// Rules of the newer set without a corresponding older rule, in the order of
    /// the newer file.
    pub added: Vec<Arc<Rule>>,
    /// Rules of the older set without a corresponding newer rule, in the order of
    /// the older file.
    pub removed: Vec<Arc<Rule>>,
    /// Corresponding rules whose fields differ, in the order of the newer file.
    pub changed: Vec<Change>,
}

impl Diff {
    /// Whether the sets have the same rules, apart from their order.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.added.is_empty() && self.removed.is_empty() && self.changed.is_empty()
    }

    /// Compares the rules of two sets, each in the order of its file.
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
            match take_counterpart(&mut candidates, after) {
                None => diff.added.push(Arc::clone(after)),
                Some(before) if before.eq_ignoring_line(after) => {}
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

/// Removes and returns the first older rule that corresponds to `rule`. Rules of
/// one set with the same template have no method in common, so an older rule with
/// equal methods is the only candidate.
fn take_counterpart<'a>(
    candidates: &mut HashMap<&str, Vec<&'a Arc<Rule>>>,
    rule: &Rule,
) -> Option<&'a Arc<Rule>> {
    let list = candidates.get_mut(rule.template.as_str())?;
    let position = list
        .iter()
        .position(|old| old.methods.intersects(rule.methods))?;
    Some(list.remove(position))
}
