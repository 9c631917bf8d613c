//! The slots in use. An attempt that timed out keeps its slot for a while, since its server may still execute it.

use sableloom_types::{Span, Time};

use crate::server::Server;

/// How long an attempt that timed out keeps its slot, as a multiple of its timeout. The server may still execute it,
/// and if the slot were freed at once, the server would get more work than its slots allow.
const ABANDONED_SLOT_TIMEOUTS: f64 = 1.0;

/// A timed-out attempt that its server may still execute.
#[derive(Clone, Copy, Debug)]
struct AbandonedAttempt {
    /// When its slot is freed.
    until: Time,
    /// The index of its server.
    server: usize,
}

/// The slots in use, at all servers together and at each.
#[derive(Debug, Default)]
pub(crate) struct InFlight {
    total: usize,
    abandoned: Vec<AbandonedAttempt>,
}

impl InFlight {
    /// The number of slots in use at all servers together.
    pub(crate) fn total(&self) -> usize {
        self.total
    }

    /// Takes a slot at a server.
    pub(crate) fn begin(&mut self, server: &mut Server) {
        self.total += 1;
        server.in_flight += 1;
    }

    /// Frees the slot of an attempt that has ended.
    pub(crate) fn end(&mut self, server: &mut Server) {
        self.total -= 1;
        server.in_flight -= 1;
    }

    /// Keeps the slot of an attempt that timed out after `latency` microseconds, for [`ABANDONED_SLOT_TIMEOUTS`].
    pub(crate) fn abandon(&mut self, now: Time, server: usize, latency: f64) {
        let kept = Span::from_micros_f64(latency * ABANDONED_SLOT_TIMEOUTS);
        self.abandoned.push(AbandonedAttempt { until: now.plus(kept), server });
    }

    /// Frees the slots of the timed-out attempts that have kept them long enough.
    pub(crate) fn release_abandoned(&mut self, now: Time, servers: &mut [Server]) {
        let total = &mut self.total;
        self.abandoned.retain(|attempt| {
            if attempt.until > now {
                return true;
            }
            servers[attempt.server].in_flight -= 1;
            *total -= 1;
            false
        });
    }
}
