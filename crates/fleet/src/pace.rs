//! The pace of questions to members' systems where the list is long.

use sableloom_types::Time;

/// Questions a second that one missing member's system is put by all others together, each of 29 bytes with its
/// headers: they still come when the member starts. Where each of 7,600 asked at the pace of a short list, one that
/// came back was sent 15,200 a second.
const QUESTIONS_AT_ONE: f64 = 24.0;
/// What may be asked at once, in seconds of the pace: as often as is looked at least.
const BURST_SECONDS: f64 = 0.5;

/// How many questions one member may put.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuestionPace {
    tokens: f64,
    at: Time,
}

impl QuestionPace {
    /// Each member begins with another part of one question, so that the first of all do not come at once.
    pub(crate) fn new(now: Time, seed: u64) -> Self {
        Self { tokens: f64::from((seed >> 32) as u32) / f64::from(u32::MAX), at: now }
    }

    /// How many it may put now, with so many to ask after and so many others that do so too.
    pub(crate) fn left(&mut self, now: Time, unsure: usize, others: usize) -> usize {
        let a_second = QUESTIONS_AT_ONE * unsure as f64 / (others + 1) as f64;
        let passed = now.since(self.at).as_micros_f64() / 1e6;
        self.at = now;
        let most = (a_second * BURST_SECONDS).max(1.0);
        self.tokens = (self.tokens + a_second * passed.max(0.0)).min(most);
        self.tokens as usize
    }

    /// It put so many.
    pub(crate) fn spend(&mut self, questions: usize) {
        self.tokens -= questions as f64;
    }
}
