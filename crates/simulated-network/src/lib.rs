//! A net of processes in simulated time: delay, loss, cuts one way or both, datagrams that come twice,
//! stops, crashes, clocks that drift. One seed makes all of it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use oorandom::Rand64;
use sableloom_types::Time;

/// A millisecond.
pub const MS: i64 = 1000;
/// A second.
pub const S: i64 = 1000 * MS;
/// What UDP and IPv4 add to a datagram, in bytes.
pub const HEADERS: usize = 28;
/// A question whether any process holds an address: one byte with its headers.
const QUESTION: usize = HEADERS + 1;
/// A system's answer that none does: the headers of IP and ICMP (28 bytes), and the question (RFC 1122, 3.2.2).
const REFUSAL: usize = 28 + QUESTION;
/// Datagrams that wait for a process that is stopped; more are lost, as in a socket's buffer.
const BUFFER: usize = 300;

/// What a process has to be done for it.
#[derive(Clone, Debug)]
pub struct Sent<C> {
    /// Datagrams, and where to.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Addresses at which it asks whether any process holds them.
    pub knocks: Vec<SocketAddr>,
    /// What else it says, for the test.
    pub changes: Vec<C>,
}

impl<C> Default for Sent<C> {
    fn default() -> Self {
        Self { datagrams: Vec::new(), knocks: Vec::new(), changes: Vec::new() }
    }
}

/// A process of the net: events and its own clock in, datagrams out.
pub trait Process {
    /// What else it says.
    type Change;

    /// A datagram has come.
    fn datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8], out: &mut Sent<Self::Change>);

    /// No process held this address when it asked, at this time of its own.
    fn refused(
        &mut self,
        _now: Time,
        _at: SocketAddr,
        _asked: Time,
        _out: &mut Sent<Self::Change>,
    ) {
    }

    /// It is time.
    fn tick(&mut self, now: Time, out: &mut Sent<Self::Change>);

    /// When it is to be called next.
    fn next(&self) -> Time;
}

enum Event {
    Wake { of: usize, version: u64 },
    Comes { to: usize, from: usize, bytes: Vec<u8> },
    Knocks { to: usize, from: usize, life: u32, asked: Time },
    Refused { to: usize, life: u32, at: usize, asked: Time },
    Thaw { of: usize, life: u32 },
}

enum Waiting {
    Datagram(usize, Vec<u8>),
    Refused(usize, Time),
}

/// A place for a process.
pub struct Place<P: Process> {
    /// What runs there.
    pub process: Option<P>,
    /// It is stopped.
    pub stopped: bool,
    waiting: Vec<Waiting>,
    /// Its clock's rate.
    rate: f64,
    version: u64,
    /// Which process it is, one more with each start.
    pub life: u32,
    /// What its processes said, and when.
    pub changes: Vec<(i64, P::Change)>,
    /// Bytes sent from here and come here, with their headers; what is lost on the way is sent and does not come.
    pub traffic: u64,
}

/// The net.
pub struct Net<P: Process> {
    /// Microseconds since its beginning.
    pub now: i64,
    /// Whatever is drawn is drawn from this.
    pub rng: Rand64,
    /// Where processes run.
    pub places: Vec<Place<P>>,
    /// Share of the datagrams that is lost,
    pub loss: f64,
    /// and that comes twice.
    pub doubled: f64,
    /// The longest delay.
    pub delay: i64,
    /// Whether what this one sends to that one arrives.
    pub open: Vec<Vec<bool>>,
    /// Datagrams that were sent, knocks among them.
    pub sent: u64,
    /// Their bytes.
    pub bytes: u64,
    seq: u64,
    queue: BinaryHeap<Reverse<(i64, u64, usize)>>,
    events: Vec<Option<Event>>,
}

/// The address of a place.
pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (i / 250) as u8, (i % 250) as u8 + 1], 7000))
}

/// The place of an address.
pub fn place(at: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(at) = at else { return None };
    let [.., high, low] = at.ip().octets();
    Some(usize::from(high) * 250 + usize::from(low).checked_sub(1)?)
}

impl<P: Process> Net<P> {
    /// A net of `n` places where nothing runs; clocks are off by up to this share of the time.
    pub fn new(n: usize, seed: u64, drift: f64) -> Self {
        let mut rng = Rand64::new(u128::from(seed) + 77);
        let places = (0..n).map(|_| Place {
            process: None,
            stopped: false,
            waiting: Vec::new(),
            rate: 1.0 + drift * (2.0 * rng.rand_float() - 1.0),
            version: 0,
            life: 100,
            changes: Vec::new(),
            traffic: 0,
        });
        Self {
            now: 0,
            places: places.collect(),
            rng,
            loss: 0.0,
            doubled: 0.0,
            delay: 30_000,
            open: vec![vec![true; n]; n],
            sent: 0,
            bytes: 0,
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

    /// The time at a place, by its own clock.
    pub fn local(&self, i: usize) -> Time {
        Time((self.now as f64 * self.places[i].rate) as i64 + i as i64 * 1_000_000_007)
    }

    fn global(&self, i: usize, at: Time) -> i64 {
        ((at.0 - i as i64 * 1_000_000_007) as f64 / self.places[i].rate).ceil() as i64
    }

    /// A process starts, in the place of an earlier one if there is one: given its life, a seed and its time.
    pub fn start(&mut self, i: usize, new: impl FnOnce(u32, u64, Time) -> P) {
        self.places[i].life += 1;
        let seed = self.rng.rand_u64();
        let process = new(self.places[i].life, seed, self.local(i));
        self.places[i].process = Some(process);
        self.places[i].stopped = false;
        self.places[i].waiting.clear();
        self.call(i, |process, now, out| process.tick(now, out));
    }

    /// Its process is gone.
    pub fn kill(&mut self, i: usize) {
        self.places[i].process = None;
        self.places[i].stopped = false;
        self.places[i].version += 1;
    }

    /// Its process does nothing for so long.
    pub fn stop(&mut self, i: usize, time: i64) {
        if self.places[i].process.is_some() && !self.places[i].stopped {
            self.places[i].stopped = true;
            let life = self.places[i].life;
            self.at(self.now + time, Event::Thaw { of: i, life });
        }
    }

    /// Calls a process, and does what it asks for.
    pub fn call(&mut self, i: usize, what: impl FnOnce(&mut P, Time, &mut Sent<P::Change>)) {
        let now = self.local(i);
        let Some(process) = &mut self.places[i].process else { return };
        let mut out = Sent::default();
        what(process, now, &mut out);
        let next = process.next();
        self.places[i].version += 1;
        let version = self.places[i].version;
        let at = self.global(i, next);
        self.at(at, Event::Wake { of: i, version });
        let moment = self.now;
        self.places[i].changes.extend(out.changes.into_iter().map(|change| (moment, change)));
        for (to, bytes) in out.datagrams {
            let Some(to) = place(to) else { continue };
            self.places[i].traffic += (HEADERS + bytes.len()) as u64;
            for at in self.sends(i, to, bytes.len()) {
                self.at(at, Event::Comes { to, from: i, bytes: bytes.clone() });
            }
        }
        let life = self.places[i].life;
        for to in out.knocks {
            let Some(to) = place(to) else { continue };
            self.places[i].traffic += QUESTION as u64;
            for at in self.sends(i, to, 1) {
                self.at(at, Event::Knocks { to, from: i, life, asked: now });
            }
        }
    }

    /// When the copies of a datagram come, if any does.
    fn sends(&mut self, from: usize, to: usize, bytes: usize) -> Vec<i64> {
        self.sent += 1;
        self.bytes += bytes as u64;
        let lost = self.rng.rand_float() < self.loss;
        let mut copies = if lost || !self.open[from][to] { 0 } else { 1 };
        if copies > 0 && self.doubled > 0.0 && self.rng.rand_float() < self.doubled {
            copies += 1;
        }
        let delay = self.delay as f64;
        let mut at = || self.now + 200 + (self.rng.rand_float().powi(4) * delay) as i64;
        (0..copies).map(|_| at()).collect()
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Wake { of, version } => {
                if self.places[of].version == version && !self.places[of].stopped {
                    self.call(of, |process, now, out| process.tick(now, out));
                }
            }
            Event::Comes { to, from, bytes } => {
                self.places[to].traffic += (HEADERS + bytes.len()) as u64;
                if self.places[to].stopped {
                    self.later(to, Waiting::Datagram(from, bytes));
                } else {
                    self.call(to, |p, now, out| p.datagram(now, address(from), &bytes, out));
                }
            }
            Event::Knocks { to, from, life, asked } => {
                self.places[to].traffic += QUESTION as u64;
                // One that is stopped holds its address all the same.
                if self.places[to].process.is_none() {
                    for at in self.sends(to, from, 1) {
                        self.at(at, Event::Refused { to: from, life, at: to, asked });
                    }
                }
            }
            Event::Refused { to, life, at, asked } => {
                self.places[to].traffic += REFUSAL as u64;
                // The socket that asked has gone with its process.
                if self.places[to].life != life {
                    return;
                }
                if self.places[to].stopped {
                    self.later(to, Waiting::Refused(at, asked));
                } else {
                    self.call(to, |p, now, out| p.refused(now, address(at), asked, out));
                }
            }
            Event::Thaw { of, life } => {
                if self.places[of].life != life || !std::mem::take(&mut self.places[of].stopped) {
                    return;
                }
                let waiting = std::mem::take(&mut self.places[of].waiting);
                // A process that goes on may look at its clock or at its socket first.
                let clock_first = self.rng.rand_float() < 0.5;
                if clock_first {
                    self.call(of, |process, now, out| process.tick(now, out));
                }
                for one in waiting {
                    self.call(of, |p, now, out| match &one {
                        Waiting::Datagram(from, bytes) => {
                            p.datagram(now, address(*from), bytes, out);
                        }
                        Waiting::Refused(at, asked) => p.refused(now, address(*at), *asked, out),
                    });
                }
                self.call(of, |process, now, out| process.tick(now, out));
            }
        }
    }

    fn later(&mut self, i: usize, what: Waiting) {
        if self.places[i].waiting.len() < BUFFER {
            self.places[i].waiting.push(what);
        }
    }

    /// Lets time pass. After each event `look` sees the net, and again at the end.
    pub fn run_and(&mut self, until: i64, mut look: impl FnMut(&Self)) {
        while let Some(Reverse((at, _, event))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events[event].take() {
                self.happen(event);
                look(self);
            }
        }
        self.now = until;
        look(self);
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

    /// Lets time pass.
    pub fn run(&mut self, until: i64) {
        self.run_and(until, |_| {});
    }

    /// Everything arrives again.
    pub fn heal(&mut self) {
        self.loss = 0.0;
        self.doubled = 0.0;
        self.open.iter_mut().flatten().for_each(|open| *open = true);
    }
}

/// Plays these seeds on all cores. A play that panics fails the test that calls this.
pub fn on_all_cores(seeds: std::ops::Range<u64>, play: impl Fn(u64) + Sync) {
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get()) as u64;
    std::thread::scope(|scope| {
        for thread in 0..threads {
            let (play, seeds) = (&play, seeds.clone());
            scope.spawn(move || seeds.filter(|seed| seed % threads == thread).for_each(play));
        }
    });
}
