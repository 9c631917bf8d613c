//! What the policy keeps of one server.

use sableloom_types::{Endpoint, EndpointStatus, ServerId, Time};

use crate::outlier::{ConnectFailures, OutlierState};
use crate::service_time_estimate::ServiceTimeEstimate;
use crate::token_bucket::TokenBucket;

/// Highest machine kind that is distinguished; guards against a table that grows with a wrong index.
const MAX_KIND: u32 = 255;

/// A server of the endpoint list, with what was observed of it.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) zone: u32,
    pub(crate) kind: u32,
    pub(crate) cell: u32,
    pub(crate) status: EndpointStatus,
    /// Relative size.
    pub(crate) weight: f64,
    /// When it last started, if it may still be warming up.
    pub(crate) started: Option<Time>,
    /// A hash of its name that is the same at every balancer.
    pub(crate) name_hash: u64,
    /// Slots in use.
    pub(crate) in_flight: u32,
    pub(crate) connect_failures: ConnectFailures,
    /// By class.
    pub(crate) outliers: Vec<OutlierState>,
    pub(crate) estimate: ServiceTimeEstimate,
    /// Share of its capacity that can be used now, 0 to 1.
    pub(crate) presence: f64,
    /// Requests that it may still get while it warms up.
    pub(crate) slow_start_tokens: TokenBucket,
}

impl Server {
    /// A server that was just listed and of which nothing has been observed.
    pub(crate) fn new(endpoint: &Endpoint, classes: usize, now: Time) -> Self {
        Self {
            id: endpoint.id,
            zone: endpoint.zone,
            kind: endpoint.machine_type,
            cell: endpoint.cell,
            status: endpoint.status,
            weight: 1.0,
            started: None,
            name_hash: endpoint.name_hash,
            in_flight: 0,
            connect_failures: ConnectFailures::none(now),
            outliers: vec![OutlierState::new(now); classes],
            estimate: ServiceTimeEstimate::UNKNOWN,
            presence: 0.0,
            slow_start_tokens: TokenBucket::holding(0.0, now),
        }
    }

    /// Takes over what the list says. A server that has started anew begins with `initial_tokens`, and its
    /// former answers tell nothing.
    pub(crate) fn update(&mut self, endpoint: &Endpoint, initial_tokens: f64, now: Time) {
        if self.started != endpoint.started && endpoint.started.is_some() {
            self.slow_start_tokens = TokenBucket::holding(initial_tokens, now);
            self.estimate.forget_observations();
        }
        self.zone = endpoint.zone;
        self.kind = endpoint.machine_type.min(MAX_KIND);
        self.cell = endpoint.cell;
        self.status = endpoint.status;
        self.started = endpoint.started;
        let usable = endpoint.weight > 0.0 && endpoint.weight.is_finite();
        self.weight = if usable { endpoint.weight } else { 1.0 };
    }

    /// Whether the list has it take requests.
    pub(crate) fn is_live(&self) -> bool {
        self.status == EndpointStatus::Live
    }

    /// Its present speed over that of the mean server.
    pub(crate) fn speed(&self) -> f64 {
        self.presence * self.weight / self.estimate.slowness()
    }
}
