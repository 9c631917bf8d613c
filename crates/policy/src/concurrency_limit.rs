//! The adaptive concurrency limit: how many requests of this balancer may be in flight at all servers together.
//!
//! The formula for `K_i` (Ould Deye et al.) assumes servers that run one request at a time. Where many balancers share
//! servers with many cores, the number of requests of one balancer at one server can have any value, also below one.
//! The limit rises additively while answers come well within their latency objective, and falls faster when they do
//! not.

use crate::server::Server;

/// The smallest limit for each server, over all balancers. When all servers are slow at once, the latency is over its
/// target even without load, and a limit that falls further would leave servers idle.
const MIN_LIMIT: f64 = 6.0;
/// The limit for each server, over all balancers, before any answer.
const INITIAL_LIMIT: f64 = 12.0;
/// The weight of a new answer in the latency ratio of its class: about the last dozen answers count.
const LATENCY_RATIO_GAIN: f64 = 0.08;
/// The largest latency of one answer that is counted, in latency objectives.
const MAX_LATENCY_RATIO: f64 = 2.0;
/// The share of its latency objective that a class may take on average before the limit falls. The rest is for the
/// spread of service times around their mean.
const TARGET_LATENCY_RATIO: f64 = 0.5;
/// The largest share of its latency objective that a class may take on average before the limit falls, if it takes long
/// even without load.
const MAX_TARGET_LATENCY_RATIO: f64 = 0.7;
/// A latency of up to this many times the unloaded latency does not show yet that requests wait for others.
const UNCONTENDED_FACTOR: f64 = 1.5;
/// The increase per answer at a latency ratio of zero, for a balancer whose limit is the initial one. Per round trip, a
/// limit of any size rises by about a tenth of the initial limit.
const LIMIT_INCREASE: f64 = 0.1;
/// The limit falls this many times faster than it rises, since a late answer is worth less than a queued request.
const LIMIT_DECREASE_FACTOR: f64 = 2.0;
/// The share of the limit that must be in use before it rises.
const MIN_UTILISATION: f64 = 0.7;
/// The smallest sum of speeds that is divided by; it keeps the quotient finite.
const MIN_SPEED_SUM: f64 = 1e-12;

/// The concurrency limit and the state that it depends on.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    /// The number of servers that can be used, in which a server that warms up counts by its usable share.
    usable_servers: f64,
    /// The sum of the speeds of all live servers.
    speed_sum: f64,
    /// By class: the smoothed latency divided by the latency objective.
    latency_ratio: Vec<f64>,
}

/// The latency of one answer and the values that it is compared with; times in microseconds.
pub(crate) struct LatencySample {
    pub(crate) class: usize,
    pub(crate) latency: f64,
    /// The latency objective of the class.
    pub(crate) objective: f64,
    /// The latency of the class without load.
    pub(crate) unloaded: f64,
    /// The number of requests in flight or queued.
    pub(crate) open: usize,
}

impl ConcurrencyLimit {
    pub(crate) fn new(classes: usize) -> Self {
        Self { latency_ratio: vec![0.0; classes], ..Self::default() }
    }

    /// The number of requests that may be in flight at all servers together.
    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// `L_i`: a server's share of the limit, in proportion to its speed.
    pub(crate) fn share(&self, server: &Server) -> f64 {
        self.limit * server.speed() / self.speed_sum.max(MIN_SPEED_SUM)
    }

    /// This balancer's share of a limit that is stated for each server over all balancers.
    fn own_share(&self, per_server: f64, balancers: u32) -> f64 {
        self.usable_servers * per_server / f64::from(balancers)
    }

    /// Scales the limit to another number of balancers that share the servers. Scaling raises the limit no further than
    /// to the initial limit for the new number of balancers.
    pub(crate) fn set_balancers(&mut self, before: u32, after: u32) {
        let scaled = self.limit * f64::from(before) / f64::from(after);
        self.limit = scaled.min(self.limit.max(self.own_share(INITIAL_LIMIT, after)));
    }

    /// Adjusts the limit to one answer: up while the latency of its class is below the target, down while it is above.
    /// Only the class of the answer counts, since the latency of a class that is always rejected would never change.
    pub(crate) fn adjust(&mut self, sample: &LatencySample, balancers: u32) {
        let least = self.own_share(MIN_LIMIT, balancers);
        let initial = self.own_share(INITIAL_LIMIT, balancers);
        let ratio = &mut self.latency_ratio[sample.class];
        let latest = (sample.latency / sample.objective).min(MAX_LATENCY_RATIO);
        *ratio += (latest - *ratio) * LATENCY_RATIO_GAIN;
        // With one target for all classes, a class that takes half its objective even without load kept the limit at
        // its minimum, and half of its requests were rejected although cores were idle.
        let uncontended = sample.unloaded * UNCONTENDED_FACTOR / sample.objective;
        let target = uncontended.clamp(TARGET_LATENCY_RATIO, MAX_TARGET_LATENCY_RATIO);
        let headroom = (1.0 - *ratio / target).clamp(-1.0, 1.0);
        let in_use = sample.open as f64 >= MIN_UTILISATION * self.limit;
        if headroom < 0.0 {
            self.limit += LIMIT_INCREASE * LIMIT_DECREASE_FACTOR * headroom;
        } else if in_use {
            // A higher limit rises more slowly. Limits that rose in proportion to their size stayed unequal: of three
            // balancers, one rejected requests at its minimum of 11, while another had 90 and used half of them.
            self.limit += LIMIT_INCREASE * headroom * initial.max(1.0) / self.limit;
        }
        self.limit = self.limit.max(least);
    }

    /// Scales the limit to the servers that can be used now.
    pub(crate) fn refresh(&mut self, servers: &[Server], balancers: u32) {
        let live = || servers.iter().filter(|server| server.is_live());
        let usable_servers: f64 = live().map(|server| server.usable_share).sum();
        if self.usable_servers > 0.0 && usable_servers > 0.0 {
            // Without this, the limit stayed the same when the number of servers doubled, and requests were rejected
            // while servers were idle.
            self.limit *= usable_servers / self.usable_servers;
        }
        if usable_servers > 0.0 {
            self.usable_servers = usable_servers;
        }
        if self.limit == 0.0 {
            self.limit = self.own_share(INITIAL_LIMIT, balancers).max(usable_servers.min(1.0));
        }
        self.speed_sum = live().map(Server::speed).sum();
    }
}
