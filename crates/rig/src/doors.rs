//! The front before the balancers, as clients meet it: which are there, as far as it has noticed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// One balancer, as the front knows it.
#[derive(Clone, Copy, Debug)]
struct Door {
    address: SocketAddr,
    /// It has listened and was not taken out.
    taken_in: bool,
    /// It died, and the front has not noticed yet if that was less than its time ago.
    died: Option<Instant>,
    /// It is out of order at this moment: killed, or stopped.
    out: Option<Instant>,
}

/// All of them, shared between the rig and its clients.
#[derive(Clone, Debug)]
pub struct Doors {
    doors: Arc<Mutex<Vec<Door>>>,
    zones: usize,
    notice: Duration,
    uneven: f64,
}

impl Doors {
    /// None of these is taken in yet.
    pub fn new(addresses: &[SocketAddr], zones: usize, notice: Duration, uneven: f64) -> Self {
        let door = |address: &SocketAddr| Door {
            address: *address,
            taken_in: false,
            died: None,
            out: None,
        };
        let doors = Arc::new(Mutex::new(addresses.iter().map(door).collect()));
        Self { doors, zones: zones.max(1), notice, uneven }
    }

    fn doors(&self) -> MutexGuard<'_, Vec<Door>> {
        // Plain values: whoever panicked left none half written.
        self.doors.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// It listens.
    pub fn open(&self, balancer: usize) {
        let door = &mut self.doors()[balancer];
        (door.taken_in, door.died, door.out) = (true, None, None);
    }

    /// It is to end as planned: nothing new goes there.
    pub fn take_out(&self, balancer: usize) {
        self.doors()[balancer].taken_in = false;
    }

    /// It was killed, or ended unasked.
    pub fn died(&self, balancer: usize) {
        let now = Instant::now();
        let door = &mut self.doors()[balancer];
        door.died.get_or_insert(now);
        door.out.get_or_insert(now);
    }

    /// It is stopped, or goes on.
    pub fn stopped(&self, balancer: usize, stopped: bool) {
        self.doors()[balancer].out = stopped.then(Instant::now);
    }

    /// Whether it is out of order now.
    pub fn is_out(&self, balancer: usize) -> bool {
        self.doors()[balancer].out.is_some()
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.doors().len()
    }

    /// Where it listens.
    pub fn address(&self, balancer: usize) -> SocketAddr {
        self.doors()[balancer].address
    }

    /// The balancer that a client of this zone is led to; not this one, if another is there. A zone
    /// without any is served by the others.
    pub fn choose(&self, zone: usize, lot: f64, not: Option<usize>) -> Option<usize> {
        let doors = self.doors();
        let seen = |d: &Door| d.taken_in && d.died.is_none_or(|at| at.elapsed() < self.notice);
        let all: Vec<usize> = (0..doors.len()).filter(|b| seen(&doors[*b])).collect();
        let near: Vec<usize> = all.iter().copied().filter(|b| b % self.zones == zone).collect();
        let mut choice = if near.is_empty() { all } else { near };
        if choice.len() > 1 {
            choice.retain(|b| Some(*b) != not);
        }
        // The first of a zone is the busiest, with so many times the mean of all.
        let first = self.uneven * (choice.len() as f64 - 1.0)
            / (choice.len() as f64 - self.uneven).max(0.1);
        let weight = |i: usize| if i == 0 && choice.len() > 1 { first } else { 1.0 };
        let sum: f64 = (0..choice.len()).map(weight).sum();
        let mut left = lot * sum;
        let found = (0..choice.len()).find(|i| {
            left -= weight(*i);
            left < 0.0
        });
        found.or(choice.len().checked_sub(1)).map(|i| choice[i])
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn doors(n: usize, zones: usize, uneven: f64) -> Doors {
        let at = SocketAddr::from(([127, 0, 0, 1], 1));
        let doors = Doors::new(&vec![at; n], zones, Duration::ZERO, uneven);
        (0..n).for_each(|b| doors.open(b));
        doors
    }

    fn shares(doors: &Doors, zone: usize, not: Option<usize>, n: usize) -> Vec<f64> {
        let mut shares = vec![0.0; n];
        for i in 0..1000 {
            if let Some(b) = doors.choose(zone, i as f64 / 1000.0, not) {
                shares[b] += 0.001;
            }
        }
        shares.iter().map(|s: &f64| (s * 100.0).round() / 100.0).collect()
    }

    #[test]
    fn clients_are_dealt_out_within_their_zone_while_it_has_one() {
        let d = doors(4, 2, 1.0);
        assert_eq!(shares(&d, 0, None, 4), [0.5, 0.0, 0.5, 0.0]);
        assert_eq!(shares(&d, 0, Some(0), 4), [0.0, 0.0, 1.0, 0.0]);
        d.died(0);
        assert!(d.is_out(0));
        assert_eq!(shares(&d, 0, None, 4), [0.0, 0.0, 1.0, 0.0]);
        assert_eq!(shares(&d, 0, Some(2), 4), [0.0, 0.0, 1.0, 0.0], "the only one");
        d.take_out(2);
        assert_eq!(shares(&d, 0, None, 4), [0.0, 0.5, 0.0, 0.5]);
        d.open(0);
        assert_eq!(shares(&d, 0, None, 4), [1.0, 0.0, 0.0, 0.0]);
        (0..4).for_each(|b| d.take_out(b));
        assert_eq!(d.choose(0, 0.5, None), None);
    }

    #[test]
    fn the_busiest_has_as_many_times_the_mean_as_is_said() {
        let d = doors(5, 1, 3.0);
        assert_eq!(shares(&d, 0, None, 5), [0.6, 0.1, 0.1, 0.1, 0.1]);
    }

    #[test]
    fn a_death_is_noticed_after_a_while() {
        let at = SocketAddr::from(([127, 0, 0, 1], 1));
        let d = Doors::new(&[at, at], 1, Duration::from_secs(3600), 1.0);
        (0..2).for_each(|b| d.open(b));
        d.died(0);
        assert_eq!(shares(&d, 0, None, 2), [0.5, 0.5]);
    }
}
