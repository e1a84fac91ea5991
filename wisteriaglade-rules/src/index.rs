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

/// A node of the trie. Children are indices into [`Index::nodes`].
#[derive(Debug, Clone, Default)]
struct TrieNode {
    /// Children by the percent-decoded text of a literal segment.
    literals: HashMap<Box<str>, usize>,
    /// The child for `*` and `{key}`, which match the same segments.
    wildcard: Option<usize>,
    /// Rules whose template ends here.
    exact: Vec<Entry>,
    /// Rules whose template ends here with `**`.
    with_rest: Vec<Entry>,
}

/// The trie. From each node, a search follows at most two children: the literal
/// and the wildcard.
#[derive(Debug, Clone)]
pub(crate) struct Index {
    /// The nodes, with the root first.
    nodes: Vec<TrieNode>,
}

impl Default for Index {
    fn default() -> Self {
        Self {
            nodes: vec![TrieNode::default()],
        }
    }
}

impl Index {
    /// Adds a rule. `position` is its place in the set, counted from 0.
    pub(crate) fn insert(&mut self, position: usize, rule: &Rule) {
        let mut at = 0;
        for segment in rule.template.segments() {
            at = self.descend(at, segment);
        }
        let entry = Entry {
            rule: position,
            precision: rule.template.precision(),
        };
        let node = &mut self.nodes[at];
        if rule.template.has_rest() {
            node.with_rest.push(entry);
        } else {
            node.exact.push(entry);
        }
    }

    /// The child of the node `at` for a segment, added if it does not exist.
    fn descend(&mut self, at: usize, segment: &Segment) -> usize {
        let new = self.nodes.len();
        let node = &mut self.nodes[at];
        let next = match segment {
            Segment::Literal(text) => *node.literals.entry(text.as_str().into()).or_insert(new),
            Segment::Wildcard | Segment::Key => *node.wildcard.get_or_insert(new),
        };
        if next == new {
            self.nodes.push(TrieNode::default());
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
                let node = &self.nodes[at];
                if rule.template.has_rest() {
                    &node.with_rest
                } else {
                    &node.exact
                }
            })
            .filter(|entry| entry.precision == precision)
            .map(|entry| entry.rule)
            .collect()
    }

    /// The children of the node `at` that match a segment which `segment` matches
    /// too.
    fn successors(&self, at: usize, segment: &Segment) -> Vec<usize> {
        let node = &self.nodes[at];
        let mut successors: Vec<usize> = match segment {
            Segment::Literal(text) => node
                .literals
                .get(text.as_str())
                .copied()
                .into_iter()
                .collect(),
            Segment::Wildcard | Segment::Key => node.literals.values().copied().collect(),
        };
        successors.extend(node.wildcard);
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
        let node = &self.nodes[at];
        found(&node.with_rest);
        let Some((first, others)) = segments.split_first() else {
            found(&node.exact);
            return;
        };
        let literal = first.as_deref().and_then(|text| node.literals.get(text));
        if let Some(next) = literal {
            self.visit(*next, others, found);
        }
        if let Some(next) = node.wildcard
            && first.as_deref() != Some("")
        {
            self.visit(next, others, found);
        }
    }
}
