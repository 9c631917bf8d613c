//! The handle of a running subscription.

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

/// The handle of a running subscription. The task of the subscription runs for as long as the `LocalSet` on which
/// [`Self::start`] was called, even if the handle is dropped.
pub struct Subscription {
    shared: Rc<Shared>,
}

impl Subscription {
    /// Puts the saved state in force, if there is a usable state file, and starts the task that subscribes.
    ///
    /// # Panics
    ///
    /// Panics if it is called outside a `LocalSet`.
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

    /// Waits until a state is in force, and returns the source of the first one. A state restored from the state file
    /// is in force at once; otherwise the call waits until a control machine has sent the whole state of the scope.
    pub async fn wait_for_state(&self) -> StateOrigin {
        self.shared.wait_for_origin().await
    }

    /// Replaces the set of services whose configuration is subscribed to. The subscription drops its state of services
    /// that are no longer in the scope; the caller takes these services out of force.
    pub fn set_scope(&self, scope: Vec<ServiceName>) {
        let now = self.shared.now();
        self.shared.call_outside_task(now, |subscriber, _, out| subscriber.set_scope(scope, out));
    }

    /// Returns the status. The time that this takes grows with the number of services.
    pub fn status(&self) -> SubscriptionStatus {
        self.shared.status()
    }

    /// Returns the number of bytes exchanged with control machines since the start.
    pub fn traffic(&self) -> Traffic {
        self.shared.traffic.get()
    }
}
