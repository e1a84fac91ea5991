//! A set of rules that passed every check, and its search.

use std::{borrow::Cow, collections::HashMap, sync::Arc, time::Duration};

use wisteriaglade_types::Name;

use crate::{
    Diff, Error, Kind, Method, Problem, Result, Rule, check::Checker, index::Index, line,
    percent_decode::percent_decode,
};

/// The largest file, in bytes. A change of the rules is sent in one frame of at most
/// 1 MiB, which also carries other fields.
const MAX_FILE_BYTES: usize = 768 * 1024;

/// The rule that a request matches, and the request's key.
#[derive(Debug, Clone)]
pub struct Match<'set, 'path> {
    /// The rule. It is shared, so a clone stays valid after the set is replaced.
    pub rule: &'set Arc<Rule>,
    /// The key, percent-decoded from the path.
    pub key: Cow<'path, str>,
}

/// Rules that passed every check, indexed by the segments of their templates.
///
/// The default is the empty set, which is used before the first change.
#[derive(Debug, Clone, Default)]
pub struct Set {
    rules: Vec<Arc<Rule>>,
    index: Index,
    /// The longest deadline of each pool.
    longest_deadlines: HashMap<Name, Duration>,
}

impl Set {
    /// Parses and checks a rules file.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file with its line, its column and what was
    /// expected there. An invalid file is refused as a whole.
    pub fn parse(text: &str) -> Result<Self> {
        if text.len() > MAX_FILE_BYTES {
            return Err(Error::new(vec![Problem {
                kind: Kind::Size,
                line: 1,
                column: 1,
                expected: format!("a file of at most {MAX_FILE_BYTES} bytes"),
                found: format!("{} bytes", text.len()),
            }]));
        }
        let mut set = Self::default();
        let mut checker = Checker::default();
        let mut problems = Vec::new();
        for (position, text) in text.lines().enumerate() {
            if let Some(problem) = find_control_character(position + 1, text) {
                problems.push(problem);
                continue;
            }
            let start = text.trim_start();
            if start.is_empty() || start.starts_with('#') {
                continue;
            }
            if let Some((rule, columns)) = line::parse(position + 1, text, &mut problems) {
                checker.check(&set.rules, &set.index, &rule, &columns, &mut problems);
                set.insert(rule);
            }
        }
        if problems.is_empty() {
            Ok(set)
        } else {
            Err(Error::new(problems))
        }
    }

    fn insert(&mut self, rule: Rule) {
        self.index.insert(self.rules.len(), &rule);
        let longest_deadline = self.longest_deadlines.entry(rule.pool.clone()).or_default();
        *longest_deadline = rule.deadline.max(*longest_deadline);
        self.rules.push(Arc::new(rule));
    }

    /// The rules in the order of the file.
    #[must_use]
    pub fn rules(&self) -> &[Arc<Rule>] {
        &self.rules
    }

    /// Finds the most precise rule for a request and extracts the key from its path.
    /// A query string is ignored. Matching is case-sensitive.
    ///
    /// Segments are compared after percent-decoding. Otherwise a request with an
    /// escaped letter would match a less precise rule. Returns `None` if the segment
    /// of the key has an invalid encoding or is not UTF-8, or if any segment is `.`
    /// or `..`, because a target could resolve the path to another key.
    ///
    /// # Examples
    ///
    /// ```
    /// use wisteriaglade_rules::Set;
    ///
    /// let set = Set::parse(
    ///     "llewellyn catalogue GET,HEAD /designs/{key}/** repeat deadline=500ms length=learned weight=2 # Nia\n",
    /// )?;
    /// assert_eq!(set.find("GET", "/designs/a%2Fb/parts").unwrap().key, "a/b");
    /// assert!(set.find("GET", "/Designs/a").is_none());
    /// assert!(set.find("GET", "/designs/%zz").is_none());
    /// # Ok::<(), wisteriaglade_rules::Error>(())
    /// ```
    #[must_use]
    pub fn find<'path>(&self, method: &str, path: &'path str) -> Option<Match<'_, 'path>> {
        let method = Method::parse(method)?;
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        let mut segments: Vec<_> = path
            .strip_prefix('/')?
            .split('/')
            .map(percent_decode)
            .collect();
        if segments
            .iter()
            .flatten()
            .any(|text| matches!(&**text, "." | ".."))
        {
            return None;
        }
        let position = self.index.find(&self.rules, method, &segments)?;
        let rule = &self.rules[position];
        let key = segments.swap_remove(rule.template.key_index())?;
        Some(Match { rule, key })
    }

    /// The differences between this set and a newer one.
    #[must_use]
    pub fn diff(&self, newer: &Self) -> Diff {
        Diff::between(&self.rules, &newer.rules)
    }

    /// The longest deadline among the rules of a pool, or zero if no rule names the
    /// pool.
    #[must_use]
    pub fn longest_deadline(&self, pool: &str) -> Duration {
        self.longest_deadlines
            .get(pool)
            .copied()
            .unwrap_or_default()
    }
}

/// A problem if the line has a control character other than a tab. Rules and
/// comments are printed on operators' terminals, which interpret such characters.
fn find_control_character(line: usize, text: &str) -> Option<Problem> {
    let control = |c: char| c.is_control() && c != '\t';
    let position = text.chars().position(control)?;
    Some(Problem {
        kind: Kind::Syntax,
        line,
        column: position + 1,
        expected: "text without control characters".into(),
        found: "a control character".into(),
    })
}
