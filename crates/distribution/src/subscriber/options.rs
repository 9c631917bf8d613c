//! The configuration of a subscriber.

use sableloom_types::Span;

use super::saved_state::SavedState;
use crate::name::{ServiceName, SubscriberName};

/// The configuration of a subscriber.
#[derive(Clone, Debug)]
pub struct SubscriberOptions {
    /// The subscriber's name.
    pub name: SubscriberName,
    /// The number of control machines, which are numbered from 0.
    pub control_machine_count: usize,
    /// The services that it subscribes to.
    pub scope: Vec<ServiceName>,
    /// The seed of its random choices: of control machines and of delays. It must differ between balancers.
    pub seed: u64,
    /// The state that was saved before, if any. A service that is not in scope or whose digest is wrong is dropped.
    pub saved_state: Option<SavedState>,
    /// Delays, intervals and timeouts.
    pub timing: SubscriberTiming,
    /// The most bytes of one transaction that are buffered, by estimate. Default 5 MiB, above the publisher's 4 MiB.
    pub max_transaction_bytes: usize,
}

impl SubscriberOptions {
    /// The defaults, with no saved state.
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
    /// The limit of the random delay before the first connection. Default 0.2 s.
    pub first_delay_max: Span,
    /// The limit of the random delay before a reconnection, after a first failure. Default 1 s.
    pub backoff_base: Span,
    /// The limit doubles with each consecutive failure up to this. Default 4 s: with a resume that stays below the 6 s
    /// within which a change must be applied once a control machine can be reached again.
    pub backoff_max: Span,
    /// The interval of pings. Default 1 s.
    pub ping_interval: Span,
    /// A connection is closed if no message comes for this time. Default 4 s.
    pub silence_timeout: Span,
    /// The interval at which the digest of one service after the other is recomputed. Default 1 s.
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
