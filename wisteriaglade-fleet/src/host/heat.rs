//! Which keys of a target are busy.

use std::{collections::BTreeMap, time::Duration};

/// Keys in one counted part, as the leader's planner expects.
const PART: u16 = 64;

/// How often rates are worked out.
const WINDOW: Duration = Duration::from_millis(1000);

/// The weight of the last window.
const GAIN: f32 = 0.5;

/// Parts that are reported; the busiest ones matter.
const TOP: usize = 24;

/// Rates below this are forgotten.
const FLOOR: f32 = 0.1;

/// The rate of requests for each part of the keys.
#[derive(Debug, Default)]
pub(super) struct Heat {
    since: Duration,
    counts: BTreeMap<u16, u32>,
    rates: BTreeMap<u16, f32>,
}

impl Heat {
    /// Counts a request.
    pub(super) fn note(&mut self, key: u16) {
        *self.counts.entry(key / PART * PART).or_default() += 1;
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
            let fresh = count as f32 / time.as_secs_f32();
            *rate += (fresh - *rate) * GAIN;
        }
        self.rates.retain(|_, rate| *rate >= FLOOR);
    }

    /// The busiest parts; the rest is added to the last one so that the sum is
    /// the rate of the target.
    pub(super) fn top(&self) -> Vec<(u16, f32)> {
        let mut parts: Vec<_> = self.rates.iter().map(|(key, rate)| (*key, *rate)).collect();
        parts.sort_by(|a, b| b.1.total_cmp(&a.1));
        let rest: f32 = parts.iter().skip(TOP).map(|(_, rate)| *rate).sum();
        parts.truncate(TOP);
        if let Some(last) = parts.last_mut() {
            last.1 += rest;
        }
        parts
    }
}
