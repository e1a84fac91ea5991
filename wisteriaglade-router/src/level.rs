//! Service times at one level of concurrency.

/// The most samples that a level counts for. The mean then follows a change
/// within about as many answers.
const SAMPLES: f64 = 256.0;

/// A sample counts for at most this multiple of the mean, so that one slow
/// answer, however slow, moves the mean by little more than 1%.
const CLIP: f64 = 4.0;

/// Samples before clipping starts.
const FIRST: f64 = 8.0;

/// The mean of the service times at one level of concurrency. The mean of the
/// logarithms would resist outliers better, but work that waits inside the
/// target varies less, which moves that mean by more than the wait does.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Level {
    pub(crate) mean: f64,
    pub(crate) weight: f64,
    variance: f64,
}

impl Level {
    /// Adds a service time in seconds.
    pub(crate) fn observe(&mut self, seconds: f64) {
        let most = if self.weight < FIRST {
            f64::INFINITY
        } else {
            CLIP * self.mean
        };
        self.weight = (self.weight + 1.0).min(SAMPLES);
        let gain = 1.0 / self.weight;
        let difference = seconds.min(most) - self.mean;
        self.mean += gain * difference;
        self.variance = (1.0 - gain) * (self.variance + gain * difference * difference);
    }

    /// Lowers the weight of old samples.
    pub(crate) fn fade(&mut self, factor: f64) {
        self.weight *= factor;
    }

    /// The variance of one sample in units of the squared mean.
    pub(crate) fn relative_variance(&self) -> f64 {
        self.variance / (self.mean * self.mean)
    }
}

#[cfg(test)]
mod tests;
