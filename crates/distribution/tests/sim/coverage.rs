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
    pub(crate) reasons: BTreeMap<String, u64>,
    pub(crate) events: u64,
}

/// The name of a reason; of malformed frames by the kind of error alone.
pub(crate) fn control_reason_name(reason: CloseReason) -> String {
    match reason {
        CloseReason::Malformed(error) => format!("control: garbage, {}", codec_error_name(error)),
        reason => format!("control: {reason}"),
    }
}

fn codec_error_name(error: CodecError) -> &'static str {
    match error {
        CodecError::TooLong(_) => "too long",
        CodecError::Empty => "empty",
        CodecError::UnsupportedVersion(_) => "version",
        CodecError::Malformed => "no message",
        CodecError::Overflow => "overflow",
    }
}

pub(crate) fn reason_name(reason: &DisconnectReason) -> String {
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
        DisconnectReason::TransactionTooLarge => "too large",
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

pub(crate) fn add_publisher(sum: &mut PublisherCounters, more: PublisherCounters) {
    sum.sessions += more.sessions;
    sum.refused += more.refused;
    sum.transactions += more.transactions;
    sum.snapshots += more.snapshots;
    sum.split_groups += more.split_groups;
    sum.merged_changes += more.merged_changes;
    sum.acks += more.acks;
    sum.rejections += more.rejections;
    sum.mismatches += more.mismatches;
    sum.stalled += more.stalled;
    sum.unacknowledged += more.unacknowledged;
    sum.silent += more.silent;
    sum.violations += more.violations;
}

pub(crate) fn add_subscriber(sum: &mut SubscriberCounters, more: SubscriberCounters) {
    sum.applied += more.applied;
    sum.snapshots += more.snapshots;
    sum.rejected += more.rejected;
    sum.mismatches += more.mismatches;
    sum.drifts += more.drifts;
    sum.diverged += more.diverged;
    sum.behind += more.behind;
    sum.violations += more.violations;
}
