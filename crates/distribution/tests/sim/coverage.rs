//! What all schedules together have exercised, by name and count.

use std::collections::BTreeMap;

use sableloom_distribution::{
    CloseReason, CodecError, DisconnectReason, PublisherCounters, PublisherViolation,
    SubscriberCounters, SubscriberEvent,
};

/// What all schedules together have exercised.
#[derive(Default, Debug)]
pub(crate) struct Coverage {
    pub(crate) publisher: PublisherCounters,
    pub(crate) subscriber: SubscriberCounters,
    pub(crate) occurrences: BTreeMap<String, u64>,
    pub(crate) events: u64,
}

/// The name of a reason; of malformed frames by the kind of error alone.
pub(crate) fn close_reason_name(reason: CloseReason) -> String {
    match reason {
        CloseReason::Malformed(error) => format!("control: garbage, {}", codec_error_name(error)),
        reason => format!("control: {reason}"),
    }
}

fn codec_error_name(error: CodecError) -> &'static str {
    match error {
        CodecError::TooLong(_) => "too long",
        CodecError::Empty => "empty",
        CodecError::Version(_) => "version",
        CodecError::Malformed => "no message",
        CodecError::Overflow => "overflow",
    }
}

pub(crate) fn disconnect_reason_name(reason: &DisconnectReason) -> String {
    let name = match reason {
        DisconnectReason::ConnectFailed(_) => "connect failed",
        DisconnectReason::Lost(_) => "lost",
        DisconnectReason::Silent => "silent",
        DisconnectReason::Refused(_) => "refused",
        DisconnectReason::Behind(_) => "behind",
        DisconnectReason::Diverged(_) => "diverged",
        DisconnectReason::Violation(PublisherViolation::Malformed(CodecError::Overflow)) => {
            "overflow"
        }
        DisconnectReason::Violation(PublisherViolation::Malformed(_)) => "garbage",
        DisconnectReason::Violation(violation) => return format!("subscriber: {violation}"),
        DisconnectReason::TooLarge => "too large",
    };
    format!("subscriber: {name}")
}

pub(crate) fn event_name(event: &SubscriberEvent) -> &'static str {
    match event {
        SubscriberEvent::Connected { .. } => "event: connected",
        SubscriberEvent::Disconnected { .. } => "event: disconnected",
        SubscriberEvent::Unreachable => "event: unreachable",
        SubscriberEvent::Current { .. } => "event: current",
        SubscriberEvent::Diverged { .. } => "event: diverged",
        SubscriberEvent::Rejected { .. } => "event: rejected",
        SubscriberEvent::Mismatch { .. } => "event: mismatch",
        SubscriberEvent::Drift { .. } => "event: drift",
        SubscriberEvent::SavedStateDamaged { .. } => "event: saved state damaged",
    }
}

pub(crate) fn add_publisher_counters(total: &mut PublisherCounters, added: PublisherCounters) {
    total.sessions += added.sessions;
    total.refused += added.refused;
    total.transactions += added.transactions;
    total.snapshots += added.snapshots;
    total.split_groups += added.split_groups;
    total.merged_changes += added.merged_changes;
    total.acks += added.acks;
    total.rejections += added.rejections;
    total.mismatches += added.mismatches;
    total.stalled += added.stalled;
    total.unacknowledged += added.unacknowledged;
    total.silent += added.silent;
    total.violations += added.violations;
}

pub(crate) fn add_subscriber_counters(total: &mut SubscriberCounters, added: SubscriberCounters) {
    total.applied += added.applied;
    total.snapshots += added.snapshots;
    total.rejected += added.rejected;
    total.mismatches += added.mismatches;
    total.drifts += added.drifts;
    total.diverged += added.diverged;
    total.behind += added.behind;
    total.violations += added.violations;
}
