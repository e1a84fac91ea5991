//! A rule and its fields.

use std::{fmt, time::Duration};

use serde::{Serialize, Serializer};
use wisteriaglade_types::Name;

use crate::{Methods, Template};

/// How often a request may be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Execution {
    /// Any number of times, because the request is idempotent.
    Repeat,
    /// At most once. The request needs an `idempotency-key` header.
    Once,
}

/// Whether requests of a rule are expected to be short or long work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Length {
    /// Short work for every key.
    Short,
    /// Long work for every key.
    Long,
    /// Short or long work, as learned for each route and key.
    Learned,
}

impl fmt::Display for Execution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Repeat => "repeat",
            Self::Once => "once",
        })
    }
}

impl fmt::Display for Length {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Short => "short",
            Self::Long => "long",
            Self::Learned => "learned",
        })
    }
}

/// One rule of a rules file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Rule {
    /// The member that the matching requests belong to.
    pub member: Name,
    /// The pool that serves the matching requests.
    pub pool: Name,
    /// The methods that the rule matches.
    pub methods: Methods,
    /// The paths that the rule matches, and the position of the key in them.
    pub template: Template,
    /// How often a request may be executed.
    pub execution: Execution,
    /// The longest time that a request may take, measured from its arrival at the
    /// first node. It is serialized as in a rules file, for example `1s500ms`.
    #[serde(serialize_with = "duration")]
    pub deadline: Duration,
    /// Whether the requests are short or long work.
    pub length: Length,
    /// The member's weight in the pool for weighted fair queueing, from 1 to 1000.
    pub weight: u32,
    /// The person who asked for the rule, from the line's comment.
    pub asked_by: Name,
    /// The reason in the line's comment, empty if none is given.
    pub reason: Name,
    /// The line number in the file, counted from 1.
    pub line: usize,
}

impl Rule {
    /// Whether the rules are equal apart from their line numbers.
    #[must_use]
    pub fn eq_ignoring_line(&self, other: &Self) -> bool {
        let renumbered = Self {
            line: other.line,
            ..self.clone()
        };
        renumbered == *other
    }
}

/// Formats the rule as a line of a rules file, without a line break.
impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {} {} {} deadline={} length={} weight={} # {}",
            self.member,
            self.pool,
            self.methods,
            self.template,
            self.execution,
            format_compact(self.deadline),
            self.length,
            self.weight,
            self.asked_by,
        )?;
        if !self.reason.as_str().is_empty() {
            write!(f, ", {}", self.reason)?;
        }
        Ok(())
    }
}

/// Serializes a duration as in a rules file.
fn duration<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&format_compact(*value))
}

/// Formats a duration without spaces, because spaces separate the words of a rule.
pub(crate) fn format_compact(value: Duration) -> String {
    humantime::format_duration(value)
        .to_string()
        .replace(' ', "")
}
