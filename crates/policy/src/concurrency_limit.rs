//! The adaptive concurrency limit: how many requests all servers together serve at once for this balancer.
//!
//! The servers of the paper run one request at a time. Many balancers that share servers with many cores have any
//! number for each, also less than one. The limit rises additively while answers come well within their latency
//! objective, and falls faster when they do not.

use crate::server::Server;

/// Smallest limit for each server, over all balancers. Failure: when all is slow at once, latency is over its
/// target even without load, and a limit that falls further leaves servers idle.
const MIN_LIMIT: f64 = 6.0;
/// Limit for each server, over all balancers, before any answer.
const INITIAL_LIMIT: f64 = 12.0;
/// Weight of a new answer in the latency ratio of its class: about the last dozen answers count.
const LATENCY_RATIO_GAIN: f64 = 0.08;
/// One answer counts as this many latency objectives at most.
const MAX_LATENCY_RATIO: f64 = 2.0;
/// Share of its latency objective that a class may take on average before the limit falls: the rest leaves room
/// for the spread of service times around their mean.
const TARGET_LATENCY_RATIO: f64 = 0.5;
/// A class that takes long even without load may take up to this share of its latency objective.
const MAX_TARGET_LATENCY_RATIO: f64 = 0.7;
/// This many times its unloaded latency is no sign yet that a class waits for others.
const UNCONTENDED_FACTOR: f64 = 1.5;
/// Rise per answer at a latency ratio of zero for a balancer that holds what it started with: about a tenth of
/// this per round trip, whatever the limit.
const LIMIT_INCREASE: f64 = 0.1;
/// The limit falls this many times faster than it rises: a late answer is worth less than a queued request.
const LIMIT_DECREASE_FACTOR: f64 = 2.0;
/// Share of the limit that must be in use before it rises.
const MIN_UTILISATION: f64 = 0.7;
/// Smallest sum of speeds; keeps a quotient finite.
const MIN_SPEED_SUM: f64 = 1e-12;

/// The limit, and what it depends on.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    /// Servers that can be used; one that warms up counts by its share.
    usable_servers: f64,
    /// Sum of the speeds of all live servers.
    speed_sum: f64,
    /// By class: smoothed latency over its objective.
    latency_ratio: Vec<f64>,
}

/// The latency of one answer and what it is measured by; times in microseconds.
pub(crate) struct LatencySample {
    pub(crate) class: usize,
    pub(crate) latency: f64,
    /// Latency objective of the class.
    pub(crate) objective: f64,
    /// Latency of the class without load.
    pub(crate) unloaded: f64,
    /// Requests in flight or queued.
    pub(crate) open: usize,
}

impl ConcurrencyLimit {
    pub(crate) fn new(classes: usize) -> Self {
        Self { latency_ratio: vec![0.0; classes], ..Self::default() }
    }

    /// Requests that may be in flight at all servers together.
    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// `L_i`: a server's share of the limit, by its speed.
    pub(crate) fn share(&self, server: &Server) -> f64 {
        self.limit * server.speed() / self.speed_sum.max(MIN_SPEED_SUM)
    }

    /// This balancer's share of a limit that is stated for each server over all balancers.
    fn own_share(&self, per_server: f64, balancers: u32) -> f64 {
        self.usable_servers * per_server / f64::from(balancers)
    }

    /// The servers are shared by another number of balancers from now on. A share that grows is no more than an
    /// initial one.
    pub(crate) fn set_balancers(&mut self, before: u32, after: u32) {
        let scaled = self.limit * f64::from(before) / f64::from(after);
        self.limit = scaled.min(self.limit.max(self.own_share(INITIAL_LIMIT, after)));
    }

    /// Moves the limit by one answer: up while its class has room within its objective, down once it has not.
    /// Only the class that answers counts: one that is rejected altogether would never update.
    pub(crate) fn adjust(&mut self, sample: &LatencySample, balancers: u32) {
        let least = self.own_share(MIN_LIMIT, balancers);
        let initial = self.own_share(INITIAL_LIMIT, balancers);
        let ratio = &mut self.latency_ratio[sample.class];
        let latest = (sample.latency / sample.objective).min(MAX_LATENCY_RATIO);
        *ratio += (latest - *ratio) * LATENCY_RATIO_GAIN;
        // Failure: work that takes half its objective even without load kept the limit at its floor, and half was
        // rejected beside idle cores.
        let uncontended = sample.unloaded * UNCONTENDED_FACTOR / sample.objective;
        let target = uncontended.clamp(TARGET_LATENCY_RATIO, MAX_TARGET_LATENCY_RATIO);
        let headroom = (1.0 - *ratio / target).clamp(-1.0, 1.0);
        let in_use = sample.open as f64 >= MIN_UTILISATION * self.limit;
        if headroom < 0.0 {
            self.limit += LIMIT_INCREASE * LIMIT_DECREASE_FACTOR * headroom;
        } else if in_use {
            // The higher the limit, the slower it rises. Failure: limits that rose in proportion stayed with who
            // had them: of three balancers one rejected at its floor of 11, beside one with 90 half in use.
            self.limit += LIMIT_INCREASE * headroom * initial.max(1.0) / self.limit;
        }
        self.limit = self.limit.max(least);
    }

    /// Follows the servers that can be used now.
    pub(crate) fn refresh(&mut self, servers: &[Server], balancers: u32) {
        let live = || servers.iter().filter(|server| server.is_live());
        let usable_servers: f64 = live().map(|server| server.usable_share).sum();
        if self.usable_servers > 0.0 && usable_servers > 0.0 {
            // Failure: a fleet that doubled kept its old limit, and rejected beside idle servers.
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
