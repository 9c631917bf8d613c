//! The result of a play.

use std::collections::BTreeMap;

use sableloom_types::Time;

use crate::case::S;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served within its latency objective.
    Served,
    /// Served later.
    Late,
    /// Rejected: it was provably not executed.
    Rejected,
    /// Failed: it may have been executed.
    Failed,
}

/// Priority weight that was requested, and that was served in time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServedWeight {
    /// Requested.
    pub requested: f64,
    /// Served in time.
    pub served: f64,
}

impl ServedWeight {
    /// Served divided by requested; 1 if nothing was requested.
    pub fn ratio(&self) -> f64 {
        if self.requested > 0.0 { self.served / self.requested } else { 1.0 }
    }
}

/// The counts of one play.
#[derive(Clone, Debug)]
pub struct Tally {
    start: Time,
    /// By second of arrival.
    pub seconds: Vec<ServedWeight>,
    /// By class.
    pub class: [ServedWeight; 2],
    /// Requests that were rejected.
    pub rejected: usize,
    /// Requests that failed or were late.
    pub failed: usize,
    /// All requests.
    pub requests: usize,
    /// All attempts.
    pub attempts: usize,
    /// Attempts on new connections, if those cost work.
    pub connections: usize,
    /// Attempts whose connection the server rejected.
    pub connections_rejected: usize,
    /// Crashes of servers from overload.
    pub falls: usize,
    /// Attempts by the name of their outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// Peak work sent to a cold server within the window of the rule, divided by what the rule allows.
    pub pushed: f64,
    /// Peak excess over the budget of N requests of a cold server, divided by what is attributed to chance:
    /// 2 x sqrt(N) + 2.
    pub excess: f64,
    /// Descriptions of broken rules.
    pub broken: Vec<String>,
}

impl Tally {
    pub(crate) fn new(start: Time, seconds: i64) -> Self {
        Self {
            start,
            seconds: vec![ServedWeight::default(); seconds as usize + 1],
            class: [ServedWeight::default(); 2],
            rejected: 0,
            failed: 0,
            requests: 0,
            attempts: 0,
            connections: 0,
            connections_rejected: 0,
            falls: 0,
            outcomes: BTreeMap::new(),
            pushed: 0.0,
            excess: f64::NEG_INFINITY,
            broken: Vec::new(),
        }
    }

    pub(crate) fn count(&mut self, arrived: Time, class: usize, priority_weight: f64, end: End) {
        self.requests += 1;
        self.rejected += usize::from(end == End::Rejected);
        self.failed += usize::from(matches!(end, End::Failed | End::Late));
        let second = (arrived.since(self.start).0 / S) as usize;
        let last = self.seconds.len() - 1;
        for share in [&mut self.seconds[second.min(last)], &mut self.class[class]] {
            share.requested += priority_weight;
            share.served += if end == End::Served { priority_weight } else { 0.0 };
        }
    }

    /// Priority weight served in time, divided by the weight requested.
    pub fn served(&self) -> f64 {
        self.between(0, self.seconds.len())
    }

    /// The same for arrivals in these seconds.
    pub fn between(&self, from: usize, to: usize) -> f64 {
        let mut sum = ServedWeight::default();
        for share in &self.seconds[from..to.min(self.seconds.len())] {
            sum.requested += share.requested;
            sum.served += share.served;
        }
        sum.ratio()
    }

    /// Share of the attempts with this outcome.
    pub fn outcome(&self, name: &str) -> f64 {
        let n = self.outcomes.get(name).copied().unwrap_or(0);
        n as f64 / self.attempts.max(1) as f64
    }
}
