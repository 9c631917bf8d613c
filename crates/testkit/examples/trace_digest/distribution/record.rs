//! Writes outputs and statuses to a trace: messages as encoded bytes, everything else by number and value.

use sableloom_distribution::{
    AppendError, Change, CloseReason, CodecError, ConnectionState, DisconnectReason, NackReason,
    Position, Publisher, PublisherMessage, PublisherOutput, Refusal, Rejection, ServiceName,
    StatusQuery, Subscriber, SubscriberCounters, SubscriberEvent, SubscriberMessage,
    SubscriberOutput, Transaction, encode,
};
use sableloom_types::Time;

use crate::trace::Trace;

pub(super) fn publisher_output(trace: &mut Trace, output: &PublisherOutput) {
    match output {
        PublisherOutput::Send { session, frame } => {
            trace.integer(1);
            trace.integer(session.0 as i64);
            trace.bytes(frame);
        }
        PublisherOutput::Close { session, reason } => {
            trace.integer(2);
            trace.integer(session.0 as i64);
            trace.integer(close_reason(*reason));
        }
    }
}

pub(super) fn subscriber_output(trace: &mut Trace, output: &SubscriberOutput) {
    match output {
        SubscriberOutput::Connect { control_machine } => {
            trace.integer(3);
            trace.integer(*control_machine as i64);
        }
        SubscriberOutput::Send(message) => {
            trace.integer(4);
            trace.bytes(&encode(message));
        }
        SubscriberOutput::Close { reason } => {
            trace.integer(5);
            disconnect_reason(trace, reason);
        }
        SubscriberOutput::Apply(transaction) => {
            trace.integer(6);
            self::transaction(trace, transaction);
        }
        SubscriberOutput::Event(event) => {
            trace.integer(7);
            self::event(trace, event);
        }
        SubscriberOutput::Save => trace.integer(8),
    }
}

pub(super) fn change(trace: &mut Trace, change: &Change) {
    let message = PublisherMessage::Changes { transaction: 0, changes: vec![change.clone()] };
    trace.bytes(&encode(&message));
}

pub(super) fn append_error(error: &AppendError) -> i64 {
    match error {
        AppendError::OutOfSequence { .. } => 1,
        AppendError::EpochRegression { .. } => 2,
        AppendError::VersionMismatch { .. } => 3,
        AppendError::DuplicateChange(_) => 4,
        AppendError::UnknownResource(_) => 5,
        AppendError::UnknownService(_) => 6,
        AppendError::ResourceTooLarge(_) => 7,
        AppendError::ServiceTooLarge { .. } => 8,
        AppendError::TooManyServices(_) => 9,
        AppendError::ChangeTooLarge { .. } => 10,
    }
}

/// The status of a publisher by page, its counters and its bounds.
pub(super) fn publisher(trace: &mut Trace, publisher: &Publisher, now: Time) {
    let queries = [
        StatusQuery::Sessions { from: 0 },
        StatusQuery::Services { after: None },
        StatusQuery::Machine,
    ];
    for query in queries {
        let page = publisher.status_page(now, &query);
        trace.bytes(&encode(&PublisherMessage::Status(page)));
    }
    let counters = publisher.counters();
    for counter in [
        counters.sessions,
        counters.refused,
        counters.transactions,
        counters.snapshots,
        counters.split_groups,
        counters.merged_changes,
        counters.frames,
        counters.bytes,
        counters.acks,
        counters.rejections,
        counters.mismatches,
        counters.stalled,
        counters.unacknowledged,
        counters.closed,
        counters.silent,
        counters.violations,
    ] {
        trace.integer(counter as i64);
    }
}

pub(super) fn subscriber(trace: &mut Trace, subscriber: &Subscriber, now: Time) {
    let status = subscriber.status(now);
    connection(trace, &status.connection);
    position(trace, status.position);
    position(trace, status.bookmark);
    trace.integer(status.last_contact_age.map_or(-1, |age| age.0));
    for count in [
        status.services,
        status.services_applied,
        status.resources,
        status.tenants,
        status.bytes,
        status.rejected.len(),
    ] {
        trace.integer(count as i64);
    }
    services(trace, &status.rejected);
    subscriber_counters(trace, &status.counters);
    let saved = subscriber.saved_state();
    position(trace, saved.position);
    for service in &saved.services {
        trace.bytes(service.service.as_str().as_bytes());
        for value in [i64::from(service.epoch), service.version as i64, service.digest as i64] {
            trace.integer(value);
        }
        for resource in &service.resources {
            change(trace, &Change::Set(resource.clone()));
        }
    }
}

fn subscriber_counters(trace: &mut Trace, counters: &SubscriberCounters) {
    for counter in [
        counters.connects,
        counters.sessions,
        counters.applied,
        counters.snapshots,
        counters.rejected,
        counters.mismatches,
        counters.drifts,
        counters.diverged,
        counters.behind,
        counters.violations,
    ] {
        trace.integer(counter as i64);
    }
}

fn transaction(trace: &mut Trace, transaction: &Transaction) {
    trace.integer(transaction.id as i64);
    position(trace, transaction.position);
    for update in &transaction.services {
        trace.bytes(update.service.as_str().as_bytes());
        for value in [update.version as i64, update.digest as i64, i64::from(update.snapshot)] {
            trace.integer(value);
        }
        for change in &update.changes {
            self::change(trace, change);
        }
    }
}

fn event(trace: &mut Trace, event: &SubscriberEvent) {
    match event {
        SubscriberEvent::Connected { control_machine, position: at } => {
            trace.integer(1);
            trace.integer(*control_machine as i64);
            position(trace, *at);
        }
        SubscriberEvent::Disconnected { control_machine, reason } => {
            trace.integer(2);
            trace.integer(*control_machine as i64);
            disconnect_reason(trace, reason);
        }
        SubscriberEvent::Unreachable => trace.integer(3),
        SubscriberEvent::Current { position: at } => {
            trace.integer(4);
            position(trace, *at);
        }
        SubscriberEvent::Diverged { control_machine, latest_position, machine_position } => {
            trace.integer(5);
            trace.integer(*control_machine as i64);
            position(trace, *latest_position);
            position(trace, *machine_position);
        }
        SubscriberEvent::Rejected { services: names, rejections: all } => {
            trace.integer(6);
            services(trace, names);
            rejections(trace, all);
        }
        SubscriberEvent::Mismatch { services: names } => {
            trace.integer(7);
            services(trace, names);
        }
        SubscriberEvent::Drift { service } => {
            trace.integer(8);
            trace.bytes(service.as_str().as_bytes());
        }
        SubscriberEvent::SavedStateDamaged { service } => {
            trace.integer(9);
            trace.bytes(service.as_str().as_bytes());
        }
    }
}

fn services(trace: &mut Trace, services: &[ServiceName]) {
    for service in services {
        trace.bytes(service.as_str().as_bytes());
    }
}

fn rejections(trace: &mut Trace, rejections: &[Rejection]) {
    let reason = NackReason::Rejected(rejections.to_vec());
    trace.bytes(&encode(&SubscriberMessage::Nack { transaction: 0, reason }));
}

fn position(trace: &mut Trace, position: Position) {
    for value in [i64::from(position.epoch), position.number as i64, position.chain as i64] {
        trace.integer(value);
    }
}

fn close_reason(reason: CloseReason) -> i64 {
    match reason {
        CloseReason::Refused => 1,
        CloseReason::Stalled => 2,
        CloseReason::Unacknowledged => 3,
        CloseReason::Silent => 4,
        CloseReason::Mismatch => 5,
        CloseReason::Violation(_) => 6,
        CloseReason::Malformed(error) => 10 + codec_error(error),
        CloseReason::StoreReplaced => 7,
    }
}

fn codec_error(error: CodecError) -> i64 {
    match error {
        CodecError::TooLong(_) => 1,
        CodecError::Empty => 2,
        CodecError::UnsupportedVersion(_) => 3,
        CodecError::Malformed => 4,
        CodecError::Overflow => 5,
    }
}

fn disconnect_reason(trace: &mut Trace, reason: &DisconnectReason) {
    match reason {
        DisconnectReason::ConnectFailed(_) => trace.integer(1),
        DisconnectReason::Lost(_) => trace.integer(2),
        DisconnectReason::Silent => trace.integer(3),
        DisconnectReason::Refused(refusal) => {
            trace.integer(4);
            let message = PublisherMessage::Refused(Refusal::clone(refusal));
            trace.bytes(&encode(&message));
        }
        DisconnectReason::Behind(at) => {
            trace.integer(5);
            position(trace, *at);
        }
        DisconnectReason::Diverged(at) => {
            trace.integer(6);
            position(trace, *at);
        }
        DisconnectReason::Violation(_) => trace.integer(7),
        DisconnectReason::TransactionTooLarge => trace.integer(8),
    }
}

fn connection(trace: &mut Trace, connection: &ConnectionState) {
    let (number, value) = match connection {
        ConnectionState::Idle => (1, 0),
        ConnectionState::Waiting { until } => (2, until.0),
        ConnectionState::Connecting { control_machine } => (3, *control_machine as i64),
        ConnectionState::Greeting { control_machine } => (4, *control_machine as i64),
        ConnectionState::Syncing { control_machine } => (5, *control_machine as i64),
        ConnectionState::Current { control_machine } => (6, *control_machine as i64),
    };
    trace.integer(number);
    trace.integer(value);
}
