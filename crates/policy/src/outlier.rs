//! Outlier detection: consecutive failures of a class eject a server for that class, failed connections eject a server
//! for all classes, and consecutive failed connections in a zone eject the zone.

use rustc_hash::FxHashMap;
use sableloom_types::{Outcome, Span, Time};

/// The number of consecutive failures of one class at one server after which the server is ejected for the class, and
/// then probed with one request at a time until one is served.
const CONSECUTIVE_FAILURES: u32 = 2;
/// The ejection time after the first failure that counts, as a share of the mean service time. Each further failure
/// doubles it.
const EJECTION_FRACTION_OF_SERVICE_TIME: f64 = 0.5;
/// The largest number of doublings of the ejection time: a dead server is probed about every thirty service times.
const MAX_DOUBLINGS: u32 = 6;

/// The ejection time after this many doublings, for a mean service time in microseconds.
fn ejection_time(service_time: f64, doublings: u32) -> Span {
    let factor = f64::from(1 << doublings);
    Span::from_micros_f64(service_time * EJECTION_FRACTION_OF_SERVICE_TIME * factor)
}

/// The consecutive failures of one class at a server, or of the connections to a zone.
///
/// Ejection is by class, since a server may fail, reject or delay only some of the work. With ejection for all classes,
/// when six servers of ten rejected one class after 95 ms, all classes paused at these servers, then as many requests
/// were forwarded there again, and half of the attempts of the rejected class ended there. Failures that are
/// consecutive by chance leave the server idle for one ejection time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutlierState {
    /// The number of consecutive failures. Failures during an ejection, or of attempts sent before it ended, do not
    /// count.
    consecutive_failures: u32,
    ejected_until: Time,
    in_flight: u32,
}

impl OutlierState {
    pub(crate) fn new(now: Time) -> Self {
        Self { consecutive_failures: 0, ejected_until: now, in_flight: 0 }
    }

    /// Whether an attempt may begin: there is no ejection, or a probe is due and no attempt is in flight.
    pub(crate) fn permits(&self, now: Time) -> bool {
        now >= self.ejected_until && (!self.has_failed_repeatedly() || self.in_flight == 0)
    }

    /// Whether the class or the zone is ejected, or probed after an ejection.
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

    /// Counts a failure of an attempt sent at `sent`. The first `tolerated` consecutive failures cause no ejection.
    /// `service_time` is the mean, in microseconds.
    fn record_failure(&mut self, now: Time, sent: Time, service_time: f64, tolerated: u32) {
        let sent_before_ejection_ended = self.has_failed_repeatedly() && sent < self.ejected_until;
        if now < self.ejected_until || sent_before_ejection_ended {
            return; // The fault that led to the ejection is already counted.
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

    /// Counts the end of an attempt of the class at the server. A rejection ejects at once; an error, a reset or a
    /// timeout ejects only after another failure.
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

/// The consecutive failed connections to one server.
///
/// Without ejection, the servers of an unreachable zone, which stay on the list for long, were tried every few
/// milliseconds by every balancer, and most attempts of all balancers ended there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectFailures {
    consecutive: u32,
    ejected_until: Time,
}

impl ConnectFailures {
    pub(crate) fn new(now: Time) -> Self {
        Self { consecutive: 0, ejected_until: now }
    }

    /// Whether a connection may be attempted.
    pub(crate) fn permits(&self, now: Time) -> bool {
        now >= self.ejected_until
    }

    /// Whether no connection has failed since the last request that was served.
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
            return; // The attempt began before the ejection, and the fault is already counted.
        }
        self.ejected_until = now.plus(ejection_time(service_time, self.consecutive));
        self.consecutive = (self.consecutive + 1).min(MAX_DOUBLINGS);
    }
}

/// The consecutive failed connections to each zone. When only servers were ejected, each balancer had to detect every
/// server of an unreachable zone separately, and a fifth of all attempts waited for connections.
#[derive(Debug, Default)]
pub(crate) struct ZoneOutliers {
    zones: FxHashMap<u32, OutlierState>,
}

impl ZoneOutliers {
    /// Whether an attempt in this zone may begin.
    pub(crate) fn permits(&self, zone: u32, now: Time) -> bool {
        self.zones.get(&zone).is_none_or(|state| state.permits(now))
    }

    /// Whether so many consecutive connections to the zone have failed that it seems unreachable.
    pub(crate) fn seems_unreachable(&self, zone: u32) -> bool {
        self.zones.get(&zone).is_some_and(OutlierState::has_failed_repeatedly)
    }

    /// Counts the beginning of an attempt in the zone.
    pub(crate) fn attempt_began(&mut self, zone: u32, now: Time) {
        self.zones.entry(zone).or_insert(OutlierState::new(now)).attempt_began();
    }

    /// Counts the end of an attempt in the zone. Any answer shows that the zone can be reached.
    pub(crate) fn attempt_ended(
        &mut self,
        zone: u32,
        outcome: Outcome,
        now: Time,
        sent: Time,
        service_time: f64,
    ) {
        let state = self.zones.entry(zone).or_insert(OutlierState::new(now));
        // If a list moves a server to another zone, the count of one zone becomes too high, that of the other too low.
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
