//! When a request may be written completely on a connection that carried another one just before. No I/O, no clock.
//!
//! A server may answer a request twice, the second time some milliseconds late. Nothing in HTTP/1.1 tells a duplicate
//! answer from the answer to the next request on that connection. So it is caught while the connection is idle, or while
//! the last byte of the next request is held back: no server answers a request that it has not seen completely.

use std::cell::Cell;
use std::time::Duration;

use sableloom_types::Idempotency;
use tokio::time::Instant;

/// For this time after an answer a duplicate is waited for. Failure: duplicate answers 4 ms late were passed on as the
/// answers to the next requests. A longer time costs throughput where servers have queues: an eighth with 5 ms, a third
/// with 10 ms.
pub(crate) const DUPLICATE_ANSWER_WAIT: Duration = Duration::from_millis(5);
/// How long the last byte of a request that must not be executed twice is held back on any reused connection, so that a
/// connection that its server closes at the first byte breaks before the request is complete.
const CLOSE_DETECTION_HOLD: Duration = Duration::from_millis(3);
/// Of idempotent requests at most one in this many is held back, unless duplicate answers come: each would pay for the
/// hold where a server gets one request after the other without a pause.
const HOLD_ONE_IN: u32 = 200;
/// This many may be held back in a row before that bound applies.
const MAX_HOLD_BURST: u32 = 4;
/// Bytes that come this long after an answer, or later, are no duplicate answer: some servers say why they close.
const DUPLICATE_ANSWER_WINDOW: Duration = Duration::from_millis(100);
/// For this time after a duplicate answer each idempotent request is held back.
const ALERT_TIME: Duration = Duration::from_secs(60);

/// What the servers of one pool have shown, and how many holds may still be spent. Its size is fixed.
pub(crate) struct ReuseGuard {
    /// Idempotent requests counted towards holds: each hold takes [`HOLD_ONE_IN`].
    credit: Cell<u32>,
    /// When the last duplicate answer came.
    last_duplicate: Cell<Option<Instant>>,
}

impl ReuseGuard {
    pub(crate) fn new() -> Self {
        Self { credit: Cell::new(HOLD_ONE_IN * MAX_HOLD_BURST), last_duplicate: Cell::new(None) }
    }

    /// Bytes came on a connection that has carried no request for this time since its last answer.
    pub(crate) fn unsolicited_bytes(&self, now: Instant, idle_time: Duration) {
        if idle_time < DUPLICATE_ANSWER_WINDOW {
            self.last_duplicate.set(Some(now));
        }
    }

    /// How long the last byte of a request is held back on a connection that was idle for this time.
    pub(crate) fn last_byte_hold(
        &self,
        now: Instant,
        idle_time: Duration,
        idempotency: Idempotency,
    ) -> Option<Duration> {
        let remaining_wait = DUPLICATE_ANSWER_WAIT.saturating_sub(idle_time);
        let hold = match idempotency {
            Idempotency::Keyed | Idempotency::NonIdempotent => {
                CLOSE_DETECTION_HOLD.max(remaining_wait)
            }
            Idempotency::Idempotent if self.may_hold(now, !remaining_wait.is_zero()) => {
                remaining_wait
            }
            Idempotency::Idempotent => Duration::ZERO,
        };
        (!hold.is_zero()).then_some(hold)
    }

    /// Counts an idempotent request, and says whether it may be held back if it has to.
    fn may_hold(&self, now: Instant, has_to: bool) -> bool {
        let credit = self.credit.get().saturating_add(1).min(HOLD_ONE_IN * MAX_HOLD_BURST);
        self.credit.set(credit);
        if !has_to {
            return false;
        }
        let alert = |last| now.saturating_duration_since(last) < ALERT_TIME;
        if self.last_duplicate.get().is_some_and(alert) {
            return true;
        }
        let left = credit.checked_sub(HOLD_ONE_IN);
        self.credit.set(left.unwrap_or(credit));
        left.is_some()
    }
}

#[cfg(test)]
mod tests;
