//! A running mean; how long it remembers is the caller's to say.

/// Plain mean of the first samples, exponential with a memory of so many later.
#[derive(Clone, Copy, Default)]
pub(crate) struct Mean {
    pub(crate) n: f64,
    pub(crate) value: f64,
}

impl Mean {
    pub(crate) fn add(&mut self, x: f64, memory: f64) {
        self.n = (self.n + 1.0).min(memory);
        self.value += (x - self.value) / self.n;
    }

    /// The mean, if it rests on so many samples.
    pub(crate) fn get(&self, least: f64) -> Option<f64> {
        (self.n >= least).then_some(self.value)
    }
}
