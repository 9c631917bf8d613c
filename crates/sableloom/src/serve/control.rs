//! The subscription of a site with a `[control]` section.

use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;

use sableloom_distribution::{ConnectionState, SubscriberTiming};
use sableloom_site_config::Control;
use sableloom_subscription::{StateOrigin, Subscription, SubscriptionOptions};
use sableloom_types::settings::stable_hash;
use serde_json::{Value, json};

use super::applier::ControlApplier;
use super::pools::PoolContext;
use super::routing::Router;

/// Most rejected services that the status lists.
const MAX_REJECTED_LISTED: usize = 16;

/// A subscription, and the applier that puts its transactions in force.
#[derive(Clone)]
pub(super) struct ControlPlane {
    subscription: Rc<Subscription>,
    applier: Rc<ControlApplier>,
}

impl ControlPlane {
    /// Puts the last good state in force, if there is one, and subscribes.
    pub(super) fn start(control: &Control, router: &Rc<Router>, context: &Rc<PoolContext>) -> Self {
        let applier = Rc::new(ControlApplier {
            router: router.clone(),
            context: context.clone(),
            unapplied_limits_logged: Cell::new(false),
        });
        applier.set_scope(&control.services);
        let folder = context.path.parent().unwrap_or(Path::new(""));
        let options = SubscriptionOptions {
            name: control.subscriber.clone(),
            control_machines: control.machines.clone(),
            scope: control.services.clone(),
            state_file: control.state_file.as_ref().map(|file| folder.join(file)),
            seed: stable_hash(control.subscriber.as_str())
                ^ u64::from(std::process::id()).rotate_left(32),
            timing: SubscriberTiming::default(),
        };
        let subscription = Subscription::start(options, applier.clone());
        Self { subscription, applier }
    }

    /// Waits for a first state, and returns where it came from.
    pub(super) async fn wait_for_state(&self) -> &'static str {
        match self.subscription.wait_for_state().await {
            StateOrigin::File => "the last good state in its file",
            StateOrigin::ControlMachine => "a control machine",
        }
    }

    /// Whether there is a state.
    pub(super) fn has_state(&self) -> bool {
        self.subscription.status().origin.is_some()
    }

    /// Sets the services that the balancer serves.
    pub(super) fn set_scope(&self, control: &Control) {
        self.applier.set_scope(&control.services);
        self.subscription.set_scope(control.services.clone());
    }

    /// The status as JSON. Its keys are an interface: programs of operators read them.
    pub(super) fn status(&self) -> Value {
        let status = self.subscription.status();
        let subscriber = &status.subscriber;
        let rejected: Vec<&str> = subscriber
            .rejected
            .iter()
            .take(MAX_REJECTED_LISTED)
            .map(|name| name.as_str())
            .collect();
        let counters = &subscriber.counters;
        json!({
            "machine": status.control_machine.map(|machine| machine.to_string()),
            "connection": connection_word(&subscriber.connection),
            "seen": subscriber.position.to_string(),
            "in_force": subscriber.bookmark.to_string(),
            "number": subscriber.bookmark.number,
            "age_ms": subscriber.last_contact_age.map(|age| age.0 / 1000),
            "from": status.origin.map(|origin| match origin {
                StateOrigin::File => "file",
                StateOrigin::ControlMachine => "control",
            }),
            "services": subscriber.services,
            "services_held": subscriber.services_applied,
            "resources": subscriber.resources,
            "tenants": subscriber.tenants,
            "bytes": subscriber.bytes,
            "rejected": rejected,
            "rejected_transactions": counters.rejected,
            "transactions": counters.applied,
            "snapshots": counters.snapshots,
            "mismatches": counters.mismatches,
            "drifts": counters.drifts,
            "save_error": status.save_error,
            "longest_save_us": status.longest_state_copy.as_micros() as u64,
        })
    }
}

/// The word of the status for the state of the connection.
fn connection_word(connection: &ConnectionState) -> &'static str {
    match connection {
        ConnectionState::Idle => "idle",
        ConnectionState::Waiting { .. } => "waiting",
        ConnectionState::Connecting { .. } => "connecting",
        ConnectionState::Greeting { .. } => "greeting",
        ConnectionState::Syncing { .. } => "syncing",
        ConnectionState::Current { .. } => "current",
    }
}
