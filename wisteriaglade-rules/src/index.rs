//! A trie over the segments of all templates of a set.
//!
//! [`Set`](crate::Set) uses it to match requests, and the checks use it to find
//! rules that overlap.

use std::{borrow::Cow, collections::HashMap};

use crate::{Method, Rule, Segment, template::Precision};

/// A rule, stored where its template ends.
#[derive(Debug, Clone, Copy)]
struct Entry {
    rule: usize,
    precision: Precision,
}

/// A node of the trie. Children are indices into [`Index::branches`].
#[derive(Debug, Clone, Default)]
struct Branch {
    /// Children by the percent-decoded text of a literal segment.
    literals: HashMap<Box<str>, usize>,
    /// The child for `*` and `{key}`, which match the same segments.
    any: Option<usize>,
    /// Rules whose template ends here.
    whole: Vec<Entry>,
    /// Rules whose template ends here with `**`.
    rest: Vec<Entry>,
}

/// The trie. From each node, a search follows at most two children: the literal
/// and the wildcard.
#[derive(Debug, Clone)]
pub(crate) struct Index {
    /// The nodes, with the root first.
    branches: Vec<Branch>,
}

impl Default for Index {
    fn default() -> Self {
        Self {
            branches: vec![Branch::default()],
        }
    }
}

impl Index {
    /// Adds a rule. `number` is its position in the set, counted from 0.
    pub(crate) fn insert(&mut self, number: usize, rule: &Rule) {
        let mut at = 0;
        for segment in rule.template.segments() {
            at = self.descend(at, segment);
        }
        let entry = Entry {
            rule: number,
            precision: rule.template.precision(),
        };
        let branch = &mut self.branches[at];
        if rule.template.rest() {
            branch.rest.push(entry);
        } else {
            branch.whole.push(entry);
        }
    }

    /// The child of the node `at` for a segment, added if it does not exist.
    fn descend(&mut self, at: usize, segment: &Segment) -> usize {
        let new = self.branches.len();
        let branch = &mut self.branches[at];
        let next = match segment {
            Segment::Literal(text) => *branch.literals.entry(text.as_str().into()).or_insert(new),
            Segment::Any | Segment::Key => *branch.any.get_or_insert(new),
        };
        if next == new {
            self.branches.push(Branch::default());
        }
        next
    }

    /// The positions of the rules that have the precision of `rule` and match a path
    /// that `rule` matches too. Equal precision implies an equal number of segments.
    pub(crate) fn overlapping(&self, rule: &Rule) -> Vec<usize> {
        let mut reached = vec![0];
        for segment in rule.template.segments() {
            reached = reached
                .into_iter()
                .flat_map(|at| self.successors(at, segment))
                .collect();
        }
        let precision = rule.template.precision();
        reached
            .into_iter()
            .flat_map(|at| {
                let branch = &self.branches[at];
                if rule.template.rest() {
                    &branch.rest
                } else {
                    &branch.whole
                }
            })
            .filter(|entry| entry.precision == precision)
            .map(|entry| entry.rule)
            .collect()
    }

    /// The children of the node `at` that match a segment which `segment` matches
    /// too.
    fn successors(&self, at: usize, segment: &Segment) -> Vec<usize> {
        let branch = &self.branches[at];
        let mut successors: Vec<usize> = match segment {
            Segment::Literal(text) => branch
                .literals
                .get(text.as_str())
                .copied()
                .into_iter()
                .collect(),
            Segment::Any | Segment::Key => branch.literals.values().copied().collect(),
        };
        successors.extend(branch.any);
        successors
    }

    /// The position of the most precise rule that matches the method and path. A
    /// path segment is `None` if its percent-encoding is invalid; only wildcards
    /// match it.
    pub(crate) fn find(
        &self,
        rules: &[impl AsRef<Rule>],
        method: Method,
        segments: &[Option<Cow<'_, str>>],
    ) -> Option<usize> {
        let mut best: Option<Entry> = None;
        self.visit(0, segments, &mut |entries: &[Entry]| {
            for entry in entries {
                let wins = best.is_none_or(|best| entry.precision > best.precision);
                if wins && rules[entry.rule].as_ref().methods.contains(method) {
                    best = Some(*entry);
                }
            }
        });
        best.map(|entry| entry.rule)
    }

    /// Passes the entries of every template that matches the remaining `segments`
    /// from the node `at` to `found`.
    fn visit(
        &self,
        at: usize,
        segments: &[Option<Cow<'_, str>>],
        found: &mut impl FnMut(&[Entry]),
    ) {
        let branch = &self.branches[at];
        found(&branch.rest);
        let Some((first, others)) = segments.split_first() else {
            found(&branch.whole);
            return;
        };
        let literal = first.as_deref().and_then(|text| branch.literals.get(text));
        if let Some(next) = literal {
            self.visit(*next, others, found);
        }
        if let Some(next) = branch.any
            && first.as_deref() != Some("")
        {
            self.visit(next, others, found);
        }
    }
}
