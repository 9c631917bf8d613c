//! Slow start: a server that warms up gets requests by tokens, at the rate of a warm server of its kind times the
//! share of its capacity that it has for certain.

use sableloom_types::{SafetyRules, Span, Time};

use crate::server::Server;
use crate::token_bucket::TokenBucket;

/// Requests of a server that warms up, over all balancers and per service time, while no warm server has shown
/// what it serves. Failure: with every server cold, or nothing observed yet, none got any work.
const INITIAL_CONCURRENCY: f64 = 4.0;
/// Tokens that a server may save up: it never gets two requests for the time of one.
const MAX_TOKENS: f64 = 1.0;

/// Answers of warm servers of one machine kind.
#[derive(Clone, Copy, Debug, Default)]
struct MachineTypeRate {
    /// Decaying count of answers.
    served: f64,
    /// The highest rate lately, in answers a microsecond per unit of weight.
    peak: f64,
}

/// What warm servers were seen to serve.
#[derive(Debug)]
pub(crate) struct SlowStart {
    initial_share: f64,
    duration: Span,
    /// The time over which answers are counted.
    window: Span,
    /// By machine kind.
    machine_types: Vec<MachineTypeRate>,
    /// The highest rate of all kinds together lately.
    overall_peak: f64,
}

/// Rate at which a server that warms up gets requests while nothing is known, in requests a microsecond;
/// `service_time` is in microseconds.
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

    /// Share of its capacity that a server has for certain; `None` once it is warm.
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

    /// Whether a server may get a request now, as far as its slow start goes.
    pub(crate) fn permits(&self, now: Time, server: &Server, initial_rate: f64) -> bool {
        self.tokens(now, server, initial_rate).is_none_or(|tokens| tokens >= 1.0)
    }

    /// Requests that a server may get by now, one at most; `None` once it is warm.
    fn tokens(&self, now: Time, server: &Server, initial_rate: f64) -> Option<f64> {
        let share = self.share(now, server)?;
        let rate = self.warm_rate(server, initial_rate) * share;
        Some(server.slow_start_tokens.available(now, rate, MAX_TOKENS))
    }

    /// Answers a microsecond that one warm server like this one was seen to give.
    fn warm_rate(&self, server: &Server, initial_rate: f64) -> f64 {
        let of_type =
            self.machine_types.get(server.machine_type as usize).map_or(0.0, |rate| rate.peak);
        let rate = if of_type > 0.0 { of_type } else { self.overall_peak };
        if rate > 0.0 { rate * server.weight } else { initial_rate }
    }

    /// Counts a request that was forwarded to a server.
    pub(crate) fn record_forwarded(&self, now: Time, server: &mut Server, initial_rate: f64) {
        if let Some(tokens) = self.tokens(now, server, initial_rate) {
            server.slow_start_tokens = TokenBucket::with_tokens(tokens - 1.0, now);
        }
    }

    /// Makes room for this many machine kinds.
    pub(crate) fn ensure_machine_types(&mut self, count: usize) {
        self.machine_types.resize(self.machine_types.len().max(count), MachineTypeRate::default());
    }

    /// Counts an answer of a warm server. Answers count and not requests: in a storm of rejections the requests of
    /// all balancers add up to a multiple of what any server can do.
    pub(crate) fn record_served(&mut self, now: Time, server: &Server) {
        let warm = self.is_warm(now, server);
        self.machine_types[server.machine_type as usize].served += f64::from(u8::from(warm));
    }

    /// Weight of the warm servers, by machine kind.
    pub(crate) fn warm_weights(&self, now: Time, servers: &[Server]) -> Vec<f64> {
        let mut weights = vec![0.0; self.machine_types.len()];
        for server in servers.iter().filter(|server| server.is_live()) {
            if let Some(weight) = weights.get_mut(server.machine_type as usize) {
                *weight += if self.is_warm(now, server) { server.weight } else { 0.0 };
            }
        }
        weights
    }

    /// Follows a list that changed the warm weights from `before`: what was counted or seen of many warm servers
    /// does not hold for few, nor that of few for many. Failure: a balancer with a stale list of ten took their
    /// rate to the two hundred that it then heard of, and sent each new one as much as all other balancers
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

    /// Refills the tokens and brings the rates of warm servers up to date.
    pub(crate) fn refresh(
        &mut self,
        now: Time,
        elapsed: Span,
        servers: &mut [Server],
        initial_rate: f64,
    ) {
        for server in servers.iter_mut().filter(|server| server.is_live()) {
            // Only by rates that stand. Failure: refilled by sums that were still half made, the first servers of
            // the list had the whole fleet's rate, and were overloaded.
            if let Some(tokens) = self.tokens(now, server, initial_rate) {
                server.slow_start_tokens = TokenBucket::with_tokens(tokens, now);
            }
        }
        let elapsed = elapsed.as_micros_f64();
        let weights = self.warm_weights(now, servers);
        let window = self.window.as_micros_f64().max(1.0);
        let memory = self.duration.as_micros_f64().max(1.0);
        let remaining = (-elapsed / window).exp();
        self.machine_types.iter_mut().for_each(|rate| rate.served *= remaining);
        // A peak that fades. Failure: when the warm servers slowed, the cold ones, which did not, were held back
        // with them.
        let update = |peak: &mut f64, served: f64, weight: f64| {
            let seen = if weight > 0.0 && served >= 1.0 { served / window / weight } else { 0.0 };
            *peak = (*peak * (-elapsed / memory).exp()).max(seen);
        };
        let served = self.machine_types.iter().map(|rate| rate.served).sum();
        update(&mut self.overall_peak, served, weights.iter().sum());
        for (rate, weight) in self.machine_types.iter_mut().zip(weights) {
            update(&mut rate.peak, rate.served, weight);
        }
    }
}
