//! The reconstruction of the log from the records of its segments.

use wisteriaglade_types::Index;

use super::{Error, Result, frame::Damage, frame::scan, record::Record, segment::Segment};
use crate::{Entry, Snapshot};

/// The entries read so far.
#[derive(Debug, Default)]
pub(super) struct Replay {
    entries: Vec<Entry>,
}

impl Replay {
    /// Applies the records of a segment and returns the length of its intact
    /// part in bytes. A damaged record is accepted only at the end of the last
    /// segment.
    pub(super) fn read(&mut self, segment: &mut Segment, bytes: &[u8], last: bool) -> Result<u64> {
        let name = segment.name();
        let scan = scan(segment.number, bytes);
        for (offset, content) in scan.frames {
            self.apply(segment, content)
                .map_err(|detail| Error::corrupt(&name, offset as u64, detail))?;
        }
        match scan.damage {
            None => Ok(bytes.len() as u64),
            Some(Damage {
                offset,
                intact_frame_follows: false,
            }) if last => Ok(offset as u64),
            Some(Damage { offset, .. }) => {
                let detail = "a damaged record precedes intact ones or a later segment";
                Err(Error::corrupt(&name, offset as u64, detail))
            }
        }
    }

    fn apply(&mut self, segment: &mut Segment, content: &[u8]) -> std::result::Result<(), String> {
        match postcard::from_bytes(content).map_err(|error| error.to_string())? {
            Record::Append(entries) => {
                for entry in entries {
                    let last = self.entries.last().map(|entry| entry.index);
                    if let Some(last) = last
                        && entry.index.get() != last.get() + 1
                    {
                        return Err(format!("entry {} cannot follow entry {last}", entry.index));
                    }
                    segment.highest_index = segment.highest_index.max(entry.index);
                    self.entries.push(entry);
                }
            }
            Record::Truncate(from) => {
                let kept = self.entries.partition_point(|entry| entry.index < from);
                self.entries.truncate(kept);
            }
        }
        Ok(())
    }

    /// Returns the entries after the snapshot, checking that they directly
    /// follow it.
    pub(super) fn finish(mut self, snapshot: Option<&Snapshot>, file: &str) -> Result<Vec<Entry>> {
        let base = snapshot.map_or(Index::new(0), |snapshot| snapshot.index);
        let old = self.entries.partition_point(|entry| entry.index <= base);
        let removed = self.entries.drain(..old).next_back();
        if let (Some(entry), Some(snapshot)) = (removed, snapshot)
            && entry.index == base
            && entry.term != snapshot.term
        {
            let detail = format!("the terms of entry {base} and of its snapshot differ");
            return Err(Error::corrupt(file, 0, detail));
        }
        match self.entries.first() {
            Some(first) if first.index.get() != base.get() + 1 => {
                let detail = format!("entry {} cannot follow the snapshot at {base}", first.index);
                Err(Error::corrupt(file, 0, detail))
            }
            _ => Ok(self.entries),
        }
    }
}
