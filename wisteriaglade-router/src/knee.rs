//! The concurrency above which a target only queues.

use crate::level::Level;

/// The improvement of the fit, in units of the variance, that justifies a
/// move away from the announced slots and one back towards them. The test is
/// repeated often, so the first one is strict: with 6 for both, the limit fell
/// below the true slots by chance every few minutes.
const AWAY: f64 = 10.0;
const BACK: f64 = 6.0;

/// When the announced slots fit worse by less than this, the limit returns to
/// them. Without it, a limit that had moved from 6 to 5 by chance stayed there,
/// since neighbouring levels differ too little to prove it wrong.
const KEEP: f64 = 4.0;

/// The variance that is assumed at least. Work that waits inside the target
/// varies little from one request to the next, but only because they wait for
/// the same others; taken as it is, such a variance makes noise look certain.
const VARIANCE: f64 = 0.5;

/// Service times below the resolution of a driver's clock count as this.
const LEAST_SECONDS: f64 = 1e-6;

/// Levels with fewer samples are left out: the logarithm of their mean is
/// biased, and the first answers of a level are its fastest ones.
const LEAST: f64 = 4.0;

/// Estimates how many requests a target works on at once, from the service
/// times at different levels of concurrency: up to the knee they are equal,
/// above it they grow in proportion to the concurrency (Little's law).
#[derive(Debug)]
pub(crate) struct Knee {
    /// Index 0 holds the level with one request.
    levels: Vec<Level>,
}

impl Knee {
    pub(crate) fn new(ceiling: u32) -> Self {
        Self {
            levels: vec![Level::default(); ceiling.max(1) as usize],
        }
    }

    /// Adds a service time in seconds that was observed at a concurrency.
    pub(crate) fn observe(&mut self, concurrency: u32, seconds: f64) {
        let last = self.levels.len() - 1;
        let at = (concurrency.max(1) as usize - 1).min(last);
        self.levels[at].observe(seconds.max(LEAST_SECONDS));
    }

    pub(crate) fn fade(&mut self, factor: f64) {
        for level in &mut self.levels {
            level.fade(factor);
        }
    }

    /// The weight of the samples up to a concurrency.
    pub(crate) fn weight_up_to(&self, concurrency: u32) -> f64 {
        let low = self.levels.iter().take(concurrency as usize);
        low.map(|level| level.weight).sum()
    }

    /// The knee to move to: the one that explains the service times clearly
    /// better than `present` (among equally good ones the nearest), or the
    /// announced one when little speaks against it.
    pub(crate) fn better(&self, present: u32, announced: u32) -> Option<u32> {
        let (best, least) = self.best(present);
        let worse = |knee| (self.cost(knee) - least) / self.variance();
        let away = best.abs_diff(announced) > present.abs_diff(announced);
        if worse(present) > if away { AWAY } else { BACK } {
            Some(best)
        } else if present != announced && worse(announced) < KEEP {
            Some(announced)
        } else {
            None
        }
    }

    /// Whether the service times contradict a knee as low as this: a higher
    /// one explains them clearly better.
    pub(crate) fn refutes(&self, low: u32) -> bool {
        let higher = (1..).take(self.levels.len()).skip(low as usize);
        let costs = higher.map(|knee| self.cost(knee));
        let least = costs.fold(f64::INFINITY, f64::min);
        self.cost(low) - least > AWAY * self.variance()
    }

    fn best(&self, present: u32) -> (u32, f64) {
        const SAME: f64 = 1e-9;
        let mut best = (present, self.cost(present));
        for knee in (1..).take(self.levels.len()) {
            let cost = self.cost(knee);
            let nearer = knee.abs_diff(present) < best.0.abs_diff(present);
            if cost < best.1 - SAME || (cost < best.1 + SAME && nearer) {
                best = (knee, cost);
            }
        }
        best
    }

    /// The weighted sum of squared differences between the service times and
    /// those that a target with this knee would have.
    fn cost(&self, knee: u32) -> f64 {
        let knee = f64::from(knee.max(1));
        let (mut weight, mut sum, mut squares) = (0.0, 0.0, 0.0);
        for (level, concurrency) in self.levels.iter().zip(1_u32..) {
            if level.weight < LEAST {
                continue;
            }
            let stretch = (f64::from(concurrency) / knee).max(1.0).ln();
            let rest = level.mean.ln() - stretch;
            weight += level.weight;
            sum += level.weight * rest;
            squares += level.weight * rest * rest;
        }
        if weight > 0.0 {
            squares - sum * sum / weight
        } else {
            0.0
        }
    }

    /// The variance of one sample relative to its mean, pooled over levels.
    fn variance(&self) -> f64 {
        let levels = self.levels.iter().filter(|level| level.weight >= LEAST);
        let (weight, sum) = levels.fold((0.0, 0.0), |(weight, sum), level| {
            (
                // One degree of freedom is spent on each mean.
                weight + level.weight - 1.0,
                sum + level.weight * level.relative_variance(),
            )
        });
        if weight > 0.0 {
            (sum / weight).max(VARIANCE)
        } else {
            VARIANCE
        }
    }
}

#[cfg(test)]
mod tests;
