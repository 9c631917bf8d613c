//! The configuration of a subscriber.

use sableloom_types::Span;

use super::saved_state::SavedState;
use crate::name::{ServiceName, SubscriberName};

/// The configuration of a subscriber.
#[derive(Clone, Debug)]
pub struct SubscriberOptions {
    /// The name by which control machines list the subscriber in their status.
    pub name: SubscriberName,
    /// The number of control machines. In outputs and events they are numbered from 0.
    pub control_machine_count: usize,
    /// The services to subscribe to.
    pub scope: Vec<ServiceName>,
    /// The seed of the random choices of control machines and of delays. It must differ between balancers,
    /// because equal seeds give equal choices.
    pub seed: u64,
    /// The state that a previous process saved, if there is one. Services that are not in scope or whose digest is
    /// wrong are not restored.
    pub saved_state: Option<SavedState>,
    /// The delays, intervals and timeouts.
    pub timing: SubscriberTiming,
    /// The maximum number of bytes, by estimate, that are buffered for one transaction. The default is 5 MiB, above the
    /// publisher's limit of 4 MiB.
    pub max_transaction_bytes: usize,
}

impl SubscriberOptions {
    /// Creates options with the default timing and limit and without a saved state.
    pub fn new(
        name: SubscriberName,
        control_machine_count: usize,
        scope: Vec<ServiceName>,
        seed: u64,
    ) -> Self {
        SubscriberOptions {
            name,
            control_machine_count,
            scope,
            seed,
            saved_state: None,
            timing: SubscriberTiming::default(),
            max_transaction_bytes: 5 << 20,
        }
    }
}

/// The delays, intervals and timeouts of a subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubscriberTiming {
    /// The upper limit of the random delay before the first connection. The default is 0.2 s.
    pub first_delay_max: Span,
    /// The upper limit of the random delay before the connection that follows a first failure. The default is 1 s.
    pub backoff_base: Span,
    /// The value up to which [`Self::backoff_base`] doubles with each consecutive failure. The default is 4 s: together
    /// with the time that a resume takes, it stays below the 6 s within which a change must be applied once a control
    /// machine can be reached again.
    pub backoff_max: Span,
    /// The interval between pings. The default is 1 s.
    pub ping_interval: Span,
    /// The time after which a connection is closed if no message has been received on it. The default is 4 s.
    pub silence_timeout: Span,
    /// The interval between recomputations of a digest, each of which is for the next service. The default is 1 s.
    pub scrub_interval: Span,
}

impl Default for SubscriberTiming {
    fn default() -> Self {
        SubscriberTiming {
            first_delay_max: Span(200_000),
            backoff_base: Span(1_000_000),
            backoff_max: Span(4_000_000),
            ping_interval: Span(1_000_000),
            silence_timeout: Span(4_000_000),
            scrub_interval: Span(1_000_000),
        }
    }
}
