//! One file of the log.

use wisteriaglade_types::Index;

/// The part before the number in the name of a segment.
const PREFIX: &str = "log-";

/// One file of the log. Segments are numbered without gaps.
#[derive(Debug, Clone, Copy)]
pub(super) struct Segment {
    pub(super) number: u64,
    /// The highest index that an entry in it has or had.
    pub(super) highest: Index,
}

impl Segment {
    pub(super) fn new(number: u64) -> Self {
        Self {
            number,
            highest: Index::new(0),
        }
    }

    pub(super) fn name(self) -> String {
        format!("{PREFIX}{:020}", self.number)
    }

    /// The number in the name of a segment.
    pub(super) fn parse(name: &str) -> Option<u64> {
        name.strip_prefix(PREFIX)?.parse().ok()
    }
}
