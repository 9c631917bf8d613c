//! `K_i` and `N_i`: how many requests one server gets at once, and how many it answers within T_QoS.

use sableloom_types::Span;

use crate::concurrency_limit::ConcurrencyLimit;
use crate::server::Server;
use crate::service_time::ServiceTimes;

/// One server's use and capacity, for gauges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerGauge {
    /// Requests in flight at the server.
    pub in_flight: u32,
    /// `K_i`: the most requests in flight.
    pub max_in_flight: u32,
    /// `N_i`: the requests that it answers within the time that was asked for.
    pub admission_limit: f64,
}

/// The capacity of servers as the estimates and the concurrency limit give it.
#[derive(Clone, Copy)]
pub(crate) struct Capacity<'a> {
    pub(crate) service_times: &'a ServiceTimes,
    pub(crate) limit: &'a ConcurrencyLimit,
}

impl Capacity<'_> {
    /// `K_i` in whole requests; one at least, or the server's estimate would never update.
    pub(crate) fn max_in_flight(&self, server: &Server) -> u32 {
        let round_trips =
            self.service_times.round_trip(server) / self.service_times.service_time(server);
        let k = round_trips + self.limit.share(server);
        (k.ceil() as u32).max(1)
    }

    /// `N_i` per microsecond: `L_i / (2*TP_i + TS_i)`.
    pub(crate) fn admission_rate(&self, server: &Server) -> f64 {
        let latency =
            self.service_times.round_trip(server) + self.service_times.service_time(server);
        self.limit.share(server) / latency
    }

    /// The gauge of a server, with `N_i` within `time`.
    pub(crate) fn gauge(&self, server: &Server, time: Span) -> ServerGauge {
        ServerGauge {
            in_flight: server.in_flight,
            max_in_flight: self.max_in_flight(server),
            admission_limit: self.admission_rate(server) * time.as_micros_f64(),
        }
    }
}
