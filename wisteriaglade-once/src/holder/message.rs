use serde::{Deserialize, Serialize};
use wisteriaglade_types::{Epoch, Name, Shard};

use super::Cursor;
use crate::{Answer, Key, Keyspace, Record};

/// A request of an owner to a holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Makes the holder reject lower epochs from now on, and reads a page of records.
    ///
    /// The reply contains the records whose hash is in `keyspace`, whichever shard they
    /// were written under. The fence also applies across shards: the holder rejects
    /// writes under a lower epoch of any other shard for the key of a fenced dedicated
    /// shard, and for every key of a fenced [`Keyspace::Partition`].
    Fence {
        /// The pool of the shard.
        pool: Name,
        /// The shard that the sender owns.
        shard: Shard,
        /// The epoch of the sender's grant.
        epoch: Epoch,
        /// The keys of the shard.
        keyspace: Keyspace,
        /// The end of the previous page; `None` for the first page.
        cursor: Option<Cursor>,
    },
    /// Records a start and reserves memory for its response. Sent before the request is
    /// dispatched.
    Start {
        /// The shard that the sender owns.
        shard: Shard,
        /// The epoch of the sender's grant.
        epoch: Epoch,
        /// The record, in the state [`State::Started`](crate::State::Started).
        record: Record,
    },
    /// Records the response of a start that was written under this epoch.
    Complete {
        /// The shard that the sender owns.
        shard: Shard,
        /// The epoch of the sender's grant.
        epoch: Epoch,
        /// Identifies the work.
        key: Key,
        /// The [attempt](Record::attempt) of the start.
        attempt: u64,
        /// The response of the target.
        answer: Answer,
    },
    /// Withdraws a start whose work certainly did not run and will not.
    Abort {
        /// The shard that the sender owns.
        shard: Shard,
        /// The epoch of the sender's grant.
        epoch: Epoch,
        /// The record of the start. The holder stores it as
        /// [`State::Aborted`](crate::State::Aborted), whatever its state.
        record: Record,
    },
    /// Sends records that the holder may lack, for example after a change of owner or of
    /// holders or after a failed write.
    Copy {
        /// The pool of the shard.
        pool: Name,
        /// The shard that the sender owns.
        shard: Shard,
        /// The epoch of the sender's grant.
        epoch: Epoch,
        /// The records, encoded at most [`MAX_PAGE_BYTES`](super::MAX_PAGE_BYTES) bytes.
        records: Vec<Record>,
    },
}

impl Message {
    /// Pool, shard and epoch of the grant under which the message was sent.
    pub(super) fn grant(&self) -> (&Name, Shard, Epoch) {
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
            Self::Complete {
                shard, epoch, key, ..
            } => (&key.pool, *shard, *epoch),
        }
    }
}
