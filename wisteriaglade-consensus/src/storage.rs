//! The durable storage of a replica: its vote, log and snapshot.
//!
//! The driver opens a [`Storage`] at the start and passes it every [`Change`]
//! that the replica outputs.
//!
//! One data directory contains:
//!
//! | file | content |
//! |---|---|
//! | `lock` | empty; locked while a process uses the directory |
//! | `format` | the version of the file format |
//! | `vote` | the current term and the vote in it |
//! | `log-<number>` | a segment of the log; segments are numbered without gaps |
//! | `snapshot-<index>` | the newest snapshot |
//! | `*.tmp` | an incomplete file, removed at the next start |
//!
//! Every record has checksums. A damaged record at the very end of the log is
//! treated as a write that a crash interrupted, and is removed; it was never
//! acknowledged unless the disk has lost synced data. A damaged record anywhere
//! else is an error.
//!
//! # Example
//!
//! ```
//! use wisteriaglade_consensus::{Change, Replica, Vote, storage::Storage};
//! use wisteriaglade_types::Term;
//!
//! # fn main() -> wisteriaglade_consensus::storage::Result<()> {
//! let directory = tempfile::tempdir().expect("a temporary directory");
//! let vote = Vote { term: Term::new(3), voted_for: Some(Replica::new(1)) };
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
mod recovery;
mod replay;
mod segment;

use std::path::Path;

use serde::Serialize;
use wisteriaglade_types::Index;

pub use self::{
    directory::Directory,
    disk::Disk,
    error::{Error, Kind, Result},
};
use self::{
    record::{Record, StoredSnapshot},
    segment::Segment,
};
use crate::{Change, Entry, Restored, Snapshot};

/// The default size in bytes from which a new segment is started. It bounds the
/// memory and the time that it takes to read one segment.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;
/// The name of the file with the term and the vote.
const VOTE_FILE: &str = "vote";
/// The prefix of the name of a snapshot, followed by its index.
const SNAPSHOT_PREFIX: &str = "snapshot-";
/// The suffix of the name of an incomplete file.
const TEMPORARY_SUFFIX: &str = ".tmp";

/// The durable storage of one replica.
///
/// After a failed write or sync it refuses all changes: the content of the disk
/// is unknown then, and a later sync may report success although data was lost.
#[derive(Debug)]
pub struct Storage<D = Directory> {
    disk: D,
    /// The segments in ascending order. Records are appended to the last one.
    segments: Vec<Segment>,
    /// The length of the last segment in bytes.
    length: u64,
    /// The size in bytes from which a new segment is started.
    segment_bytes: u64,
    /// The index of the last entry, or of the snapshot when the log is empty.
    last: Index,
    /// The index of the newest snapshot.
    snapshot: Option<Index>,
    /// Whether a change has failed.
    failed: bool,
}

impl Storage {
    /// Opens a data directory, creating it when it is missing, and reads the
    /// durable state.
    ///
    /// # Errors
    ///
    /// [`Kind::Locked`] when another process uses the directory,
    /// [`Kind::Format`] when it has another format, [`Kind::Corrupt`] when a
    /// file is damaged or missing, and [`Kind::Io`] when an operation fails.
    pub fn open(path: impl AsRef<Path>) -> Result<(Self, Restored)> {
        Self::with_disk(Directory::open(path.as_ref())?)
    }
}

impl<D: Disk> Storage<D> {
    /// Sets the size in bytes from which a new segment is started, 8 MiB by
    /// default.
    #[must_use]
    pub fn segment_bytes(mut self, bytes: u64) -> Self {
        self.segment_bytes = bytes;
        self
    }

    /// Writes a change and syncs it before returning.
    ///
    /// # Errors
    ///
    /// [`Kind::Io`] when a write or sync fails, [`Kind::InvalidChange`] when a
    /// change does not fit the log, and [`Kind::Failed`] for every call after
    /// an error.
    pub fn persist(&mut self, change: &Change) -> Result<()> {
        if self.failed {
            let detail = "an earlier change could not be written or synced";
            return Err(Error::new(Kind::Failed, "storage", detail));
        }
        let result = match change {
            Change::Vote(vote) => self.replace_file(VOTE_FILE, 0, vote),
            Change::Truncate(from) => self.truncate(*from),
            Change::Append(entries) => self.append(entries),
            Change::Compact(snapshot) => self.compact(snapshot),
            Change::Install(snapshot) => self.install(snapshot),
        };
        self.failed = result.is_err();
        result
    }

    /// Returns whether a change has failed, after which all changes are
    /// refused.
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
                return Err(Error::new(
                    Kind::InvalidChange,
                    &self.last_segment().name(),
                    detail,
                ));
            }
            last = entry.index;
        }
        if entries.is_empty() {
            return Ok(());
        }
        self.write(&Record::Append(entries.to_vec()))?;
        self.last = last;
        if let Some(segment) = self.segments.last_mut() {
            segment.highest_index = segment.highest_index.max(last);
        }
        Ok(())
    }

    /// Appends a record to the last segment and syncs it. A new segment is
    /// started before when the last one has reached its size.
    fn write(&mut self, record: &Record) -> Result<()> {
        if self.length >= self.segment_bytes {
            self.roll_segment()?;
        }
        let segment = self.last_segment();
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

    /// Creates an empty segment after the last one.
    fn roll_segment(&mut self) -> Result<()> {
        let segment = Segment::new(self.segments.last().map_or(1, |last| last.number + 1));
        let name = segment.name();
        let created = self.disk.append(&name, &[]);
        created.map_err(|error| Error::io(&name, "create", error))?;
        self.sync_directory(&name)?;
        self.segments.push(segment);
        self.length = 0;
        Ok(())
    }

    /// Stores a snapshot of the own state and removes the segments that contain
    /// only entries up to it.
    fn compact(&mut self, snapshot: &Snapshot) -> Result<()> {
        let last = self.last_segment();
        let first_segment = self
            .segments
            .iter()
            .find(|segment| segment.highest_index > snapshot.index)
            .unwrap_or(&last)
            .number;
        self.store_snapshot(snapshot, first_segment)
    }

    fn install(&mut self, snapshot: &Snapshot) -> Result<()> {
        // The existing entries may conflict with the snapshot, so a new segment
        // is started and all others are removed.
        self.roll_segment()?;
        self.store_snapshot(snapshot, self.last_segment().number)?;
        self.last = snapshot.index;
        Ok(())
    }

    /// Writes a snapshot, then removes the previous one and the segments before
    /// `first_segment`.
    fn store_snapshot(&mut self, snapshot: &Snapshot, first_segment: u64) -> Result<()> {
        let stored = StoredSnapshot {
            snapshot: snapshot.clone(),
            first_segment,
        };
        let name = format!("{SNAPSHOT_PREFIX}{:020}", snapshot.index.get());
        self.replace_file(&name, snapshot.index.get(), &stored)?;
        let old = self.snapshot.replace(snapshot.index);
        if let Some(old) = old.filter(|old| *old != snapshot.index) {
            self.remove(&format!("{SNAPSHOT_PREFIX}{:020}", old.get()))?;
        }
        let kept = self.segments.partition_point(|s| s.number < first_segment);
        for segment in self.segments.drain(..kept).collect::<Vec<_>>() {
            self.remove(&segment.name())?;
        }
        Ok(())
    }

    /// Replaces a file by one frame with the encoded content.
    fn replace_file(&mut self, name: &str, number: u64, content: &impl Serialize) -> Result<()> {
        let bytes = encode(name, number, 0, content)?;
        self.replace_bytes(name, &bytes)
    }

    /// Replaces a file atomically: writes and syncs a temporary file, renames
    /// it and syncs the directory.
    fn replace_bytes(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let temporary = format!("{name}{TEMPORARY_SUFFIX}");
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

    /// Returns the segment to which records are appended.
    fn last_segment(&self) -> Segment {
        *self.segments.last().expect("the log has a segment")
    }
}

/// Encodes the content of a file as a frame for the position `offset`.
fn encode(name: &str, number: u64, offset: usize, content: &impl Serialize) -> Result<Vec<u8>> {
    let refused = |detail: String| Error::new(Kind::InvalidChange, name, detail);
    let content = postcard::to_stdvec(content).map_err(|error| refused(error.to_string()))?;
    frame::encode(number, offset, &content)
        .ok_or_else(|| refused("the record exceeds 4 GiB".to_owned()))
}
