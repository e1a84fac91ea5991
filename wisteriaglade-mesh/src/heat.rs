//! Which keys of a target are busy.

use std::{collections::BTreeMap, time::Duration};

use crate::Span;

/// How often rates are worked out.
const WINDOW: Duration = Duration::from_millis(800);

/// The weight of the last window.
const GAIN: f64 = 0.5;

/// Rates below this, in requests a second, are forgotten.
const FLOOR: f64 = 0.02;

/// Keys in the largest part of a report.
const PART: u16 = 128;

/// A part with more requests a second than this is reported in halves, down to
/// single keys: busy keys lie close together, and one part of them can be more
/// than a target serves. A target serves tens of requests a second.
const FINE: f64 = 3.0;

/// The rate of requests for each key of a target.
#[derive(Debug, Default)]
pub struct Heat {
    since: Duration,
    counts: BTreeMap<u16, u32>,
    rates: BTreeMap<u16, f64>,
}

impl Heat {
    /// Counts a request.
    pub fn note(&mut self, key: u16) {
        *self.counts.entry(key).or_default() += 1;
    }

    /// Works out the rates once a window.
    pub fn look(&mut self, now: Duration) {
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

    /// Requests in ten seconds for each part of the keys that had any. Parts
    /// are the smaller the busier they are.
    #[must_use]
    pub fn parts(&self) -> Vec<(Span, u32)> {
        let mut parts = Vec::new();
        let mut next = self.rates.keys().next().copied();
        while let Some(key) = next {
            let from = key / PART * PART;
            let span = Span::new(from, from + (PART - 1));
            self.split(span, &mut parts);
            let after = self.rates.range(span.to..).map(|(key, _)| *key);
            next = after.into_iter().find(|key| *key > span.to);
        }
        parts
    }

    fn split(&self, span: Span, parts: &mut Vec<(Span, u32)>) {
        let rates = self.rates.range(span.from..=span.to);
        let rate: f64 = rates.map(|(_, rate)| rate).sum();
        if span.from == span.to || rate <= FINE {
            if rate > 0.0 {
                parts.push((span, tens(rate)));
            }
            return;
        }
        let middle = span.from + (span.to - span.from) / 2;
        self.split(Span::new(span.from, middle), parts);
        self.split(Span::new(middle + 1, span.to), parts);
    }
}

/// Requests in ten seconds, of a rate a second.
fn tens(rate: f64) -> u32 {
    // A duration converts to whole units without a lossy cast.
    let tens = Duration::try_from_secs_f64(rate / 100.0).unwrap_or_default();
    u32::try_from(tens.as_millis()).unwrap_or(u32::MAX)
}
