//! What the answers of one server show of its round-trip time and its service time.

use sableloom_types::Outcome;

use crate::mean::Mean;

/// Most answers that a server's own mean rests on: about the last eight count.
const MAX_OWN_ANSWERS: f64 = 8.0;
/// An attempt that failed counts as this many mean service times at least, or a server that fails quickly would
/// look like a fast one and earn slots.
const MIN_FAILURE_SLOWNESS: f64 = 5.0;
/// A rejection shows the round-trip time only within this share of the mean service time. Failure: servers that
/// took 95 ms to reject a class seemed far away, and K went from 4 to 39.
const QUICK_REJECTION_FRACTION: f64 = 0.25;
/// One answer counts as this many mean service times at most: one heavy request condemns no server.
pub(crate) const MAX_SLOWNESS: f64 = 10.0;

/// What the answers of one server showed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceTimeEstimate {
    /// The shortest round trip of an answer that did no work, in microseconds: `2*TP`.
    round_trip: Option<f64>,
    /// Service time, queueing at the server included, over the mean of all servers for the same class, after
    /// shrinkage towards the server's kind.
    slowness: f64,
    /// The same from its own answers alone.
    own_mean: Mean,
}

impl ServiceTimeEstimate {
    /// Before any answer.
    pub(crate) const UNKNOWN: Self =
        Self { round_trip: None, slowness: 1.0, own_mean: Mean::assumed(1.0) };

    /// The shortest round trip that was observed.
    pub(crate) fn round_trip(&self) -> Option<f64> {
        self.round_trip
    }

    /// The mean of its own answers.
    pub(crate) fn own_mean(&self) -> Mean {
        self.own_mean
    }

    /// Lets its own answers count for this share of what they did.
    pub(crate) fn decay(&mut self, remaining: f64) {
        self.own_mean.count *= remaining;
    }

    /// Slowness, 1 for the mean of all servers.
    pub(crate) fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Lets the next answers replace what was observed; the round trip stays.
    pub(crate) fn discard_observations(&mut self) {
        self.own_mean.count = 0.0;
    }

    /// Takes in the end of an attempt, where `mean` is the mean latency of its class at the server's kind.
    /// Returns how far a served one lay from those before it, squared.
    pub(crate) fn observe(&mut self, outcome: Outcome, latency: f64, mean: f64) -> Option<f64> {
        if outcome == Outcome::Rejected && latency < mean * QUICK_REJECTION_FRACTION {
            self.round_trip = Some(self.round_trip.map_or(latency, |least| least.min(latency)));
        }
        let service = (latency - self.round_trip.unwrap_or(0.0)).max(1.0) / mean;
        let service = match outcome {
            Outcome::Ok => service,
            Outcome::Error | Outcome::Timeout | Outcome::Reset => service.max(MIN_FAILURE_SLOWNESS),
            _ => return None,
        };
        let deviation = service.min(MAX_SLOWNESS) - self.own_mean.value;
        let before = self.own_mean.count;
        self.own_mean.count = (before + 1.0).min(MAX_OWN_ANSWERS);
        self.own_mean.value += deviation / self.own_mean.count;
        let shows_noise = outcome == Outcome::Ok && before >= 1.0;
        // The mean of so few answers is off by chance as well.
        shows_noise.then_some(deviation * deviation * before / (before + 1.0))
    }

    /// Draws the server's own mean towards that of its kind.
    pub(crate) fn shrink(&mut self, prior: Prior) {
        self.slowness = (prior.slowness * prior.answers
            + self.own_mean.value * self.own_mean.count)
            / (prior.answers + self.own_mean.count);
    }
}

/// What is known of a server before its own answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prior {
    pub(crate) slowness: f64,
    /// How many answers of the server it counts for.
    pub(crate) answers: f64,
}
