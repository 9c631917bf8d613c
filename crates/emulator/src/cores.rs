//! Cores with processor sharing among the requests that hold a slot, and a bounded queue in front of them.
//! They may run at any share of their speed.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, VecDeque};

use sableloom_types::{Span, Time};

/// Requests per core above which time is lost to context switches.
const CROWDED: f64 = 13.0;
/// Share of its speed that a core loses at twice that number.
const CROWD_PRICE: f64 = 0.45;
/// Furthest prediction, in microseconds: about ten years. A later time could overflow.
const FAR: f64 = 3e14;

/// The capacity of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeCapacity {
    /// Number of cores.
    pub cores: f64,
    /// Speed of a core; 1 does a millisecond of work in a millisecond.
    pub speed: f64,
    /// Maximum number of requests in progress, those that wait for other systems included.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot; more are rejected.
    pub queue_limit: usize,
}

impl NodeCapacity {
    /// Work done in a microsecond when warm and busy, in microseconds of a core of speed 1.
    pub fn work_rate(&self) -> f64 {
        self.cores * self.speed
    }
}

/// One request at a server.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// The caller's handle.
    pub id: u64,
    /// Microseconds of a core of speed 1.
    pub work: f64,
}

/// The result of offering a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It got a slot.
    Started,
    /// It waits in the queue.
    Queued,
    /// The queue is full.
    Full,
}

#[derive(Debug, PartialEq)]
struct Running {
    /// The value of `work_done` at which this request is done.
    done_at: f64,
    id: u64,
}

impl Eq for Running {}

impl Ord for Running {
    fn cmp(&self, other: &Self) -> Ordering {
        // Reversed: the greatest of the heap is done first.
        other.done_at.total_cmp(&self.done_at).then(other.id.cmp(&self.id))
    }
}

impl PartialOrd for Running {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The cores of one node.
#[derive(Debug)]
pub struct Cores {
    capacity: NodeCapacity,
    running: BinaryHeap<Running>,
    queued: VecDeque<Job>,
    /// Slots in use, by requests that run and by those that wait for another system.
    slots_in_use: usize,
    /// Work that a request running since the beginning would have received.
    work_done: f64,
    at: Time,
    /// Share of their speed that is available now.
    share: f64,
}

impl Cores {
    /// Idle cores at their full speed.
    pub fn new(capacity: NodeCapacity, now: Time) -> Self {
        let (running, queued) = (BinaryHeap::new(), VecDeque::new());
        Self { capacity, running, queued, slots_in_use: 0, work_done: 0.0, at: now, share: 1.0 }
    }

    /// Their capacity.
    pub fn capacity(&self) -> &NodeCapacity {
        &self.capacity
    }

    /// Number of requests, queued ones included.
    pub fn occupancy(&self) -> usize {
        self.slots_in_use + self.queued.len()
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.queued.len()
    }

    /// Whether any request runs.
    pub fn busy(&self) -> bool {
        !self.running.is_empty()
    }

    /// The time up to which the work has been computed.
    pub fn at(&self) -> Time {
        self.at
    }

    /// Work that each running request receives in a microsecond.
    fn rate(&self) -> f64 {
        let n = self.running.len().max(1) as f64;
        let crowd = (n / self.capacity.cores / CROWDED - 1.0).max(0.0);
        self.capacity.speed * self.share * (self.capacity.cores / n).min(1.0)
            / (1.0 + crowd * CROWD_PRICE)
    }

    /// Computes the work up to now; from now on the cores run at this share of their speed.
    pub fn advance(&mut self, now: Time, share: f64) {
        self.work_done += now.since(self.at).as_micros_f64().max(0.0) * self.rate();
        self.at = self.at.max(now);
        self.share = share;
    }

    /// Lets time pass without any work.
    pub fn skip(&mut self, now: Time) {
        self.at = self.at.max(now);
    }

    /// Offers a request.
    pub fn offer(&mut self, job: Job) -> Admission {
        if self.slots_in_use < self.capacity.slots {
            self.start(job);
            Admission::Started
        } else if self.queued.len() < self.capacity.queue_limit {
            self.queued.push_back(job);
            Admission::Queued
        } else {
            Admission::Full
        }
    }

    /// Adds work that needs no slot, such as a handshake.
    pub fn charge(&mut self, job: Job) {
        self.running.push(Running { done_at: self.work_done + job.work, id: job.id });
    }

    /// Removes a queued request; false if it is not queued.
    pub fn withdraw(&mut self, id: u64) -> bool {
        let before = self.queued.len();
        self.queued.retain(|job| job.id != id);
        self.queued.len() < before
    }

    fn start(&mut self, job: Job) {
        self.slots_in_use += 1;
        self.charge(job);
    }

    /// When the next request will have received its work, if nothing changes.
    pub fn next(&self) -> Option<Time> {
        let abandoned = (self.running.peek()?.done_at - self.work_done).max(0.0);
        Some(self.at.plus(Span((abandoned / self.rate()).ceil().min(FAR) as i64)))
    }

    /// A request that has received its work; it keeps its slot until [`Cores::release`].
    pub fn worked(&mut self) -> Option<u64> {
        // Half a microsecond of work allows for rounding.
        self.running.peek().filter(|r| r.done_at <= self.work_done + 0.5)?;
        self.running.pop().map(|r| r.id)
    }

    /// Frees a slot; the first queued request takes it, and is returned.
    pub fn release(&mut self) -> Option<u64> {
        self.slots_in_use -= 1;
        let job = self.queued.pop_front()?;
        self.start(job);
        Some(job.id)
    }
}

#[cfg(test)]
mod tests;
