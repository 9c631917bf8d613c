//! A running mean that first averages and then forgets.

/// Weight of a new observation once many have been taken in: about the last fifty count.
const MIN_GAIN: f64 = 0.02;

/// A mean and the number of observations behind it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    pub(crate) value: f64,
    pub(crate) count: f64,
}

impl Mean {
    /// A value that no observation supports yet.
    pub(crate) const fn assumed(value: f64) -> Self {
        Self { value, count: 0.0 }
    }

    /// Takes in an observation. The assumed value counts as `prior` observations.
    pub(crate) fn update(&mut self, observation: f64, prior: f64) {
        self.count += 1.0;
        self.value += (observation - self.value) * (1.0 / (prior + self.count)).max(MIN_GAIN);
    }

    /// Whether single observations no longer move it much.
    pub(crate) fn is_settled(&self) -> bool {
        self.count * MIN_GAIN >= 1.0
    }
}
