//! Which keys of a target are busy.

use std::{collections::BTreeMap, time::Duration};

use wisteriaglade_mesh::HEAT_KEYS;

/// How often rates are worked out.
const WINDOW: Duration = Duration::from_millis(800);

/// The weight of the last window.
const GAIN: f64 = 0.5;

/// Rates below this, in requests a second, are forgotten.
const FLOOR: f64 = 0.1;

/// The rate of requests for each part of the keys.
#[derive(Debug, Default)]
pub(super) struct Heat {
    since: Duration,
    counts: BTreeMap<u16, u32>,
    rates: BTreeMap<u16, f64>,
}

impl Heat {
    /// Counts a request.
    pub(super) fn note(&mut self, key: u16) {
        *self.counts.entry(key / HEAT_KEYS * HEAT_KEYS).or_default() += 1;
    }

    /// Works out the rates once a window.
    pub(super) fn look(&mut self, now: Duration) {
        let time = now.saturating_sub(self.since);
        if time < WINDOW {
            return;
        }
        self.since = now;
        for key in self.counts.keys() {
            self.rates.entry(*key).or_default();
        }
        let counts = std::mem::take(&mut self.counts);
        for (key, rate) in &mut self.rates {
            let count = counts.get(key).copied().unwrap_or(0);
            let fresh = f64::from(count) / time.as_secs_f64();
            *rate += (fresh - *rate) * GAIN;
        }
        self.rates.retain(|_, rate| *rate >= FLOOR);
    }

    /// Requests in ten seconds for each part.
    pub(super) fn counts(&self) -> Vec<(u16, u32)> {
        let rates = self.rates.iter();
        rates.map(|(key, rate)| (*key, tens(*rate))).collect()
    }
}

/// Requests in ten seconds, of a rate a second.
fn tens(rate: f64) -> u32 {
    // A duration converts to whole units without a lossy cast.
    let tens = Duration::try_from_secs_f64(rate / 100.0).unwrap_or_default();
    u32::try_from(tens.as_millis()).unwrap_or(u32::MAX)
}
