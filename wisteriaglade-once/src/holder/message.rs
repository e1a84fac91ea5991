use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Epoch, Name, Shard};

use super::Cursor;
use crate::{Answer, Cover, Key, Record};

/// What an owner asks of a holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Refuses lower epochs from now on, and asks for a page of records.
    ///
    /// The reply carries the records whose hash `cover` contains, no matter
    /// under which shard they were written. The fence of a dedicated shard also
    /// refuses writes for its key under a lower epoch of any other shard, and
    /// the fence of a part refuses them for all keys that it contains.
    Fence {
        /// The pool.
        pool: Name,
        /// The shard.
        shard: Shard,
        /// The epoch of the sender's grant.
        epoch: Epoch,
        /// The keys of the shard.
        cover: Cover,
        /// Where the page before ended; `None` for the first page.
        cursor: Option<Cursor>,
    },
    /// Records a start and reserves the room for its answer.
    Start {
        /// The shard.
        shard: Shard,
        /// The epoch of the sender's grant.
        epoch: Epoch,
        /// The record, in the state [`State::Started`](crate::State::Started).
        record: Record,
    },
    /// Records the outcome of a start of this epoch.
    End {
        /// The shard.
        shard: Shard,
        /// The epoch of the sender's grant.
        epoch: Epoch,
        /// The work.
        key: Key,
        /// The attempt of the start.
        attempt: u64,
        /// The outcome.
        answer: Answer,
    },
    /// Withdraws a start whose work certainly did not run.
    Abort {
        /// The shard.
        shard: Shard,
        /// The epoch of the sender's grant.
        epoch: Epoch,
        /// The record of the start.
        record: Record,
    },
    /// Fills a holder with records it may lack.
    Copy {
        /// The pool.
        pool: Name,
        /// The shard.
        shard: Shard,
        /// The epoch of the sender's grant.
        epoch: Epoch,
        /// The records, at most [`PAGE`](super::PAGE) bytes.
        records: Vec<Record>,
    },
}

impl Message {
    pub(super) fn target(&self) -> (&Name, Shard, Epoch) {
        match self {
            Self::Fence {
                pool, shard, epoch, ..
            }
            | Self::Copy {
                pool, shard, epoch, ..
            } => (pool, *shard, *epoch),
            Self::Start {
                shard,
                epoch,
                record,
            }
            | Self::Abort {
                shard,
                epoch,
                record,
            } => (&record.key.pool, *shard, *epoch),
            Self::End {
                shard, epoch, key, ..
            } => (&key.pool, *shard, *epoch),
        }
    }
}
