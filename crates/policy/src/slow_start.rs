//! Slow start: a server that warms up gets requests by tokens. Its tokens are refilled at the rate of a warm server of
//! its machine type, multiplied by the share of its capacity that a server of its age has at least.

use sableloom_types::{SafetyRules, Span, Time};

use crate::server::Server;
use crate::token_bucket::TokenBucket;

/// The requests per service time, over all balancers, that a server that warms up gets before any warm server has
/// answered. Without this rate, no server got a request while all were cold.
const INITIAL_CONCURRENCY: f64 = 4.0;
/// The largest number of tokens that a server accumulates. With one, it never gets two requests at once.
const MAX_TOKENS: f64 = 1.0;

/// The answers of the warm servers of one machine type.
#[derive(Clone, Copy, Debug, Default)]
struct MachineTypeRate {
    /// The exponentially decaying count of answers.
    served: f64,
    /// The decaying peak of the rate, in answers a microsecond per unit of weight.
    peak: f64,
}

/// The rules of slow start, and the rates of warm servers.
#[derive(Debug)]
pub(crate) struct SlowStart {
    initial_share: f64,
    duration: Span,
    /// The time over which answers are counted.
    window: Span,
    /// The rates by machine type.
    machine_types: Vec<MachineTypeRate>,
    /// The decaying peak of the rate of all machine types together, in answers a microsecond per unit of weight.
    overall_peak: f64,
}

/// The rate, in requests a microsecond, at which a server that warms up gets requests before any warm server has
/// answered; `service_time` is in microseconds.
pub(crate) fn initial_rate(balancers: u32, service_time: f64) -> f64 {
    INITIAL_CONCURRENCY / f64::from(balancers) / service_time
}

impl SlowStart {
    pub(crate) fn new(rules: &SafetyRules) -> Self {
        Self {
            initial_share: rules.slow_start_initial_share,
            duration: rules.slow_start,
            window: rules.overload_window,
            machine_types: Vec::new(),
            overall_peak: 0.0,
        }
    }

    /// The share of its capacity, 0 to 1, that a server has at least at its age; `None` once it is warm.
    pub(crate) fn share(&self, now: Time, server: &Server) -> Option<f64> {
        let age = now.since(server.started?);
        if age >= self.duration {
            return None;
        }
        let grown = (age.as_micros_f64() / self.duration.as_micros_f64()).max(0.0);
        Some(self.initial_share + (1.0 - self.initial_share) * grown)
    }

    fn is_warm(&self, now: Time, server: &Server) -> bool {
        self.share(now, server).is_none()
    }

    /// Whether the slow start permits a request to a server now.
    pub(crate) fn permits(&self, now: Time, server: &Server, initial_rate: f64) -> bool {
        self.tokens(now, server, initial_rate).is_none_or(|tokens| tokens >= 1.0)
    }

    /// The tokens of a server now, [`MAX_TOKENS`] at most; `None` once it is warm.
    fn tokens(&self, now: Time, server: &Server, initial_rate: f64) -> Option<f64> {
        let share = self.share(now, server)?;
        let rate = self.warm_rate(server, initial_rate) * share;
        Some(server.slow_start_tokens.available(now, rate, MAX_TOKENS))
    }

    /// The rate of answers, per microsecond, of a warm server of this machine type and weight; `initial_rate` before
    /// any warm server has answered.
    fn warm_rate(&self, server: &Server, initial_rate: f64) -> f64 {
        let of_type =
            self.machine_types.get(server.machine_type as usize).map_or(0.0, |rate| rate.peak);
        let rate = if of_type > 0.0 { of_type } else { self.overall_peak };
        if rate > 0.0 { rate * server.weight } else { initial_rate }
    }

    /// Takes a token for a request that was forwarded to a server.
    pub(crate) fn record_forwarded(&self, now: Time, server: &mut Server, initial_rate: f64) {
        if let Some(tokens) = self.tokens(now, server, initial_rate) {
            server.slow_start_tokens = TokenBucket::with_tokens(tokens - 1.0, now);
        }
    }

    /// Extends the table to `count` machine types.
    pub(crate) fn ensure_machine_types(&mut self, count: usize) {
        self.machine_types.resize(self.machine_types.len().max(count), MachineTypeRate::default());
    }

    /// Counts an answer, if the server is warm. Requests are not counted: while many are rejected, those of all
    /// balancers add up to a multiple of what the servers can serve.
    pub(crate) fn record_served(&mut self, now: Time, server: &Server) {
        let warm = self.is_warm(now, server);
        self.machine_types[server.machine_type as usize].served += f64::from(u8::from(warm));
    }

    /// The sum of the weights of the warm servers, by machine type.
    pub(crate) fn warm_weights(&self, now: Time, servers: &[Server]) -> Vec<f64> {
        let mut weights = vec![0.0; self.machine_types.len()];
        for server in servers.iter().filter(|server| server.is_live()) {
            if let Some(weight) = weights.get_mut(server.machine_type as usize) {
                *weight += if self.is_warm(now, server) { server.weight } else { 0.0 };
            }
        }
        weights
    }

    /// Scales the counts and peaks after a list changed the warm weights from `before`. The answers of many warm
    /// servers must not count as those of the few that remain, and the rate of each of a few servers is too high once
    /// the same requests are spread over many. Without this, a balancer with a stale list of ten servers applied their
    /// rate to the two hundred of the next list, and sent each cold server as many requests as all other balancers
    /// together.
    pub(crate) fn list_changed(&mut self, now: Time, servers: &[Server], before: &[f64]) {
        let after = self.warm_weights(now, servers);
        let growth = |before: f64, after: f64| if before > 0.0 { after / before } else { 1.0 };
        self.overall_peak /= growth(before.iter().sum(), after.iter().sum()).max(1.0);
        for (rate, (before, after)) in self.machine_types.iter_mut().zip(before.iter().zip(after)) {
            let growth = growth(*before, after);
            rate.served *= growth.min(1.0);
            rate.peak /= growth.max(1.0);
        }
    }

    /// Refills the tokens and refreshes the rates of warm servers.
    pub(crate) fn refresh(
        &mut self,
        now: Time,
        elapsed: Span,
        servers: &mut [Server],
        initial_rate: f64,
    ) {
        for server in servers.iter_mut().filter(|server| server.is_live()) {
            // Tokens are refilled at the rates of the last refresh, before these change below. When they were refilled
            // while the sums over the servers were incomplete, the first servers of the list got the rate of the whole
            // pool and were overloaded.
            if let Some(tokens) = self.tokens(now, server, initial_rate) {
                server.slow_start_tokens = TokenBucket::with_tokens(tokens, now);
            }
        }
        let elapsed = elapsed.as_micros_f64();
        let weights = self.warm_weights(now, servers);
        let window = self.window.as_micros_f64().max(1.0);
        let decay_time = self.duration.as_micros_f64().max(1.0);
        let remaining = (-elapsed / window).exp();
        self.machine_types.iter_mut().for_each(|rate| rate.served *= remaining);
        // The decaying peak is used instead of the current rate. With the current rate, when the warm servers slowed
        // down, the cold ones got fewer requests as well, although they had not slowed down.
        let update = |peak: &mut f64, served: f64, weight: f64| {
            let observed =
                if weight > 0.0 && served >= 1.0 { served / window / weight } else { 0.0 };
            *peak = (*peak * (-elapsed / decay_time).exp()).max(observed);
        };
        let served = self.machine_types.iter().map(|rate| rate.served).sum();
        update(&mut self.overall_peak, served, weights.iter().sum());
        for (rate, weight) in self.machine_types.iter_mut().zip(weights) {
            update(&mut rate.peak, rate.served, weight);
        }
    }
}
