//! The rules on whether a request may be forwarded, for the first time or again, and whether it may be rejected. The
//! rules ensure that the effect of a request that is not idempotent happens at most once.

use sableloom_types::{AttemptLimits, DedupScope, Idempotency, PolicySettings, RequestClass, Time};

use crate::endpoints::ServerTable;
use crate::request::{Attempt, AttemptState, OpenRequest};
use crate::server::Place;

/// The rules on retries and the state that they depend on.
#[derive(Clone, Copy)]
pub(crate) struct RetryRules<'a> {
    limits: &'a AttemptLimits,
    classes: &'a [RequestClass],
    servers: &'a ServerTable,
}

impl<'a> RetryRules<'a> {
    /// The rules for these settings and these servers.
    pub(crate) fn new(settings: &'a PolicySettings, servers: &'a ServerTable) -> Self {
        Self { limits: &settings.limits, classes: &settings.classes, servers }
    }

    /// Whether a request may be forwarded to this server now. A keyed request may be forwarded only to a server that
    /// recognises it as a repeat of all earlier attempts that may have been executed. While the list may be outdated,
    /// another process may be at the address of any server, and only servers that all recognise repeats are certain.
    pub(crate) fn may_forward(&self, now: Time, request: &OpenRequest, server: usize) -> bool {
        let attempts_used_up = request.attempts.len() >= self.limits.max_attempts;
        if request.ended || now >= request.deadline || attempts_used_up {
            return false;
        }
        if request.in_flight() && !self.limits.hedging {
            return false;
        }
        let class = &self.classes[request.class];
        let place = self.servers.all()[server].place();
        let places_are_known = !self.servers.may_be_outdated(now);
        let is_recognised = |attempt: &Attempt| {
            now.since(attempt.sent) < class.dedup_window
                && (class.dedup_scope == DedupScope::All || places_are_known)
                && share_dedup(class.dedup_scope, attempt.place, place)
        };
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => request.never_executed(),
            Idempotency::Keyed => request
                .attempts
                .iter()
                .filter(|attempt| attempt.state != AttemptState::NotExecuted)
                .all(is_recognised),
        }
    }

    /// Whether a request may be rejected, after which its client may repeat it.
    pub(crate) fn may_reject(&self, request: &OpenRequest) -> bool {
        let class = &self.classes[request.class];
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => request.never_executed(),
            Idempotency::Keyed => class.dedup_scope == DedupScope::All || request.never_executed(),
        }
    }
}

/// Whether servers at these places drop repeats of each other's requests.
fn share_dedup(scope: DedupScope, one: Place, other: Place) -> bool {
    match scope {
        DedupScope::All => true,
        DedupScope::Zone => one.zone == other.zone,
        DedupScope::Cell => one == other,
    }
}
