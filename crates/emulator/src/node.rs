//! One node: the attempts that it accepts, their progress, and their outcomes.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::hash::Hash;

use rustc_hash::FxHashMap;
use sableloom_types::{Span, Time};

use crate::attempt::{AttemptOutcome, Completion, NodeRequest};
use crate::cached_keys::CachedKeys;
use crate::cold_load::ColdLoad;
use crate::cores::{Admission, Cores, Job};
use crate::profile::{Fault, NodeProfile};

/// The job number of handshakes: no attempt has it.
const HANDSHAKE: u64 = u64::MAX;
/// The speed of a cold node grows in steps of this length, so that it depends on the time alone and not on how
/// often the node is advanced.
const STEP: Span = Span(50_000);
/// Minimum share of its speed that a node keeps.
const MIN_SHARE: f64 = 1e-6;

/// Whether a node runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It runs.
    Up,
    /// It was stopped.
    Down,
    /// It crashed from overload, and stays down until it is started.
    Crashed,
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
    abandoned: rustc_hash::FxHashSet<u64>,
    paused: Option<Time>,
    /// Requests that arrived while it was paused.
    inbox: VecDeque<NodeRequest<I>>,
    started: Option<Time>,
    /// Share of its speed that its neighbours leave it.
    share: f64,
    faults: Vec<Fault>,
    cached_keys: CachedKeys,
    connections: usize,
    cold_load: ColdLoad,
    crashes: u32,
    rejected: u64,
    sent: f64,
    /// Executions by request; survives crashes.
    executions: FxHashMap<I, u32>,
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
            abandoned: Default::default(),
            paused: None,
            inbox: VecDeque::new(),
            started: None,
            share: 1.0,
            faults: vec![Fault::default(); classes],
            cached_keys: CachedKeys::default(),
            connections: 0,
            cold_load: ColdLoad::default(),
            crashes: 0,
            rejected: 0,
            sent: 0.0,
            executions: FxHashMap::default(),
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
    pub fn occupancy(&self) -> usize {
        self.cores.occupancy() + self.inbox.len()
    }

    /// Attempts whose client still waits.
    pub fn awaited_attempts(&self) -> impl Iterator<Item = &NodeRequest<I>> {
        let held_attempts = self.requests.values().chain(&self.inbox);
        held_attempts.filter(|request| !self.abandoned.contains(&request.attempt))
    }

    /// Share of its capacity that warm-up has reached by now.
    pub fn capacity_share(&self, now: Time) -> f64 {
        let NodeProfile { slow_start_initial_share, slow_start, .. } = self.profile;
        self.started.map_or(1.0, |started| {
            let steps = now.since(started).0 / STEP.0;
            let grown = (steps * STEP.0) as f64 / slow_start.as_micros_f64().max(1.0);
            (slow_start_initial_share + (1.0 - slow_start_initial_share) * grown)
                .clamp(slow_start_initial_share, 1.0)
        })
    }

    /// Peak work that it was sent in a window while cold, in multiples of what it could do then; beyond
    /// [`NodeProfile::overload_factor`] it crashes.
    pub fn peak_load_factor(&self) -> f64 {
        self.cold_load.peak_load_factor()
    }

    /// Peak excess over its budget of N requests of mean work in a window while cold, divided by
    /// 2 x sqrt(N) + 2, which is attributed to chance. Above 1 the ramp was violated.
    pub fn excess(&self) -> f64 {
        self.cold_load.excess()
    }

    /// How often it crashed from overload.
    pub fn crashes(&self) -> u32 {
        self.crashes
    }

    /// Number of attempts that it rejected.
    pub fn rejected(&self) -> u64 {
        self.rejected
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
    pub fn executions(&self) -> &FxHashMap<I, u32> {
        &self.executions
    }

    fn speed(&self, now: Time) -> f64 {
        (self.capacity_share(now) * self.share).max(MIN_SHARE)
    }

    /// When it changes next by itself, if nothing else happens.
    pub fn next(&self) -> Option<Time> {
        if self.paused.is_some() {
            return self.paused;
        }
        let mut next = self.cores.next();
        if let Some(started) = self.started.filter(|_| self.cores.busy())
            && self.capacity_share(self.cores.at()) < 1.0
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
                    self.accept(at, request, out);
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
                self.execution_began(next);
            }
        }
    }

    fn execution_began(&mut self, attempt: u64) {
        if let Some(request) = self.requests.get(&attempt).filter(|request| request.effect) {
            *self.executions.entry(request.id.clone()).or_default() += 1;
        }
    }

    fn finish(&mut self, attempt: u64, out: &mut Vec<Completion>) {
        let Some(request) = self.requests.remove(&attempt) else { return };
        if self.abandoned.remove(&attempt) {
            return;
        }
        let Fault { failing, spoilt, cut, .. } = self.faults[request.class];
        let outcome = match request.draw - failing {
            draw if draw < 0.0 => AttemptOutcome::Error,
            draw if draw < spoilt => AttemptOutcome::Invalid,
            draw if draw < spoilt + cut => AttemptOutcome::Truncated,
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
            self.accept(now, request, out);
        }
    }

    fn accept(&mut self, now: Time, request: NodeRequest<I>, out: &mut Vec<Completion>) {
        let NodeRequest { attempt, class, .. } = request;
        if self.phase != Phase::Up {
            return out.push(Completion { attempt, outcome: AttemptOutcome::Reset });
        }
        if self.abandoned.contains(&attempt) && self.profile.drops_abandoned {
            self.abandoned.remove(&attempt);
            return;
        }
        let fault = self.faults[class];
        if request.draw < fault.failing {
            if request.effect {
                *self.executions.entry(request.id).or_default() += 1;
            }
            if !self.abandoned.remove(&attempt) {
                out.push(Completion { attempt, outcome: AttemptOutcome::Error });
            }
            return;
        }
        let mut work = request.work * fault.slower;
        let NodeProfile { cached_keys, cached_key_time, cached_key_saving, .. } = self.profile;
        if let Some(key) = request.key
            && cached_keys > 0
            && self.cached_keys.see(now, key, cached_keys, cached_key_time)
        {
            work *= 1.0 - cached_key_saving;
        }
        self.sent += work;
        let admission = self.cores.offer(Job { id: attempt, work });
        if admission == Admission::Full {
            self.rejected += 1;
            if !self.abandoned.remove(&attempt) {
                out.push(Completion { attempt, outcome: AttemptOutcome::Rejected });
            }
            return;
        }
        self.requests.insert(attempt, request);
        if admission == Admission::Started {
            self.execution_began(attempt);
        }
        let share = self.capacity_share(now);
        if self.cold_load.add(now, work, share, &self.profile) {
            self.crashes += 1;
            self.end(Phase::Crashed, now, out);
        }
    }

    /// The client of an attempt has gone. An attempt that runs continues.
    pub fn client_left(&mut self, now: Time, attempt: u64, out: &mut Vec<Completion>) {
        self.advance(now, out);
        if self.profile.drops_abandoned && self.cores.withdraw(attempt) {
            self.requests.remove(&attempt);
        } else if self.requests.contains_key(&attempt)
            || self.inbox.iter().any(|request| request.attempt == attempt)
        {
            self.abandoned.insert(attempt);
        }
    }

    fn end(&mut self, phase: Phase, now: Time, out: &mut Vec<Completion>) {
        let held_attempts = self.requests.drain().map(|(attempt, _)| attempt);
        let mut held_attempts: Vec<u64> =
            held_attempts.chain(self.inbox.drain(..).map(|request| request.attempt)).collect();
        held_attempts.sort_unstable();
        let slots_in_use =
            held_attempts.into_iter().filter(|attempt| !self.abandoned.contains(attempt));
        out.extend(
            slots_in_use.map(|attempt| Completion { attempt, outcome: AttemptOutcome::Reset }),
        );
        self.abandoned.clear();
        self.waits.clear();
        self.cores = Cores::new(self.profile.capacity, now);
        self.cached_keys = CachedKeys::default();
        self.paused = None;
        self.connections = 0;
        self.cold_load.clear();
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
    pub fn set_core_share(&mut self, now: Time, share: f64, out: &mut Vec<Completion>) {
        self.advance(now, out);
        self.share = share;
        // The new share applies from now on.
        self.advance(now, out);
    }

    /// Sets its fault for a class.
    pub fn set_fault(&mut self, class: usize, fault: Fault) {
        self.faults[class] = fault;
    }

    /// Its fault for a class.
    pub fn fault(&self, class: usize) -> Fault {
        self.faults[class]
    }
}
