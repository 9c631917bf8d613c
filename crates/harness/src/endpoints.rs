//! The balancers as clients see them, through a front that notices failures with a delay.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// One balancer, as the front knows it.
#[derive(Clone, Copy, Debug)]
struct Endpoint {
    address: SocketAddr,
    /// It has listened, and was not withdrawn.
    in_rotation: bool,
    /// When it failed; the front notices this only after the detection delay.
    failed_at: Option<Instant>,
    /// Since when it cannot answer: killed, or stopped.
    unavailable_since: Option<Instant>,
}

/// All balancers, shared between the play and its clients.
#[derive(Clone, Debug)]
pub(crate) struct Endpoints {
    endpoints: Arc<Mutex<Vec<Endpoint>>>,
    zones: usize,
    detection_delay: Duration,
    uneven: f64,
}

impl Endpoints {
    /// All balancers, none of them in rotation yet.
    pub(crate) fn new(
        addresses: &[SocketAddr],
        zones: usize,
        detection_delay: Duration,
        uneven: f64,
    ) -> Self {
        let endpoint = |address: &SocketAddr| Endpoint {
            address: *address,
            in_rotation: false,
            failed_at: None,
            unavailable_since: None,
        };
        let endpoints = Arc::new(Mutex::new(addresses.iter().map(endpoint).collect()));
        Self { endpoints, zones: zones.max(1), detection_delay, uneven }
    }

    fn endpoints(&self) -> MutexGuard<'_, Vec<Endpoint>> {
        // Plain values: a panic while the lock was held left none half written.
        self.endpoints.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// It listens: takes it into rotation.
    pub(crate) fn mark_listening(&self, balancer: usize) {
        let endpoint = &mut self.endpoints()[balancer];
        (endpoint.in_rotation, endpoint.failed_at, endpoint.unavailable_since) = (true, None, None);
    }

    /// Takes it out of rotation before a planned end: new requests go elsewhere.
    pub(crate) fn withdraw(&self, balancer: usize) {
        self.endpoints()[balancer].in_rotation = false;
    }

    /// It was killed, or crashed.
    pub(crate) fn mark_failed(&self, balancer: usize) {
        let now = Instant::now();
        let endpoint = &mut self.endpoints()[balancer];
        endpoint.failed_at.get_or_insert(now);
        endpoint.unavailable_since.get_or_insert(now);
    }

    /// It was stopped by a signal, or continues.
    pub(crate) fn set_paused(&self, balancer: usize, paused: bool) {
        self.endpoints()[balancer].unavailable_since = paused.then(Instant::now);
    }

    /// Whether it cannot answer now.
    pub(crate) fn is_unavailable(&self, balancer: usize) -> bool {
        self.endpoints()[balancer].unavailable_since.is_some()
    }

    /// The number of balancers.
    pub(crate) fn count(&self) -> usize {
        self.endpoints().len()
    }

    /// The address of a balancer.
    pub(crate) fn address(&self, balancer: usize) -> SocketAddr {
        self.endpoints()[balancer].address
    }

    /// Chooses a balancer for a client of this zone by a uniform draw from 0 to 1. `exclude` is avoided if
    /// another one is there. A zone without balancers is served by the others.
    pub(crate) fn choose(&self, zone: usize, draw: f64, exclude: Option<usize>) -> Option<usize> {
        let endpoints = self.endpoints();
        let visible = |d: &Endpoint| {
            d.in_rotation && d.failed_at.is_none_or(|at| at.elapsed() < self.detection_delay)
        };
        let all: Vec<usize> = (0..endpoints.len()).filter(|b| visible(&endpoints[*b])).collect();
        let near: Vec<usize> = all.iter().copied().filter(|b| b % self.zones == zone).collect();
        let mut choice = if near.is_empty() { all } else { near };
        if choice.len() > 1 {
            choice.retain(|b| Some(*b) != exclude);
        }
        // The first balancer of a zone gets `uneven` times the mean traffic.
        let first = self.uneven * (choice.len() as f64 - 1.0)
            / (choice.len() as f64 - self.uneven).max(0.1);
        let weight = |i: usize| if i == 0 && choice.len() > 1 { first } else { 1.0 };
        let sum: f64 = (0..choice.len()).map(weight).sum();
        let mut left = draw * sum;
        let found = (0..choice.len()).find(|i| {
            left -= weight(*i);
            left < 0.0
        });
        found.or(choice.len().checked_sub(1)).map(|i| choice[i])
    }
}

#[cfg(test)]
mod tests;
