//! Statistics of the service times at one level of concurrency.

/// The highest weight of a level, in samples. The mean follows a change of the
/// service time within about this number of answers.
const MAX_WEIGHT: f64 = 256.0;

/// Samples are clipped to this multiple of the mean, so that a single slow
/// answer moves the mean by little more than 1%.
const CLIP_FACTOR: f64 = 4.0;

/// The weight, in samples, from which samples are clipped.
const CLIP_WEIGHT: f64 = 8.0;

/// The moving mean and variance of the service times at one level of
/// concurrency.
///
/// A mean of logarithms would be less sensitive to outliers. However, requests
/// that queue inside the target have a smaller variance, which would change
/// that mean by more than the wait itself.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Level {
    /// The mean service time in seconds.
    pub(crate) mean: f64,
    /// The weight in samples.
    pub(crate) weight: f64,
    /// The variance in seconds squared.
    variance: f64,
}

impl Level {
    /// Adds a service time in seconds.
    pub(crate) fn observe(&mut self, seconds: f64) {
        let bound = if self.weight < CLIP_WEIGHT {
            f64::INFINITY
        } else {
            CLIP_FACTOR * self.mean
        };
        self.weight = (self.weight + 1.0).min(MAX_WEIGHT);
        let gain = 1.0 / self.weight;
        let difference = seconds.min(bound) - self.mean;
        self.mean += gain * difference;
        self.variance = (1.0 - gain) * (self.variance + gain * difference * difference);
    }

    /// Multiplies the weight of the samples by `factor`.
    pub(crate) fn decay(&mut self, factor: f64) {
        self.weight *= factor;
    }

    /// Returns the variance of one sample divided by the squared mean.
    pub(crate) fn relative_variance(&self) -> f64 {
        self.variance / (self.mean * self.mean)
    }
}

#[cfg(test)]
mod tests;
