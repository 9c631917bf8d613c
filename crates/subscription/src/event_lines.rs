//! The log lines for the events of a subscription.

use std::net::SocketAddr;

use sableloom_distribution::{ServiceName, SubscriberEvent};

/// The maximum number of services, and of problems, that one log line lists.
const MAX_ITEMS_LISTED: usize = 8;

/// Returns the log line for an event. `control_machines` holds the address of each control machine at the index that
/// the event gives for that machine.
pub(crate) fn describe(event: &SubscriberEvent, control_machines: &[SocketAddr]) -> String {
    let address_of = |control_machine: &usize| match control_machines.get(*control_machine) {
        Some(address) => address.to_string(),
        None => format!("control machine {control_machine}"),
    };
    match event {
        SubscriberEvent::Connected { control_machine, position } => {
            format!("connected to {}, which is at {position}", address_of(control_machine))
        }
        SubscriberEvent::Disconnected { control_machine, reason } => {
            format!("no connection to {}: {reason}", address_of(control_machine))
        }
        SubscriberEvent::Unreachable => {
            "no control machine can be reached; serving on with what is in force".to_string()
        }
        SubscriberEvent::Current { position } => format!("all is in force up to {position}"),
        SubscriberEvent::Diverged { control_machine, latest_position, machine_position } => {
            format!(
                "{} has read different changes: it is at {machine_position}, but position {latest_position} was \
                 reported before; the connection is closed",
                address_of(control_machine)
            )
        }
        SubscriberEvent::Rejected { services, rejections } => format!(
            "rejected, nothing of it in force: {}: {}",
            list_services(services),
            join_limited(rejections.iter().map(ToString::to_string))
        ),
        SubscriberEvent::Mismatch { services } => {
            format!(
                "changes that do not match the state in force, requested again: {}",
                list_services(services)
            )
        }
        SubscriberEvent::Drift { service } => {
            format!("{service} does not match its digest, requested again")
        }
        SubscriberEvent::SavedStateDamaged { service } => {
            format!("{service} of the saved state does not match its digest, requested again")
        }
    }
}

fn list_services(services: &[ServiceName]) -> String {
    join_limited(services.iter().map(ToString::to_string))
}

/// Joins the first [`MAX_ITEMS_LISTED`] texts, and appends the number of omitted ones.
fn join_limited(texts: impl ExactSizeIterator<Item = String>) -> String {
    let omitted = texts.len().saturating_sub(MAX_ITEMS_LISTED);
    let mut text = texts.take(MAX_ITEMS_LISTED).collect::<Vec<_>>().join("; ");
    if omitted > 0 {
        text += &format!("; and {omitted} more");
    }
    text
}
