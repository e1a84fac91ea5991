//! The settings of a replica and their default values.

use std::{ops::Range, time::Duration};

use crate::Replica;

/// The default interval between heartbeats of a leader.
const HEARTBEAT: Duration = Duration::from_millis(50);
/// The default lower bound of the election timeout: ten heartbeats. Shorter
/// timeouts cause elections while the leader waits for a busy disk.
const ELECTION_MIN: Duration = Duration::from_millis(500);
/// The default upper bound of the election timeout. A timeout chosen at random
/// between the bounds makes it unlikely that two replicas start an election at
/// the same time and split the votes.
const ELECTION_MAX: Duration = Duration::from_secs(1);
/// The default limit for the encoded entries of one message, in bytes. A frame
/// of the transport holds 1 MiB.
const MESSAGE_BYTES: usize = 256 * 1024;
/// The default limit for the number of entries in one message.
const MESSAGE_ENTRIES: usize = 512;
/// The default limit for one command in bytes. Together with the rest of its
/// message it fits into a frame of 1 MiB.
const ENTRY_BYTES: usize = 768 * 1024;
/// The default limit for unacknowledged messages with entries to one follower.
const WINDOW: usize = 32;
/// The default number of uncommitted entries from which proposals are refused.
const BACKLOG: usize = 16 * 1024;
/// The default number of entries before the snapshot that stay in memory, so
/// that slow readers and followers do not need the snapshot.
const RETAIN: usize = 10_000;

/// The settings of a [`Raft`](crate::Raft) replica.
///
/// # Example
///
/// ```
/// use std::time::Duration;
/// use wisteriaglade_consensus::{Config, Replica};
///
/// let members = [1, 2, 3].map(Replica::new);
/// let config = Config::new(Replica::new(1), members)
///     .heartbeat(Duration::from_millis(20))
///     .seed(7);
/// ```
#[derive(Debug, Clone)]
pub struct Config {
    pub(crate) replica: Replica,
    pub(crate) members: Vec<Replica>,
    pub(crate) heartbeat: Duration,
    pub(crate) election: Range<Duration>,
    pub(crate) seed: u64,
    pub(crate) message_bytes: usize,
    pub(crate) message_entries: usize,
    pub(crate) entry_bytes: usize,
    pub(crate) window: usize,
    pub(crate) backlog: usize,
    pub(crate) retain: usize,
}

impl Config {
    /// Creates the default settings of one replica.
    ///
    /// `members` is the initial group; a group stored in the log or the
    /// snapshot takes precedence. A replica that joins an existing group is
    /// created without members and waits for the leader to contact it.
    #[must_use]
    pub fn new(replica: Replica, members: impl IntoIterator<Item = Replica>) -> Self {
        Self {
            replica,
            members: members.into_iter().collect(),
            heartbeat: HEARTBEAT,
            election: ELECTION_MIN..ELECTION_MAX,
            seed: replica.get(),
            message_bytes: MESSAGE_BYTES,
            message_entries: MESSAGE_ENTRIES,
            entry_bytes: ENTRY_BYTES,
            window: WINDOW,
            backlog: BACKLOG,
            retain: RETAIN,
        }
    }

    /// Sets the interval between heartbeats of a leader, 50 ms by default.
    #[must_use]
    pub fn heartbeat(mut self, interval: Duration) -> Self {
        self.heartbeat = interval;
        self
    }

    /// Sets the range from which each election timeout is chosen at random, 500
    /// to 1,000 ms by default.
    ///
    /// # Panics
    ///
    /// Panics when the range is empty.
    #[must_use]
    pub fn election(mut self, timeout: Range<Duration>) -> Self {
        assert!(
            !timeout.is_empty(),
            "the range of the election timeout is empty"
        );
        self.election = timeout;
        self
    }

    /// Sets the seed of the random election timeouts, the id of the replica by
    /// default.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the limits for the entries of one message, 256 KiB and 512 entries
    /// by default. A single entry that exceeds the size is still sent. The size
    /// also limits the chunks of a snapshot.
    #[must_use]
    pub fn message(mut self, bytes: usize, entries: usize) -> Self {
        self.message_bytes = bytes.max(1);
        self.message_entries = entries.max(1);
        self
    }

    /// Sets the largest size of a command in bytes, 768 KiB by default.
    #[must_use]
    pub fn entry(mut self, bytes: usize) -> Self {
        self.entry_bytes = bytes;
        self
    }

    /// Sets how many messages with entries may be unacknowledged by one
    /// follower, 32 by default.
    #[must_use]
    pub fn window(mut self, messages: usize) -> Self {
        self.window = messages.max(1);
        self
    }

    /// Sets how many entries may be uncommitted before proposals are refused,
    /// 16,384 by default.
    #[must_use]
    pub fn backlog(mut self, entries: usize) -> Self {
        self.backlog = entries.max(1);
        self
    }

    /// Sets how many entries before a snapshot stay in memory, 10,000 by
    /// default.
    #[must_use]
    pub fn retain(mut self, entries: usize) -> Self {
        self.retain = entries;
        self
    }
}
