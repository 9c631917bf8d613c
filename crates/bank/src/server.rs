//! A model server: some cores shared evenly by what holds a slot, a waiting room before them, and
//! less to give while it is cold or crowded. No I/O, no clock.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, VecDeque};

use sableloom_types::{Span, Time};

/// How many requests a core bears before it loses time to switching between them.
const CROWDED: f64 = 13.0;
/// Share of its speed that a core loses when twice as many are there.
const CROWD_PRICE: f64 = 0.45;

/// What a server is built of.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Cores.
    pub cores: f64,
    /// Speed of a core; 1 does a millisecond of work in a millisecond.
    pub speed: f64,
    /// Requests that it works on at a time, the waits of their own included.
    pub slots: usize,
    /// Requests that may wait for a slot; more are turned away.
    pub room: usize,
}

impl Shape {
    /// Work done in a microsecond when warm and busy, in microseconds of a core of speed 1.
    pub fn capacity(&self) -> f64 {
        self.cores * self.speed
    }
}

/// One request at a server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The caller's handle.
    pub id: usize,
    /// Microseconds of a core of speed 1.
    pub work: f64,
}

#[derive(Debug, PartialEq)]
struct Running {
    /// Work that each slot must have been given for this one to be done.
    done_at: f64,
    id: usize,
}

impl Eq for Running {}

impl Ord for Running {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap's greatest is the first to be done.
        other.done_at.total_cmp(&self.done_at).then(other.id.cmp(&self.id))
    }
}

impl PartialOrd for Running {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The state of one server.
#[derive(Debug)]
pub struct Server {
    shape: Shape,
    running: BinaryHeap<Running>,
    waiting: VecDeque<Job>,
    /// Slots taken, by those that run and by those that wait for another system.
    held: usize,
    /// Work that one who was there from the beginning would have been given.
    given: f64,
    at: Time,
    /// Share of its speed that it has now.
    share: f64,
}

impl Server {
    /// An idle server at its full speed.
    pub fn new(shape: Shape, now: Time) -> Self {
        let (running, waiting) = (BinaryHeap::new(), VecDeque::new());
        Self { shape, running, waiting, held: 0, given: 0.0, at: now, share: 1.0 }
    }

    /// What it is built of.
    pub fn shape(&self) -> &Shape {
        &self.shape
    }

    /// Requests here, waiting ones included.
    pub fn here(&self) -> usize {
        self.held + self.waiting.len()
    }

    /// Work that one request is given in a microsecond.
    fn rate(&self) -> f64 {
        let n = self.running.len().max(1) as f64;
        let crowd = (n / self.shape.cores / CROWDED - 1.0).max(0.0);
        self.shape.speed * self.share * (self.shape.cores / n).min(1.0)
            / (1.0 + crowd * CROWD_PRICE)
    }

    /// Brings the work up to now, with this share of its speed from now on.
    pub fn advance(&mut self, now: Time, share: f64) {
        self.given += now.since(self.at).f().max(0.0) * self.rate();
        self.at = self.at.max(now);
        self.share = share;
    }

    /// Takes a request in; false if there is no room for it.
    pub fn offer(&mut self, job: Job) -> bool {
        if self.held < self.shape.slots {
            self.start(job);
        } else if self.waiting.len() < self.shape.room {
            self.waiting.push_back(job);
        } else {
            return false;
        }
        true
    }

    fn start(&mut self, job: Job) {
        self.held += 1;
        self.running.push(Running { done_at: self.given + job.work, id: job.id });
    }

    /// When the next request has had its work, if all stays as it is.
    pub fn next(&self) -> Option<Time> {
        let left = (self.running.peek()?.done_at - self.given).max(0.0);
        Some(self.at.plus(Span((left / self.rate()).ceil() as i64)))
    }

    /// A request that has had its work by now; it keeps its slot until [`Server::release`].
    pub fn worked(&mut self) -> Option<usize> {
        // Half a microsecond of work is rounding.
        self.running.peek().filter(|r| r.done_at <= self.given + 0.5)?;
        self.running.pop().map(|r| r.id)
    }

    /// A request has left its slot; the first that waits takes it.
    pub fn release(&mut self) {
        self.held -= 1;
        if let Some(job) = self.waiting.pop_front() {
            self.start(job);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SHAPE: Shape = Shape { cores: 2.0, speed: 0.5, slots: 3, room: 1 };

    fn run(server: &mut Server) -> Vec<(Time, usize)> {
        let mut done = Vec::new();
        while let Some(at) = server.next() {
            server.advance(at, 1.0);
            while let Some(id) = server.worked() {
                done.push((at, id));
                server.release();
            }
        }
        done
    }

    #[test]
    fn cores_are_shared_evenly_and_the_waiting_go_last() {
        let mut server = Server::new(SHAPE, Time(0));
        assert!((0..4).all(|id| server.offer(Job { id, work: 1000.0 })));
        assert!(!server.offer(Job { id: 4, work: 1000.0 }), "no room for a fifth");
        // Three share two cores at half speed: 3 ms each; the fourth has one alone for 2 ms.
        let done = run(&mut server);
        assert_eq!(done.iter().map(|d| d.1).collect::<Vec<_>>(), [0, 1, 2, 3]);
        assert_eq!((done[2].0, done[3].0), (Time(3000), Time(5000)));
        assert_eq!(server.here(), 0);
    }

    #[test]
    fn a_cold_server_takes_as_many_times_longer() {
        let mut server = Server::new(SHAPE, Time(0));
        server.advance(Time(0), 0.25);
        server.offer(Job { id: 0, work: 1000.0 });
        assert_eq!(server.next(), Some(Time(8000)));
        // Warm half-way: the rest at full speed.
        server.advance(Time(4000), 1.0);
        assert_eq!(server.next(), Some(Time(5000)));
    }
}
