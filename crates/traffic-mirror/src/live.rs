//! The live side: observes requests, and hands copies of answered ones to the side thread.

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
use sableloom_shadow::{Copied, End, Gate};
use sableloom_types::{Idempotency, Span, Time};
use tokio::sync::mpsc::{Sender, UnboundedReceiver, error::TrySendError};
use tokio::task::spawn_local;

use crate::{CapturedRequest, Ending, Job, Options, Shared};

/// Settings of the live side.
pub(crate) struct Settings {
    name: String,
    clock: Clock,
    doubt: Span,
}

impl Settings {
    pub(crate) fn of(options: &Options) -> Self {
        Self { name: options.name.clone(), clock: options.clock, doubt: options.doubt }
    }
}

/// A shadow over a live pool.
pub struct Mirror {
    settings: Settings,
    gate: RefCell<Gate>,
    shared: Arc<Shared>,
    jobs: RefCell<Option<Sender<Job>>>,
    ended: RefCell<UnboundedReceiver<(Copied, End)>>,
    ending: Ending,
}

impl Mirror {
    pub(crate) fn new(
        settings: Settings,
        gate: Gate,
        shared: Arc<Shared>,
        jobs: Sender<Job>,
        ended: UnboundedReceiver<(Copied, End)>,
        ending: Ending,
    ) -> Self {
        Self {
            settings,
            gate: RefCell::new(gate),
            shared,
            jobs: RefCell::new(Some(jobs)),
            ended: RefCell::new(ended),
            ending,
        }
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// Stops copying. Copies in flight end within their time limit, the record is written once more, then the
    /// thread ends.
    pub fn stop(&self) -> Ending {
        self.jobs.borrow_mut().take();
        self.ending.clone()
    }

    /// Passes a request to the live pool, and observes it.
    pub fn call(
        self: &Rc<Self>,
        pool: &Rc<Exchange>,
        asked: RequestContext,
        message: Message,
    ) -> Result<LocalFuture<Reply>, RequestRejection> {
        if self.jobs.borrow().is_none() {
            return pool.clone().call(asked, message);
        }
        let now = self.settings.clock.now();
        self.reap(now);
        if message.idempotency != Idempotency::Idempotent {
            return self.change(pool, asked, message);
        }
        let mut id = FxHasher::default();
        id.write(&message.id);
        let sampled = {
            let gate = self.gate.borrow();
            gate.samples(asked.class, message.idempotency, asked.key, id.finish())
        };
        let captured = sampled.then(|| CapturedRequest::of(&asked, &message, now));
        let work = pool.clone().call(asked, message)?;
        let (mirror, pool) = (self.clone(), pool.clone());
        Ok(Box::pin(async move {
            let reply = work.await;
            match (&reply, captured) {
                (Reply::Served(answer), Some(captured)) => mirror.served(&pool, captured, answer),
                (Reply::Served(_), None) => {}
                (Reply::Rejected(_) | Reply::Failed, _) => mirror.note_pressure(),
            }
            reply
        }))
    }

    /// An unsafe request: never copied, but its key is marked as changing.
    fn change(
        self: &Rc<Self>,
        pool: &Rc<Exchange>,
        asked: RequestContext,
        message: Message,
    ) -> Result<LocalFuture<Reply>, RequestRejection> {
        let mut change = Change::begin(self, asked.key);
        let work = match pool.clone().call(asked, message) {
            Ok(work) => work,
            Err(turned) => {
                change.known = true;
                return Err(turned);
            }
        };
        Ok(Box::pin(async move {
            let reply = work.await;
            change.known = reply != Reply::Failed;
            if !matches!(reply, Reply::Served(_)) {
                change.mirror.note_pressure();
            }
            reply
        }))
    }

    /// A live request was refused, or failed.
    fn note_pressure(&self) {
        self.gate.borrow_mut().pressed(self.settings.clock.now());
    }

    /// Releases what ended copies held.
    fn reap(&self, now: Time) {
        let mut ended = self.ended.borrow_mut();
        while let Ok((copied, end)) = ended.try_recv() {
            self.gate.borrow_mut().ended(now, copied, end);
        }
    }

    /// A sampled request was answered: copies it if the gate permits.
    fn served(self: &Rc<Self>, pool: &Exchange, captured: CapturedRequest, answer: &Answer) {
        if self.jobs.borrow().is_none() {
            return;
        }
        let now = self.settings.clock.now();
        self.reap(now);
        let fields = |fields: &Fields| -> usize {
            fields.iter().map(|(name, value)| name.len() + value.len()).sum()
        };
        let bytes = captured.target.len()
            + fields(&captured.fields)
            + captured.body.len()
            + fields(&answer.fields)
            + answer.body.len();
        let copied = self.gate.borrow_mut().served(now, bytes, || pool.open_requests());
        if let Ok(copied) = copied {
            let (mirror, answer) = (self.clone(), answer.clone());
            let took = now.since(captured.taken);
            // In a task of its own, so that the answer is sent first.
            spawn_local(async move { mirror.hand_over(captured, answer, took, copied) });
        }
    }

    fn hand_over(&self, captured: CapturedRequest, answer: Answer, took: Span, copied: Copied) {
        let body = Bytes::copy_from_slice(&answer.body);
        let answer = Answer { body, ..answer };
        let job = Job { copied, request: captured.detached(), answer, took };
        let sent = match self.jobs.borrow().as_ref() {
            Some(jobs) => jobs.try_send(job),
            // It has been stopped meanwhile.
            None => Err(TrySendError::Closed(job)),
        };
        // The channel has room for the maximum number in flight.
        if let Err(TrySendError::Closed(job) | TrySendError::Full(job)) = sent {
            self.gate.borrow_mut().lost(job.copied);
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
    known: bool,
}

impl Change {
    fn begin(mirror: &Rc<Mirror>, key: Option<u64>) -> Self {
        mirror.shared.changes.begin(key);
        Self { mirror: mirror.clone(), key, known: false }
    }
}

impl Drop for Change {
    fn drop(&mut self) {
        let settings = &self.mirror.settings;
        let now = settings.clock.now();
        let by = if self.known { now } else { now.plus(settings.doubt) };
        self.mirror.shared.changes.end(self.key, by);
    }
}
