//! One rule.

use std::{fmt, time::Duration};

use serde::{Serialize, Serializer};
use wisteriaglade_types::Name;

use crate::{Methods, Template};

/// How often a request may be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Execution {
    /// Any number of times: the work is idempotent.
    Repeat,
    /// At most once: the request needs an `idempotency-key`.
    Once,
}

/// The expected length of the work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Length {
    /// Short for every key.
    Short,
    /// Long for every key.
    Long,
    /// Learned for each route and key.
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

/// One line of a rules file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Rule {
    /// The member whose requests the rule covers.
    pub member: Name,
    /// The pool that serves them.
    pub pool: Name,
    /// The methods that the rule covers.
    pub methods: Methods,
    /// The paths that the rule covers.
    pub template: Template,
    /// How often a request may be executed.
    pub execution: Execution,
    /// The longest time that a request may take, from its arrival at the
    /// first node.
    #[serde(serialize_with = "duration")]
    pub deadline: Duration,
    /// The expected length of the work.
    pub length: Length,
    /// The member's share of the pool under contention, from 1 to 1000.
    pub weight: u32,
    /// Who asked for the rule.
    pub asked_by: Name,
    /// Why, or an empty string.
    pub reason: Name,
    /// The line in the file, counted from 1.
    pub line: usize,
}

impl Rule {
    /// Whether the rules differ in nothing but their lines.
    #[must_use]
    pub fn same(&self, other: &Self) -> bool {
        let moved = Self {
            line: other.line,
            ..self.clone()
        };
        moved == *other
    }
}

/// Writes the rule as it would stand in a file.
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
            compact(self.deadline),
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

fn duration<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&compact(*value))
}

/// The duration without spaces, as a rules file needs it.
pub(crate) fn compact(value: Duration) -> String {
    humantime::format_duration(value)
        .to_string()
        .replace(' ', "")
}
