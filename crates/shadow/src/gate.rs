//! Decides which requests are copied. Live traffic has priority: only answered requests are copied, only while
//! the live pool is not overloaded, and within limits on rate, number and bytes. A circuit breaker stops
//! copies to a candidate that fails, and probes it with a single copy later.

use std::sync::atomic::{AtomicU64, Ordering};

use sableloom_types::{Idempotency, Span, Time};

use crate::mix;

/// What the sample is chosen by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum By {
    /// The key, so that the candidate sees a sampled key as often as the live servers do: otherwise a candidate
    /// with a cache would seem slower than it is. Requests without a key go by their id.
    Key,
    /// The id of the request.
    Request,
}

/// Limits on the cost of copying.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Classes that are copied, by index. Unsafe requests never are, even if their class is listed.
    pub classes: Vec<bool>,
    /// The share of these requests that is sampled.
    pub share: f64,
    /// What the sample is chosen by.
    pub by: By,
    /// Maximum rate of copies: over `s` seconds at most `per_second * s` plus a burst of a tenth of a second's
    /// copies, at least one.
    pub per_second: f64,
    /// Maximum number of copies in flight.
    pub in_flight: usize,
    /// Maximum number of bytes that copies in flight hold, requests and live answers together.
    pub held: usize,
    /// Maximum number of bytes of one request and its live answer.
    pub each: usize,
    /// No copies for this time after a live request was refused or failed.
    pub calm: Span,
    /// No copies while more live requests are open; 0 for no limit.
    pub live_open: usize,
    /// Failed copies in a row after which the candidate rests.
    pub trip: u32,
    /// Length of the first rest, with up to a quarter of jitter, because several balancers may share the
    /// candidate.
    pub rest: Span,
    /// Maximum length of a rest: it doubles each time the probe after a rest fails.
    pub rest_most: Span,
    /// Seed of the sample, the same at all balancers, so that they sample the same keys.
    pub seed: u64,
    /// Seed of the jitter, different at each balancer, so that they do not probe at the same time.
    pub own: u64,
}

/// Why an answered request of the sample was not copied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SkipReason {
    /// Live requests were refused or failed recently.
    Pressed,
    /// Too many live requests are open.
    LiveOpen,
    /// The maximum rate is reached.
    Rate,
    /// The maximum number in flight is reached.
    InFlight,
    /// The maximum number of bytes is reached.
    Held,
    /// The request and its answer are too large.
    Large,
    /// The candidate rests.
    Resting,
    /// The comparing thread has ended.
    Gone,
}

impl SkipReason {
    /// All reasons.
    pub const ALL: [SkipReason; 8] = [
        SkipReason::Pressed,
        SkipReason::LiveOpen,
        SkipReason::Rate,
        SkipReason::InFlight,
        SkipReason::Held,
        SkipReason::Large,
        SkipReason::Resting,
        SkipReason::Gone,
    ];

    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            SkipReason::Pressed => "live pressed",
            SkipReason::LiveOpen => "live open",
            SkipReason::Rate => "rate",
            SkipReason::InFlight => "in flight",
            SkipReason::Held => "bytes held",
            SkipReason::Large => "too large",
            SkipReason::Resting => "candidate rests",
            SkipReason::Gone => "copying ended",
        }
    }
}

/// Counters, readable from any thread.
#[derive(Debug, Default)]
pub struct Counts {
    /// Safe requests of the copied classes.
    pub seen: AtomicU64,
    /// Sampled requests that were served.
    pub sampled: AtomicU64,
    /// Copies.
    pub copied: AtomicU64,
    /// Rests of the candidate.
    pub rests: AtomicU64,
    skipped: [AtomicU64; SkipReason::ALL.len()],
}

impl Counts {
    fn add(to: &AtomicU64) {
        to.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of requests that were not copied for this reason.
    pub fn skipped(&self, why: SkipReason) -> u64 {
        self.skipped[why as usize].load(Ordering::Relaxed)
    }
}

/// A copy in flight.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "its end is to be told"]
pub struct Copied {
    bytes: usize,
    /// Number of rests of the candidate before it was sent.
    era: u64,
    trial: bool,
}

/// How a copy ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served by the candidate.
    Served,
    /// Not sent, for a reason that has nothing to do with the candidate.
    Refused,
    /// Failed or timed out, or no server of the candidate was available.
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Open,
    Resting {
        until: Time,
    },
    /// A probe is in flight.
    Trying,
}

/// Decides what is copied.
#[derive(Debug)]
pub struct Gate {
    bounds: Bounds,
    counts: std::sync::Arc<Counts>,
    tokens: f64,
    filled: Time,
    out: usize,
    held: usize,
    calm_from: Time,
    phase: Phase,
    /// Copies in a row that were not served.
    failed: u32,
    rest: Span,
    era: u64,
    gone: bool,
}

impl Gate {
    /// A gate without copies yet.
    pub fn new(bounds: Bounds, now: Time) -> Self {
        Self {
            counts: std::sync::Arc::default(),
            tokens: burst(&bounds),
            filled: now,
            out: 0,
            held: 0,
            calm_from: Time(i64::MIN),
            phase: Phase::Open,
            failed: 0,
            rest: bounds.rest,
            era: 0,
            gone: false,
            bounds,
        }
    }

    /// The counters.
    pub fn counts(&self) -> std::sync::Arc<Counts> {
        self.counts.clone()
    }

    /// Number of copies in flight.
    pub fn out(&self) -> usize {
        self.out
    }

    /// Whether a live request is sampled; only safe ones are. `id` is a hash of its id.
    pub fn samples(
        &self,
        class: usize,
        idempotency: Idempotency,
        key: Option<u64>,
        id: u64,
    ) -> bool {
        if idempotency != Idempotency::Idempotent || self.bounds.classes.get(class) != Some(&true) {
            return false;
        }
        Counts::add(&self.counts.seen);
        let by = match self.bounds.by {
            By::Key => key.unwrap_or(id),
            By::Request => id,
        };
        let at = mix(by ^ mix(self.bounds.seed)) as f64 / 2f64.powi(64);
        at < self.bounds.share
    }

    /// A live request was refused, or failed.
    pub fn pressed(&mut self, now: Time) {
        self.calm_from = now.plus(self.bounds.calm);
    }

    /// A sampled live request was served: decides whether it is copied. `bytes` is the size of the request and
    /// its answer, `open` returns the number of open live requests.
    pub fn served(
        &mut self,
        now: Time,
        bytes: usize,
        open: impl FnOnce() -> usize,
    ) -> Result<Copied, SkipReason> {
        Counts::add(&self.counts.sampled);
        let verdict = self.verdict(now, bytes, open);
        match verdict {
            Ok(_) => Counts::add(&self.counts.copied),
            Err(why) => Counts::add(&self.counts.skipped[why as usize]),
        }
        verdict
    }

    fn verdict(
        &mut self,
        now: Time,
        bytes: usize,
        open: impl FnOnce() -> usize,
    ) -> Result<Copied, SkipReason> {
        let bounds = &self.bounds;
        if self.gone {
            return Err(SkipReason::Gone);
        }
        if now < self.calm_from {
            return Err(SkipReason::Pressed);
        }
        if bounds.live_open > 0 && open() > bounds.live_open {
            return Err(SkipReason::LiveOpen);
        }
        if bytes > bounds.each {
            return Err(SkipReason::Large);
        }
        let trial = match self.phase {
            Phase::Open => false,
            Phase::Resting { until } if now >= until => true,
            Phase::Resting { .. } | Phase::Trying => return Err(SkipReason::Resting),
        };
        if self.out >= bounds.in_flight {
            return Err(SkipReason::InFlight);
        }
        if self.held + bytes > bounds.held {
            return Err(SkipReason::Held);
        }
        // Last, so that only copies take tokens. A clock that steps back adds none.
        let passed = now.since(self.filled).as_micros_f64().max(0.0) / 1e6;
        self.filled = self.filled.max(now);
        self.tokens = (self.tokens + passed * bounds.per_second).min(burst(bounds));
        if self.tokens < 1.0 {
            return Err(SkipReason::Rate);
        }
        self.tokens -= 1.0;
        self.out += 1;
        self.held += bytes;
        if trial {
            self.phase = Phase::Trying;
        }
        Ok(Copied { bytes, era: self.era, trial })
    }

    /// A copy has ended: releases what it holds.
    pub fn ended(&mut self, now: Time, copied: Copied, end: End) {
        self.out -= 1;
        self.held -= copied.bytes;
        // A copy from before the last rest proves nothing about the time after it.
        if copied.era != self.era {
            return;
        }
        match (end, copied.trial) {
            (End::Served, _) => {
                self.failed = 0;
                self.rest = self.bounds.rest;
                self.phase = Phase::Open;
            }
            // The probe proved nothing: the next copy is the probe.
            (End::Refused, true) => self.phase = Phase::Resting { until: now },
            (End::Refused, false) => {}
            (End::Failed, true) => {
                let twice = Span(self.rest.0.saturating_mul(2));
                self.rest = twice.min(self.bounds.rest_most).max(self.bounds.rest);
                self.rest_from(now);
            }
            (End::Failed, false) => {
                self.failed += 1;
                if self.failed >= self.bounds.trip {
                    self.rest_from(now);
                }
            }
        }
    }

    fn rest_from(&mut self, now: Time) {
        self.failed = 0;
        self.era += 1;
        Counts::add(&self.counts.rests);
        let part = mix(self.bounds.own ^ mix(self.era)) as f64 / 2f64.powi(64);
        let rest = Span::from_micros_f64(self.rest.as_micros_f64() * (0.75 + 0.5 * part));
        self.phase = Phase::Resting { until: now.plus(rest) };
    }

    /// A copy could not be handed over, because the comparing thread has ended.
    pub fn lost(&mut self, copied: Copied) {
        self.out -= 1;
        self.held -= copied.bytes;
        self.gone = true;
    }
}

fn burst(bounds: &Bounds) -> f64 {
    (bounds.per_second / 10.0).max(1.0)
}
