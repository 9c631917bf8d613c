//! Estimates of the round-trip time `2*TP` and the service time `TS` by server, machine kind and class.
//!
//! Service times are kept as slowness: latency over the mean of all servers for the same class. A server's own
//! mean is drawn towards that of its kind, the more so the fewer answers it rests on (Buhlmann's credibility, the
//! variance within servers over that between them). Failure: with one or two answers of a server a day, a quarter
//! of the attempts at the smallest servers failed.

use sableloom_types::{Outcome, Span};

use crate::mean::Mean;
use crate::server::Server;
use crate::service_time_estimate::{MAX_SLOWNESS, Prior};

/// What is known of a kind, or of all servers, counts as this many answers of the level below it at most.
const MAX_PRIOR_ANSWERS: f64 = 4.0;
/// And as this many at least, however far the servers of a kind differ.
const MIN_PRIOR_ANSWERS: f64 = 0.5;
/// Answers from which a server's own mean shows how far the servers of its kind differ.
const MIN_ANSWERS_FOR_SPREAD: f64 = 4.0;
/// A timeout shows only that the answer would have taken longer: it counts as this many times as long.
const TIMEOUT_LATENCY_FACTOR: f64 = 2.0;
/// A server this many times slower than its kind is suspect: its timeouts tell of itself alone.
const MAX_TYPICAL_SLOWNESS: f64 = 2.0;
/// Weight of a new answer by which the unloaded latency rises again: what was once quick and no longer is
/// counts for about a thousand answers.
const UNLOADED_GAIN: f64 = 0.001;
/// Service time before any answer of any server, as a share of T_QoS.
const INITIAL_FRACTION_OF_TARGET: f64 = 0.25;
/// Smallest variance between the servers of a kind; keeps a quotient finite.
const MIN_VARIANCE: f64 = 1e-9;

/// What the servers of one machine kind showed.
#[derive(Debug)]
struct MachineTypeEstimate {
    /// Mean slowness over all requests.
    slowness: Mean,
    /// By class: how much slower than over all requests.
    classes: Vec<Mean>,
    /// Variance of single answers of one server.
    noise: Mean,
    /// How many answers of one server the kind counts for.
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

/// How far the servers of a kind lie from its mean: a sum of squares without the noise, and its summands.
#[derive(Clone, Copy, Debug, Default)]
struct Spread {
    sum: f64,
    servers: f64,
}

/// The estimates over all servers; times in microseconds.
#[derive(Debug)]
pub(crate) struct ServiceTimes {
    /// `TS`: mean latency of all classes.
    overall: Mean,
    /// By class: mean latency.
    classes: Vec<Mean>,
    /// By class: the least that the mean has been, which is what a request takes when it waits for no other; zero
    /// until enough answers make a mean.
    unloaded: Vec<f64>,
    /// By machine kind.
    machine_types: Vec<MachineTypeEstimate>,
    /// Mean round trip of the servers that have shown theirs.
    round_trip: f64,
}

impl ServiceTimes {
    /// Before any answer; `target` is T_QoS in microseconds.
    pub(crate) fn new(target: f64, classes: usize) -> Self {
        Self {
            overall: Mean::assumed(target * INITIAL_FRACTION_OF_TARGET),
            classes: vec![Mean::default(); classes],
            unloaded: vec![0.0; classes],
            machine_types: Vec::new(),
            round_trip: 0.0,
        }
    }

    /// Mean service time over all servers and classes.
    pub(crate) fn overall(&self) -> f64 {
        self.overall.value
    }

    /// Whether single answers no longer move the mean service time much.
    pub(crate) fn is_settled(&self) -> bool {
        self.overall.is_settled()
    }

    /// Machine kinds that have shown anything.
    pub(crate) fn machine_types(&self) -> usize {
        self.machine_types.len()
    }

    /// Mean latency of a class; zero before any answer of it.
    pub(crate) fn class_mean(&self, class: usize) -> f64 {
        self.classes[class].value
    }

    /// Latency of a class when it waits for no other; zero until enough answers have come.
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

    /// How much slower than at other work the servers of this kind are at this class. Failure: of two classes each
    /// quick on another kind, either was sent where the other was quick.
    pub(crate) fn class_slowness(&self, class: usize, machine_type: u32) -> f64 {
        self.machine_types
            .get(machine_type as usize)
            .map_or(1.0, |estimate| estimate.classes[class].value)
    }

    /// Whether a timeout of this server may tell of all servers: it is not much slower than its kind.
    pub(crate) fn is_typical(&self, server: &Server) -> bool {
        server.estimate.slowness()
            <= self.prior(server.machine_type).slowness * MAX_TYPICAL_SLOWNESS
    }

    /// Takes in a timeout of a typical server, after this long.
    pub(crate) fn observe_timeout(&mut self, class: usize, machine_type: u32, latency: f64) {
        self.observe_machine_type(class, machine_type, latency * TIMEOUT_LATENCY_FACTOR);
    }

    /// Takes in the latency of a served request.
    pub(crate) fn observe_served(&mut self, class: usize, machine_type: u32, latency: f64) {
        self.observe_class(class, latency);
        self.observe_machine_type(class, machine_type, latency);
    }

    /// Takes the end of an attempt into the estimate of its server.
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

    /// Mean latency of a class, or of all classes before any answer of it.
    fn mean_or_overall(&self, class: usize) -> f64 {
        let mean = self.classes[class].value;
        if mean > 0.0 { mean } else { self.overall.value }
    }

    fn prior(&self, machine_type: u32) -> Prior {
        let unknown = Prior { slowness: 1.0, answers: MAX_PRIOR_ANSWERS };
        self.machine_types.get(machine_type as usize).map_or(unknown, MachineTypeEstimate::prior)
    }

    /// Brings what is known of each server together with what is known of its kind. Observations fade over the
    /// time of a slow start: what a server was that long ago tells little of what it is.
    pub(crate) fn refresh(&mut self, servers: &mut [Server], elapsed: Span, slow_start: Span) {
        let remaining = (-elapsed.as_micros_f64() / slow_start.as_micros_f64().max(1.0)).exp();
        let mut spreads = vec![Spread::default(); self.machine_types.len()];
        for server in servers.iter_mut() {
            server.estimate.decay(remaining);
            let own = server.estimate.own_mean();
            let estimate = self.machine_types.get(server.machine_type as usize);
            if let Some(estimate) = estimate.filter(|_| own.count >= MIN_ANSWERS_FOR_SPREAD) {
                let spread = &mut spreads[server.machine_type as usize];
                let deviation = own.value - estimate.slowness.value;
                spread.sum += deviation.powi(2) - estimate.noise.value / own.count;
                spread.servers += 1.0;
            }
        }
        for (estimate, spread) in self.machine_types.iter_mut().zip(spreads) {
            let credible = match spread.servers > 0.0 {
                true => estimate.noise.value / (spread.sum / spread.servers).max(MIN_VARIANCE),
                false => f64::MAX,
            };
            estimate.prior_answers = credible.clamp(MIN_PRIOR_ANSWERS, MAX_PRIOR_ANSWERS);
        }
        for server in servers {
            let prior = self.prior(server.machine_type);
            server.estimate.shrink(prior);
        }
    }

    /// Brings the mean round trip up to date.
    pub(crate) fn refresh_round_trip(&mut self, servers: &[Server]) {
        let observed = || servers.iter().filter_map(|server| server.estimate.round_trip());
        if observed().next().is_some() {
            self.round_trip = observed().sum::<f64>() / observed().count() as f64;
        }
    }
}
