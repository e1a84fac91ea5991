//! Estimation of the knee of the latency curve.
//!
//! The knee is the concurrency above which a target completes no more requests
//! per second: further requests only queue inside it and raise the service
//! time. [`Knee`] is updated and queried by the concurrency limit.

use crate::level::Level;

/// The improvement of the fit, in units of the variance, that is required to
/// move away from the announced slots. The test is repeated after every round,
/// so it must be strict: at 6, the limit fell below the true slots by chance
/// every few minutes.
const LEAVE_THRESHOLD: f64 = 10.0;

/// The improvement of the fit, in units of the variance, that is required to
/// move back towards the announced slots.
const RETURN_THRESHOLD: f64 = 6.0;

/// The limit returns to the announced slots when their fit is worse by less
/// than this, in units of the variance. Without this rule, a limit that had
/// moved from 6 to 5 by chance stayed there, since the fits of neighbouring
/// levels differ too little to reject it.
const TIE_THRESHOLD: f64 = 4.0;

/// The lowest relative variance that is assumed. The service times of requests
/// that queue inside the target vary little, because these requests wait for
/// the same others. With that variance, noise would look significant.
const MIN_VARIANCE: f64 = 0.5;

/// The shortest service time, in seconds. The resolution of the driver's clock
/// can make shorter ones zero, whose logarithm is not finite.
const MIN_SECONDS: f64 = 1e-6;

/// The lowest weight of a level that is used in the fit. With fewer samples the
/// logarithm of the mean is biased, and the first answers at a level come from
/// its fastest requests.
const MIN_WEIGHT: f64 = 4.0;

/// Estimates how many requests a target works on at once from the service times
/// at different levels of concurrency. In the model, they are constant up to
/// the knee and proportional to the concurrency above it (Little's law).
#[derive(Debug)]
pub(crate) struct Knee {
    /// The level with concurrency n is at index n - 1.
    levels: Vec<Level>,
}

impl Knee {
    /// Creates an estimate without samples for concurrencies up to `ceiling`.
    pub(crate) fn new(ceiling: u32) -> Self {
        Self {
            levels: vec![Level::default(); ceiling.max(1) as usize],
        }
    }

    /// Adds a service time, in seconds, of a request that was dispatched at the
    /// given concurrency.
    pub(crate) fn observe(&mut self, concurrency: u32, seconds: f64) {
        let last = self.levels.len() - 1;
        let at = (concurrency.max(1) as usize - 1).min(last);
        self.levels[at].observe(seconds.max(MIN_SECONDS));
    }

    /// Multiplies the weight of all samples by `factor`.
    pub(crate) fn decay(&mut self, factor: f64) {
        for level in &mut self.levels {
            level.decay(factor);
        }
    }

    /// Returns the weight of the samples at or below a concurrency.
    pub(crate) fn weight_up_to(&self, concurrency: u32) -> f64 {
        let low = self.levels.iter().take(concurrency as usize);
        low.map(|level| level.weight).sum()
    }

    /// Returns the knee that should replace `current`, if there is one: the one
    /// that fits the service times best if it fits them significantly better
    /// (the nearest one among equal fits), or else the announced slots if they
    /// fit about as well as the best one.
    pub(crate) fn propose(&self, current: u32, announced: u32) -> Option<u32> {
        let (best, least) = self.best_fit(current);
        let excess = |knee| (self.residual_sum(knee) - least) / self.variance();
        let leaving = best.abs_diff(announced) > current.abs_diff(announced);
        if excess(current)
            > if leaving {
                LEAVE_THRESHOLD
            } else {
                RETURN_THRESHOLD
            }
        {
            Some(best)
        } else if current != announced && excess(announced) < TIE_THRESHOLD {
            Some(announced)
        } else {
            None
        }
    }

    /// Whether some knee above `low` fits the service times significantly
    /// better than `low` does.
    pub(crate) fn contradicts(&self, low: u32) -> bool {
        let higher = (1..).take(self.levels.len()).skip(low as usize);
        let costs = higher.map(|knee| self.residual_sum(knee));
        let least = costs.fold(f64::INFINITY, f64::min);
        self.residual_sum(low) - least > LEAVE_THRESHOLD * self.variance()
    }

    /// Returns the knee with the best fit, and its cost. Among equal fits, it
    /// is the one nearest to `current`.
    fn best_fit(&self, current: u32) -> (u32, f64) {
        const TOLERANCE: f64 = 1e-9;
        let mut best = (current, self.residual_sum(current));
        for knee in (1..).take(self.levels.len()) {
            let cost = self.residual_sum(knee);
            let nearer = knee.abs_diff(current) < best.0.abs_diff(current);
            if cost < best.1 - TOLERANCE || (cost < best.1 + TOLERANCE && nearer) {
                best = (knee, cost);
            }
        }
        best
    }

    /// Returns the weighted sum of squared residuals between the logarithms of
    /// the service times and those of a model with this knee.
    fn residual_sum(&self, knee: u32) -> f64 {
        let knee = f64::from(knee.max(1));
        let (mut weight, mut sum, mut squares) = (0.0, 0.0, 0.0);
        for (level, concurrency) in self.levels.iter().zip(1_u32..) {
            if level.weight < MIN_WEIGHT {
                continue;
            }
            let expected = (f64::from(concurrency) / knee).max(1.0).ln();
            let residual = level.mean.ln() - expected;
            weight += level.weight;
            sum += level.weight * residual;
            squares += level.weight * residual * residual;
        }
        if weight > 0.0 {
            squares - sum * sum / weight
        } else {
            0.0
        }
    }

    /// Returns the relative variance of one sample, pooled over all levels.
    fn variance(&self) -> f64 {
        let levels = self
            .levels
            .iter()
            .filter(|level| level.weight >= MIN_WEIGHT);
        let (weight, sum) = levels.fold((0.0, 0.0), |(weight, sum), level| {
            (
                // Each estimated mean uses one degree of freedom.
                weight + level.weight - 1.0,
                sum + level.weight * level.relative_variance(),
            )
        });
        if weight > 0.0 {
            (sum / weight).max(MIN_VARIANCE)
        } else {
            MIN_VARIANCE
        }
    }
}

#[cfg(test)]
mod tests;
