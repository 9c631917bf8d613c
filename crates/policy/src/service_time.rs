//! Estimates of the round-trip time `2*TP` and the service time `TS` by server, machine type and class.
//!
//! Service times are kept as slowness: latency divided by the mean of all servers for the same class. A server's own
//! mean is shrunk towards that of its machine type, the more so the fewer answers it rests on (Bühlmann credibility:
//! the variance within servers divided by that between them). Without shrinkage, where a balancer had one or two
//! answers of a server a day, a quarter of the attempts at the smallest servers failed.

use sableloom_types::{Outcome, Span};

use crate::mean::Mean;
use crate::server::Server;
use crate::service_time_estimate::{MAX_SLOWNESS, Prior};

/// The largest number of answers that the mean of a machine type counts for in the estimate of one of its servers, and
/// that an assumed mean counts for.
const MAX_PRIOR_ANSWERS: f64 = 4.0;
/// The smallest number of answers that the mean of a machine type counts for, however far its servers differ.
const MIN_PRIOR_ANSWERS: f64 = 0.5;
/// The number of answers from which a server's own mean counts for the variance between the servers of its machine
/// type.
const MIN_ANSWERS_FOR_SPREAD: f64 = 4.0;
/// The factor on the latency of a timeout, which shows only that the answer would have taken longer.
const TIMEOUT_LATENCY_FACTOR: f64 = 2.0;
/// The largest slowness, relative to the machine type, of a server whose timeouts count for its machine type. The
/// timeouts of a slower server say nothing about the others.
const MAX_TYPICAL_SLOWNESS: f64 = 2.0;
/// The weight of a new answer by which the unloaded latency rises towards the mean: a minimum that is no longer reached
/// is forgotten over about a thousand answers.
const UNLOADED_GAIN: f64 = 0.001;
/// The service time that is assumed before any answer, as a share of T_QoS.
const INITIAL_FRACTION_OF_TARGET: f64 = 0.25;
/// The smallest variance between the servers of a machine type; it keeps the quotient finite.
const MIN_VARIANCE: f64 = 1e-9;

/// The estimates from the answers of one machine type.
#[derive(Debug)]
struct MachineTypeEstimate {
    /// The mean slowness over all requests.
    slowness: Mean,
    /// By class: the slowness relative to that over all requests.
    classes: Vec<Mean>,
    /// The variance of single answers of one server.
    noise: Mean,
    /// The number of answers of one server that the mean of the machine type counts for.
    prior_answers: f64,
}

impl MachineTypeEstimate {
    fn unknown(classes: usize) -> Self {
        Self {
            slowness: Mean::assumed(1.0),
            classes: vec![Mean::assumed(1.0); classes],
            noise: Mean::default(),
            prior_answers: MAX_PRIOR_ANSWERS,
        }
    }

    fn prior(&self) -> Prior {
        Prior { slowness: self.slowness.value, answers: self.prior_answers }
    }
}

/// The spread of the servers of a machine type around its mean, corrected for the noise of single answers.
#[derive(Clone, Copy, Debug, Default)]
struct Spread {
    /// The sum of the squared deviations, less the part that noise explains.
    sum: f64,
    /// The number of servers in the sum.
    servers: f64,
}

/// The estimates over all servers; times in microseconds.
#[derive(Debug)]
pub(crate) struct ServiceTimes {
    /// `TS`: the mean latency of all classes.
    overall: Mean,
    /// By class: the mean latency.
    classes: Vec<Mean>,
    /// By class: the recent minimum of the mean latency, which is the latency of a request that waits for no other;
    /// zero until the mean has settled.
    unloaded: Vec<f64>,
    /// The estimates by machine type.
    machine_types: Vec<MachineTypeEstimate>,
    /// The mean round trip of the servers whose round trip was observed.
    round_trip: f64,
}

impl ServiceTimes {
    /// Creates the estimates before any answer; `target` is T_QoS in microseconds.
    pub(crate) fn new(target: f64, classes: usize) -> Self {
        Self {
            overall: Mean::assumed(target * INITIAL_FRACTION_OF_TARGET),
            classes: vec![Mean::default(); classes],
            unloaded: vec![0.0; classes],
            machine_types: Vec::new(),
            round_trip: 0.0,
        }
    }

    /// The mean service time over all servers and classes.
    pub(crate) fn overall(&self) -> f64 {
        self.overall.value
    }

    /// Whether there are enough answers that a single one changes the mean service time little.
    pub(crate) fn is_settled(&self) -> bool {
        self.overall.is_settled()
    }

    /// The number of machine types with an estimate.
    pub(crate) fn machine_types(&self) -> usize {
        self.machine_types.len()
    }

    /// The mean latency of a class; zero before its first answer.
    pub(crate) fn class_mean(&self, class: usize) -> f64 {
        self.classes[class].value
    }

    /// The latency of a class without load; zero until the mean of the class has settled.
    pub(crate) fn unloaded(&self, class: usize) -> f64 {
        self.unloaded[class]
    }

    /// `TS_i` of a server.
    pub(crate) fn service_time(&self, server: &Server) -> f64 {
        self.overall.value * server.estimate.slowness()
    }

    /// `2*TP_i` of a server.
    pub(crate) fn round_trip(&self, server: &Server) -> f64 {
        server.estimate.round_trip().unwrap_or(self.round_trip)
    }

    /// The slowness of a machine type at a class, relative to its slowness over all requests. Without it, where each of
    /// two machine types was quick at one class, each class was also sent to the type that was slow at it.
    pub(crate) fn class_slowness(&self, class: usize, machine_type: u32) -> f64 {
        self.machine_types
            .get(machine_type as usize)
            .map_or(1.0, |estimate| estimate.classes[class].value)
    }

    /// Whether a timeout of this server counts for all servers, since it is not much slower than its machine type.
    pub(crate) fn is_typical(&self, server: &Server) -> bool {
        server.estimate.slowness()
            <= self.prior(server.machine_type).slowness * MAX_TYPICAL_SLOWNESS
    }

    /// Adds a timeout of a typical server after `latency`.
    pub(crate) fn observe_timeout(&mut self, class: usize, machine_type: u32, latency: f64) {
        self.observe_machine_type(class, machine_type, latency * TIMEOUT_LATENCY_FACTOR);
    }

    /// Adds the latency of a served request to the estimates of its class and machine type.
    pub(crate) fn observe_served(&mut self, class: usize, machine_type: u32, latency: f64) {
        self.observe_class(class, latency);
        self.observe_machine_type(class, machine_type, latency);
    }

    /// Adds the end of an attempt to the estimate of its server.
    pub(crate) fn observe_server(
        &mut self,
        server: &mut Server,
        class: usize,
        outcome: Outcome,
        latency: f64,
    ) {
        let mean = self.mean_or_overall(class) * self.class_slowness(class, server.machine_type);
        let prior = self.prior(server.machine_type);
        let noise = server.estimate.observe(outcome, latency, mean);
        server.estimate.shrink(prior);
        if let (Some(noise), Some(estimate)) =
            (noise, self.machine_types.get_mut(server.machine_type as usize))
        {
            estimate.noise.update(noise, 0.0);
        }
    }

    fn observe_class(&mut self, class: usize, latency: f64) {
        self.overall.update(latency, MAX_PRIOR_ANSWERS);
        let mean = &mut self.classes[class];
        mean.update(latency, 0.0);
        let unloaded = &mut self.unloaded[class];
        if *unloaded > 0.0 {
            let risen = *unloaded + (mean.value - *unloaded) * UNLOADED_GAIN;
            *unloaded = risen.min(mean.value);
        } else if mean.is_settled() {
            *unloaded = mean.value;
        }
    }

    fn observe_machine_type(&mut self, class: usize, machine_type: u32, latency: f64) {
        let slowness = (latency / self.mean_or_overall(class)).min(MAX_SLOWNESS);
        let classes = self.classes.len();
        let len = self.machine_types.len().max(machine_type as usize + 1);
        self.machine_types.resize_with(len, || MachineTypeEstimate::unknown(classes));
        let estimate = &mut self.machine_types[machine_type as usize];
        estimate.slowness.update(slowness, MAX_PRIOR_ANSWERS);
        estimate.classes[class].update(slowness / estimate.slowness.value, MAX_PRIOR_ANSWERS);
    }

    /// The mean latency of a class, or of all classes before the first answer of the class.
    fn mean_or_overall(&self, class: usize) -> f64 {
        let mean = self.classes[class].value;
        if mean > 0.0 { mean } else { self.overall.value }
    }

    fn prior(&self, machine_type: u32) -> Prior {
        let unknown = Prior { slowness: 1.0, answers: MAX_PRIOR_ANSWERS };
        self.machine_types.get(machine_type as usize).map_or(unknown, MachineTypeEstimate::prior)
    }

    /// Combines the estimate of each server with that of its machine type. The weight of observations decays over the
    /// duration of a slow start, since older ones say little about the present speed of a server.
    pub(crate) fn refresh(&mut self, servers: &mut [Server], elapsed: Span, slow_start: Span) {
        let remaining = (-elapsed.as_micros_f64() / slow_start.as_micros_f64().max(1.0)).exp();
        let mut spreads = vec![Spread::default(); self.machine_types.len()];
        for server in servers.iter_mut() {
            server.estimate.decay(remaining);
            let own = server.estimate.own_slowness();
            let estimate = self.machine_types.get(server.machine_type as usize);
            if let Some(estimate) = estimate.filter(|_| own.count >= MIN_ANSWERS_FOR_SPREAD) {
                let spread = &mut spreads[server.machine_type as usize];
                let deviation = own.value - estimate.slowness.value;
                spread.sum += deviation.powi(2) - estimate.noise.value / own.count;
                spread.servers += 1.0;
            }
        }
        for (estimate, spread) in self.machine_types.iter_mut().zip(spreads) {
            let prior_answers = match spread.servers > 0.0 {
                true => estimate.noise.value / (spread.sum / spread.servers).max(MIN_VARIANCE),
                false => f64::MAX,
            };
            estimate.prior_answers = prior_answers.clamp(MIN_PRIOR_ANSWERS, MAX_PRIOR_ANSWERS);
        }
        for server in servers {
            let prior = self.prior(server.machine_type);
            server.estimate.shrink(prior);
        }
    }

    /// Refreshes the mean round trip.
    pub(crate) fn refresh_round_trip(&mut self, servers: &[Server]) {
        let observed = || servers.iter().filter_map(|server| server.estimate.round_trip());
        if observed().next().is_some() {
            self.round_trip = observed().sum::<f64>() / observed().count() as f64;
        }
    }
}
