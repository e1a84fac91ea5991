//! The replica side: stores the records that owners write and rejects stale epochs.
//!
//! Every node runs one [`Holder`]. The driver passes it the [`Message`]s of owners and
//! returns each [`Reply`].

mod config;
mod cursor;
mod message;
mod pool;
mod reply;
mod store;

use std::time::Duration;

use wisteriaglade_types::{Epoch, Name, Shard};

use self::store::Store;
pub use self::{config::Config, cursor::Cursor, message::Message, reply::Reply};
use crate::{Answer, Key, Keyspace, Record, State};

/// The largest sum of encoded records in a [`Reply::Records`] or a [`Message::Copy`], in
/// bytes. A larger record is sent on its own. It leaves room for the other fields
/// within a frame between processes, which has at most 1 MiB.
pub const MAX_PAGE_BYTES: usize = 512 * 1024;

/// The holder of a node. It stores the records of every shard whose owner writes to it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use wisteriaglade_once::{Keyspace, holder::{Config, Holder, Message, Reply}};
/// use wisteriaglade_types::{Epoch, Shard};
///
/// let mut holder = Holder::new(Config::default());
/// let fence = |epoch| Message::Fence {
///     pool: "bookings".into(),
///     shard: Shard::new(3),
///     epoch: Epoch::new(epoch),
///     keyspace: Keyspace::Partition { shards: 256, excluded: vec![] },
///     cursor: None,
/// };
/// let now = Duration::from_secs(1);
/// assert_eq!(holder.handle(now, fence(7)), Reply::Records { records: vec![], next: None });
/// assert_eq!(holder.handle(now, fence(6)), Reply::Stale { epoch: Epoch::new(7), hash: None });
/// ```
#[derive(Debug)]
pub struct Holder {
    store: Store,
}

impl Holder {
    /// Creates a holder without records.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            store: Store::new(config),
        }
    }

    /// Handles one message of an owner and returns the reply to send. `now` is the time
    /// since process start.
    ///
    /// Messages are idempotent and may arrive in any order.
    #[must_use]
    pub fn handle(&mut self, now: Duration, message: Message) -> Reply {
        self.expire(now);
        let (pool, shard, epoch) = message.grant();
        let min_epoch = self.store.pool(pool).raise_min_epoch(shard, epoch);
        if min_epoch > epoch {
            return Reply::Stale {
                epoch: min_epoch,
                hash: None,
            };
        }
        match message {
            Message::Fence {
                pool,
                shard,
                epoch,
                keyspace,
                cursor,
            } => self.fence(now, &pool, shard, epoch, keyspace, cursor.as_ref()),
            Message::Start { epoch, record, .. } => self.start(now, epoch, record),
            Message::Complete {
                epoch,
                key,
                attempt,
                answer,
                ..
            } => self.complete(now, epoch, &key, attempt, answer),
            Message::Abort { epoch, record, .. } => self.abort(now, epoch, record),
            Message::Copy { epoch, records, .. } => self.copy(now, epoch, records),
        }
    }

    /// Removes the records whose retention has ended.
    pub fn expire(&mut self, now: Duration) {
        self.store.expire(now);
    }

    /// The memory counted for all records, in bytes, including the memory reserved for
    /// responses.
    #[must_use]
    pub const fn memory_used(&self) -> usize {
        self.store.memory_used()
    }

    /// The number of stored records, withdrawn ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.store.len()
    }

    /// Whether no records are stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn fence(
        &mut self,
        now: Duration,
        pool: &Name,
        shard: Shard,
        epoch: Epoch,
        keyspace: Keyspace,
        cursor: Option<&Cursor>,
    ) -> Reply {
        let (records, next) = self.store.page(now, pool, shard, &keyspace, cursor);
        self.store.pool(pool).fence(shard, epoch, keyspace);
        Reply::Records { records, next }
    }

    fn start(&mut self, now: Duration, epoch: Epoch, record: Record) -> Reply {
        if let Some(stale) = self.check_epoch(epoch, &record.key) {
            return stale;
        }
        match self.store.get(now, &record.key) {
            Some(held) if held.version() == record.version() => match held.state {
                State::Started | State::Completed(_) => Reply::Done,
                State::Unknown | State::Aborted => Reply::Superseded(Box::new(held)),
            },
            Some(held) if !record.supersedes(&held) => Reply::Superseded(Box::new(held)),
            _ => self.merge(now, record),
        }
    }

    fn complete(
        &mut self,
        now: Duration,
        epoch: Epoch,
        key: &Key,
        attempt: u64,
        answer: Answer,
    ) -> Reply {
        if let Some(stale) = self.check_epoch(epoch, key) {
            return stale;
        }
        match self.store.get(now, key) {
            Some(held) if held.version() == (epoch, attempt) => {
                let state = State::Completed(answer.clip());
                self.merge(now, Record { state, ..held })
            }
            _ => Reply::Missing,
        }
    }

    fn abort(&mut self, now: Duration, epoch: Epoch, record: Record) -> Reply {
        if let Some(stale) = self.check_epoch(epoch, &record.key) {
            return stale;
        }
        let state = State::Aborted;
        // The result can be ignored: without room for the withdrawal there is no room
        // for a delayed start either, and a stored start frees more memory than its
        // withdrawal needs.
        let _ = self.merge(now, Record { state, ..record });
        Reply::Done
    }

    fn copy(&mut self, now: Duration, epoch: Epoch, records: Vec<Record>) -> Reply {
        for record in records {
            // The owner counts this holder for every record of a message that succeeds,
            // so the message must fail if one of its records is rejected.
            if let Some(stale) = self.check_epoch(epoch, &record.key) {
                return stale;
            }
            if self.merge(now, record) == Reply::Full {
                return Reply::Full;
            }
        }
        Reply::Done
    }

    fn check_epoch(&mut self, epoch: Epoch, key: &Key) -> Option<Reply> {
        let min_epoch = self.store.pool(&key.pool).min_epoch(key.hash);
        (min_epoch > epoch).then_some(Reply::Stale {
            epoch: min_epoch,
            hash: Some(key.hash),
        })
    }

    fn merge(&mut self, now: Duration, record: Record) -> Reply {
        if self.store.merge(now, record) {
            Reply::Done
        } else {
            Reply::Full
        }
    }
}
