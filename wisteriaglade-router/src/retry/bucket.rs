//! The token bucket of one member.

use std::time::Duration;

use super::Config;

/// Two token balances: tokens earned by requests decay exponentially, and a
/// small reserve of tokens refills over time.
#[derive(Debug)]
pub(super) struct Bucket {
    earned: f64,
    reserve: f64,
    /// When the balances were last brought up to date.
    updated: Duration,
}

impl Bucket {
    pub(super) fn new(config: &Config, now: Duration) -> Self {
        Self {
            earned: 0.0,
            reserve: f64::from(config.reserve),
            updated: now,
        }
    }

    /// Adds the tokens that one request earns.
    pub(super) fn deposit(&mut self, config: &Config, now: Duration) {
        self.advance(config, now);
        self.earned += config.ratio;
    }

    /// Spends one token, an earned one first. Returns false if there is none.
    pub(super) fn try_withdraw(&mut self, config: &Config, now: Duration) -> bool {
        // Ten additions of 0.1 can sum to slightly less than one.
        const ONE: f64 = 1.0 - 1e-9;
        self.advance(config, now);
        for balance in [&mut self.earned, &mut self.reserve] {
            if *balance >= ONE {
                *balance = (*balance - 1.0).max(0.0);
                return true;
            }
        }
        false
    }

    /// Applies the decay and the refill of the time since the last call.
    fn advance(&mut self, config: &Config, now: Duration) {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let [half_life, refill] = [config.half_life, config.reserve_refill]
            .map(|time| time.max(Duration::from_nanos(1)).as_secs_f64());
        self.earned *= (-elapsed / half_life).exp2();
        let refilled = self.reserve + elapsed / refill;
        self.reserve = refilled.min(f64::from(config.reserve));
    }
}
