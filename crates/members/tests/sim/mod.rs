//! A net of members in simulated time: delay, loss, cuts one way or both, stops, crashes, clocks that
//! drift. One seed makes all of it.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;

use oorandom::Rand64;
use sableloom_members::{Change, Fleet, Key, Listed, Out, Times, key_of};
use sableloom_types::Time;

pub const MS: i64 = 1000;
pub const S: i64 = 1000 * MS;
/// Datagrams that wait for a process that is stopped; more are lost, as in a socket's buffer.
const BUFFER: usize = 300;

pub enum Event {
    Wake { of: usize, version: u64 },
    Comes { to: usize, from: usize, bytes: Vec<u8> },
    Thaw(usize),
}

pub struct Node {
    pub fleet: Option<Fleet>,
    pub stopped: bool,
    waiting: Vec<(usize, Vec<u8>)>,
    /// Its clock's rate, and how far it is ahead.
    rate: f64,
    version: u64,
    pub life: u32,
    pub changes: Vec<(i64, Change)>,
}

pub struct Sim {
    pub now: i64,
    pub rng: Rand64,
    pub nodes: Vec<Node>,
    pub loss: f64,
    /// Whether what this one sends to that one arrives.
    pub open: Vec<Vec<bool>>,
    pub sent: u64,
    pub bytes: u64,
    keys: HashMap<Key, usize>,
    times: Times,
    seq: u64,
    queue: BinaryHeap<Reverse<(i64, u64, usize)>>,
    events: Vec<Option<Event>>,
}

pub fn name(i: usize) -> String {
    format!("balancer-{}", i + 1)
}

pub fn key(i: usize) -> Key {
    key_of(&name(i))
}

pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (i / 250) as u8, (i % 250) as u8 + 1], 7000))
}

pub fn listed(n: usize) -> Vec<Listed> {
    (0..n).map(|i| Listed { name: name(i), address: address(i) }).collect()
}

impl Sim {
    pub fn new(n: usize, seed: u64, drift: f64) -> Self {
        let mut rng = Rand64::new(u128::from(seed) + 77);
        let nodes = (0..n).map(|_| Node {
            fleet: None,
            stopped: false,
            waiting: Vec::new(),
            rate: 1.0 + drift * (2.0 * rng.rand_float() - 1.0),
            version: 0,
            life: 100,
            changes: Vec::new(),
        });
        Self {
            now: 0,
            nodes: nodes.collect(),
            rng,
            loss: 0.0,
            open: vec![vec![true; n]; n],
            sent: 0,
            bytes: 0,
            keys: (0..n).map(|i| (key(i), i)).collect(),
            times: Times::default(),
            seq: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
        }
    }

    fn at(&mut self, at: i64, event: Event) {
        self.events.push(Some(event));
        self.seq += 1;
        self.queue.push(Reverse((at.max(self.now), self.seq, self.events.len() - 1)));
    }

    fn local(&self, i: usize) -> Time {
        Time((self.now as f64 * self.nodes[i].rate) as i64 + i as i64 * 1_000_000_007)
    }

    fn global(&self, i: usize, at: Time) -> i64 {
        ((at.0 - i as i64 * 1_000_000_007) as f64 / self.nodes[i].rate).ceil() as i64
    }

    /// Its process starts, after an earlier one with this many names on its list.
    pub fn start(&mut self, i: usize, of: usize) {
        self.nodes[i].life += 1;
        let seed = self.rng.rand_u64();
        let (now, life) = (self.local(i), self.nodes[i].life);
        let fleet = Fleet::new("points", &name(i), life, &listed(of), self.times, seed, now);
        self.nodes[i].fleet = Some(fleet);
        self.nodes[i].stopped = false;
        self.nodes[i].waiting.clear();
        self.call(i, |fleet, now, out| fleet.tick(now, out));
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i].fleet = None;
        self.nodes[i].version += 1;
    }

    pub fn stop(&mut self, i: usize, time: i64) {
        if self.nodes[i].fleet.is_some() && !self.nodes[i].stopped {
            self.nodes[i].stopped = true;
            self.at(self.now + time, Event::Thaw(i));
        }
    }

    pub fn call(&mut self, i: usize, what: impl FnOnce(&mut Fleet, Time, &mut Out)) {
        let now = self.local(i);
        let Some(fleet) = &mut self.nodes[i].fleet else { return };
        let mut out = Out::default();
        what(fleet, now, &mut out);
        let next = fleet.next();
        self.nodes[i].version += 1;
        let version = self.nodes[i].version;
        let at = self.global(i, next);
        self.at(at, Event::Wake { of: i, version });
        let moment = self.now;
        self.nodes[i].changes.extend(out.changes.into_iter().map(|change| (moment, change)));
        for (to, bytes) in out.datagrams {
            assert!(bytes.len() <= sableloom_members::MOST, "{} bytes", bytes.len());
            self.sent += 1;
            self.bytes += bytes.len() as u64;
            let SocketAddr::V4(to) = to else { continue };
            let [.., high, low] = to.ip().octets();
            let to = usize::from(high) * 250 + usize::from(low) - 1;
            let lost = self.rng.rand_float() < self.loss;
            let delay = 200 + (self.rng.rand_float().powi(4) * 30_000.0) as i64;
            if !lost && self.open[i][to] {
                self.at(self.now + delay, Event::Comes { to, from: i, bytes });
            }
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Wake { of, version } => {
                if self.nodes[of].version == version && !self.nodes[of].stopped {
                    self.call(of, |fleet, now, out| fleet.tick(now, out));
                }
            }
            Event::Comes { to, from, bytes } => {
                if self.nodes[to].stopped {
                    if self.nodes[to].waiting.len() < BUFFER {
                        self.nodes[to].waiting.push((from, bytes));
                    }
                } else {
                    self.call(to, |f, now, out| f.datagram(now, address(from), &bytes, out));
                }
            }
            Event::Thaw(i) => {
                if !std::mem::take(&mut self.nodes[i].stopped) {
                    return;
                }
                let waiting = std::mem::take(&mut self.nodes[i].waiting);
                // A process that goes on may look at its clock or at its socket first.
                let clock_first = self.rng.rand_float() < 0.5;
                if clock_first {
                    self.call(i, |fleet, now, out| fleet.tick(now, out));
                }
                for (from, bytes) in waiting {
                    self.call(i, |f, now, out| f.datagram(now, address(from), &bytes, out));
                }
                self.call(i, |fleet, now, out| fleet.tick(now, out));
            }
        }
    }

    pub fn run(&mut self, until: i64) {
        while let Some(Reverse((at, _, event))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events[event].take() {
                self.happen(event);
            }
        }
        self.now = until;
        if self.events.iter().all(Option::is_none) || self.events.len() > 2_000_000 {
            // What has happened is let go of, now and then.
            let mut left = BinaryHeap::new();
            let mut events = Vec::new();
            for Reverse((at, seq, event)) in std::mem::take(&mut self.queue) {
                left.push(Reverse((at, seq, events.len())));
                events.push(self.events[event].take());
            }
            (self.queue, self.events) = (left, events);
        }
    }

    pub fn heal(&mut self) {
        self.loss = 0.0;
        self.open.iter_mut().flatten().for_each(|open| *open = true);
    }

    /// Whether all that run agree, and on what is true.
    pub fn agree(&self) -> bool {
        let running: Vec<usize> =
            (0..self.nodes.len()).filter(|i| self.nodes[*i].fleet.is_some()).collect();
        let fleets = || running.iter().filter_map(|i| self.nodes[*i].fleet.as_ref());
        let mut digests = fleets().map(Fleet::digest);
        let first = digests.next();
        let same = digests.all(|d| Some(d) == first);
        same && fleets().zip(&running).all(|(fleet, own)| {
            fleet.view().peers.iter().all(|peer| {
                let i = self.keys[&peer.key];
                i == *own || peer.health.is_there() == self.nodes[i].fleet.is_some()
            })
        })
    }

    /// Runs until all agree; how long that took, or `None` if it took longer than this.
    pub fn until_agreed(&mut self, most: i64) -> Option<i64> {
        let from = self.now;
        while self.now < from + most {
            self.run(self.now + 100 * MS);
            if self.agree() {
                return Some(self.now - from);
            }
        }
        None
    }
}
