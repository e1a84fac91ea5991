//! Parses, checks and compares rules files, and matches requests to their rules.
//!
//! A rules file assigns requests to a member and a pool, and sets how often and for
//! how long each request may be executed. [`Set::parse`] reads a file,
//! [`Set::find`] matches a request, and [`Set::diff`] compares two sets. This
//! package has no I/O, clock or randomness.
//!
//! # File format
//!
//! One rule per line, with a comment that names the person who asked for it:
//!
//! ```text
//! member pool METHODS /path/{key} once|repeat deadline=2s length=short|long|learned weight=1 # asked-by, reason
//! ```
//!
//! - Blank lines and lines that start with `#` are ignored.
//! - `member` and `pool` are ASCII letters, digits, `-`, `_` and `.`, because
//!   they are also sent in headers.
//! - `METHODS` is a comma-separated list of [`Method`]s.
//! - The path template has exactly one segment `{key}`. Other segments are
//!   literal or `*`, which matches any one segment that is not empty. A final
//!   `**` matches any number of further segments, including none.
//! - `deadline`, `length` and `weight` are all required, in any order. A
//!   deadline is from 1 ms to 24 h, a weight from 1 to 1000.
//! - A member has one weight for each pool.
//! - A name has at most 64 characters, a template at most 32 segments, and a
//!   file at most 768 KiB. Control characters other than tabs are refused.
//!
//! # Precedence
//!
//! When several templates match a request, the one with more literal segments
//! wins, then the one with more segments before `**`, then the one without
//! `**`. Two rules that are equal in all three and match a common method and
//! path are an error.
//!
//! # Usage
//!
//! ```
//! use wisteriaglade_rules::{Execution, Set};
//!
//! let set = Set::parse(
//!     "llewellyn bookings POST /bookings/{key} once deadline=2s length=short weight=3 # Nia, spring fair\n",
//! )?;
//!
//! let found = set.find("POST", "/bookings/pitch%2017?dry=1").expect("the rule matches");
//! assert_eq!(found.key, "pitch 17");
//! assert_eq!(found.rule.pool.as_str(), "bookings");
//! assert_eq!(found.rule.execution, Execution::Once);
//! assert!(set.find("GET", "/bookings/17").is_none());
//! # Ok::<(), wisteriaglade_rules::Error>(())
//! ```
//!
//! # Examples
//!
//! An invalid file is refused as a whole. The error lists every problem:
//!
//! ```
//! use wisteriaglade_rules::Set;
//!
//! let error = Set::parse("ribeira lookup GET /t/{id} repeat deadline=1s length=short weight=0 # Rui\n")
//!     .unwrap_err();
//! assert_eq!(error.problems().len(), 2);
//! assert_eq!(
//!     error.problems()[1].to_string(),
//!     "line 1, column 67: expected a weight from 1 to 1000, found \"0\"",
//! );
//! ```
//!
//! Two sets can be compared, for example before a new file is applied:
//!
//! ```
//! use wisteriaglade_rules::Set;
//!
//! let old = Set::parse("ribeira lookup GET /t/{key} repeat deadline=1s length=short weight=1 # Rui\n")?;
//! let new = Set::parse("ribeira lookup GET /t/{key} repeat deadline=3s length=short weight=1 # Rui\n")?;
//! let diff = old.diff(&new);
//! assert_eq!(diff.changed.len(), 1);
//! assert!(diff.added.is_empty() && diff.removed.is_empty());
//! # Ok::<(), wisteriaglade_rules::Error>(())
//! ```

mod check;
mod diff;
mod error;
mod index;
mod line;
mod method;
mod percent_decode;
mod rule;
mod set;
mod template;

pub use crate::{
    diff::{Change, Diff},
    error::{Error, Kind, Problem, Result},
    method::{Method, Methods},
    rule::{Execution, Length, Rule},
    set::{Match, Set},
    template::{Segment, Template},
};
