//! Path templates: their syntax and their order of precedence.

use std::fmt;

use serde::{Serialize, Serializer};
use wisteriaglade_types::Name;

use crate::percent_decode::percent_decode;

/// The most segments of a template. A search of the index recurses once for each
/// segment.
const MAX_SEGMENTS: usize = 32;

/// One segment of a [`Template`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Segment {
    /// `text`: a segment that is equal to this text after percent-decoding.
    Literal(Name),
    /// `*`: any one segment that is not empty.
    Wildcard,
    /// `{key}`: any one segment that is not empty, which is the key.
    Key,
}

/// A pattern for paths with one segment for the key, such as
/// `/bookings/{key}/notes/**`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Template {
    text: Name,
    segments: Vec<Segment>,
    key_index: usize,
    has_rest: bool,
}

impl Template {
    /// The segments, without a final `**`.
    #[must_use]
    pub fn segments(&self) -> &[Segment] {
        &self.segments
    }

    /// The position of the key among the segments, counted from 0.
    #[must_use]
    pub const fn key_index(&self) -> usize {
        self.key_index
    }

    /// Whether the template ends in `**`, which matches any number of further
    /// segments.
    #[must_use]
    pub const fn has_rest(&self) -> bool {
        self.has_rest
    }

    /// The template as written in the file.
    #[must_use]
    pub fn as_str(&self) -> &str {
        self.text.as_str()
    }

    /// The precision, by which the most precise of several matching rules is found.
    pub(crate) fn precision(&self) -> Precision {
        let literals = self
            .segments
            .iter()
            .filter(|segment| matches!(segment, Segment::Literal(_)))
            .count();
        Precision {
            literals,
            segments: self.segments.len(),
            exact: !self.has_rest,
        }
    }

    /// Parses a template. An error holds the offset in bytes and what was expected
    /// there.
    pub(crate) fn parse(text: &str) -> Result<Self, (usize, String)> {
        let Some(path) = text.strip_prefix('/') else {
            return Err((0, "a path template that starts with \"/\"".into()));
        };
        let mut segments = Vec::new();
        let mut key_index = None;
        let mut has_rest = false;
        let mut offset = 1;
        for part in path.split('/') {
            if has_rest {
                return Err((offset, "nothing after \"**\"".into()));
            }
            match part {
                "**" => has_rest = true,
                "{key}" if key_index.is_some() => {
                    return Err((offset, "exactly one \"{key}\" segment".into()));
                }
                "{key}" => {
                    key_index = Some(segments.len());
                    segments.push(Segment::Key);
                }
                "*" => segments.push(Segment::Wildcard),
                _ => segments.push(literal(part).map_err(|expected| (offset, expected))?),
            }
            if segments.len() > MAX_SEGMENTS {
                return Err((offset, format!("at most {MAX_SEGMENTS} segments")));
            }
            offset += part.len() + 1;
        }
        let Some(key_index) = key_index else {
            return Err((0, "a path template with one \"{key}\" segment".into()));
        };
        Ok(Self {
            text: text.into(),
            segments,
            key_index,
            has_rest,
        })
    }
}

/// Parses a literal segment. An error says what was expected.
fn literal(part: &str) -> Result<Segment, String> {
    let special = |c: char| matches!(c, '{' | '}' | '*' | '?') || !c.is_ascii_graphic();
    if part.is_empty() || part.contains(special) {
        return Err("a segment that is literal, \"{key}\", \"*\" or a final \"**\"".into());
    }
    match percent_decode(part) {
        Some(text) if matches!(&*text, "." | "..") => {
            Err("a segment other than \".\" and \"..\", which match no path".into())
        }
        Some(text) => Ok(Segment::Literal((&*text).into())),
        None => Err("a segment with valid percent-encoding".into()),
    }
}

impl fmt::Display for Template {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.text.fmt(f)
    }
}

impl Serialize for Template {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// How precisely a template describes a path. A greater value takes precedence, and
/// fields are compared in the order of their declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Precision {
    literals: usize,
    segments: usize,
    /// Whether the template does not end in `**`.
    exact: bool,
}
