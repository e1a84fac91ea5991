//! The encoding of records in files, with checksums.
//!
//! A frame consists of the length of its content (u32), a CRC-32 of that
//! length, a CRC-32 of the content, and the content. Numbers are little-endian.
//! Both checksums also cover the number of the file and the position of the
//! frame, so that bytes copied from another file or position do not decode as a
//! frame.

use crc32fast::Hasher;

/// The size in bytes of the length and the two checksums.
const HEADER_BYTES: usize = 12;

/// The result of reading the frames of a file.
#[derive(Debug)]
pub(super) struct Scan<'a> {
    /// The position and the content of each intact frame before the damage.
    pub(super) frames: Vec<(usize, &'a [u8])>,
    /// The first damaged frame, if there is one.
    pub(super) damage: Option<Damage>,
}

/// The first damaged frame of a file.
#[derive(Debug, Clone, Copy)]
pub(super) struct Damage {
    /// The position of the frame in bytes.
    pub(super) offset: usize,
    /// Whether an intact frame follows. A frame is written only after the
    /// previous one was synced, so the damaged frame was intact at that time.
    pub(super) intact_frame_follows: bool,
}

/// Encodes a frame for a position in a file. Returns `None` when the content
/// exceeds 4 GiB.
pub(super) fn encode(file: u64, offset: usize, content: &[u8]) -> Option<Vec<u8>> {
    let length = u32::try_from(content.len()).ok()?.to_le_bytes();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
    bytes.extend_from_slice(&length);
    bytes.extend_from_slice(&checksum(file, offset, &length).to_le_bytes());
    bytes.extend_from_slice(&checksum(file, offset, content).to_le_bytes());
    bytes.extend_from_slice(content);
    Some(bytes)
}

/// Reads all frames of a file up to the first damaged one.
pub(super) fn scan(file: u64, bytes: &[u8]) -> Scan<'_> {
    let mut frames = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        let Some(content) = decode(file, offset, bytes) else {
            let intact_frame_follows =
                (offset + 1..bytes.len()).any(|at| decode(file, at, bytes).is_some());
            let damage = Some(Damage {
                offset,
                intact_frame_follows,
            });
            return Scan { frames, damage };
        };
        frames.push((offset, content));
        offset += HEADER_BYTES + content.len();
    }
    Scan {
        frames,
        damage: None,
    }
}

/// Returns the content of the frame at a position, or `None` when it is
/// damaged.
fn decode(file: u64, offset: usize, bytes: &[u8]) -> Option<&[u8]> {
    let (header, rest) = bytes.get(offset..)?.split_at_checked(HEADER_BYTES)?;
    let (length, checksums) = header.split_at(4);
    let number = |at: &[u8]| at.try_into().map(u32::from_le_bytes).ok();
    if number(&checksums[..4])? != checksum(file, offset, length) {
        return None;
    }
    let content = rest.get(..usize::try_from(number(length)?).ok()?)?;
    (number(&checksums[4..])? == checksum(file, offset, content)).then_some(content)
}

/// Computes the CRC-32 of a file number, a position and bytes.
fn checksum(file: u64, offset: usize, bytes: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&file.to_le_bytes());
    hasher.update(&(offset as u64).to_le_bytes());
    hasher.update(bytes);
    hasher.finalize()
}
