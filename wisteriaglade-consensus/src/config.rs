//! The settings of a replica and their default values.

use std::{ops::Range, time::Duration};

use crate::Replica;

/// The default interval between heartbeats of a leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// The default lower bound of the election timeout: ten heartbeats. Shorter
/// timeouts cause elections while the leader waits for a busy disk.
const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// The default upper bound of the election timeout. A timeout chosen at random
/// between the bounds makes it unlikely that two replicas start an election at
/// the same time and split the votes.
const MAX_ELECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// The default limit for the encoded entries of one message, in bytes. A frame
/// of the transport holds 1 MiB.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// The default limit for the number of entries in one message.
const MAX_MESSAGE_ENTRIES: usize = 512;
/// The default limit for one command in bytes. Together with the rest of its
/// message it fits into a frame of 1 MiB.
const MAX_COMMAND_BYTES: usize = 768 * 1024;
/// The default limit for unacknowledged messages with entries to one follower.
const MAX_INFLIGHT_MESSAGES: usize = 32;
/// The default number of uncommitted entries from which proposals are refused.
const MAX_UNCOMMITTED_ENTRIES: usize = 16 * 1024;
/// The default number of entries before the snapshot that stay in memory, so
/// that slow readers and followers do not need the snapshot.
const RETAINED_ENTRIES: usize = 10_000;
/// The default limit for the encoded size of those entries in bytes.
const RETAINED_BYTES: usize = 64 * 1024 * 1024;

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
///     .heartbeat_interval(Duration::from_millis(20))
///     .seed(7);
/// ```
#[derive(Debug, Clone)]
pub struct Config {
    pub(crate) replica: Replica,
    pub(crate) members: Vec<Replica>,
    pub(crate) heartbeat_interval: Duration,
    pub(crate) election_timeout: Range<Duration>,
    pub(crate) seed: u64,
    pub(crate) max_message_bytes: usize,
    pub(crate) max_message_entries: usize,
    pub(crate) max_command_bytes: usize,
    pub(crate) max_inflight_messages: usize,
    pub(crate) max_uncommitted_entries: usize,
    pub(crate) retained_entries: usize,
    pub(crate) retained_bytes: usize,
    pub(crate) fixed_ids: bool,
}

impl Config {
    /// Creates the default settings of one replica.
    ///
    /// `members` is the first group, which a replica without durable state writes
    /// to its log; a group stored in the log or the snapshot takes precedence. A
    /// replica that joins an existing group is created without members and waits
    /// for the leader to contact it.
    #[must_use]
    pub fn new(replica: Replica, members: impl IntoIterator<Item = Replica>) -> Self {
        Self {
            replica,
            members: members.into_iter().collect(),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout: MIN_ELECTION_TIMEOUT..MAX_ELECTION_TIMEOUT,
            seed: replica.get(),
            max_message_bytes: MAX_MESSAGE_BYTES,
            max_message_entries: MAX_MESSAGE_ENTRIES,
            max_command_bytes: MAX_COMMAND_BYTES,
            max_inflight_messages: MAX_INFLIGHT_MESSAGES,
            max_uncommitted_entries: MAX_UNCOMMITTED_ENTRIES,
            retained_entries: RETAINED_ENTRIES,
            retained_bytes: RETAINED_BYTES,
            fixed_ids: false,
        }
    }

    /// Sets the interval between heartbeats of a leader, 50 ms by default.
    #[must_use]
    pub fn heartbeat_interval(mut self, interval: Duration) -> Self {
        self.heartbeat_interval = interval;
        self
    }

    /// Sets the range from which each election timeout is chosen at random, 500
    /// to 1,000 ms by default.
    ///
    /// # Panics
    ///
    /// Panics when the range is empty.
    #[must_use]
    pub fn election_timeout(mut self, timeout: Range<Duration>) -> Self {
        assert!(
            !timeout.is_empty(),
            "the range of the election timeout is empty"
        );
        self.election_timeout = timeout;
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
    pub fn message_limits(mut self, bytes: usize, entries: usize) -> Self {
        self.max_message_bytes = bytes.max(1);
        self.max_message_entries = entries.max(1);
        self
    }

    /// Sets the largest size of a command in bytes, 768 KiB by default.
    #[must_use]
    pub fn max_command_bytes(mut self, bytes: usize) -> Self {
        self.max_command_bytes = bytes;
        self
    }

    /// Sets how many messages with entries may be unacknowledged by one
    /// follower, 32 by default.
    #[must_use]
    pub fn max_inflight_messages(mut self, messages: usize) -> Self {
        self.max_inflight_messages = messages.max(1);
        self
    }

    /// Sets how many entries may be uncommitted before proposals are refused,
    /// 16,384 by default.
    #[must_use]
    pub fn max_uncommitted_entries(mut self, entries: usize) -> Self {
        self.max_uncommitted_entries = entries.max(1);
        self
    }

    /// Sets how many entries before a snapshot stay in memory, 10,000 by
    /// default.
    #[must_use]
    pub fn retained_entries(mut self, entries: usize) -> Self {
        self.retained_entries = entries;
        self
    }

    /// Sets the size of the entries before a snapshot that stay in memory, in bytes,
    /// 64 MiB by default. Fewer entries than [`Config::retained_entries`] stay if
    /// they are larger.
    #[must_use]
    pub fn retained_bytes(mut self, bytes: usize) -> Self {
        self.retained_bytes = bytes;
        self
    }

    /// Sets whether a replica has the same id again after the loss of its disk,
    /// false by default.
    ///
    /// Such a replica has forgotten its votes and the entries that it acknowledged.
    /// With this setting, a replica that has only the first group votes for nobody
    /// who has more, until it has entries of a leader.
    #[must_use]
    pub fn fixed_ids(mut self, fixed: bool) -> Self {
        self.fixed_ids = fixed;
        self
    }
}
