use serde::{Deserialize, Serialize};

use crate::Answer;

/// How far the work of a record is known to have come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The work may be running. Room for its answer is reserved.
    Started,
    /// The work ran to its end.
    Ended(Answer),
    /// The work may have run, and its end will not be recorded.
    Unknown,
    /// The start was withdrawn before any work ran. The record remains for
    /// [`holder::Config::tombstone`](crate::holder::Config::tombstone), so that
    /// a delayed copy of the start has no effect.
    Aborted,
}
