//! Observes the requests of a live pool, and hands copies of answered ones to the second thread.

use std::cell::RefCell;
use std::hash::Hasher;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use rustc_hash::FxHasher;
use sableloom_exchange::{
    Answer, Clock, Exchange, Fields, LocalFuture, Message, Reply, RequestContext, RequestRejection,
    Service,
};
use sableloom_shadow::{CopyInFlight, Gate};
use sableloom_types::{Idempotency, Span, Time};
use tokio::sync::mpsc::{Sender, UnboundedReceiver, error::TrySendError};
use tokio::task::spawn_local;

use crate::ending::MirrorEnding;
use crate::job::{CapturedRequest, CopyJob, EndedCopy, Shared};
use crate::options::MirrorOptions;

/// Settings of a mirror.
pub(crate) struct MirrorSettings {
    name: String,
    clock: Clock,
    unknown_outcome_time: Span,
}

impl MirrorSettings {
    pub(crate) fn of(options: &MirrorOptions) -> Self {
        Self {
            name: options.name.clone(),
            clock: options.clock,
            unknown_outcome_time: options.unknown_outcome_time,
        }
    }
}

/// The live thread's ends of the channels to the second thread.
pub(crate) struct Handover {
    pub(crate) jobs: Sender<CopyJob>,
    pub(crate) ended: UnboundedReceiver<EndedCopy>,
    pub(crate) ending: MirrorEnding,
}

/// Copies the requests of a live pool.
pub struct Mirror {
    settings: MirrorSettings,
    gate: RefCell<Gate>,
    shared: Arc<Shared>,
    /// None once it is stopped.
    jobs: RefCell<Option<Sender<CopyJob>>>,
    ended: RefCell<UnboundedReceiver<EndedCopy>>,
    ending: MirrorEnding,
}

impl Mirror {
    pub(crate) fn new(
        settings: MirrorSettings,
        gate: Gate,
        shared: Arc<Shared>,
        handover: Handover,
    ) -> Self {
        let Handover { jobs, ended, ending } = handover;
        Self {
            settings,
            gate: RefCell::new(gate),
            shared,
            jobs: RefCell::new(Some(jobs)),
            ended: RefCell::new(ended),
            ending,
        }
    }

    /// The name of its shadow.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// Stops copying. Copies in flight end within their time limit, the record is written once more, then the
    /// thread ends.
    pub fn stop(&self) -> MirrorEnding {
        self.jobs.borrow_mut().take();
        self.ending.clone()
    }

    /// Passes a request to the live pool, and observes it.
    ///
    /// # Errors
    ///
    /// If the live pool rejects the request.
    pub fn call(
        self: &Rc<Self>,
        pool: &Rc<Exchange>,
        context: RequestContext,
        message: Message,
    ) -> Result<LocalFuture<Reply>, RequestRejection> {
        if self.jobs.borrow().is_none() {
            return pool.clone().call(context, message);
        }
        let now = self.settings.clock.now();
        self.release_ended(now);
        if message.idempotency != Idempotency::Idempotent {
            return self.call_change(pool, context, message);
        }
        let mut id = FxHasher::default();
        id.write(&message.id);
        let sampled = {
            let gate = self.gate.borrow();
            gate.samples(context.class, message.idempotency, context.key, id.finish())
        };
        let captured = sampled.then(|| CapturedRequest::of(&context, &message, now));
        let work = pool.clone().call(context, message)?;
        let (mirror, pool) = (self.clone(), pool.clone());
        Ok(Box::pin(async move {
            let reply = work.await;
            match (&reply, captured) {
                (Reply::Served(answer), Some(captured)) => mirror.copy(&pool, captured, answer),
                (Reply::Served(_), None) => {}
                (Reply::Rejected(_) | Reply::Failed, _) => mirror.note_pressure(),
            }
            reply
        }))
    }

    /// Passes on a request that is not idempotent. It is never copied, but its key is marked as changing.
    fn call_change(
        self: &Rc<Self>,
        pool: &Rc<Exchange>,
        context: RequestContext,
        message: Message,
    ) -> Result<LocalFuture<Reply>, RequestRejection> {
        let mut change = Change::begin(self, context.key);
        let work = match pool.clone().call(context, message) {
            Ok(work) => work,
            Err(rejection) => {
                change.outcome_known = true;
                return Err(rejection);
            }
        };
        Ok(Box::pin(async move {
            let reply = work.await;
            change.outcome_known = reply != Reply::Failed;
            if !matches!(reply, Reply::Served(_)) {
                change.mirror.note_pressure();
            }
            reply
        }))
    }

    /// A live request was rejected or failed.
    fn note_pressure(&self) {
        self.gate.borrow_mut().note_live_pressure(self.settings.clock.now());
    }

    /// Reports ended copies to the gate, which releases what they held.
    fn release_ended(&self, now: Time) {
        let mut ended = self.ended.borrow_mut();
        while let Ok(EndedCopy { copy, end }) = ended.try_recv() {
            self.gate.borrow_mut().copy_ended(now, copy, end);
        }
    }

    /// A sampled request was answered: copies it if the gate permits.
    fn copy(self: &Rc<Self>, pool: &Exchange, captured: CapturedRequest, answer: &Answer) {
        if self.jobs.borrow().is_none() {
            return;
        }
        let now = self.settings.clock.now();
        self.release_ended(now);
        let size = |headers: &Fields| -> usize {
            headers.iter().map(|(name, value)| name.len() + value.len()).sum()
        };
        let bytes = captured.target.len()
            + size(&captured.headers)
            + captured.body.len()
            + size(&answer.fields)
            + answer.body.len();
        let admitted = self.gate.borrow_mut().admit(now, bytes, || pool.open_requests());
        if let Ok(copy) = admitted {
            let (mirror, answer) = (self.clone(), answer.clone());
            let latency = now.since(captured.received);
            // In a task of its own, so that the answer is sent first.
            spawn_local(async move { mirror.hand_over(captured, answer, latency, copy) });
        }
    }

    fn hand_over(
        &self,
        captured: CapturedRequest,
        answer: Answer,
        live_latency: Span,
        copy: CopyInFlight,
    ) {
        let body = Bytes::copy_from_slice(&answer.body);
        let answer = Answer { body, ..answer };
        let job = CopyJob { copy, request: captured.detached(), answer, live_latency };
        let sent = match self.jobs.borrow().as_ref() {
            Some(jobs) => jobs.try_send(job),
            // It has been stopped meanwhile.
            None => Err(TrySendError::Closed(job)),
        };
        // The channel has space for the maximum number of copies in flight.
        if let Err(TrySendError::Closed(job) | TrySendError::Full(job)) = sent {
            self.gate.borrow_mut().worker_ended(job.copy);
            if self.jobs.borrow().is_some() {
                let name = &self.settings.name;
                eprintln!("sableloom: shadow {name}: its thread has ended; nothing more is copied");
            }
        }
    }
}

/// Marks a change as in progress until it is dropped.
struct Change {
    mirror: Rc<Mirror>,
    key: Option<u64>,
    /// Whether its outcome is known, so that it can no longer take effect.
    outcome_known: bool,
}

impl Change {
    fn begin(mirror: &Rc<Mirror>, key: Option<u64>) -> Self {
        mirror.shared.changes.begin(key);
        Self { mirror: mirror.clone(), key, outcome_known: false }
    }
}

impl Drop for Change {
    fn drop(&mut self) {
        let settings = &self.mirror.settings;
        let now = settings.clock.now();
        let complete_by =
            if self.outcome_known { now } else { now.plus(settings.unknown_outcome_time) };
        self.mirror.shared.changes.end(self.key, complete_by);
    }
}
