//! The status that a subscription reports.

use std::net::SocketAddr;
use std::time::Duration;

use sableloom_distribution::SubscriberStatus;

/// The source of the first state in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateOrigin {
    /// The state file of an earlier process.
    File,
    /// A control machine.
    ControlMachine,
}

/// The status that a subscription reports.
#[derive(Clone, Debug)]
pub struct SubscriptionStatus {
    /// The status of the protocol's state machine.
    pub subscriber: SubscriberStatus,
    /// The address of the control machine that the subscription is connected or connecting to; `None` if there is no
    /// such connection.
    pub control_machine: Option<SocketAddr>,
    /// The source of the first state in force; `None` until a state is in force.
    pub origin: Option<StateOrigin>,
    /// The error of the last write of the state file; `None` if that write succeeded or none has finished.
    pub save_error: Option<String>,
    /// The longest time for which one copy of the state, made for a write, has occupied the serving thread. The time
    /// grows with the number of resources in force, whose names and bodies are shared and not copied.
    pub longest_state_copy: Duration,
}
