//! `K_i` and `N_i`: the most requests that a server gets at once, and the requests that it answers within T_QoS.

use sableloom_types::Span;

use crate::concurrency_limit::ConcurrencyLimit;
use crate::server::Server;
use crate::service_time::ServiceTimes;

/// The load and the capacity of one server, for gauges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerGauge {
    /// Requests in flight at the server.
    pub in_flight: u32,
    /// `K_i`: the most requests that may be in flight at the server.
    pub max_in_flight: u32,
    /// `N_i`: the number of requests that the server answers within the time that the caller passed.
    pub admission_limit: f64,
}

/// Computes the capacity of servers from the estimates and the concurrency limit.
#[derive(Clone, Copy)]
pub(crate) struct Capacity<'a> {
    pub(crate) service_times: &'a ServiceTimes,
    pub(crate) limit: &'a ConcurrencyLimit,
}

impl Capacity<'_> {
    /// `K_i` in whole requests. It is at least one: without requests, the estimate of the server would never change.
    pub(crate) fn max_in_flight(&self, server: &Server) -> u32 {
        let round_trips =
            self.service_times.round_trip(server) / self.service_times.service_time(server);
        let k = round_trips + self.limit.share(server);
        (k.ceil() as u32).max(1)
    }

    /// `N_i` per microsecond of T_QoS: `L_i / (2*TP_i + TS_i)`, where `L_i` is the server's share of the limit.
    pub(crate) fn admission_rate(&self, server: &Server) -> f64 {
        let latency =
            self.service_times.round_trip(server) + self.service_times.service_time(server);
        self.limit.share(server) / latency
    }

    /// The gauge of a server, with `time` for T_QoS.
    pub(crate) fn gauge(&self, server: &Server, time: Span) -> ServerGauge {
        ServerGauge {
            in_flight: server.in_flight,
            max_in_flight: self.max_in_flight(server),
            admission_limit: self.admission_rate(server) * time.as_micros_f64(),
        }
    }
}
