//! Selection of a server among those with a free slot: at random or by the request's key, with a preference for fast
//! servers with few requests in flight.

use oorandom::Rand64;
use sableloom_types::{PolicySettings, Time};

use crate::capacity::Capacity;
use crate::outlier::ZoneOutliers;
use crate::request::OpenRequest;
use crate::retry::RetryRules;
use crate::server::Server;
use crate::slow_start::SlowStart;

/// The factor on the cost of a server in a remote zone, where crossing zones has a price. When local servers always
/// came first instead, a zone with more clients than servers was overloaded while other zones were idle.
const REMOTE_ZONE_COST: f64 = 100.0;
/// The smallest score of the rendezvous hash; it keeps the logarithm finite.
const MIN_SCORE: f64 = 1e-12;

/// The rank of a server for a request; the lowest is selected. Fields are compared in their order.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    /// Whether connections to the zone fail.
    zone_ejected: bool,
    /// Whether an attempt of the request already failed at the server.
    tried: bool,
    cost: f64,
}

/// The state that a selection depends on.
pub(crate) struct Selection<'a> {
    pub(crate) now: Time,
    pub(crate) settings: &'a PolicySettings,
    pub(crate) servers: &'a [Server],
    pub(crate) zones: &'a ZoneOutliers,
    pub(crate) capacity: Capacity<'a>,
    pub(crate) slow_start: &'a SlowStart,
    /// The rate of requests to a server that warms up while no warm server has answered, in requests a microsecond.
    pub(crate) initial_rate: f64,
    pub(crate) retry_rules: RetryRules<'a>,
}

impl Selection<'_> {
    /// The index of the server that the request is forwarded to; `None` if no server has a free slot for it.
    pub(crate) fn select(&self, request: &OpenRequest, rng: &mut Rand64) -> Option<usize> {
        let key = request.key.filter(|_| self.settings.key_affinity);
        let mut best: Option<(usize, Rank)> = None;
        for (index, server) in self.servers.iter().enumerate() {
            if !self.is_eligible(request, index, server) {
                continue;
            }
            let score = match key {
                Some(key) => rendezvous_score(key, server.name_hash),
                None => rng.rand_float(),
            };
            let rank = Rank {
                zone_ejected: !self.zones.permits(server.zone, self.now),
                tried: request.tried(index),
                cost: self.cost(request.class, server, score),
            };
            if best.is_none_or(|(_, least)| rank < least) {
                best = Some((index, rank));
            }
        }
        best.map(|(index, _)| index)
    }

    fn is_eligible(&self, request: &OpenRequest, index: usize, server: &Server) -> bool {
        self.has_slot(server)
            && server.outliers[request.class].permits(self.now)
            && self.retry_rules.may_forward(self.now, request, index)
    }

    fn has_slot(&self, server: &Server) -> bool {
        server.is_live()
            && server.in_flight < self.capacity.max_in_flight(server)
            && server.connect_failures.permits(self.now)
            && self.slow_start.permits(self.now, server, self.initial_rate)
    }

    /// The cost of a server by weighted rendezvous hashing. The key, or chance if there is none, determines the score
    /// of each server; the server's slowness and its requests in flight raise the cost. All balancers that observe the
    /// same speeds send a key to the same server, and a frequent key moves to other servers as that one slows down.
    fn cost(&self, class: usize, server: &Server, score: f64) -> f64 {
        let class_slowness = self.capacity.service_times.class_slowness(class, server.machine_type);
        let slowness = server.estimate.slowness() * class_slowness / server.weight;
        let crosses_zones = server.zone != self.settings.zone;
        let is_priced = self.settings.cross_zone_price > 0.0 && crosses_zones;
        let distance = if is_priced { REMOTE_ZONE_COST } else { 1.0 };
        let load = f64::from(server.in_flight + 1);
        -score.max(MIN_SCORE).ln() * slowness * slowness * load * distance
    }
}

/// The score of a server for a key, in [0, 1), which is the same at every balancer.
fn rendezvous_score(key: u64, identity: u64) -> f64 {
    let mut hash = (key ^ identity.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    hash ^= hash >> 32;
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
