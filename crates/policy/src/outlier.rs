//! Outlier detection: consecutive failures eject a server for a class, a server that can't be reached for all
//! classes, and a zone whose connections fail.

use rustc_hash::FxHashMap;
use sableloom_types::{Outcome, Span, Time};

/// Consecutive failures of one class at one server after which the server is ejected for the class, and tried
/// with one request at a time until one is served.
const CONSECUTIVE_FAILURES: u32 = 2;
/// Ejection time after the first failure that counts, as a share of the mean service time; each further one
/// doubles it.
const EJECTION_FRACTION_OF_SERVICE_TIME: f64 = 0.5;
/// Most doublings of the ejection time: some thirty service times between two trials of a dead server.
const MAX_DOUBLINGS: u32 = 6;

/// Ejection time in a row of failures, for a mean service time in microseconds.
fn ejection_time(service_time: f64, doublings: u32) -> Span {
    let factor = f64::from(1 << doublings);
    Span::from_micros_f64(service_time * EJECTION_FRACTION_OF_SERVICE_TIME * factor)
}

/// How a server fares with one class, or the connections to a zone.
///
/// Guards against a server that is useless for some of the work only: a part of it fails, rejects or hangs.
/// Failure: six servers of ten rejected one class after 95 ms; all classes paused there, as many came again, and
/// half of that class's attempts ended there. Does harm where failures come in a row by chance: the server stands
/// idle for one ejection time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutlierState {
    /// Failures in a row, but for those of attempts that began before the ejection.
    consecutive_failures: u32,
    ejected_until: Time,
    in_flight: u32,
}

impl OutlierState {
    pub(crate) fn new(now: Time) -> Self {
        Self { consecutive_failures: 0, ejected_until: now, in_flight: 0 }
    }

    /// Whether an attempt may begin: it is not ejected, or it is due for a trial with one request.
    pub(crate) fn permits(&self, now: Time) -> bool {
        now >= self.ejected_until && (!self.has_failed_repeatedly() || self.in_flight == 0)
    }

    /// Whether it is ejected or on trial.
    pub(crate) fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until || self.has_failed_repeatedly()
    }

    fn has_failed_repeatedly(&self) -> bool {
        self.consecutive_failures >= CONSECUTIVE_FAILURES
    }

    /// Counts the beginning of an attempt.
    pub(crate) fn attempt_began(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a failure of an attempt sent at `sent`. The first `tolerated` failures in a row eject nothing.
    fn record_failure(&mut self, now: Time, sent: Time, service_time: f64, tolerated: u32) {
        let sent_before_ejection_ended = self.has_failed_repeatedly() && sent < self.ejected_until;
        if now < self.ejected_until || sent_before_ejection_ended {
            return; // The same fault, already counted.
        }
        if self.consecutive_failures >= tolerated {
            let doublings = (self.consecutive_failures - tolerated).min(MAX_DOUBLINGS);
            self.ejected_until = now.plus(ejection_time(service_time, doublings));
        }
        self.consecutive_failures =
            (self.consecutive_failures + 1).min(CONSECUTIVE_FAILURES + MAX_DOUBLINGS);
    }

    fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Counts the end of an attempt of the class at the server. A rejection ejects at once, an error only when
    /// it is not the first in a row.
    pub(crate) fn class_attempt_ended(
        &mut self,
        outcome: Outcome,
        now: Time,
        sent: Time,
        service_time: f64,
    ) {
        self.in_flight -= 1;
        match outcome {
            Outcome::Rejected => self.record_failure(now, sent, service_time, 0),
            Outcome::Error | Outcome::Reset | Outcome::Timeout => {
                self.record_failure(now, sent, service_time, CONSECUTIVE_FAILURES - 1);
            }
            Outcome::Ok => self.record_success(),
            Outcome::ConnectFailed | Outcome::Cancelled | Outcome::Superseded => {}
        }
    }
}

/// Connections to one server that failed in a row.
///
/// Failure: the servers of a lost zone, long still on the list, were tried again every few milliseconds by every
/// balancer, and most attempts of the fleet ended there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectFailures {
    consecutive: u32,
    ejected_until: Time,
}

impl ConnectFailures {
    pub(crate) fn new(now: Time) -> Self {
        Self { consecutive: 0, ejected_until: now }
    }

    /// Whether a connection may be tried.
    pub(crate) fn permits(&self, now: Time) -> bool {
        now >= self.ejected_until
    }

    /// Whether the last connection came up, as far as is known.
    pub(crate) fn is_reachable(&self) -> bool {
        self.consecutive == 0
    }

    /// Counts the outcome of an attempt at the server.
    pub(crate) fn attempt_ended(&mut self, outcome: Outcome, now: Time, service_time: f64) {
        match outcome {
            Outcome::ConnectFailed => self.record_failure(now, service_time),
            Outcome::Ok => self.consecutive = 0,
            _ => {}
        }
    }

    fn record_failure(&mut self, now: Time, service_time: f64) {
        if now < self.ejected_until {
            return; // It began before the ejection: the same fault, already counted.
        }
        self.ejected_until = now.plus(ejection_time(service_time, self.consecutive));
        self.consecutive = (self.consecutive + 1).min(MAX_DOUBLINGS);
    }
}

/// How connections to each zone fare. Failure: each balancer learnt by itself for each server of a zone that was
/// cut off, and a fifth of all attempts waited for connections.
#[derive(Debug, Default)]
pub(crate) struct ZoneOutliers {
    zones: FxHashMap<u32, OutlierState>,
}

impl ZoneOutliers {
    /// Whether an attempt in this zone may begin.
    pub(crate) fn permits(&self, zone: u32, now: Time) -> bool {
        self.zones.get(&zone).is_none_or(|state| state.permits(now))
    }

    /// Whether connections to the zone have failed so often that it seems cut off.
    pub(crate) fn seems_unreachable(&self, zone: u32) -> bool {
        self.zones.get(&zone).is_some_and(OutlierState::has_failed_repeatedly)
    }

    /// Counts the beginning of an attempt in the zone.
    pub(crate) fn attempt_began(&mut self, zone: u32, now: Time) {
        self.zones.entry(zone).or_insert(OutlierState::new(now)).attempt_began();
    }

    /// Counts the end of an attempt in the zone; any answer proves that the zone can be reached.
    pub(crate) fn attempt_ended(
        &mut self,
        zone: u32,
        outcome: Outcome,
        now: Time,
        sent: Time,
        service_time: f64,
    ) {
        let state = self.zones.entry(zone).or_insert(OutlierState::new(now));
        // A list that moved the server to another zone leaves one zone with too many and one with too few.
        state.in_flight = state.in_flight.saturating_sub(1);
        match outcome {
            Outcome::ConnectFailed => {
                state.record_failure(now, sent, service_time, CONSECUTIVE_FAILURES - 1)
            }
            Outcome::Ok | Outcome::Error | Outcome::Rejected => state.record_success(),
            _ => {}
        }
    }
}
