//! Learned lengths for pairs of route and key.

use std::{
    hash::{DefaultHasher, Hash as _, Hasher as _},
    time::Duration,
};

use wisteriaglade_types::Hash;

/// Independent hash functions. A key is long only when both cells say so, so
/// that one collision does not make it long.
const ROWS: usize = 2;

/// Cells of a row; 64 KiB in all.
const CELLS: usize = 4096;

/// The weight of a new observation of a cell.
const GAIN: f32 = 0.25;

/// A bounded table of mean service times, indexed by hashes of route and key
/// in the manner of a count-min sketch (Cormode and Muthukrishnan, 2005).
#[derive(Debug)]
pub(crate) struct Sketch {
    /// Mean service time in seconds for each cell; zero before the first
    /// observation.
    means: Vec<f32>,
}

impl Sketch {
    pub(crate) fn new() -> Self {
        Self {
            means: vec![0.0; ROWS * CELLS],
        }
    }

    /// The service time that was learned, if both cells have one.
    pub(crate) fn estimate(&self, route: u32, key: Hash) -> Option<Duration> {
        let cells = (0..ROWS).map(|row| self.means[cell(row, route, key)]);
        let least = cells.fold(f32::INFINITY, f32::min);
        (least > 0.0).then(|| Duration::from_secs_f32(least))
    }

    pub(crate) fn observe(&mut self, route: u32, key: Hash, busy: Duration) {
        let busy = busy.as_secs_f32().max(f32::MIN_POSITIVE);
        for row in 0..ROWS {
            let mean = &mut self.means[cell(row, route, key)];
            if *mean > 0.0 {
                *mean += GAIN * (busy - *mean);
            } else {
                *mean = busy;
            }
        }
    }
}

#[allow(
    clippy::cast_possible_truncation,
    reason = "the remainder is below the number of cells"
)]
fn cell(row: usize, route: u32, key: Hash) -> usize {
    // `DefaultHasher::new` has fixed keys, so the cell is the same in every run.
    let mut hasher = DefaultHasher::new();
    (row, route, key.get()).hash(&mut hasher);
    row * CELLS + (hasher.finish() % CELLS as u64) as usize
}
