use serde::{Deserialize, Serialize};

use crate::Answer;

/// The known progress of the work of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The work may be running. Holders reserve memory for its response.
    Started,
    /// The work ran to completion with this response.
    Completed(Answer),
    /// The work may have run, but its outcome is not known.
    Unknown,
    /// The start was withdrawn before any work ran. The record is kept for
    /// [`holder::Config::tombstone`](crate::holder::Config::tombstone), so that a delayed
    /// copy of the start has no effect.
    Aborted,
}
