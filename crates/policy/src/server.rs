//! The state that the policy keeps for one server.

use sableloom_types::{Endpoint, EndpointStatus, ServerId, Time};

use crate::outlier::{ConnectFailures, OutlierState};
use crate::service_time_estimate::ServiceTimeEstimate;
use crate::token_bucket::TokenBucket;

/// The highest machine type that is distinguished. It bounds the tables by machine type if a list has a wrong index.
const MAX_MACHINE_TYPE: u32 = 255;

/// Where a server is, which determines the servers that drop repeats of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) zone: u32,
    /// The cell within the zone.
    pub(crate) cell: u32,
}

/// A server of the endpoint list, and the observations of it.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) id: ServerId,
    pub(crate) zone: u32,
    pub(crate) machine_type: u32,
    pub(crate) cell: u32,
    pub(crate) status: EndpointStatus,
    /// The relative size.
    pub(crate) weight: f64,
    /// When the server last started, if it may still be warming up.
    pub(crate) started: Option<Time>,
    /// A hash of the server's name that is the same at every balancer.
    pub(crate) name_hash: u64,
    /// The number of slots in use.
    pub(crate) in_flight: u32,
    pub(crate) connect_failures: ConnectFailures,
    /// By class: the consecutive failures and the ejection.
    pub(crate) outliers: Vec<OutlierState>,
    pub(crate) estimate: ServiceTimeEstimate,
    /// The share of the server's capacity that is usable now, 0 to 1.
    pub(crate) usable_share: f64,
    /// The requests that the server may get while it warms up.
    pub(crate) slow_start_tokens: TokenBucket,
}

impl Server {
    /// Creates the state of a server that was just listed, without observations.
    pub(crate) fn new(endpoint: &Endpoint, classes: usize, now: Time) -> Self {
        Self {
            id: endpoint.id,
            zone: endpoint.zone,
            machine_type: endpoint.machine_type,
            cell: endpoint.cell,
            status: endpoint.status,
            weight: 1.0,
            started: None,
            name_hash: endpoint.name_hash,
            in_flight: 0,
            connect_failures: ConnectFailures::new(now),
            outliers: vec![OutlierState::new(now); classes],
            estimate: ServiceTimeEstimate::UNKNOWN,
            usable_share: 0.0,
            slow_start_tokens: TokenBucket::with_tokens(0.0, now),
        }
    }

    /// Applies an entry of the list. A server that has restarted begins with `initial_tokens`, and the observations
    /// from before the restart are discarded.
    pub(crate) fn update(&mut self, endpoint: &Endpoint, initial_tokens: f64, now: Time) {
        if self.started != endpoint.started && endpoint.started.is_some() {
            self.slow_start_tokens = TokenBucket::with_tokens(initial_tokens, now);
            self.estimate.discard_observations();
        }
        self.zone = endpoint.zone;
        self.machine_type = endpoint.machine_type.min(MAX_MACHINE_TYPE);
        self.cell = endpoint.cell;
        self.status = endpoint.status;
        self.started = endpoint.started;
        let is_valid = endpoint.weight > 0.0 && endpoint.weight.is_finite();
        self.weight = if is_valid { endpoint.weight } else { 1.0 };
    }

    /// Where the server is according to the list.
    pub(crate) fn place(&self) -> Place {
        Place { zone: self.zone, cell: self.cell }
    }

    /// Whether the server takes requests according to the list.
    pub(crate) fn is_live(&self) -> bool {
        self.status == EndpointStatus::Live
    }

    /// The present speed of the server, relative to the mean of all servers.
    pub(crate) fn speed(&self) -> f64 {
        self.usable_share * self.weight / self.estimate.slowness()
    }
}
