//! Request rates of a target's keys.
//!
//! A host process owns one [`KeyRates`], counts the requests for keys that its
//! target holds and reports the rates to the leader, whose planner moves busy
//! keys.

use std::{collections::BTreeMap, time::Duration};

use crate::Span;

/// The least time between two updates of the rates.
const MIN_WINDOW: Duration = Duration::from_millis(800);

/// The weight of the last window in the moving average of a rate.
const RATE_GAIN: f64 = 0.5;

/// Keys with a lower rate than this, in requests per second, are dropped.
const MIN_RATE: f64 = 0.02;

/// The number of keys in the largest span that is reported as one.
const MAX_SPAN_KEYS: u16 = 128;

/// A span with a higher rate than this, in requests per second, is reported in
/// halves, down to single keys. Busy keys lie close together, so one span of
/// them can exceed what a target serves, which is tens of requests per second.
const MAX_SPAN_RATE: f64 = 3.0;

/// A moving average of the request rate of each key, per second.
#[derive(Debug, Default)]
pub struct KeyRates {
    /// When the rates were last updated.
    since: Duration,
    /// The requests for each key since then.
    counts: BTreeMap<u16, u32>,
    /// The rate of each key, in requests per second.
    rates: BTreeMap<u16, f64>,
}

impl KeyRates {
    /// Counts a request for a key.
    pub fn record(&mut self, key: u16) {
        *self.counts.entry(key).or_default() += 1;
    }

    /// Updates the rates from the requests counted since the last update. Does
    /// nothing before the window is over, so it may be called at any interval.
    pub fn update(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.since);
        if elapsed < MIN_WINDOW {
            return;
        }
        self.since = now;
        for key in self.counts.keys() {
            self.rates.entry(*key).or_default();
        }
        let counts = std::mem::take(&mut self.counts);
        for (key, rate) in &mut self.rates {
            let count = counts.get(key).copied().unwrap_or(0);
            let latest = f64::from(count) / elapsed.as_secs_f64();
            *rate += (latest - *rate) * RATE_GAIN;
        }
        self.rates.retain(|_, rate| *rate >= MIN_RATE);
    }

    /// Returns the spans that had requests, each with its rate in requests per
    /// ten seconds. Spans with a higher rate are split into smaller ones.
    #[must_use]
    pub fn summary(&self) -> Vec<(Span, u32)> {
        let mut spans = Vec::new();
        let mut next = self.rates.keys().next().copied();
        while let Some(key) = next {
            let from = key / MAX_SPAN_KEYS * MAX_SPAN_KEYS;
            let span = Span::new(from, from + (MAX_SPAN_KEYS - 1));
            self.split(span, &mut spans);
            let after = self.rates.range(span.to..).map(|(key, _)| *key);
            next = after.into_iter().find(|key| *key > span.to);
        }
        spans
    }

    /// Adds the span, or its halves if its rate is too high, unless it had no
    /// requests.
    fn split(&self, span: Span, spans: &mut Vec<(Span, u32)>) {
        let rates = self.rates.range(span.from..=span.to);
        let rate: f64 = rates.map(|(_, rate)| rate).sum();
        if span.from == span.to || rate <= MAX_SPAN_RATE {
            if rate > 0.0 {
                spans.push((span, per_ten_seconds(rate)));
            }
            return;
        }
        let middle = span.from + (span.to - span.from) / 2;
        self.split(Span::new(span.from, middle), spans);
        self.split(Span::new(middle + 1, span.to), spans);
    }
}

/// Converts a rate per second to whole requests per ten seconds.
fn per_ten_seconds(rate: f64) -> u32 {
    // Going through a duration avoids a lossy cast from f64 to u32.
    let scaled = Duration::try_from_secs_f64(rate / 100.0).unwrap_or_default();
    u32::try_from(scaled.as_millis()).unwrap_or(u32::MAX)
}
