//! When a request may leave whole on a connection that carried another one just before. No I/O, no clock.
//!
//! A server may answer a request twice, the second time some milliseconds late. Nothing in HTTP/1.1 tells a second
//! answer from the answer to the next request on that connection, so it is caught while the connection rests, or
//! while the next request's last byte is kept back: no server answers a request that it has not seen whole.

use std::cell::Cell;
use std::time::Duration;

use sableloom_types::Idempotency;
use tokio::time::Instant;

/// For so long after an answer it is waited for whether another one comes. Failure: second answers 4 ms late were
/// passed on as the answers to the next requests. Longer costs throughput where servers have queues: an eighth
/// with 5 ms, a third with 10 ms.
pub(crate) const RESTED: Duration = Duration::from_millis(5);
/// How long the last byte of what must not run twice is kept back on any connection that was used before, so that
/// one that its server ends at the first byte breaks before the request is whole.
const PROOF: Duration = Duration::from_millis(3);
/// Safe requests wait for a connection to rest at most once in so many, unless second answers come: waiting is
/// the price of all of them where a server is asked without a pause.
const WAIT_ONE_IN: u32 = 200;
/// So many may wait in a row before that bound holds.
const WAITS_AHEAD: u32 = 4;
/// Bytes that come so long after an answer, or later, are no second answer: some servers say why they close.
const SECOND_WITHIN: Duration = Duration::from_millis(100);
/// For so long after a second answer each safe request waits for its connection to rest.
const WARY_FOR: Duration = Duration::from_secs(60);

/// What one pool's servers have shown, and what may still be spent on waiting. Its size is fixed.
pub(crate) struct ReuseGuard {
    /// Safe requests counted towards waits: each wait takes [`WAIT_ONE_IN`].
    credit: Cell<u32>,
    /// When a second answer came last.
    second_answer: Cell<Option<Instant>>,
}

impl ReuseGuard {
    pub(crate) fn new() -> Self {
        Self { credit: Cell::new(WAIT_ONE_IN * WAITS_AHEAD), second_answer: Cell::new(None) }
    }

    /// Bytes came on a connection that has carried no request since its last answer, so long ago.
    pub(crate) fn unasked(&self, now: Instant, rested: Duration) {
        if rested < SECOND_WITHIN {
            self.second_answer.set(Some(now));
        }
    }

    /// How long the last byte of a request is kept back on a connection that has rested for so long.
    pub(crate) fn hold(
        &self,
        now: Instant,
        rested: Duration,
        idempotency: Idempotency,
    ) -> Option<Duration> {
        let to_rest = RESTED.saturating_sub(rested);
        let hold = match idempotency {
            Idempotency::Keyed | Idempotency::NonIdempotent => PROOF.max(to_rest),
            Idempotency::Idempotent if self.may_wait(now, !to_rest.is_zero()) => to_rest,
            Idempotency::Idempotent => Duration::ZERO,
        };
        (!hold.is_zero()).then_some(hold)
    }

    /// Counts a safe request; whether it may wait, if it has to.
    fn may_wait(&self, now: Instant, has_to: bool) -> bool {
        let credit = self.credit.get().saturating_add(1).min(WAIT_ONE_IN * WAITS_AHEAD);
        self.credit.set(credit);
        if !has_to {
            return false;
        }
        let wary = |came| now.saturating_duration_since(came) < WARY_FOR;
        if self.second_answer.get().is_some_and(wary) {
            return true;
        }
        let left = credit.checked_sub(WAIT_ONE_IN);
        self.credit.set(left.unwrap_or(credit));
        left.is_some()
    }
}

#[cfg(test)]
mod tests;
