//! The network: the queue of events, and what happens to each datagram.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use oorandom::Rand64;
use sableloom_types::Time;

use crate::HEADER_BYTES;
use crate::address::{address_of, host_at};
use crate::event::{Buffered, Event};
use crate::host::Host;
use crate::process::{Output, Process};

/// Bytes of an absence query: one byte with its headers.
const ABSENCE_QUERY_BYTES: usize = HEADER_BYTES + 1;
/// Bytes of the answer that no process holds the address: the headers of IP and ICMP (28 bytes), and the query (RFC
/// 1122, 3.2.2).
const ABSENT_BYTES: usize = 28 + ABSENCE_QUERY_BYTES;
/// The shortest delay of a datagram, in microseconds.
const MIN_DELAY: i64 = 200;
/// The longest delay at the start, in microseconds.
const DEFAULT_MAX_DELAY: i64 = 30_000;
/// Events of the past are dropped once so many are kept.
const MAX_PAST_EVENTS: usize = 2_000_000;

/// A network of hosts.
pub struct Network<P: Process> {
    /// Microseconds since its beginning.
    pub now: i64,
    /// The generator of all that is random.
    pub rng: Rand64,
    /// The hosts.
    pub hosts: Vec<Host<P>>,
    /// The fraction of datagrams that is lost.
    pub loss: f64,
    /// The fraction of datagrams that arrives twice.
    pub duplication: f64,
    /// The longest delay.
    pub max_delay: i64,
    /// Whether datagrams from one host (the first index) to another (the second) arrive.
    pub links: Vec<Vec<bool>>,
    /// Datagrams that were sent, absence queries among them.
    pub sent: u64,
    /// Their bytes.
    pub bytes: u64,
    last_number: u64,
    queue: BinaryHeap<Reverse<(i64, u64, usize)>>,
    events: Vec<Option<Event>>,
}

impl<P: Process> Network<P> {
    /// A network of so many hosts where no process runs; clocks are off by up to this fraction of the time.
    pub fn new(hosts: usize, seed: u64, drift: f64) -> Self {
        let mut rng = Rand64::new(u128::from(seed) + 77);
        let mut clock_rate = || 1.0 + drift * (2.0 * rng.rand_float() - 1.0);
        let all = (0..hosts).map(|number| Host::new(number, clock_rate())).collect();
        Self {
            now: 0,
            hosts: all,
            rng,
            loss: 0.0,
            duplication: 0.0,
            max_delay: DEFAULT_MAX_DELAY,
            links: vec![vec![true; hosts]; hosts],
            sent: 0,
            bytes: 0,
            last_number: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
        }
    }

    fn schedule(&mut self, at: i64, event: Event) {
        self.events.push(Some(event));
        self.last_number += 1;
        self.queue.push(Reverse((at.max(self.now), self.last_number, self.events.len() - 1)));
    }

    /// The time at a host, by its own clock.
    pub fn local_time(&self, host: usize) -> Time {
        self.hosts[host].local_time(self.now)
    }

    /// Starts a process, in the place of an earlier one if there is one. `new` is given its process incarnation, a seed
    /// and its time.
    pub fn start(&mut self, host: usize, new: impl FnOnce(u32, u64, Time) -> P) {
        self.hosts[host].process_incarnation += 1;
        let seed = self.rng.rand_u64();
        let process = new(self.hosts[host].process_incarnation, seed, self.local_time(host));
        self.hosts[host].process = Some(process);
        self.hosts[host].is_suspended = false;
        self.hosts[host].buffered.clear();
        self.call(host, |process, now, output| process.tick(now, output));
    }

    /// Ends a process without a word.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].process = None;
        self.hosts[host].is_suspended = false;
        self.hosts[host].timer_version += 1;
    }

    /// Suspends a process for so long.
    pub fn suspend(&mut self, host: usize, time: i64) {
        if self.hosts[host].process.is_some() && !self.hosts[host].is_suspended {
            self.hosts[host].is_suspended = true;
            let process_incarnation = self.hosts[host].process_incarnation;
            self.schedule(self.now + time, Event::Resume { host, process_incarnation });
        }
    }

    /// Calls a process, and sends what it returns.
    pub fn call(&mut self, host: usize, event: impl FnOnce(&mut P, Time, &mut Output<P::Change>)) {
        let now = self.local_time(host);
        let Some(process) = &mut self.hosts[host].process else { return };
        let mut output = Output::default();
        event(process, now, &mut output);
        let next = process.next_wakeup();
        self.hosts[host].timer_version += 1;
        let timer_version = self.hosts[host].timer_version;
        let at = self.hosts[host].network_time(next);
        self.schedule(at, Event::Wakeup { host, timer_version });
        let network_now = self.now;
        let changes = output.changes.into_iter().map(|change| (network_now, change));
        self.hosts[host].changes.extend(changes);
        for (to, bytes) in output.datagrams {
            let Some(to) = host_at(to) else { continue };
            self.hosts[host].traffic += (HEADER_BYTES + bytes.len()) as u64;
            for at in self.arrivals(host, to, bytes.len()) {
                self.schedule(at, Event::Datagram { to, from: host, bytes: bytes.clone() });
            }
        }
        let process_incarnation = self.hosts[host].process_incarnation;
        for to in output.absence_queries {
            let Some(to) = host_at(to) else { continue };
            self.hosts[host].traffic += ABSENCE_QUERY_BYTES as u64;
            for at in self.arrivals(host, to, 1) {
                let (from, queried) = (host, now);
                self.schedule(at, Event::AbsenceQuery { to, from, process_incarnation, queried });
            }
        }
    }

    /// When the copies of a datagram arrive, if any does.
    fn arrivals(&mut self, from: usize, to: usize, bytes: usize) -> Vec<i64> {
        self.sent += 1;
        self.bytes += bytes as u64;
        let is_lost = self.rng.rand_float() < self.loss;
        let mut copies = if is_lost || !self.links[from][to] { 0 } else { 1 };
        if copies > 0 && self.duplication > 0.0 && self.rng.rand_float() < self.duplication {
            copies += 1;
        }
        let max_delay = self.max_delay as f64;
        let mut arrival =
            || self.now + MIN_DELAY + (self.rng.rand_float().powi(4) * max_delay) as i64;
        (0..copies).map(|_| arrival()).collect()
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Wakeup { host, timer_version } => {
                let is_void = self.hosts[host].timer_version != timer_version;
                if !is_void && !self.hosts[host].is_suspended {
                    self.call(host, |process, now, output| process.tick(now, output));
                }
            }
            Event::Datagram { to, from, bytes } => self.deliver_datagram(to, from, bytes),
            Event::AbsenceQuery { to, from, process_incarnation, queried } => {
                self.hosts[to].traffic += ABSENCE_QUERY_BYTES as u64;
                // A suspended process holds its address all the same.
                if self.hosts[to].process.is_none() {
                    for at in self.arrivals(to, from, 1) {
                        let (to, absent) = (from, to);
                        let event = Event::Absent { to, process_incarnation, absent, queried };
                        self.schedule(at, event);
                    }
                }
            }
            Event::Absent { to, process_incarnation, absent, queried } => {
                self.hosts[to].traffic += ABSENT_BYTES as u64;
                // Otherwise the socket that sent the query has gone with its process.
                if self.hosts[to].process_incarnation == process_incarnation {
                    self.deliver_absent(to, absent, queried);
                }
            }
            Event::Resume { host, process_incarnation } => {
                if self.hosts[host].process_incarnation == process_incarnation {
                    self.resume(host);
                }
            }
        }
    }

    fn deliver_datagram(&mut self, to: usize, from: usize, bytes: Vec<u8>) {
        self.hosts[to].traffic += (HEADER_BYTES + bytes.len()) as u64;
        if self.hosts[to].is_suspended {
            self.hosts[to].buffer(Buffered::Datagram(from, bytes));
        } else {
            self.call(to, |process, now, output| {
                process.receive(now, address_of(from), &bytes, output);
            });
        }
    }

    fn deliver_absent(&mut self, to: usize, absent: usize, queried: Time) {
        if self.hosts[to].is_suspended {
            self.hosts[to].buffer(Buffered::Absent(absent, queried));
        } else {
            self.call(to, |process, now, output| {
                process.proved_absent(now, address_of(absent), queried, output);
            });
        }
    }

    fn resume(&mut self, host: usize) {
        if !std::mem::take(&mut self.hosts[host].is_suspended) {
            return;
        }
        let buffered = std::mem::take(&mut self.hosts[host].buffered);
        // A process that goes on may look at its clock or at its socket first.
        let clock_first = self.rng.rand_float() < 0.5;
        if clock_first {
            self.call(host, |process, now, output| process.tick(now, output));
        }
        for datagram in buffered {
            self.call(host, |process, now, output| match &datagram {
                Buffered::Datagram(from, bytes) => {
                    process.receive(now, address_of(*from), bytes, output);
                }
                Buffered::Absent(absent, queried) => {
                    process.proved_absent(now, address_of(*absent), *queried, output);
                }
            });
        }
        self.call(host, |process, now, output| process.tick(now, output));
    }

    /// Lets time pass until then. After each event, and at the end, `observe` sees the network.
    pub fn run_observed(&mut self, until: i64, mut observe: impl FnMut(&Self)) {
        while let Some(Reverse((at, _, event))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events[event].take() {
                self.happen(event);
                observe(self);
            }
        }
        self.now = until;
        observe(self);
        if self.events.iter().all(Option::is_none) || self.events.len() > MAX_PAST_EVENTS {
            self.drop_past_events();
        }
    }

    fn drop_past_events(&mut self) {
        let mut queue = BinaryHeap::new();
        let mut events = Vec::new();
        for Reverse((at, number, event)) in std::mem::take(&mut self.queue) {
            queue.push(Reverse((at, number, events.len())));
            events.push(self.events[event].take());
        }
        (self.queue, self.events) = (queue, events);
    }

    /// Lets time pass until then.
    pub fn run(&mut self, until: i64) {
        self.run_observed(until, |_| {});
    }

    /// Ends loss, duplication and partitions.
    pub fn heal(&mut self) {
        self.loss = 0.0;
        self.duplication = 0.0;
        self.links.iter_mut().flatten().for_each(|link| *link = true);
    }
}
