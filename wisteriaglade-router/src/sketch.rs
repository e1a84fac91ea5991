//! A sketch of the mean service time of each pair of route and key.

use std::{
    hash::{DefaultHasher, Hash as _, Hasher as _},
    time::Duration,
};

use wisteriaglade_types::Hash;

/// The number of rows, each with a hash function of its own. The estimate is
/// the lower of the two cells, so that a collision in one row does not make a
/// key look long.
const ROWS: usize = 2;

/// The number of cells in a row. Both rows together take 64 KiB at most.
const CELLS: usize = 4096;

/// The gain of a new observation in the moving mean of a cell.
const GAIN: f32 = 0.25;

/// Mean service times in a table of fixed size, indexed by hashes of route and
/// key like a count-min sketch (Cormode and Muthukrishnan, 2005).
#[derive(Debug)]
pub(crate) struct Sketch {
    /// The mean service time of each cell in seconds, row by row. It is zero
    /// before the first observation.
    means: Vec<f32>,
}

impl Sketch {
    pub(crate) fn new() -> Self {
        Self {
            means: vec![0.0; ROWS * CELLS],
        }
    }

    /// Returns the learned service time, or `None` if a cell of the pair has no
    /// observation.
    pub(crate) fn estimate(&self, route: u32, key: Hash) -> Option<Duration> {
        let cells = (0..ROWS).map(|row| self.means[cell(row, route, key)]);
        let least = cells.fold(f32::INFINITY, f32::min);
        (least > 0.0).then(|| Duration::from_secs_f32(least))
    }

    /// Adds a service time to the cells of a route and key.
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
    // `DefaultHasher::new` uses fixed keys, so the result is the same in every
    // process.
    let mut hasher = DefaultHasher::new();
    (row, route, key.get()).hash(&mut hasher);
    row * CELLS + (hasher.finish() % CELLS as u64) as usize
}
