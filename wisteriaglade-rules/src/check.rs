//! Checks that compare a rule with the rules before it.
//!
//! [`Set::parse`](crate::Set::parse) calls them once for each rule that parses.

use std::{
    collections::{HashMap, hash_map},
    sync::Arc,
};

use wisteriaglade_types::Name;

use crate::{Kind, Problem, Rule, index::Index, line::Columns};

/// Finds conflicts and differing weights between the rules of one file.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    /// Keyed by member and pool: the weight and the first line that sets it.
    weights: HashMap<(Name, Name), (u32, usize)>,
}

impl Checker {
    /// Adds the problems of `rule` to `problems`. `rules` and `index` hold the
    /// rules before it.
    pub(crate) fn check(
        &mut self,
        rules: &[Arc<Rule>],
        index: &Index,
        rule: &Rule,
        columns: &Columns,
        problems: &mut Vec<Problem>,
    ) {
        problems.extend(self.check_weight(rule, columns));
        problems.extend(find_conflict(rules, index, rule, columns));
    }

    /// A problem if an earlier line gives the member another weight in the pool.
    fn check_weight(&mut self, rule: &Rule, columns: &Columns) -> Option<Problem> {
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
            column: columns.weight,
            expected: format!(
                "weight {weight} as in line {line}, because a member has one weight for each pool"
            ),
            found: format!("\"{}\"", rule.weight),
        })
    }
}

/// A problem if an earlier rule matches a common method and path with equal
/// precision. It names the first such line.
fn find_conflict(
    rules: &[Arc<Rule>],
    index: &Index,
    rule: &Rule,
    columns: &Columns,
) -> Option<Problem> {
    let other = index
        .overlapping(rule)
        .into_iter()
        .map(|position| &rules[position])
        .filter(|other| other.methods.intersects(rule.methods))
        .min_by_key(|other| other.line)?;
    Some(Problem {
        kind: Kind::Conflict,
        line: rule.line,
        column: columns.template,
        expected: format!(
            "a rule that matches other requests than line {} ({} {}), or with another precision",
            other.line, other.methods, other.template
        ),
        found: format!("{} {}", rule.methods, rule.template),
    })
}
