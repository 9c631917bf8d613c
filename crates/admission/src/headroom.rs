//! Decides how many slots are kept free for new clients, by the rate at which they arrive.

/// The time constant of the moving average of the rate, in seconds.
const RATE_TIME_CONSTANT_S: f64 = 1.0;
/// Slots are kept free for the new clients that arrive in this time, in seconds.
const HEADROOM_S: f64 = 0.25;
/// The least part of the slots for clients that is kept free, as a fraction. Less than an eighth is used up by a single
/// burst.
const MIN_HEADROOM_FRACTION: f64 = 0.125;
/// The largest part of the slots for clients that is kept free, as a fraction. With more than half, a high rate of new
/// clients would close the connections that other clients keep open for their next requests.
const MAX_HEADROOM_FRACTION: f64 = 0.5;

/// The rate of new clients.
#[derive(Clone, Debug, Default)]
pub(crate) struct Headroom {
    /// The number of first requests of connections since the last update.
    first_requests: f64,
    /// The moving average of first requests per second.
    rate: f64,
}

impl Headroom {
    /// Counts the first request of a connection.
    pub(crate) fn count_first_request(&mut self) {
        self.first_requests += 1.0;
    }

    /// Updates the rate after this many seconds.
    pub(crate) fn update(&mut self, passed_s: f64) {
        if passed_s > 0.0 {
            let gain = 1.0 - (-passed_s / RATE_TIME_CONSTANT_S).exp();
            self.rate += (self.first_requests / passed_s - self.rate) * gain;
            self.first_requests = 0.0;
        }
    }

    /// How many connections may be idle: the number of slots for clients, less the busy slots and those that are kept
    /// free.
    pub(crate) fn max_idle(&self, client_slots: usize, busy: usize) -> usize {
        let slots = client_slots as f64;
        let free = (self.rate * HEADROOM_S)
            .clamp(slots * MIN_HEADROOM_FRACTION, slots * MAX_HEADROOM_FRACTION);
        ((slots - free) as usize).saturating_sub(busy)
    }
}
