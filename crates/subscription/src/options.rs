//! The options with which a subscription starts.

use std::net::SocketAddr;
use std::path::PathBuf;

use sableloom_distribution::{ServiceName, SubscriberName, SubscriberTiming};

/// The options with which a [`crate::Subscription`] starts.
#[derive(Clone, Debug)]
pub struct SubscriptionOptions {
    /// The name that the subscriber sends to control machines and writes to the state file.
    pub name: SubscriberName,
    /// The addresses of the control machines. All of them distribute the same configuration, so one connection
    /// suffices.
    pub control_machines: Vec<SocketAddr>,
    /// The services whose configuration is subscribed to.
    pub scope: Vec<ServiceName>,
    /// The path of the file for the last good state; `None` if the state is not saved.
    pub state_file: Option<PathBuf>,
    /// The seed of the random delays. It must differ between balancers, so that they do not reconnect at the same time.
    pub seed: u64,
    /// The delays, intervals and timeouts of the connection.
    pub timing: SubscriberTiming,
}
