//! The discovery service as a source of endpoints.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use sableloom_discovery_schedule::{PollOutcome, PollSchedule, SyncState};
use sableloom_exchange::{Clock, EndpointListener, EndpointSource, Task};
use sableloom_types::{ListKind, Span, Time};
use thiserror::Error;
use tokio::time::sleep_until;

use crate::connection::{Dial, DiscoveryConnection};
use crate::endpoint_list::{EndpointList, leaving_endpoints};
use crate::poll::{Poll, PollAnswer, PollError, PollFailure};

/// What is wrong with discovery, as the log says it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
enum Problem {
    #[error(transparent)]
    Poll(#[from] PollError),
    #[error("a poll was not answered in time: its wait was {} ms, {} ms have passed", wait.0 / 1000, passed.0 / 1000)]
    Silent { wait: Span, passed: Span },
    #[error("its answer is overdue; the last list is used on")]
    Stale,
    #[error("its revision went back")]
    RevisionWentBack,
}

/// A discovery service, as a source of endpoints.
pub struct Discovery {
    address: Cell<SocketAddr>,
    clock: Clock,
    dial: Dial,
    max_answer_bytes: usize,
    revision: Cell<Option<u64>>,
    listener: RefCell<Option<Rc<dyn EndpointListener>>>,
    schedule: RefCell<PollSchedule>,
    /// The task that polls, if there is one.
    polling: RefCell<Option<Task>>,
    /// The problem of the last poll, and when the first poll since the last answer failed.
    problem: Cell<Option<(Problem, Time)>>,
}

/// How a discovery service is reached and polled.
pub struct DiscoveryOptions {
    /// Its address.
    pub address: SocketAddr,
    /// The clock that all parts share.
    pub clock: Clock,
    /// Opens connections to it.
    pub dial: Dial,
    /// The most bytes of one answer; a longer one is a failed poll.
    pub max_answer_bytes: usize,
    /// The revision of the list that is known.
    pub revision: Option<u64>,
    /// When it is polled.
    pub schedule: PollSchedule,
}

impl Discovery {
    /// A service that is not polled yet.
    pub fn new(options: DiscoveryOptions) -> Rc<Self> {
        let DiscoveryOptions { address, clock, dial, max_answer_bytes, revision, schedule } =
            options;
        Rc::new(Self {
            address: Cell::new(address),
            clock,
            dial,
            max_answer_bytes,
            revision: Cell::new(revision),
            listener: RefCell::new(None),
            schedule: RefCell::new(schedule),
            polling: RefCell::new(None),
            problem: Cell::new(None),
        })
    }

    /// Sets the listener, also before it first subscribes.
    pub fn attach(&self, listener: Rc<dyn EndpointListener>) {
        *self.listener.borrow_mut() = Some(listener);
    }

    /// The service is at this address from now on, and is polled there at once, also if it was not polled yet. The full
    /// list is asked for: revisions of one service need not be those of another. Guards against an old service that still
    /// answers for a while, or has gone silent; costs one full list if the address is the same.
    pub fn move_to(self: &Rc<Self>, address: SocketAddr) {
        self.address.set(address);
        self.revision.set(None);
        self.schedule.borrow_mut().discovery_moved(self.clock.now());
        if let Some(listener) = self.listener.borrow().as_ref() {
            self.report_outdated_from(listener);
        }
        self.start_polling();
    }

    /// Starts to poll, in place of a task that does already. Without a listener it starts with the first one.
    fn start_polling(self: &Rc<Self>) {
        if let Some(listener) = self.listener.borrow().clone() {
            *self.polling.borrow_mut() = Some(Task::spawn(self.clone().poll_for_ever(listener)));
        }
    }

    async fn poll_for_ever(self: Rc<Self>, listener: Rc<dyn EndpointListener>) {
        let mut kept = None;
        loop {
            let now = self.clock.now();
            let due = self.schedule.borrow().next_poll_at(now);
            if due > now {
                sleep_until(self.clock.instant_of(due)).await;
            }
            let started = self.clock.now();
            let outcome = match self.poll(kept.take()).await {
                Ok(PollAnswer { list, connection }) => {
                    kept = Some(connection);
                    self.apply(list, &listener)
                }
                Err(PollFailure::Failed { error, received }) => {
                    // What came completely and leaves is true. The revision stays: the rest must come again.
                    let leaving = leaving_endpoints(&received);
                    if !leaving.is_empty() {
                        listener.clone().endpoints_updated(ListKind::Update, leaving);
                    }
                    self.log(Some(error.into()));
                    PollOutcome::Failed
                }
                Err(PollFailure::Silent { wait }) => {
                    let passed = self.clock.now().since(started);
                    self.log(Some(Problem::Silent { wait: wait.unwrap_or(Span(0)), passed }));
                    PollOutcome::Silent
                }
            };
            self.schedule.borrow_mut().poll_ended(self.clock.now(), outcome);
            self.report_outdated_from(&listener);
        }
    }

    /// Reports from when the list may lack changes of which the balancer counts as notified.
    fn report_outdated_from(&self, listener: &Rc<dyn EndpointListener>) {
        listener.list_outdated_from(self.schedule.borrow().notified_from());
    }

    /// Makes the next poll, and hedges it if its answer is late.
    async fn poll(&self, kept: Option<DiscoveryConnection>) -> Result<PollAnswer, PollFailure> {
        let now = self.clock.now();
        let (request, timing) = {
            let mut schedule = self.schedule.borrow_mut();
            if schedule.state(now) == SyncState::Stale {
                self.log(Some(Problem::Stale));
            }
            (schedule.start_poll(now), *schedule.timing())
        };
        let poll = Poll {
            dial: &self.dial,
            address: self.address.get(),
            after_revision: self.revision.get().filter(|_| request.wait.is_some()),
            wait: request.wait,
            deadline: self.clock.instant_of(request.deadline),
            timing: &timing,
            max_answer_bytes: self.max_answer_bytes,
        };
        let mut first = pin!(poll.run(kept));
        let Some(hedge_at) = request.hedge_at else { return first.await };
        tokio::select! {
            result = &mut first => return result,
            () = sleep_until(self.clock.instant_of(hedge_at)) => {}
        }
        let deadline = self.clock.instant_of(self.clock.now().plus(timing.poll_timeout));
        let hedge = Poll { deadline, ..poll };
        let mut second = pin!(hedge.run(None));
        // Whichever has a list; one that fails leaves the other its time.
        tokio::select! {
            result = &mut first => if result.is_ok() { result } else { second.await },
            result = &mut second => if result.is_ok() { result } else { first.await },
        }
    }

    /// Takes a list in, and reports it.
    fn apply(&self, list: EndpointList, listener: &Rc<dyn EndpointListener>) -> PollOutcome {
        let before = self.revision.get();
        let went_back = before.is_some_and(|before| list.revision < before);
        if went_back && !list.complete {
            // It changes a list that is not ours: the service has lost its memory.
            self.schedule.borrow_mut().request_full_list();
            self.log(Some(Problem::RevisionWentBack));
            return PollOutcome::Failed;
        }
        let new_revision = before != Some(list.revision);
        self.revision.set(Some(list.revision));
        let kind = if list.complete { ListKind::Full } else { ListKind::Update };
        let endpoints = list.into_endpoints();
        let changed = new_revision || !endpoints.is_empty();
        if kind == ListKind::Full || !endpoints.is_empty() {
            listener.clone().endpoints_updated(kind, endpoints);
        }
        self.log(None);
        PollOutcome::Answered { changed }
    }

    /// Logs when discovery begins to fail, and when it answers again; once each.
    fn log(&self, problem: Option<Problem>) {
        let address = self.address.get();
        let (before, now) = (self.problem.get(), self.clock.now());
        let since = before.map_or(now, |(_, since)| since);
        self.problem.set(problem.map(|problem| (problem, since)));
        match (before, problem) {
            (None, Some(problem)) => eprintln!("sableloom: discovery at {address}: {problem}"),
            (Some(_), None) => {
                let passed_ms = now.since(since).0 / 1000;
                eprintln!(
                    "sableloom: discovery at {address}: {passed_ms} ms later it answers again"
                );
            }
            _ => {}
        }
    }
}

impl EndpointSource for Discovery {
    fn subscribe(self: Rc<Self>, listener: Rc<dyn EndpointListener>) {
        self.attach(listener.clone());
        if self.polling.borrow().is_none() {
            self.schedule.borrow_mut().start(self.clock.now());
            self.report_outdated_from(&listener);
            self.start_polling();
        }
    }
}
