//! The counts of what the schedules have exercised.

use std::collections::BTreeMap;

use sableloom_distribution::{
    CloseReason, CodecError, DisconnectReason, PublisherCounters, PublisherViolation,
    SubscriberCounters, SubscriberEvent,
};

/// The counts of what one or more schedules have exercised.
#[derive(Default, Debug)]
pub(crate) struct Coverage {
    pub(crate) publisher: PublisherCounters,
    pub(crate) subscriber: SubscriberCounters,
    /// The number of connections closed for each reason and of subscriber events of each kind, by the name of the
    /// reason or the kind.
    pub(crate) occurrences: BTreeMap<String, u64>,
    /// The number of simulated events.
    pub(crate) events: u64,
}

/// Returns the name under which a publisher's close reason is counted. All malformed frames with the same kind of error
/// have one name.
pub(crate) fn close_reason_name(reason: CloseReason) -> String {
    match reason {
        CloseReason::Malformed(error) => {
            format!("control: malformed frame, {}", codec_error_name(error))
        }
        reason => format!("control: {reason}"),
    }
}

/// Returns the kind of a codec error.
fn codec_error_name(error: CodecError) -> &'static str {
    match error {
        CodecError::TooLong(_) => "too long",
        CodecError::Empty => "empty",
        CodecError::UnsupportedVersion(_) => "version",
        CodecError::Malformed => "undecodable",
        CodecError::Overflow => "overflow",
    }
}

/// Returns the name under which a subscriber's reason to close a connection is counted.
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
        DisconnectReason::Violation(PublisherViolation::Malformed(_)) => "malformed frame",
        DisconnectReason::Violation(violation) => return format!("subscriber: {violation}"),
        DisconnectReason::TransactionTooLarge => "too large",
    };
    format!("subscriber: {name}")
}

/// Returns the name under which a subscriber's event is counted.
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

/// Adds the counters of a publisher to a total.
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

/// Adds the counters of a subscriber to a total.
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
