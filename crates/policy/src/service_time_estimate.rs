//! The estimates of one server's round-trip time and service time from its answers.

use sableloom_types::Outcome;

use crate::mean::Mean;

/// The largest number of answers that a server's own mean rests on: about the last eight count.
const MAX_OWN_ANSWERS: f64 = 8.0;
/// The smallest slowness that a failed attempt counts as, in mean service times. Otherwise a server that fails quickly
/// would look fast and get more slots.
const MIN_FAILURE_SLOWNESS: f64 = 5.0;
/// The largest latency of a rejection that counts as a round-trip time, as a share of the mean service time. A quick
/// rejection takes little more than the round trip, since the server does no work for it. Without this bound, servers
/// that took 95 ms to reject a class seemed to have a long round trip, and `K_i`, the number of requests that a server
/// gets at once, rose from 4 to 39.
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
    /// The mean slowness of the server's own answers.
    own_slowness: Mean,
}

impl ServiceTimeEstimate {
    /// The estimate before any answer.
    pub(crate) const UNKNOWN: Self =
        Self { round_trip: None, slowness: 1.0, own_slowness: Mean::assumed(1.0) };

    /// The shortest round trip that was observed, in microseconds; `None` before the first.
    pub(crate) fn round_trip(&self) -> Option<f64> {
        self.round_trip
    }

    /// The mean slowness of the server's own answers.
    pub(crate) fn own_slowness(&self) -> Mean {
        self.own_slowness
    }

    /// Multiplies the number of answers that the own mean rests on by `remaining`, from 0 to 1.
    pub(crate) fn decay(&mut self, remaining: f64) {
        self.own_slowness.count *= remaining;
    }

    /// The slowness relative to the mean of all servers, after shrinkage.
    pub(crate) fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Discards the weight of the own answers, so that the next ones replace them. The round trip is kept.
    pub(crate) fn discard_observations(&mut self) {
        self.own_slowness.count = 0.0;
    }

    /// Adds the end of an attempt. `mean` is the mean latency of its class at the server's machine type; both times are
    /// in microseconds. Returns an estimate of the variance of single answers of the server, or `None` if the attempt
    /// gives none: it was not served, or the own mean rests on less than one answer before it.
    pub(crate) fn observe(&mut self, outcome: Outcome, latency: f64, mean: f64) -> Option<f64> {
        if outcome == Outcome::Rejected && latency < mean * QUICK_REJECTION_FRACTION {
            self.round_trip = Some(self.round_trip.map_or(latency, |least| least.min(latency)));
        }
        let answer_slowness = (latency - self.round_trip.unwrap_or(0.0)).max(1.0) / mean;
        let answer_slowness = match outcome {
            Outcome::Ok => answer_slowness,
            Outcome::Error | Outcome::Timeout | Outcome::Reset => {
                answer_slowness.max(MIN_FAILURE_SLOWNESS)
            }
            _ => return None,
        };
        let deviation = answer_slowness.min(MAX_SLOWNESS) - self.own_slowness.value;
        let earlier_answers = self.own_slowness.count;
        self.own_slowness.count = (earlier_answers + 1.0).min(MAX_OWN_ANSWERS);
        self.own_slowness.value += deviation / self.own_slowness.count;
        let measures_noise = outcome == Outcome::Ok && earlier_answers >= 1.0;
        // The mean of `n` answers varies as well, so that the squared deviation of the next answer from it is, on
        // average, (n + 1) / n times the variance of single answers. Dividing by this factor removes the difference.
        measures_noise.then_some(deviation * deviation * earlier_answers / (earlier_answers + 1.0))
    }

    /// Sets the slowness to the mean of the own slowness and of the machine type's, weighted by the number of answers
    /// that each counts for.
    pub(crate) fn shrink(&mut self, prior: Prior) {
        self.slowness = (prior.slowness * prior.answers
            + self.own_slowness.value * self.own_slowness.count)
            / (prior.answers + self.own_slowness.count);
    }
}

/// The estimate of a server's slowness before its own answers, from its machine type.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prior {
    pub(crate) slowness: f64,
    /// The number of answers of the server that the prior counts for.
    pub(crate) answers: f64,
}
