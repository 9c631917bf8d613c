//! The estimates of one server's round-trip time and service time from its answers.

use sableloom_types::Outcome;

use crate::mean::Mean;

/// The largest number of answers that a server's own mean rests on: about the last eight count.
const MAX_OWN_ANSWERS: f64 = 8.0;
/// The smallest slowness that a failed attempt counts as, in mean service times. Otherwise a server that fails quickly
/// would look fast and get more slots.
const MIN_FAILURE_SLOWNESS: f64 = 5.0;
/// The largest latency of a rejection that counts as a round-trip time, as a share of the mean service time. Without
/// this bound, servers that took 95 ms to reject a class seemed to have a long round trip, and K rose from 4 to 39.
const QUICK_REJECTION_FRACTION: f64 = 0.25;
/// The largest slowness that one answer counts as, in mean service times, so that one expensive request does not make a
/// server look slow.
pub(crate) const MAX_SLOWNESS: f64 = 10.0;

/// The estimates from the answers of one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceTimeEstimate {
    /// `2*TP`: the shortest round trip of a request that was rejected without work, in microseconds.
    round_trip: Option<f64>,
    /// The service time, including queueing at the server, divided by the mean of all servers for the same class, after
    /// shrinkage towards the mean of the machine type.
    slowness: f64,
    /// The slowness from the server's own answers alone.
    own_mean: Mean,
}

impl ServiceTimeEstimate {
    /// The estimate before any answer.
    pub(crate) const UNKNOWN: Self =
        Self { round_trip: None, slowness: 1.0, own_mean: Mean::assumed(1.0) };

    /// The shortest round trip that was observed, in microseconds; `None` before the first.
    pub(crate) fn round_trip(&self) -> Option<f64> {
        self.round_trip
    }

    /// The mean slowness of the server's own answers.
    pub(crate) fn own_mean(&self) -> Mean {
        self.own_mean
    }

    /// Multiplies the number of answers that the own mean rests on by `remaining`, from 0 to 1.
    pub(crate) fn decay(&mut self, remaining: f64) {
        self.own_mean.count *= remaining;
    }

    /// The slowness relative to the mean of all servers.
    pub(crate) fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Discards the weight of the own answers, so that the next ones replace them. The round trip is kept.
    pub(crate) fn discard_observations(&mut self) {
        self.own_mean.count = 0.0;
    }

    /// Adds the end of an attempt, where `mean` is the mean latency of its class at the server's machine type. For a
    /// served request, returns the squared deviation from the answers before it.
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
        // The factor corrects for the error of a mean that rests on few answers.
        shows_noise.then_some(deviation * deviation * before / (before + 1.0))
    }

    /// Shrinks the slowness from the server's own mean towards that of its machine type.
    pub(crate) fn shrink(&mut self, prior: Prior) {
        self.slowness = (prior.slowness * prior.answers
            + self.own_mean.value * self.own_mean.count)
            / (prior.answers + self.own_mean.count);
    }
}

/// The estimate of a server before its own answers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prior {
    pub(crate) slowness: f64,
    /// The number of answers of the server that the prior counts for.
    pub(crate) answers: f64,
}
