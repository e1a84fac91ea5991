//! The class under which a request runs.

/// Short or long work. Each class has its own concurrency limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// Work that is expected to take the usual time.
    Short,
    /// Work that is expected to take many times longer.
    Long,
}

impl Class {
    pub(crate) const fn index(self) -> usize {
        match self {
            Self::Short => 0,
            Self::Long => 1,
        }
    }
}
