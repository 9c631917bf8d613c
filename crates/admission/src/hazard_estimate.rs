//! Estimates how likely the awaited event is on one kind of connection, by how long the connection has waited.
//!
//! The estimate is a piecewise constant hazard (the occurrences over exposure estimator of event history analysis,
//! e.g. Aalen, Borgan, Gjessing 2008, section 5.1): in each age bucket, how often the awaited event happened, and how
//! often the client disconnected instead, per second that connections spent there. Connections that were closed early
//! are censored: they count for as long as they were observed, so that the estimate stays valid although this crate
//! closes connections.

use sableloom_types::Span;

/// Where the age buckets end, in seconds. The last bucket follows these and has no end.
const BUCKET_ENDS_S: [f64; 10] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0];
/// The number of age buckets.
pub(crate) const AGE_BUCKETS: usize = BUCKET_ENDS_S.len() + 1;
/// The length that is assumed for the last bucket when its value is estimated, in seconds.
const LAST_BUCKET_S: f64 = 2.0;
/// The number of connections that the prior of each bucket assumes to have passed through it.
const PRIOR_CONNECTIONS: f64 = 4.0;
/// The fraction of the prior's connections on which the awaited event happened. As buckets get longer with age, the
/// value of a connection without observations falls with its age. With one rate for all ages, the few connections that
/// were idle first kept their slots, and the connection of every later client, for which there were no observations
/// yet, was closed at its first answer.
const PRIOR_COMPLETED_FRACTION: f64 = 0.2;

/// How a wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitOutcome {
    /// The awaited event happened: a first byte, a complete request, a next request.
    Completed,
    /// The client disconnected.
    Abandoned,
    /// The balancer closed the connection, so that it is unknown what would have happened.
    Censored,
}

/// The observations of one kind of connection, and the values that follow from them.
#[derive(Clone, Debug, Default)]
pub(crate) struct HazardEstimate {
    /// The time that connections spent in each bucket, in seconds.
    exposure: [f64; AGE_BUCKETS],
    /// The number of awaited events in each bucket.
    completed: [f64; AGE_BUCKETS],
    /// The number of clients that disconnected in each bucket.
    abandoned: [f64; AGE_BUCKETS],
    /// The value of a slot that is held from each bucket on, in awaited events per second.
    value: [f64; AGE_BUCKETS],
}

/// Returns the index of the bucket that contains an age.
pub(crate) fn age_bucket(age: Span) -> usize {
    let seconds = age.as_micros_f64() / 1e6;
    BUCKET_ENDS_S.iter().position(|end| seconds < *end).unwrap_or(BUCKET_ENDS_S.len())
}

/// Returns the age at which a bucket begins.
pub(crate) fn bucket_start(bucket: usize) -> Span {
    Span::from_micros_f64(if bucket == 0 { 0.0 } else { BUCKET_ENDS_S[bucket - 1] * 1e6 })
}

/// Returns the length of a bucket, in seconds.
fn bucket_length(bucket: usize) -> f64 {
    let start = if bucket == 0 { 0.0 } else { BUCKET_ENDS_S[bucket - 1] };
    BUCKET_ENDS_S.get(bucket).map_or(LAST_BUCKET_S, |end| end - start)
}

/// Adds a wait of this length to the time spent in each bucket that it passed through.
fn add_exposure(exposure: &mut [f64; AGE_BUCKETS], age: Span) {
    let mut remaining = age.as_micros_f64().max(0.0) / 1e6;
    for (bucket, seconds) in exposure.iter_mut().enumerate() {
        let in_bucket = if bucket < BUCKET_ENDS_S.len() {
            remaining.min(bucket_length(bucket))
        } else {
            remaining
        };
        *seconds += in_bucket;
        remaining -= in_bucket;
        if remaining <= 0.0 {
            return;
        }
    }
}

impl HazardEstimate {
    /// Adds a wait of this length with this outcome.
    pub(crate) fn observe(&mut self, age: Span, outcome: WaitOutcome) {
        add_exposure(&mut self.exposure, age);
        match outcome {
            WaitOutcome::Completed => self.completed[age_bucket(age)] += 1.0,
            WaitOutcome::Abandoned => self.abandoned[age_bucket(age)] += 1.0,
            WaitOutcome::Censored => {}
        }
    }

    /// Reduces the weight of earlier observations to this fraction.
    pub(crate) fn decay(&mut self, fraction: f64) {
        for sums in [&mut self.exposure, &mut self.completed, &mut self.abandoned] {
            sums.iter_mut().for_each(|sum| *sum *= fraction);
        }
    }

    /// Updates the value of a slot at each age. `waiting` gives the ages of the connections that wait now: without
    /// them, many silent clients would count for nothing until their connections are closed.
    pub(crate) fn update_values(&mut self, waiting: impl Iterator<Item = Span>) {
        let mut exposure = self.exposure;
        waiting.for_each(|age| add_exposure(&mut exposure, age));
        let rate = |counts: &[f64; AGE_BUCKETS], prior: f64, bucket: usize| {
            (counts[bucket] + prior * PRIOR_CONNECTIONS)
                / (exposure[bucket] + PRIOR_CONNECTIONS * bucket_length(bucket))
        };
        for from in 0..AGE_BUCKETS {
            // The rate of awaited events may be higher at a later age than in the next bucket. The value is therefore
            // the best ratio of awaited events to time, over every age at which the wait could be ended.
            let (mut alive, mut events, mut time, mut best) = (1.0, 0.0, 0.0, 0.0f64);
            for bucket in from..AGE_BUCKETS {
                let completion_rate = rate(&self.completed, PRIOR_COMPLETED_FRACTION, bucket);
                let abandon_rate = rate(&self.abandoned, 0.0, bucket);
                let end_rate = completion_rate + abandon_rate;
                let survival = (-end_rate * bucket_length(bucket)).exp();
                let expected_time = alive * (1.0 - survival) / end_rate;
                events += completion_rate * expected_time;
                time += expected_time;
                alive *= survival;
                best = best.max(events / time);
            }
            self.value[from] = best;
        }
    }

    /// The value of a slot whose connection has an age in this bucket, in awaited events per second.
    pub(crate) fn value(&self, bucket: usize) -> f64 {
        self.value[bucket]
    }
}

#[cfg(test)]
mod tests;
