//! The handle of a subscription that runs.

use std::rc::Rc;

use sableloom_distribution::{ServiceName, Subscriber, SubscriberOptions};
use tokio::task::spawn_local;

use crate::applier::Applier;
use crate::link::Traffic;
use crate::options::SubscriptionOptions;
use crate::restore::restore;
use crate::shared::Shared;
use crate::state_writer::StateWriter;
use crate::status::{StateOrigin, SubscriptionStatus};
use crate::task::SubscriptionTask;

/// A subscription that runs. Its task goes on for as long as the `LocalSet` that it was started on.
pub struct Subscription {
    shared: Rc<Shared>,
}

impl Subscription {
    /// Puts the last good state in force, if there is one, and starts to subscribe; it must be called on a `LocalSet`.
    pub fn start(options: SubscriptionOptions, applier: Rc<dyn Applier>) -> Rc<Self> {
        let saved_state = restore(&options, &*applier);
        let origin = saved_state.as_ref().map(|_| StateOrigin::File);
        let subscriber = Subscriber::new(SubscriberOptions {
            saved_state,
            timing: options.timing,
            ..SubscriberOptions::new(
                options.name.clone(),
                options.control_machines.len(),
                options.scope,
                options.seed,
            )
        });
        let shared = Shared::start(subscriber, applier, options.control_machines, origin);
        let writer = options.state_file.map(|path| StateWriter::new(path, options.name));
        spawn_local(SubscriptionTask::new(shared.clone(), writer).run());
        Rc::new(Self { shared })
    }

    /// Waits until there is a state: from the file at once, otherwise as soon as a control machine has sent all of it.
    pub async fn wait_for_state(&self) -> StateOrigin {
        self.shared.wait_for_origin().await
    }

    /// Subscribes to these services from now on. Services that left the scope are forgotten here; the caller takes them
    /// out of force.
    pub fn set_scope(&self, scope: Vec<ServiceName>) {
        let now = self.shared.now();
        self.shared.call_outside_task(now, |subscriber, _, out| subscriber.set_scope(scope, out));
    }

    /// Its status. The work grows with the number of services.
    pub fn status(&self) -> SubscriptionStatus {
        self.shared.status()
    }

    /// The bytes exchanged with control machines.
    pub fn traffic(&self) -> Traffic {
        self.shared.traffic.get()
    }
}
