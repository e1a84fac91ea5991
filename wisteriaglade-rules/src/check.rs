//! The checks that concern more than one rule.

use std::{
    collections::{HashMap, hash_map},
    sync::Arc,
};

use wisteriaglade_types::Name;

use crate::{Kind, Problem, Rule, index::Index, line::Place};

/// Checks a rule against the ones before it.
#[derive(Debug, Default)]
pub(crate) struct Check {
    /// The weight of a member in a pool, and the line that set it first.
    weights: HashMap<(Name, Name), (u32, usize)>,
}

impl Check {
    pub(crate) fn rule(
        &mut self,
        rules: &[Arc<Rule>],
        index: &Index,
        rule: &Rule,
        place: &Place,
        problems: &mut Vec<Problem>,
    ) {
        problems.extend(self.weight(rule, place));
        problems.extend(conflict(rules, index, rule, place));
    }

    fn weight(&mut self, rule: &Rule, place: &Place) -> Option<Problem> {
        let (weight, line) = match self.weights.entry((rule.member.clone(), rule.pool.clone())) {
            hash_map::Entry::Vacant(entry) => {
                entry.insert((rule.weight, rule.line));
                return None;
            }
            hash_map::Entry::Occupied(entry) => *entry.get(),
        };
        (weight != rule.weight).then(|| Problem {
            kind: Kind::Weight,
            line: rule.line,
            column: place.weight,
            expected: format!(
                "weight {weight} as in line {line}, because a member has one weight for each pool"
            ),
            found: format!("\"{}\"", rule.weight),
        })
    }
}

fn conflict(rules: &[Arc<Rule>], index: &Index, rule: &Rule, place: &Place) -> Option<Problem> {
    let other = index
        .overlapping(rule)
        .into_iter()
        .map(|number| &rules[number])
        .filter(|other| other.methods.intersects(rule.methods))
        .min_by_key(|other| other.line)?;
    Some(Problem {
        kind: Kind::Conflict,
        line: rule.line,
        column: place.template,
        expected: format!(
            "a rule that matches other requests than line {} ({} {}), or with another precision",
            other.line, other.methods, other.template
        ),
        found: format!("{} {}", rule.methods, rule.template),
    })
}
