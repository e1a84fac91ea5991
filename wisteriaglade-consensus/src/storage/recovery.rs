//! The recovery of the durable state at a start.

use serde::de::DeserializeOwned;
use wisteriaglade_types::Index;

use super::{
    Disk, Error, Kind, Result, SEGMENT_BYTES, SNAPSHOT_PREFIX, Storage, TEMPORARY_SUFFIX,
    VOTE_FILE, frame::scan, record::StoredSnapshot, replay::Replay, segment::Segment,
};
use crate::{Entry, Restored, Vote};

/// The name of the file with the format version.
const FORMAT_FILE: &str = "format";
/// The content of that file. The number changes with every incompatible change
/// of records, entries or file names.
const FORMAT_VERSION: &str = "wisteriaglade-consensus 1\n";

impl<D: Disk> Storage<D> {
    /// Opens storage on a disk and reads the durable state.
    ///
    /// # Errors
    ///
    /// [`Kind::Format`] when the disk has another format, [`Kind::Corrupt`]
    /// when a file is damaged or missing, and [`Kind::Io`] when an operation
    /// fails.
    pub fn with_disk(disk: D) -> Result<(Self, Restored)> {
        let mut storage = Self {
            disk,
            segments: Vec::new(),
            length: 0,
            segment_bytes: SEGMENT_BYTES,
            last: Index::new(0),
            snapshot: None,
            failed: false,
        };
        let restored = storage.recover()?;
        Ok((storage, restored))
    }

    /// Removes incomplete files, then reads and checks the vote, the snapshot
    /// and the log.
    fn recover(&mut self) -> Result<Restored> {
        let mut names = self.list()?;
        for name in names.extract_if(.., |name| name.ends_with(TEMPORARY_SUFFIX)) {
            self.remove(&name)?;
        }
        self.check_format(&names)?;
        let voted = names.iter().any(|name| name == VOTE_FILE);
        let vote = if voted {
            self.load_file(VOTE_FILE, 0)?
        } else {
            Vote::default()
        };
        let stored = self.load_snapshot(&names)?;
        let first = stored.as_ref().map_or(1, |stored| stored.first_segment);
        let snapshot = stored.map(|stored| stored.snapshot);
        // The first segment is created before the first vote or snapshot is
        // written, so it must exist when one of them does.
        self.find_segments(&names, first, voted || snapshot.is_some())?;
        let replay = self.replay()?;
        let entries = replay.finish(snapshot.as_ref(), &self.segments[0].name())?;
        let base = snapshot.as_ref().map_or(Index::new(0), |s| s.index);
        self.last = entries.last().map_or(base, |entry: &Entry| entry.index);
        self.snapshot = snapshot.as_ref().map(|snapshot| snapshot.index);
        let restored = Restored {
            vote,
            snapshot,
            entries,
        };
        check_term(&restored)?;
        Ok(restored)
    }

    fn list(&self) -> Result<Vec<String>> {
        let names = self.disk.list();
        names.map_err(|error| Error::io("data directory", "list", error))
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        let bytes = self.disk.read(name);
        bytes.map_err(|error| Error::io(name, "read", error))
    }

    /// Checks the format version, or writes it when the disk has no files of a
    /// replica.
    fn check_format(&mut self, names: &[String]) -> Result<()> {
        if names.iter().any(|name| name == FORMAT_FILE) {
            let found = self.read(FORMAT_FILE)?;
            if found == FORMAT_VERSION.as_bytes() {
                return Ok(());
            }
            let found = String::from_utf8_lossy(&found);
            let detail = format!("expected {FORMAT_VERSION:?}, found {found:?}");
            return Err(Error::new(Kind::Format, FORMAT_FILE, detail));
        }
        let own = |name: &&String| {
            *name == VOTE_FILE
                || Segment::parse(name).is_some()
                || name.starts_with(SNAPSHOT_PREFIX)
        };
        if let Some(name) = names.iter().find(own) {
            let detail = format!("the file is missing, but {name} exists");
            return Err(Error::new(Kind::Format, FORMAT_FILE, detail));
        }
        self.replace_bytes(FORMAT_FILE, FORMAT_VERSION.as_bytes())
    }

    /// Reads and decodes a file that consists of one frame.
    fn load_file<T: DeserializeOwned>(&self, name: &str, number: u64) -> Result<T> {
        let bytes = self.read(name)?;
        let scan = scan(number, &bytes);
        match (scan.frames.as_slice(), scan.damage) {
            ([(_, content)], None) => postcard::from_bytes(content)
                .map_err(|error| Error::corrupt(name, 0, error.to_string())),
            (_, Some(damage)) => {
                let detail = "the checksum does not match";
                Err(Error::corrupt(name, damage.offset as u64, detail))
            }
            _ => Err(Error::corrupt(
                name,
                0,
                "the file does not contain exactly one record",
            )),
        }
    }

    /// Reads the newest snapshot and removes older ones.
    fn load_snapshot(&mut self, names: &[String]) -> Result<Option<StoredSnapshot>> {
        let index = |name: &String| name.strip_prefix(SNAPSHOT_PREFIX)?.parse::<u64>().ok();
        let Some(newest) = names.iter().filter_map(index).max() else {
            return Ok(None);
        };
        let name = format!("{SNAPSHOT_PREFIX}{newest:020}");
        let stored: StoredSnapshot = self.load_file(&name, newest)?;
        if stored.snapshot.index.get() != newest {
            return Err(Error::corrupt(
                &name,
                0,
                "the index differs from the file name",
            ));
        }
        for old in names
            .iter()
            .filter(|name| name.starts_with(SNAPSHOT_PREFIX))
        {
            if *old != name {
                self.remove(old)?;
            }
        }
        Ok(Some(stored))
    }

    /// Finds the segments from `first` on and removes earlier ones. Creates the
    /// first segment when there is none, unless one must exist.
    fn find_segments(&mut self, names: &[String], first: u64, must_exist: bool) -> Result<()> {
        let mut numbers: Vec<_> = names
            .iter()
            .filter_map(|name| Segment::parse(name))
            .collect();
        numbers.sort_unstable();
        for number in numbers.extract_if(.., |number| *number < first) {
            self.remove(&Segment::new(number).name())?;
        }
        if numbers.is_empty() && !must_exist {
            return self.roll_segment();
        }
        let last = numbers.last().copied().unwrap_or(first);
        for number in first..=last {
            let segment = Segment::new(number);
            if numbers.binary_search(&number).is_err() {
                return Err(Error::corrupt(&segment.name(), 0, "the file is missing"));
            }
            self.segments.push(segment);
        }
        Ok(())
    }

    /// Reads all segments and removes an incomplete record at the end of the
    /// last one.
    fn replay(&mut self) -> Result<Replay> {
        let mut replay = Replay::default();
        let count = self.segments.len();
        for position in 0..count {
            let mut segment = self.segments[position];
            let name = segment.name();
            let bytes = self.read(&name)?;
            let last = position + 1 == count;
            self.length = replay.read(&mut segment, &bytes, last)?;
            self.segments[position] = segment;
            if self.length < bytes.len() as u64 {
                let cut = self.disk.truncate(&name, self.length);
                cut.map_err(|error| Error::io(&name, "truncate", error))?;
                let synced = self.disk.sync(&name);
                synced.map_err(|error| Error::io(&name, "sync", error))?;
            }
        }
        Ok(replay)
    }
}

/// Checks that no entry has a higher term than the vote. The vote is stored
/// before the first entry of its term, so a higher term means that the vote was
/// lost and that the replica could vote twice in a term.
fn check_term(restored: &Restored) -> Result<()> {
    let entry = restored.entries.last().map(|entry| entry.term);
    let snapshot = restored.snapshot.as_ref().map(|snapshot| snapshot.term);
    let log = entry.max(snapshot).unwrap_or_default();
    let vote = restored.vote.term;
    if log > vote {
        let detail = format!("the log contains term {log}, but the vote is of term {vote}");
        return Err(Error::corrupt(VOTE_FILE, 0, detail));
    }
    Ok(())
}
