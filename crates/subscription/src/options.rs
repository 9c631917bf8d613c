//! The options of a subscription.

use std::net::SocketAddr;
use std::path::PathBuf;

use sableloom_distribution::{ServiceName, SubscriberName, SubscriberTiming};

/// The options of a subscription.
#[derive(Clone, Debug)]
pub struct SubscriptionOptions {
    /// The name of the subscriber.
    pub name: SubscriberName,
    /// The control machines; any of them will do.
    pub control_machines: Vec<SocketAddr>,
    /// The services to subscribe to.
    pub scope: Vec<ServiceName>,
    /// The file of the last good state, if it is to be kept.
    pub state_file: Option<PathBuf>,
    /// The seed of random delays; different at every balancer, so that they do not reconnect in step.
    pub seed: u64,
    /// Delays and timeouts.
    pub timing: SubscriberTiming,
}
