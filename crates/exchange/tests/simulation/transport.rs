//! A transport that fails in every way it can, as determined by a seed.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use oorandom::Rand64;
use sableloom_exchange::outcome::AttemptEnd;
use sableloom_exchange::{
    Answer, AttemptConnection, AttemptContext, AttemptOutcome, LocalFuture, Transport,
};
use sableloom_types::{Idempotency, LoadReport, ServerId};
use tokio::time::{Instant, sleep};

use crate::recorder::Recorder;
use crate::schedule::DEDUP_WINDOW_MS;

/// A connection that records whether the request was written completely.
struct SimulatedConnection {
    fully_written: Cell<bool>,
}

impl AttemptConnection for SimulatedConnection {
    fn fully_written(&self) -> bool {
        self.fully_written.get()
    }
}

/// A transport whose attempts fail or succeed at random.
pub(crate) struct FaultyTransport {
    rng: RefCell<Rand64>,
    recorder: Rc<Recorder>,
}

impl FaultyTransport {
    pub(crate) fn new(seed: u64, recorder: Rc<Recorder>) -> Self {
        Self { rng: RefCell::new(Rand64::new(u128::from(seed) << 32 | 5)), recorder }
    }

    fn random_below(&self, bound: u64) -> u64 {
        self.rng.borrow_mut().rand_range(0..bound)
    }

    async fn pause(&self, max_ms: u64) {
        sleep(Duration::from_micros(self.random_below(max_ms * 1000))).await;
    }

    async fn run(&self, context: &AttemptContext) -> AttemptOutcome {
        if let Err(ended) = self.connect().await {
            return AttemptOutcome::without_answer(ended);
        }
        if let Err(ended) = self.write(context).await {
            return AttemptOutcome::without_answer(ended);
        }
        if self.random_below(8) == 0 {
            self.recorder.count_path("stated that it was not executed");
            self.pause(5).await;
            let ended = match self.random_below(2) {
                0 => AttemptEnd::UnusableAnswer,
                _ => AttemptEnd::ConnectionLost,
            };
            return AttemptOutcome { not_executed: true, ..AttemptOutcome::without_answer(ended) };
        }
        self.execute(context);
        self.pause(60).await;
        self.answer(context).await
    }

    async fn connect(&self) -> Result<(), AttemptEnd> {
        self.pause(10).await;
        match self.random_below(10) {
            0 => {
                self.recorder.count_path("connect failed");
                Err(AttemptEnd::ConnectFailed)
            }
            1 => {
                self.recorder.count_path("connect never ended");
                pending().await
            }
            _ => Ok(()),
        }
    }

    /// Sends the request, and checks at its first byte that it may be sent.
    async fn write(&self, context: &AttemptContext) -> Result<(), AttemptEnd> {
        if !context.may_send_first_byte() {
            self.recorder.count_path("finished before it started");
            return Err(AttemptEnd::NotStarted);
        }
        let id = &context.message.id;
        if context.message.client_is_gone() {
            self.recorder
                .record_violation(format!("{id:?} started for a client that had disconnected"));
        }
        if !self.recorder.live_servers.borrow().values().any(|at| *at == context.address) {
            let (address, server) = (context.address, context.server);
            self.recorder.record_violation(format!(
                "{id:?} started at {address} of {server:?}, where no server accepts requests"
            ));
        }
        let connection = Rc::new(SimulatedConnection { fully_written: Cell::new(false) });
        context.set_connection(connection.clone());
        if self.random_below(3) == 0 {
            // The last byte is sent after a pause.
            self.pause(30).await;
        }
        if self.random_below(12) == 0 {
            self.recorder.count_path("connection lost before it was complete");
            return Err(AttemptEnd::ConnectionLost);
        }
        if !context.may_send_more() {
            // A real connection checks this before each byte; a request that was started stays incomplete.
            self.recorder.count_path("finished before it was complete");
            return Err(AttemptEnd::ConnectionLost);
        }
        connection.fully_written.set(true);
        Ok(())
    }

    fn execute(&self, context: &AttemptContext) {
        let id = &context.message.id;
        *self.recorder.executions.borrow_mut().entry(id.clone()).or_default() += 1;
        if context.message.idempotency != Idempotency::Keyed {
            return;
        }
        let now = Instant::now();
        let first = *self.recorder.first_execution.borrow_mut().entry(id.clone()).or_insert(now);
        if now > first + Duration::from_millis(DEDUP_WINDOW_MS) {
            let after = now - first;
            self.recorder.record_violation(format!("{id:?} was executed again after {after:?}"));
        }
        if now > first {
            self.recorder.count_path("retried within its window");
        }
    }

    async fn answer(&self, context: &AttemptContext) -> AttemptOutcome {
        match self.random_below(10) {
            0 => {
                self.recorder.count_path("executed and failed");
                AttemptOutcome::without_answer(AttemptEnd::UnusableAnswer)
            }
            1 => {
                self.recorder.count_path("executed and connection lost");
                AttemptOutcome::without_answer(AttemptEnd::ConnectionLost)
            }
            2 => {
                self.recorder.count_path("executed without an answer");
                pending().await
            }
            3 if context.message.idempotency == Idempotency::Idempotent => {
                panic!("a fault of the transport")
            }
            _ => {
                self.recorder.count_path("answered");
                let answer = Answer { body: context.message.id.clone(), ..Answer::default() };
                AttemptOutcome {
                    answer: Some(answer),
                    ..AttemptOutcome::without_answer(AttemptEnd::Answered)
                }
            }
        }
    }
}

impl Transport for FaultyTransport {
    fn attempt(self: Rc<Self>, context: Rc<AttemptContext>) -> LocalFuture<AttemptOutcome> {
        Box::pin(async move { self.run(&context).await })
    }

    fn check_health(self: Rc<Self>, _: ServerId, _: SocketAddr) -> LocalFuture<Option<LoadReport>> {
        Box::pin(async { None })
    }

    fn set_retired(&self, _: ServerId, _: bool) {}

    fn address_changed(&self, _: ServerId) {}

    fn forget(&self, _: ServerId) {}
}
