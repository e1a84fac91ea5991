//! The durable state of a replica: vote, log and snapshot.
//!
//! One data directory contains:
//!
//! | file | content |
//! |---|---|
//! | `lock` | locked while a process uses the directory |
//! | `format` | the version of the format |
//! | `vote` | the current term and vote |
//! | `log-<number>` | segments of the log, numbered without gaps |
//! | `snapshot-<index>` | the newest snapshot |
//! | `*.tmp` | files that were not completed; removed at the start |
//!
//! Every record carries checksums. A damaged record at the very end of the log
//! is taken for a write that a crash interrupted and is removed; such a record
//! was never acknowledged unless the disk has lost synced data. A damaged
//! record anywhere else is an error.
//!
//! # Example
//!
//! ```
//! use wisteriaglade_consensus::{Change, Replica, Vote, storage::Storage};
//! use wisteriaglade_types::Term;
//!
//! # fn main() -> wisteriaglade_consensus::storage::Result<()> {
//! let directory = tempfile::tempdir().expect("a temporary directory");
//! let vote = Vote { term: Term::new(3), voted: Some(Replica::new(1)) };
//! let (mut storage, _) = Storage::open(directory.path())?;
//! storage.persist(&Change::Vote(vote))?;
//! drop(storage);
//! let (_, restored) = Storage::open(directory.path())?;
//! assert_eq!(restored.vote, vote);
//! # Ok(())
//! # }
//! ```

mod directory;
mod disk;
mod error;
mod frame;
mod record;
mod replay;
mod segment;
mod start;

use std::path::Path;

use serde::Serialize;
use wisteriaglade_types::Index;

pub use self::{
    directory::Directory,
    disk::Disk,
    error::{Error, Kind, Result},
};
use self::{
    record::{Record, Stored},
    segment::Segment,
};
use crate::{Change, Entry, Restored, Snapshot};

/// Size in bytes from which a segment is not continued. It bounds the memory
/// and time that reading one segment takes.
const SEGMENT: u64 = 8 * 1024 * 1024;
/// The file with the term and the vote.
const VOTE: &str = "vote";
/// The part before the index in the name of a snapshot.
const SNAPSHOT: &str = "snapshot-";
/// The end of the name of a file that is not complete.
const TEMPORARY: &str = ".tmp";

/// The durable state of one replica.
///
/// After a failed write or sync it accepts nothing more: what the disk holds
/// is unknown then, and a later sync may report success for data that was
/// lost.
#[derive(Debug)]
pub struct Storage<D = Directory> {
    disk: D,
    /// In ascending order; records go to the last one.
    segments: Vec<Segment>,
    /// The length of the last segment in bytes.
    length: u64,
    /// The size from which a segment is not continued, in bytes.
    limit: u64,
    /// The last entry of the log.
    last: Index,
    snapshot: Option<Index>,
    failed: bool,
}

impl Storage {
    /// Opens a data directory, which is created when it is missing.
    ///
    /// # Errors
    ///
    /// [`Kind::Locked`], [`Kind::Format`], [`Kind::Corrupt`] and [`Kind::Io`].
    pub fn open(path: impl AsRef<Path>) -> Result<(Self, Restored)> {
        Self::with(Directory::open(path.as_ref())?)
    }
}

impl<D: Disk> Storage<D> {
    /// Sets the size from which a segment is not continued, 8 MiB by default.
    #[must_use]
    pub fn segment(mut self, bytes: u64) -> Self {
        self.limit = bytes;
        self
    }

    /// Makes a change durable. It is synced when this returns.
    ///
    /// # Errors
    ///
    /// [`Kind::Io`] when a write or sync fails, [`Kind::Order`] when a change
    /// does not fit the log, and [`Kind::Failed`] ever after.
    pub fn persist(&mut self, change: &Change) -> Result<()> {
        if self.failed {
            let detail = "an earlier write or sync failed";
            return Err(Error::new(Kind::Failed, "storage", detail));
        }
        let result = match change {
            Change::Vote(vote) => self.replace(VOTE, 0, vote),
            Change::Truncate(from) => self.truncate(*from),
            Change::Append(entries) => self.append(entries),
            Change::Compact(snapshot) => self.compact(snapshot),
            Change::Install(snapshot) => self.install(snapshot),
        };
        self.failed = result.is_err();
        result
    }

    /// Whether a write or sync has failed.
    #[must_use]
    pub fn is_failed(&self) -> bool {
        self.failed
    }

    fn truncate(&mut self, from: Index) -> Result<()> {
        self.write(&Record::Truncate(from))?;
        self.last = self.last.min(Index::new(from.get().saturating_sub(1)));
        Ok(())
    }

    fn append(&mut self, entries: &[Entry]) -> Result<()> {
        let mut last = self.last;
        for entry in entries {
            if entry.index.get() != last.get() + 1 {
                let detail = format!("entry {} cannot follow entry {last}", entry.index);
                return Err(Error::new(Kind::Order, &self.current().name(), detail));
            }
            last = entry.index;
        }
        if entries.is_empty() {
            return Ok(());
        }
        self.write(&Record::Append(entries.to_vec()))?;
        self.last = last;
        if let Some(segment) = self.segments.last_mut() {
            segment.highest = segment.highest.max(last);
        }
        Ok(())
    }

    /// Adds a record to the last segment.
    fn write(&mut self, record: &Record) -> Result<()> {
        if self.length >= self.limit {
            self.roll()?;
        }
        let segment = self.current();
        let name = segment.name();
        let offset = usize::try_from(self.length).unwrap_or(usize::MAX);
        let bytes = encode(&name, segment.number, offset, record)?;
        let written = self.disk.append(&name, &bytes);
        written.map_err(|error| Error::io(&name, "write", error))?;
        let synced = self.disk.sync(&name);
        synced.map_err(|error| Error::io(&name, "sync", error))?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Starts a new segment.
    fn roll(&mut self) -> Result<()> {
        let segment = Segment::new(self.segments.last().map_or(1, |last| last.number + 1));
        let name = segment.name();
        let created = self.disk.append(&name, &[]);
        created.map_err(|error| Error::io(&name, "create", error))?;
        self.sync_directory(&name)?;
        self.segments.push(segment);
        self.length = 0;
        Ok(())
    }

    fn compact(&mut self, snapshot: &Snapshot) -> Result<()> {
        let last = self.current();
        let first = self
            .segments
            .iter()
            .find(|segment| segment.highest > snapshot.index)
            .unwrap_or(&last)
            .number;
        self.store(snapshot, first)
    }

    fn install(&mut self, snapshot: &Snapshot) -> Result<()> {
        // The entries of the current segments may contradict the snapshot, so
        // none of them is used together with it.
        self.roll()?;
        self.store(snapshot, self.current().number)?;
        self.last = snapshot.index;
        Ok(())
    }

    /// Writes a snapshot, then removes what it makes redundant.
    fn store(&mut self, snapshot: &Snapshot, first: u64) -> Result<()> {
        let stored = Stored {
            snapshot: snapshot.clone(),
            first,
        };
        let name = format!("{SNAPSHOT}{:020}", snapshot.index.get());
        self.replace(&name, snapshot.index.get(), &stored)?;
        let old = self.snapshot.replace(snapshot.index);
        if let Some(old) = old.filter(|old| *old != snapshot.index) {
            self.remove(&format!("{SNAPSHOT}{:020}", old.get()))?;
        }
        let kept = self.segments.partition_point(|s| s.number < first);
        for segment in self.segments.drain(..kept).collect::<Vec<_>>() {
            self.remove(&segment.name())?;
        }
        Ok(())
    }

    /// Replaces a file as a whole.
    fn replace(&mut self, name: &str, number: u64, content: &impl Serialize) -> Result<()> {
        let bytes = encode(name, number, 0, content)?;
        self.replace_bytes(name, &bytes)
    }

    fn replace_bytes(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let temporary = format!("{name}{TEMPORARY}");
        let written = self.disk.append(&temporary, bytes);
        written.map_err(|error| Error::io(&temporary, "write", error))?;
        let synced = self.disk.sync(&temporary);
        synced.map_err(|error| Error::io(&temporary, "sync", error))?;
        let renamed = self.disk.rename(&temporary, name);
        renamed.map_err(|error| Error::io(name, "rename", error))?;
        self.sync_directory(name)
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        let removed = self.disk.remove(name);
        removed.map_err(|error| Error::io(name, "remove", error))
    }

    fn sync_directory(&mut self, name: &str) -> Result<()> {
        let synced = self.disk.sync_directory();
        synced.map_err(|error| Error::io(name, "sync the directory", error))
    }

    /// The segment that records go to.
    fn current(&self) -> Segment {
        *self.segments.last().expect("the log has a segment")
    }
}

/// Encodes a frame.
fn encode(name: &str, number: u64, offset: usize, content: &impl Serialize) -> Result<Vec<u8>> {
    let refused = |detail: String| Error::new(Kind::Order, name, detail);
    let content = postcard::to_stdvec(content).map_err(|error| refused(error.to_string()))?;
    frame::encode(number, offset, &content).ok_or_else(|| refused("exceeds 4 GiB".to_owned()))
}
