//! A running mean with a sample limit that the caller chooses.

/// Arithmetic mean up to the sample limit, exponential moving average beyond it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Mean {
    /// Number of samples, decayed over time.
    pub(crate) samples: f64,
    /// Mean, in the unit of the samples.
    pub(crate) value: f64,
}

impl Mean {
    /// Adds a sample. With `n` samples, including this one and at most `max_samples`, the mean moves by 1/n
    /// of the difference.
    pub(crate) fn add(&mut self, sample: f64, max_samples: f64) {
        self.samples = (self.samples + 1.0).min(max_samples);
        self.value += (sample - self.value) / self.samples;
    }

    /// The mean, if there are at least this many samples.
    pub(crate) fn get(&self, min_samples: f64) -> Option<f64> {
        (self.samples >= min_samples).then_some(self.value)
    }
}
