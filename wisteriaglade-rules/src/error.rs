//! The problems found in a rules file.

use std::fmt;

use serde::Serialize;

/// The result of parsing a rules file, with an [`Error`] that lists its problems.
pub type Result<T> = std::result::Result<T, Error>;

/// The check that reports a [`Problem`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A field is missing, malformed or out of range, or the line has a control
    /// character.
    Syntax,
    /// Two rules match a common method and path with equal precision.
    Conflict,
    /// A member has different weights in one pool.
    Weight,
    /// The file is too large to be replicated in one frame.
    Size,
}

/// One problem and its position in the file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The check that found the problem.
    pub kind: Kind,
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// What is valid at this position.
    pub expected: String,
    /// What the file has there: the text in quotes, or a description.
    pub found: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}, column {}: expected {}, found {}",
            self.line, self.column, self.expected, self.found
        )
    }
}

/// Every problem of a rules file, ordered by line and column.
///
/// # Examples
///
/// ```
/// let error = wisteriaglade_rules::Set::parse("ribeira\n").unwrap_err();
/// assert_eq!(error.problems()[0].line, 1);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    problems: Vec<Problem>,
}

impl Error {
    pub(crate) fn new(mut problems: Vec<Problem>) -> Self {
        problems.sort_by_key(|problem| (problem.line, problem.column));
        Self { problems }
    }

    /// The problems, at least one, ordered by line and column.
    #[must_use]
    pub fn problems(&self) -> &[Problem] {
        &self.problems
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, problem) in self.problems.iter().enumerate() {
            if position > 0 {
                f.write_str("\n")?;
            }
            problem.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}
