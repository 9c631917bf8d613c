//! The status of a subscription.

use std::net::SocketAddr;
use std::time::Duration;

use sableloom_distribution::SubscriberStatus;

/// Where the first state in force came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateOrigin {
    /// From the state file of an earlier process.
    File,
    /// From a control machine.
    ControlMachine,
}

/// The status of a subscription.
#[derive(Clone, Debug)]
pub struct SubscriptionStatus {
    /// The status of its state machine.
    pub subscriber: SubscriberStatus,
    /// The control machine that it is connected or connecting to.
    pub control_machine: Option<SocketAddr>,
    /// Where the first state came from; `None` until there is one.
    pub origin: Option<StateOrigin>,
    /// Why the last write of the state file failed, if it did.
    pub save_error: Option<String>,
    /// The longest time that the serving thread has spent on handing over a state to be written. It grows with the
    /// number of resources in force, whose names and bodies are shared and not copied.
    pub longest_state_copy: Duration,
}
