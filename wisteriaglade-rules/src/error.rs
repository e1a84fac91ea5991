//! The problems of a rules file.

use std::fmt;

use serde::Serialize;

/// The result of parsing a rules file.
pub type Result<T> = std::result::Result<T, Error>;

/// Which check a [`Problem`] comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A field is missing, malformed or out of range.
    Syntax,
    /// Two rules match the same requests with equal precision.
    Conflict,
    /// A member has two weights in one pool.
    Weight,
    /// The file is too large to be replicated.
    Size,
}

/// One problem and its place in the file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The check that found the problem.
    pub kind: Kind,
    /// The line, counted from 1.
    pub line: usize,
    /// The column in characters, counted from 1.
    pub column: usize,
    /// What was expected at this place.
    pub expected: String,
    /// What was found instead.
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

/// Every problem of a rules file, in the order of the file.
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

    /// The problems, of which there is at least one.
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
