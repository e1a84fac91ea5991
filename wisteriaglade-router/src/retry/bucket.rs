//! The tokens of one member.

use std::time::Duration;

use super::Config;

/// Two stores of tokens: those earned by requests fade, those of the constant
/// refill.
#[derive(Debug)]
pub(super) struct Bucket {
    earned: f64,
    constant: f64,
    at: Duration,
}

impl Bucket {
    pub(super) fn new(config: &Config, now: Duration) -> Self {
        Self {
            earned: 0.0,
            constant: f64::from(config.constant),
            at: now,
        }
    }

    pub(super) fn request(&mut self, config: &Config, now: Duration) {
        self.advance(config, now);
        self.earned += config.ratio;
    }

    pub(super) fn retry(&mut self, config: &Config, now: Duration) -> bool {
        // Ten earned tenths may sum to slightly less than one.
        const ONE: f64 = 1.0 - 1e-9;
        self.advance(config, now);
        for store in [&mut self.earned, &mut self.constant] {
            if *store >= ONE {
                *store = (*store - 1.0).max(0.0);
                return true;
            }
        }
        false
    }

    fn advance(&mut self, config: &Config, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let [half_life, refill] = [config.half_life, config.refill]
            .map(|time| time.max(Duration::from_nanos(1)).as_secs_f64());
        self.earned *= (-elapsed / half_life).exp2();
        let refilled = self.constant + elapsed / refill;
        self.constant = refilled.min(f64::from(config.constant));
    }
}
