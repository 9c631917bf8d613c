//! A running mean that averages the first observations and is an exponential moving average after that.

/// The smallest weight of a new observation: about the last fifty observations count.
const MIN_GAIN: f64 = 0.02;

/// A mean and the number of observations that it rests on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    pub(crate) value: f64,
    pub(crate) count: f64,
}

impl Mean {
    /// A mean that is assumed before any observation.
    pub(crate) const fn assumed(value: f64) -> Self {
        Self { value, count: 0.0 }
    }

    /// Adds an observation. The assumed value counts as `prior` observations.
    pub(crate) fn update(&mut self, observation: f64, prior: f64) {
        self.count += 1.0;
        self.value += (observation - self.value) * (1.0 / (prior + self.count)).max(MIN_GAIN);
    }

    /// Whether there are enough observations that a single one changes the mean little.
    pub(crate) fn is_settled(&self) -> bool {
        self.count * MIN_GAIN >= 1.0
    }
}
