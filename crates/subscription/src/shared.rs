//! The state that the handle and the task of a subscription share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sableloom_distribution::{ConnectionState, Subscriber, SubscriberEvent, SubscriberOutput};
use sableloom_types::Time;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::applier::Applier;
use crate::event_lines::describe;
use crate::link::Traffic;
use crate::status::{StateOrigin, SubscriptionStatus};

/// The state machine with its clock, the queue of outputs for the task, the applier, and the values from which the
/// status is built.
pub(crate) struct Shared {
    pub(crate) subscriber: RefCell<Subscriber>,
    pub(crate) applier: Rc<dyn Applier>,
    pub(crate) control_machines: Vec<SocketAddr>,
    /// The instant that is zero in the time of the state machine.
    epoch: Instant,
    /// The source of the first state in force; `None` until a state is in force.
    origin: Cell<Option<StateOrigin>>,
    /// Notifies the waiting calls that `origin` has been set.
    origin_set: Notify,
    /// The outputs of calls that were made outside the task. The task applies them.
    queued_outputs: RefCell<Vec<SubscriberOutput>>,
    outputs_queued: Notify,
    /// Whether it has been logged, since the last established session, that no control machine can be reached.
    unreachable_logged: Cell<bool>,
    /// The error of the last write of the state file; `None` if that write succeeded or none has finished.
    pub(crate) save_error: RefCell<Option<String>>,
    /// The longest time that one copy of the state for a write has taken on the serving thread.
    pub(crate) longest_state_copy: Cell<Duration>,
    pub(crate) traffic: Rc<Cell<Traffic>>,
}

impl Shared {
    /// Starts the state machine, and queues its first outputs for the task.
    pub(crate) fn start(
        subscriber: Subscriber,
        applier: Rc<dyn Applier>,
        control_machines: Vec<SocketAddr>,
        origin: Option<StateOrigin>,
    ) -> Rc<Self> {
        let shared = Rc::new(Self {
            subscriber: RefCell::new(subscriber),
            applier,
            control_machines,
            epoch: Instant::now(),
            origin: Cell::new(origin),
            origin_set: Notify::new(),
            queued_outputs: RefCell::default(),
            outputs_queued: Notify::new(),
            unreachable_logged: Cell::new(false),
            save_error: RefCell::default(),
            longest_state_copy: Cell::default(),
            traffic: Rc::default(),
        });
        shared.call_outside_task(Time(0), |subscriber, now, out| subscriber.start(now, out));
        shared
    }

    /// Returns the present time of the state machine, in microseconds since [`Self::start`].
    pub(crate) fn now(&self) -> Time {
        Time(self.epoch.elapsed().as_micros() as i64)
    }

    /// Converts a time of the state machine to an instant of the runtime's clock.
    pub(crate) fn instant_at(&self, time: Time) -> Instant {
        self.epoch + Duration::from_micros(time.0.max(0) as u64)
    }

    /// Calls the state machine and returns the outputs, which the task must apply.
    pub(crate) fn call(
        &self,
        call: impl FnOnce(&mut Subscriber, Time, &mut Vec<SubscriberOutput>),
    ) -> Vec<SubscriberOutput> {
        let mut outputs = Vec::new();
        call(&mut self.subscriber.borrow_mut(), self.now(), &mut outputs);
        outputs
    }

    /// Calls the state machine and queues the outputs for the task.
    pub(crate) fn call_outside_task(
        &self,
        now: Time,
        call: impl FnOnce(&mut Subscriber, Time, &mut Vec<SubscriberOutput>),
    ) {
        call(&mut self.subscriber.borrow_mut(), now, &mut self.queued_outputs.borrow_mut());
        self.outputs_queued.notify_one();
    }

    /// Waits until outputs have been queued for the task.
    pub(crate) async fn wait_for_queued_outputs(&self) {
        self.outputs_queued.notified().await;
    }

    /// Removes and returns the queued outputs.
    pub(crate) fn take_queued_outputs(&self) -> Vec<SubscriberOutput> {
        self.queued_outputs.take()
    }

    /// Logs an event of the state machine, and records the source of the first state in force.
    pub(crate) fn handle_event(&self, event: &SubscriberEvent) {
        match event {
            SubscriberEvent::Connected { .. } => self.unreachable_logged.set(false),
            SubscriberEvent::Unreachable => self.unreachable_logged.set(true),
            // Attempts may fail for hours, and the log already says that no control machine can be reached.
            SubscriberEvent::Disconnected { .. } if self.unreachable_logged.get() => return,
            SubscriberEvent::Current { .. } if self.origin.get().is_none() => {
                self.origin.set(Some(StateOrigin::ControlMachine));
                self.origin_set.notify_waiters();
            }
            _ => {}
        }
        self.applier.log(&describe(event, &self.control_machines));
    }

    /// Waits until a state is in force, and returns the source of the first one.
    pub(crate) async fn wait_for_origin(&self) -> StateOrigin {
        loop {
            if let Some(origin) = self.origin.get() {
                return origin;
            }
            self.origin_set.notified().await;
        }
    }

    pub(crate) fn status(&self) -> SubscriptionStatus {
        let subscriber = self.subscriber.borrow().status(self.now());
        let index = match subscriber.connection {
            ConnectionState::Idle | ConnectionState::Waiting { .. } => None,
            ConnectionState::Connecting { control_machine }
            | ConnectionState::Greeting { control_machine }
            | ConnectionState::Syncing { control_machine }
            | ConnectionState::Current { control_machine } => Some(control_machine),
        };
        SubscriptionStatus {
            control_machine: index.and_then(|index| self.control_machines.get(index).copied()),
            subscriber,
            origin: self.origin.get(),
            save_error: self.save_error.borrow().clone(),
            longest_state_copy: self.longest_state_copy.get(),
        }
    }
}
