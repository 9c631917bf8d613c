//! How likely the clients of one kind of connection are to do what is awaited, by how long they have waited.
//!
//! The estimate is a piecewise constant hazard (the occurrences over exposure estimator of event history analysis, e.g.
//! Aalen, Borgan, Gjessing 2008, section 5.1): in each bucket of age, how often the awaited event happened, and how often
//! the client disconnected instead, for each second that a connection spent there. Connections that were closed early
//! are censored: they count for as long as they were seen, so that the estimate holds under this crate's own closing.

use sableloom_types::Span;

/// Where the age buckets end, in seconds; the last one has no end of its own.
const BUCKET_ENDS_S: [f64; 10] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0];
/// The number of age buckets.
pub(crate) const AGE_BUCKETS: usize = BUCKET_ENDS_S.len() + 1;
/// The length that is assumed for the last bucket when its value is estimated.
const LAST_BUCKET_S: f64 = 2.0;
/// The prior of each bucket: this many connections passed through it, and for this fraction of them the awaited event
/// happened. As buckets get longer with age, the value of an unknown connection falls with its age. Failure: with one
/// rate for all ages, the few that were idle first kept their slots, and every later client, being unknown, was closed at
/// its first answer.
const PRIOR_CONNECTIONS: f64 = 4.0;
const PRIOR_COMPLETED_FRACTION: f64 = 0.2;

/// How a wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WaitOutcome {
    /// The awaited event happened: a first byte, a complete request, a next request.
    Completed,
    /// The client disconnected.
    Abandoned,
    /// The connection was closed from here, so that nothing is known of what would have happened.
    Censored,
}

/// The history of one kind of connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct HazardEstimate {
    /// Seconds that connections spent in each bucket.
    exposure: [f64; AGE_BUCKETS],
    completed: [f64; AGE_BUCKETS],
    abandoned: [f64; AGE_BUCKETS],
    /// The value of a slot that is held from each bucket on: awaited events a second.
    value: [f64; AGE_BUCKETS],
}

/// The bucket of an age.
pub(crate) fn age_bucket(age: Span) -> usize {
    let seconds = age.as_micros_f64() / 1e6;
    BUCKET_ENDS_S.iter().position(|end| seconds < *end).unwrap_or(BUCKET_ENDS_S.len())
}

/// The age at which a bucket begins.
pub(crate) fn bucket_start(bucket: usize) -> Span {
    Span::from_micros_f64(if bucket == 0 { 0.0 } else { BUCKET_ENDS_S[bucket - 1] * 1e6 })
}

fn bucket_length(bucket: usize) -> f64 {
    let start = if bucket == 0 { 0.0 } else { BUCKET_ENDS_S[bucket - 1] };
    BUCKET_ENDS_S.get(bucket).map_or(LAST_BUCKET_S, |end| end - start)
}

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
    /// Takes in a wait of this length.
    pub(crate) fn observe(&mut self, age: Span, outcome: WaitOutcome) {
        add_exposure(&mut self.exposure, age);
        match outcome {
            WaitOutcome::Completed => self.completed[age_bucket(age)] += 1.0,
            WaitOutcome::Abandoned => self.abandoned[age_bucket(age)] += 1.0,
            WaitOutcome::Censored => {}
        }
    }

    /// Lets earlier observations decay to this fraction of their weight.
    pub(crate) fn decay(&mut self, fraction: f64) {
        for sums in [&mut self.exposure, &mut self.completed, &mut self.abandoned] {
            sums.iter_mut().for_each(|sum| *sum *= fraction);
        }
    }

    /// Estimates the value of a slot at each age. `waiting` are the ages of the connections that wait now: without
    /// them, a crowd of silent clients would count for nothing until it is closed.
    pub(crate) fn update_values(&mut self, waiting: impl Iterator<Item = Span>) {
        let mut exposure = self.exposure;
        waiting.for_each(|age| add_exposure(&mut exposure, age));
        let rate = |counts: &[f64; AGE_BUCKETS], prior: f64, bucket: usize| {
            (counts[bucket] + prior * PRIOR_CONNECTIONS)
                / (exposure[bucket] + PRIOR_CONNECTIONS * bucket_length(bucket))
        };
        for from in 0..AGE_BUCKETS {
            // Later ages may be better than the next one: the value is the best ratio of awaited events to time, over
            // every age at which the wait could be ended.
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

    /// The value of a slot whose connection has an age in this bucket: awaited events a second.
    pub(crate) fn value(&self, bucket: usize) -> f64 {
        self.value[bucket]
    }
}

#[cfg(test)]
mod tests;
