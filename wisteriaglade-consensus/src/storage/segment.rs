//! The segments of the log.

use wisteriaglade_types::Index;

/// The prefix of the name of a segment, followed by its number.
const SEGMENT_PREFIX: &str = "log-";

/// One file of the log. Segments are numbered in ascending order without gaps.
#[derive(Debug, Clone, Copy)]
pub(super) struct Segment {
    pub(super) number: u64,
    /// The highest index of an entry in the segment, truncated ones included.
    pub(super) highest_index: Index,
}

impl Segment {
    pub(super) fn new(number: u64) -> Self {
        Self {
            number,
            highest_index: Index::new(0),
        }
    }

    pub(super) fn name(self) -> String {
        format!("{SEGMENT_PREFIX}{:020}", self.number)
    }

    /// Returns the number in the name of a segment, or `None` for other names.
    pub(super) fn parse(name: &str) -> Option<u64> {
        name.strip_prefix(SEGMENT_PREFIX)?.parse().ok()
    }
}
