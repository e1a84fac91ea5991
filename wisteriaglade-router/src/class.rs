//! The classes of work.

/// The class of a request. Long work has a concurrency limit of its own, below
/// the one of all requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Short work: expected to take the typical service time of the target.
    Short,
    /// Long work: expected to take many times as long as short work.
    Long,
}

impl Class {
    /// The index of the class in arrays with an element for each class.
    pub(crate) const fn index(self) -> usize {
        match self {
            Self::Short => 0,
            Self::Long => 1,
        }
    }
}
