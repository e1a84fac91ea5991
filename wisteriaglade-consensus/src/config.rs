//! Settings of a replica.

use std::{ops::Range, time::Duration};

use crate::Replica;

/// Interval of heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(50);
/// Ten missed heartbeats. Shorter timeouts cause elections on a busy disk.
const ELECTION_MIN: Duration = Duration::from_millis(500);
/// The spread keeps replicas from standing for election at the same time.
const ELECTION_MAX: Duration = Duration::from_secs(1);
/// Encoded size of the entries in one message; a frame holds 1 MiB.
const MESSAGE_BYTES: usize = 256 * 1024;
/// Number of entries in one message.
const MESSAGE_ENTRIES: usize = 512;
/// Largest command. It fits into a frame of 1 MiB with the message around it.
const ENTRY_BYTES: usize = 768 * 1024;
/// Messages with entries that a follower has not acknowledged yet.
const WINDOW: usize = 32;
/// Entries that wait for their commit before proposals are refused.
const BACKLOG: usize = 16 * 1024;
/// Entries before the snapshot that stay in memory for slow readers.
const RETAIN: usize = 10_000;

/// Settings of a [`Raft`](crate::Raft).
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
    /// The default settings for one replica of a group.
    ///
    /// `members` is the first group; a group stored in the log takes
    /// precedence. A replica that joins an existing group passes no members
    /// and waits for the leader to contact it.
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

    /// Sets the interval of heartbeats, 50 ms by default.
    #[must_use]
    pub fn heartbeat(mut self, interval: Duration) -> Self {
        self.heartbeat = interval;
        self
    }

    /// Sets the range of the election timeout, 500 to 1,000 ms by default.
    ///
    /// # Panics
    ///
    /// Panics when the range is empty.
    #[must_use]
    pub fn election(mut self, timeout: Range<Duration>) -> Self {
        assert!(
            !timeout.is_empty(),
            "the range of election timeouts is empty"
        );
        self.election = timeout;
        self
    }

    /// Sets the seed of the election timeouts, the id of the replica by
    /// default.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the limits of a message, 256 KiB and 512 entries by default. A
    /// single larger entry is still sent.
    #[must_use]
    pub fn message(mut self, bytes: usize, entries: usize) -> Self {
        self.message_bytes = bytes.max(1);
        self.message_entries = entries.max(1);
        self
    }

    /// Sets the largest command, 768 KiB by default.
    #[must_use]
    pub fn entry(mut self, bytes: usize) -> Self {
        self.entry_bytes = bytes;
        self
    }

    /// Sets how many messages with entries may be on the way to a follower, 32
    /// by default.
    #[must_use]
    pub fn window(mut self, messages: usize) -> Self {
        self.window = messages.max(1);
        self
    }

    /// Sets how many entries may wait for their commit, 16,384 by default.
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
