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
    /// Refused, with the promise that it has not run.
    Refused,
    /// Failed; it may have run.
    Failed,
}

/// Priority value that was requested, and that was served in time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    /// Requested.
    pub asked: f64,
    /// Served in time.
    pub served: f64,
}

impl Share {
    /// Served divided by requested; 1 if nothing was requested.
    pub fn ratio(&self) -> f64 {
        if self.asked > 0.0 { self.served / self.asked } else { 1.0 }
    }
}

/// The counts of one play.
#[derive(Clone, Debug)]
pub struct Tally {
    start: Time,
    /// By second of arrival.
    pub seconds: Vec<Share>,
    /// By class.
    pub class: [Share; 2],
    /// Requests that were refused.
    pub refused: usize,
    /// Requests that failed or were late.
    pub failed: usize,
    /// All requests.
    pub asked: usize,
    /// All attempts.
    pub attempts: usize,
    /// Attempts on new connections, if those cost work.
    pub connections: usize,
    /// Attempts whose connection the server rejected.
    pub shut_out: usize,
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
            seconds: vec![Share::default(); seconds as usize + 1],
            class: [Share::default(); 2],
            refused: 0,
            failed: 0,
            asked: 0,
            attempts: 0,
            connections: 0,
            shut_out: 0,
            falls: 0,
            outcomes: BTreeMap::new(),
            pushed: 0.0,
            excess: f64::NEG_INFINITY,
            broken: Vec::new(),
        }
    }

    pub(crate) fn count(&mut self, arrived: Time, class: usize, priority_weight: f64, end: End) {
        self.asked += 1;
        self.refused += usize::from(end == End::Refused);
        self.failed += usize::from(matches!(end, End::Failed | End::Late));
        let second = (arrived.since(self.start).0 / S) as usize;
        let last = self.seconds.len() - 1;
        for share in [&mut self.seconds[second.min(last)], &mut self.class[class]] {
            share.asked += priority_weight;
            share.served += if end == End::Served { priority_weight } else { 0.0 };
        }
    }

    /// Priority value served in time, divided by the value requested.
    pub fn served(&self) -> f64 {
        self.between(0, self.seconds.len())
    }

    /// The same for arrivals in these seconds.
    pub fn between(&self, from: usize, to: usize) -> f64 {
        let mut sum = Share::default();
        for share in &self.seconds[from..to.min(self.seconds.len())] {
            sum.asked += share.asked;
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
