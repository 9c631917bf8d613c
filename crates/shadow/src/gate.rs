//! Decides which requests are copied. Live traffic has priority: only answered requests are copied, only while
//! the live pool is not overloaded, and within limits on rate, number and bytes. A circuit breaker stops
//! copies to a candidate that fails, and probes it with a single copy later.

use std::sync::Arc;

use sableloom_types::{Idempotency, Span, Time};

use crate::counts::{CopyCounts, SkipReason};
use crate::hash::{mix, unit_interval};
use crate::limits::{CopyLimits, SampleBy};

/// Number of bursts that a second's copies are.
const BURSTS_PER_SECOND: f64 = 10.0;
/// The shortest time of an open circuit breaker, as a fraction of the time without jitter.
const MIN_JITTER_FACTOR: f64 = 0.75;
/// Width of the jitter, as a fraction of the time without jitter.
const JITTER_RANGE: f64 = 0.5;

/// A copy in flight.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "its end must be reported to the gate"]
pub struct CopyInFlight {
    bytes: usize,
    /// How often the circuit breaker had opened when the copy was sent.
    breaker_openings: u64,
    /// Whether it probes the candidate.
    probe: bool,
}

/// How a copy ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyEnd {
    /// Served by the candidate.
    Served,
    /// Not sent, for a reason that has nothing to do with the candidate.
    NotSent,
    /// Failed or timed out, or no server of the candidate was available.
    Failed,
}

/// The circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Breaker {
    /// Copies are sent.
    Closed,
    /// No copies until then; the next one is a probe.
    Open { until: Time },
    /// A probe is in flight.
    HalfOpen,
}

/// Decides which requests are copied.
#[derive(Debug)]
pub struct Gate {
    limits: CopyLimits,
    counts: Arc<CopyCounts>,
    /// Copies that the rate permits now.
    tokens: f64,
    tokens_updated: Time,
    in_flight: usize,
    held_bytes: usize,
    quiet_until: Time,
    breaker: Breaker,
    consecutive_failures: u32,
    breaker_open_time: Span,
    breaker_openings: u64,
    worker_ended: bool,
}

impl Gate {
    /// A gate without copies yet.
    pub fn new(limits: CopyLimits, now: Time) -> Self {
        Self {
            counts: Arc::default(),
            tokens: burst(&limits),
            tokens_updated: now,
            in_flight: 0,
            held_bytes: 0,
            quiet_until: Time(i64::MIN),
            breaker: Breaker::Closed,
            consecutive_failures: 0,
            breaker_open_time: limits.breaker_open_time,
            breaker_openings: 0,
            worker_ended: false,
            limits,
        }
    }

    /// The counters.
    pub fn counts(&self) -> Arc<CopyCounts> {
        self.counts.clone()
    }

    /// Number of copies in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Whether a live request is sampled; only idempotent ones are. `id` is a hash of its id.
    pub fn samples(
        &self,
        class: usize,
        idempotency: Idempotency,
        key: Option<u64>,
        id: u64,
    ) -> bool {
        if idempotency != Idempotency::Idempotent || self.limits.classes.get(class) != Some(&true) {
            return false;
        }
        CopyCounts::add(&self.counts.seen);
        let sampled_by = match self.limits.sample_by {
            SampleBy::Key => key.unwrap_or(id),
            SampleBy::Request => id,
        };
        unit_interval(sampled_by ^ mix(self.limits.sample_seed)) < self.limits.sample_share
    }

    /// A live request was rejected or failed: no copies for a while.
    pub fn note_live_pressure(&mut self, now: Time) {
        self.quiet_until = now.plus(self.limits.quiet_time);
    }

    /// A sampled live request was served: decides whether it is copied. `bytes` is the size of the request and
    /// its answer, `live_open` returns the number of open live requests.
    ///
    /// # Errors
    ///
    /// Why it is not copied.
    pub fn admit(
        &mut self,
        now: Time,
        bytes: usize,
        live_open: impl FnOnce() -> usize,
    ) -> Result<CopyInFlight, SkipReason> {
        CopyCounts::add(&self.counts.sampled);
        let admitted = self.try_admit(now, bytes, live_open);
        match admitted {
            Ok(_) => CopyCounts::add(&self.counts.copied),
            Err(reason) => self.counts.add_skipped(reason),
        }
        admitted
    }

    fn try_admit(
        &mut self,
        now: Time,
        bytes: usize,
        live_open: impl FnOnce() -> usize,
    ) -> Result<CopyInFlight, SkipReason> {
        let limits = &self.limits;
        if self.worker_ended {
            return Err(SkipReason::WorkerEnded);
        }
        if now < self.quiet_until {
            return Err(SkipReason::LivePressure);
        }
        if limits.max_live_open > 0 && live_open() > limits.max_live_open {
            return Err(SkipReason::LiveOpen);
        }
        if bytes > limits.max_pair_bytes {
            return Err(SkipReason::TooLarge);
        }
        let probe = match self.breaker {
            Breaker::Closed => false,
            Breaker::Open { until } if now >= until => true,
            Breaker::Open { .. } | Breaker::HalfOpen => return Err(SkipReason::BreakerOpen),
        };
        if self.in_flight >= limits.max_in_flight {
            return Err(SkipReason::InFlight);
        }
        if self.held_bytes + bytes > limits.max_held_bytes {
            return Err(SkipReason::HeldBytes);
        }
        // Last, so that only copies take tokens.
        if !self.take_token(now) {
            return Err(SkipReason::Rate);
        }
        self.in_flight += 1;
        self.held_bytes += bytes;
        if probe {
            self.breaker = Breaker::HalfOpen;
        }
        Ok(CopyInFlight { bytes, breaker_openings: self.breaker_openings, probe })
    }

    /// Takes a token of the rate, if there is one. A clock that steps back adds none.
    fn take_token(&mut self, now: Time) -> bool {
        let passed = now.since(self.tokens_updated).as_micros_f64().max(0.0) / 1e6;
        self.tokens_updated = self.tokens_updated.max(now);
        let refilled = self.tokens + passed * self.limits.max_per_second;
        self.tokens = refilled.min(burst(&self.limits));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// A copy has ended: releases what it holds, and updates the circuit breaker.
    pub fn copy_ended(&mut self, now: Time, copy: CopyInFlight, end: CopyEnd) {
        self.in_flight -= 1;
        self.held_bytes -= copy.bytes;
        // A copy from before the breaker opened last says nothing about the time after it.
        if copy.breaker_openings != self.breaker_openings {
            return;
        }
        match (end, copy.probe) {
            (CopyEnd::Served, _) => {
                self.consecutive_failures = 0;
                self.breaker_open_time = self.limits.breaker_open_time;
                self.breaker = Breaker::Closed;
            }
            // The probe was not sent: the next copy is the probe.
            (CopyEnd::NotSent, true) => self.breaker = Breaker::Open { until: now },
            (CopyEnd::NotSent, false) => {}
            (CopyEnd::Failed, true) => {
                let (first, max) =
                    (self.limits.breaker_open_time, self.limits.max_breaker_open_time);
                let doubled = Span(self.breaker_open_time.0.saturating_mul(2));
                self.breaker_open_time = doubled.min(max).max(first);
                self.open_breaker(now);
            }
            (CopyEnd::Failed, false) => {
                self.consecutive_failures += 1;
                if self.consecutive_failures >= self.limits.breaker_threshold {
                    self.open_breaker(now);
                }
            }
        }
    }

    fn open_breaker(&mut self, now: Time) {
        self.consecutive_failures = 0;
        self.breaker_openings += 1;
        CopyCounts::add(&self.counts.breaker_openings);
        let jitter = unit_interval(self.limits.jitter_seed ^ mix(self.breaker_openings));
        let factor = MIN_JITTER_FACTOR + JITTER_RANGE * jitter;
        let open_time = Span::from_micros_f64(self.breaker_open_time.as_micros_f64() * factor);
        self.breaker = Breaker::Open { until: now.plus(open_time) };
    }

    /// A copy could not be handed over, because the thread that sends copies has ended.
    pub fn worker_ended(&mut self, copy: CopyInFlight) {
        self.in_flight -= 1;
        self.held_bytes -= copy.bytes;
        self.worker_ended = true;
    }
}

fn burst(limits: &CopyLimits) -> f64 {
    (limits.max_per_second / BURSTS_PER_SECOND).max(1.0)
}
