//! One node: the attempts that it accepts, their progress, and their outcomes.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::hash::Hash;

use rustc_hash::FxHashMap;
use sableloom_types::{Span, Time};

use crate::cores::{Admission, Cores, Job, NodeCapacity};
use crate::keys::Keys;

/// The job number of handshakes: no attempt has it.
const HANDSHAKE: u64 = u64::MAX;
/// The speed of a cold node grows in steps of this length, so that it depends on the time alone and not on how
/// often the node is advanced.
const STEP: Span = Span(50_000);
/// Minimum share of its speed that a node keeps.
const MIN_SHARE: f64 = 1e-6;

/// The capacity, limits and warm-up of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeProfile {
    /// Its capacity when warm.
    pub capacity: NodeCapacity,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Work of a new connection, in microseconds of a core of speed 1.
    pub handshake: f64,
    /// Share of its capacity right after a start.
    pub cold_from: f64,
    /// Time until it is warm; its capacity grows linearly.
    pub warm: Span,
    /// A cold node crashes when the work that it is sent in a window exceeds so many times what it can do then.
    pub multiple: f64,
    /// The length of that window.
    pub window: Span,
    /// Maximum number of cached keys.
    pub keys: usize,
    /// How long a key stays cached.
    pub key_time: Span,
    /// Share of the work that a cached key saves.
    pub key_saving: f64,
    /// Whether a queued request is dropped when its client has gone.
    pub abandons: bool,
    /// Mean work of a request, in microseconds of a core of speed 1. If given, the node crashes only beyond
    /// what is attributed to chance ([`Node::excess`]); 0 if unknown.
    pub mean: f64,
}

impl NodeProfile {
    /// A node with the middle values of the operators' figures.
    pub fn of(capacity: NodeCapacity) -> Self {
        Self {
            capacity,
            connections: 160,
            handshake: 2250.0,
            cold_from: 0.13,
            warm: Span(24_000_000),
            multiple: 3.0,
            window: Span(1_500_000),
            keys: 2000,
            key_time: Span(5_000_000),
            key_saving: 0.5,
            abandons: true,
            mean: 0.0,
        }
    }
}

/// One attempt as it arrives.
#[derive(Clone, Debug)]
pub struct NodeRequest<I> {
    /// The request's id.
    pub id: I,
    /// The attempt's number, of the shell's choosing and used once.
    pub attempt: u64,
    /// Its class.
    pub class: usize,
    /// Work in microseconds of a core of speed 1.
    pub work: f64,
    /// How long it waits for other systems while it holds its slot.
    pub wait: Span,
    /// Its key.
    pub key: Option<u64>,
    /// Whether it has an effect, so that its executions are counted.
    pub effect: bool,
    /// Uniform from 0 to 1: decides which fault of its class affects it.
    pub draw: f64,
}

/// How an attempt ended at the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A good answer.
    Served,
    /// An error; it may have run.
    Error,
    /// An invalid answer.
    Spoilt,
    /// An answer that ends early.
    Cut,
    /// Rejected without running.
    TurnedAway,
    /// The node went down, and the connection with it.
    Reset,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The attempt.
    pub attempt: u64,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// A fault of a node for a class. The shares add up to at most 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Factor on the work.
    pub slower: f64,
    /// Share that is answered with an error at once.
    pub failing: f64,
    /// Share with an invalid answer.
    pub spoilt: f64,
    /// Share whose answer ends early.
    pub cut: f64,
}

impl Default for Fault {
    fn default() -> Self {
        Self { slower: 1.0, failing: 0.0, spoilt: 0.0, cut: 0.0 }
    }
}

/// Whether a node runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It runs.
    Up,
    /// It was stopped.
    Down,
    /// It crashed from overload, and stays down until it is started.
    Fallen,
}

/// A node.
#[derive(Debug)]
pub struct Node<I> {
    profile: NodeProfile,
    phase: Phase,
    cores: Cores,
    /// Requests that hold a slot or wait for one.
    requests: FxHashMap<u64, NodeRequest<I>>,
    /// Requests that have received their work and wait for other systems.
    waits: BinaryHeap<Reverse<(Time, u64)>>,
    /// Attempts whose client has gone.
    left: rustc_hash::FxHashSet<u64>,
    paused: Option<Time>,
    /// Requests that arrived while it was paused.
    inbox: VecDeque<NodeRequest<I>>,
    started: Option<Time>,
    /// Share of its speed that its neighbours leave it.
    share: f64,
    faults: Vec<Fault>,
    keys: Keys,
    connections: usize,
    /// Work that was sent within the window while it was cold.
    pushed: VecDeque<(Time, f64)>,
    peak: f64,
    excess: f64,
    falls: u32,
    turned_away: u64,
    sent: f64,
    /// Executions by request; survives crashes.
    runs: FxHashMap<I, u32>,
}

impl<I: Clone + Eq + Hash> Node<I> {
    /// A warm node.
    pub fn new(profile: NodeProfile, classes: usize, now: Time) -> Self {
        Self {
            profile,
            phase: Phase::Up,
            cores: Cores::new(profile.capacity, now),
            requests: FxHashMap::default(),
            waits: BinaryHeap::new(),
            left: Default::default(),
            paused: None,
            inbox: VecDeque::new(),
            started: None,
            share: 1.0,
            faults: vec![Fault::default(); classes],
            keys: Keys::default(),
            connections: 0,
            pushed: VecDeque::new(),
            peak: 0.0,
            excess: 0.0,
            falls: 0,
            turned_away: 0,
            sent: 0.0,
            runs: FxHashMap::default(),
        }
    }

    /// Its profile.
    pub fn profile(&self) -> &NodeProfile {
        &self.profile
    }

    /// Whether it runs.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Requests that hold a slot or wait.
    pub fn here(&self) -> usize {
        self.cores.here() + self.inbox.len()
    }

    /// Attempts whose client still waits.
    pub fn attended(&self) -> impl Iterator<Item = &NodeRequest<I>> {
        let held_attempts = self.requests.values().chain(&self.inbox);
        held_attempts.filter(|request| !self.left.contains(&request.attempt))
    }

    /// Share of its capacity that warm-up has reached by now.
    pub fn present(&self, now: Time) -> f64 {
        let NodeProfile { cold_from, warm, .. } = self.profile;
        self.started.map_or(1.0, |started| {
            let steps = now.since(started).0 / STEP.0;
            let grown = (steps * STEP.0) as f64 / warm.as_micros_f64().max(1.0);
            (cold_from + (1.0 - cold_from) * grown).clamp(cold_from, 1.0)
        })
    }

    /// Peak work that it was sent in a window while cold, in multiples of what it could do then; beyond
    /// [`NodeProfile::multiple`] it crashes.
    pub fn peak(&self) -> f64 {
        self.peak
    }

    /// Peak excess over its budget of N requests of mean work in a window while cold, divided by
    /// 2 x sqrt(N) + 2, which is attributed to chance. Above 1 the ramp was violated.
    pub fn excess(&self) -> f64 {
        self.excess
    }

    /// How often it crashed from overload.
    pub fn falls(&self) -> u32 {
        self.falls
    }

    /// Number of attempts that it rejected.
    pub fn turned_away(&self) -> u64 {
        self.turned_away
    }

    /// Total work that it was sent, in microseconds of a core of speed 1.
    pub fn sent(&self) -> f64 {
        self.sent
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.connections
    }

    /// How often each request with an effect has run.
    pub fn runs(&self) -> &FxHashMap<I, u32> {
        &self.runs
    }

    fn speed(&self, now: Time) -> f64 {
        (self.present(now) * self.share).max(MIN_SHARE)
    }

    /// When it changes next by itself, if nothing else happens.
    pub fn next(&self) -> Option<Time> {
        if self.paused.is_some() {
            return self.paused;
        }
        let mut next = self.cores.next();
        if let Some(started) = self.started.filter(|_| self.cores.busy())
            && self.present(self.cores.at()) < 1.0
        {
            let steps = self.cores.at().since(started).0 / STEP.0 + 1;
            let step = started.plus(Span(steps * STEP.0));
            next = next.map(|at| at.min(step));
        }
        let waited = self.waits.peek().map(|wait| wait.0.0);
        next.into_iter().chain(waited).min()
    }

    /// Advances it to this time. Completed attempts are added to `out`.
    pub fn advance(&mut self, now: Time, out: &mut Vec<Completion>) {
        while let Some(at) = self.next().filter(|at| *at <= now) {
            if self.paused.take().is_some() {
                self.cores.skip(at);
                for request in std::mem::take(&mut self.inbox) {
                    self.take_in(at, request, out);
                }
            }
            self.step(at, out);
        }
        if self.paused.is_none() {
            let speed = self.speed(now);
            self.cores.advance(now, speed);
        }
    }

    fn step(&mut self, at: Time, out: &mut Vec<Completion>) {
        let speed = self.speed(at);
        self.cores.advance(at, speed);
        while let Some(attempt) = self.cores.worked() {
            if let Some(request) = self.requests.get(&attempt) {
                self.waits.push(Reverse((at.plus(request.wait), attempt)));
            }
        }
        while let Some(Reverse((_, attempt))) = self.waits.peek().copied().filter(|w| w.0.0 <= at) {
            self.waits.pop();
            self.finish(attempt, out);
            if let Some(next) = self.cores.release() {
                self.begun(next);
            }
        }
    }

    fn begun(&mut self, attempt: u64) {
        if let Some(request) = self.requests.get(&attempt).filter(|request| request.effect) {
            *self.runs.entry(request.id.clone()).or_default() += 1;
        }
    }

    fn finish(&mut self, attempt: u64, out: &mut Vec<Completion>) {
        let Some(request) = self.requests.remove(&attempt) else { return };
        if self.left.remove(&attempt) {
            return;
        }
        let Fault { failing, spoilt, cut, .. } = self.faults[request.class];
        let outcome = match request.draw - failing {
            draw if draw < 0.0 => AttemptOutcome::Error,
            draw if draw < spoilt => AttemptOutcome::Spoilt,
            draw if draw < spoilt + cut => AttemptOutcome::Cut,
            _ => AttemptOutcome::Served,
        };
        out.push(Completion { attempt, outcome });
    }

    /// Opens a connection; false if it has too many or is down.
    pub fn connect(&mut self, now: Time, out: &mut Vec<Completion>) -> bool {
        self.advance(now, out);
        if self.phase != Phase::Up || self.connections >= self.profile.connections {
            return false;
        }
        self.connections += 1;
        if self.profile.handshake > 0.0 {
            self.cores.charge(Job { id: HANDSHAKE, work: self.profile.handshake });
        }
        true
    }

    /// Closes a connection. Those that a crash ended are counted already.
    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// An attempt has arrived whole.
    pub fn arrive(&mut self, now: Time, request: NodeRequest<I>, out: &mut Vec<Completion>) {
        self.advance(now, out);
        if self.phase != Phase::Up {
            out.push(Completion { attempt: request.attempt, outcome: AttemptOutcome::Reset });
        } else if self.paused.is_some() {
            self.inbox.push_back(request);
        } else {
            self.take_in(now, request, out);
        }
    }

    fn take_in(&mut self, now: Time, request: NodeRequest<I>, out: &mut Vec<Completion>) {
        let NodeRequest { attempt, class, .. } = request;
        if self.phase != Phase::Up {
            return out.push(Completion { attempt, outcome: AttemptOutcome::Reset });
        }
        if self.left.contains(&attempt) && self.profile.abandons {
            self.left.remove(&attempt);
            return;
        }
        let fault = self.faults[class];
        if request.draw < fault.failing {
            if request.effect {
                *self.runs.entry(request.id).or_default() += 1;
            }
            if !self.left.remove(&attempt) {
                out.push(Completion { attempt, outcome: AttemptOutcome::Error });
            }
            return;
        }
        let mut work = request.work * fault.slower;
        let NodeProfile { keys, key_time, key_saving, .. } = self.profile;
        if let Some(key) = request.key
            && keys > 0
            && self.keys.see(now, key, keys, key_time)
        {
            work *= 1.0 - key_saving;
        }
        self.sent += work;
        let admission = self.cores.offer(Job { id: attempt, work });
        if admission == Admission::Full {
            self.turned_away += 1;
            if !self.left.remove(&attempt) {
                out.push(Completion { attempt, outcome: AttemptOutcome::TurnedAway });
            }
            return;
        }
        self.requests.insert(attempt, request);
        if admission == Admission::Started {
            self.begun(attempt);
        }
        if self.overloaded_while_cold(now, work) {
            self.falls += 1;
            self.end(Phase::Fallen, now, out);
        }
    }

    /// Checks whether this work overloads the node while it is cold.
    fn overloaded_while_cold(&mut self, now: Time, work: f64) -> bool {
        let present = self.present(now);
        if present >= 1.0 {
            self.pushed.clear();
            return false;
        }
        let NodeProfile { capacity, multiple, window, mean, .. } = self.profile;
        self.pushed.push_back((now, work));
        while self.pushed.front().is_some_and(|(at, _)| now.since(*at) > window) {
            self.pushed.pop_front();
        }
        let sent: f64 = self.pushed.iter().map(|p| p.1).sum();
        let times = sent / (capacity.work_rate() * present * window.as_micros_f64());
        self.peak = self.peak.max(times);
        if mean > 0.0 {
            let budget = capacity.work_rate() * present * window.as_micros_f64() * multiple / mean;
            let chance = 2.0 * budget.sqrt() + 2.0;
            let excess = (sent / mean - budget) / chance;
            self.excess = self.excess.max(excess);
            return excess > 1.0;
        }
        times > multiple
    }

    /// The client of an attempt has gone. An attempt that runs continues.
    pub fn leave(&mut self, now: Time, attempt: u64, out: &mut Vec<Completion>) {
        self.advance(now, out);
        if self.profile.abandons && self.cores.withdraw(attempt) {
            self.requests.remove(&attempt);
        } else if self.requests.contains_key(&attempt)
            || self.inbox.iter().any(|request| request.attempt == attempt)
        {
            self.left.insert(attempt);
        }
    }

    fn end(&mut self, phase: Phase, now: Time, out: &mut Vec<Completion>) {
        let held_attempts = self.requests.drain().map(|(attempt, _)| attempt);
        let mut held_attempts: Vec<u64> =
            held_attempts.chain(self.inbox.drain(..).map(|request| request.attempt)).collect();
        held_attempts.sort_unstable();
        let held = held_attempts.into_iter().filter(|attempt| !self.left.contains(attempt));
        out.extend(held.map(|attempt| Completion { attempt, outcome: AttemptOutcome::Reset }));
        self.left.clear();
        self.waits.clear();
        self.cores = Cores::new(self.profile.capacity, now);
        self.keys = Keys::default();
        self.paused = None;
        self.connections = 0;
        self.pushed.clear();
        self.phase = phase;
    }

    /// It crashes, or is stopped. Its attempts are reset; its executions stay counted.
    pub fn stop(&mut self, now: Time, out: &mut Vec<Completion>) {
        self.advance(now, out);
        self.end(Phase::Down, now, out);
    }

    /// Starts it, cold; if it runs, it is stopped first.
    pub fn start(&mut self, now: Time, out: &mut Vec<Completion>) {
        self.stop(now, out);
        self.phase = Phase::Up;
        self.started = Some(now);
    }

    /// Replaces it by another machine, cold.
    pub fn replace(&mut self, profile: NodeProfile, now: Time, out: &mut Vec<Completion>) {
        self.stop(now, out);
        self.profile = profile;
        self.faults.fill(Fault::default());
        self.start(now, out);
    }

    /// Pauses it until then; requests that arrive are held.
    pub fn pause(&mut self, now: Time, until: Time, out: &mut Vec<Completion>) {
        self.advance(now, out);
        if self.phase == Phase::Up {
            self.paused = Some(self.paused.map_or(until, |before| before.max(until)));
        }
    }

    /// Sets the share of its cores' time that its neighbours leave it.
    pub fn neighbours(&mut self, now: Time, share: f64, out: &mut Vec<Completion>) {
        self.advance(now, out);
        self.share = share;
        // The new share applies from now on.
        self.advance(now, out);
    }

    /// Sets its fault for a class.
    pub fn fault(&mut self, class: usize, fault: Fault) {
        self.faults[class] = fault;
    }

    /// Its fault for a class.
    pub fn faulty(&self, class: usize) -> Fault {
        self.faults[class]
    }
}
