//! The open requests of one pool, by id.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use rustc_hash::{FxHashMap, FxHashSet};
use sableloom_types::{Idempotency, RequestId, Span, Time};
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use crate::attempt::Attempt;
use crate::departed_ids::DepartedIds;
use crate::message::{Message, Reply, RequestContext, RequestRejection};

/// A request from its acceptance until it is finished and its last attempt has ended.
pub(crate) struct OpenRequest {
    pub(crate) id: RequestId,
    pub(crate) class: usize,
    pub(crate) message: Rc<Message>,
    pub(crate) deadline: Time,
    /// Taken to send the final answer, so that a second answer is impossible.
    reply_sender: RefCell<Option<oneshot::Sender<Reply>>>,
    /// Whether the final answer was sent or the client has disconnected. The contexts of the attempts share this
    /// cell.
    pub(crate) finished: Rc<Cell<bool>>,
    pub(crate) attempts: RefCell<Vec<Rc<Attempt>>>,
    /// The number of attempts that have not ended.
    pub(crate) attempts_in_flight: Cell<usize>,
    /// Whether the client disconnected before the final answer.
    client_disconnected: Cell<bool>,
    /// Wakes the attempts when the request is finished, so that each one that was not written completely ends.
    pub(crate) finish_signal: Notify,
}

impl OpenRequest {
    /// Marks the request as finished, and returns the sender of its final answer unless it was finished before.
    pub(crate) fn finish(&self) -> Option<oneshot::Sender<Reply>> {
        self.finished.set(true);
        self.reply_sender.take()
    }

    /// Records that the client has disconnected, and returns whether it had no final answer.
    pub(crate) fn client_disconnected(&self) -> bool {
        let was_open = self.finish().is_some();
        self.client_disconnected.set(self.client_disconnected.get() || was_open);
        was_open
    }

    /// Whether the request may have been executed, its effect counts once only, and its client knows nothing of it.
    fn is_unknown_to_its_client(&self) -> bool {
        self.client_disconnected.get()
            && self.message.idempotency != Idempotency::Idempotent
            && self.first_possible_execution().is_some()
    }

    /// When the first attempt that may have been executed was forwarded.
    pub(crate) fn first_possible_execution(&self) -> Option<Instant> {
        let attempts = self.attempts.borrow();
        attempts
            .iter()
            .filter(|attempt| attempt.may_have_executed.get())
            .map(|a| a.forwarded_at)
            .min()
    }

    /// Whether the request was never forwarded.
    pub(crate) fn has_no_attempt(&self) -> bool {
        self.attempts.borrow().is_empty()
    }
}

/// All requests that are open.
pub(crate) struct OpenRequests {
    by_id: FxHashMap<RequestId, Rc<OpenRequest>>,
    next_id: u64,
    /// The ids that clients gave to the open requests.
    trace_ids: FxHashSet<Bytes>,
    departed_ids: DepartedIds,
}

impl OpenRequests {
    /// No request. The id of a request that may have been executed after its client disconnected is kept for this
    /// time.
    pub(crate) fn new(departed_ids_kept_for: Span) -> Self {
        Self {
            by_id: FxHashMap::default(),
            next_id: 0,
            trace_ids: FxHashSet::default(),
            departed_ids: DepartedIds::new(departed_ids_kept_for),
        }
    }

    /// Opens a request whose final answer goes to `reply_sender`. `limit` bounds the number of open requests; 0 means
    /// that there is no bound.
    pub(crate) fn open(
        &mut self,
        now: Time,
        context: &RequestContext,
        message: Message,
        reply_sender: oneshot::Sender<Reply>,
        limit: usize,
    ) -> Result<RequestId, RequestRejection> {
        if limit > 0 && self.by_id.len() >= limit {
            return Err(RequestRejection::TooManyOpen);
        }
        // Two requests with the same id could be confused: an answer, a retry or a reset of one could be taken for
        // that of the other. This holds for as long as an attempt is in flight, even after the final answer.
        if self.departed_ids.contains(now, &message.id) {
            return Err(RequestRejection::DuplicateId);
        }
        if !self.trace_ids.insert(message.id.clone()) {
            return Err(RequestRejection::DuplicateId);
        }
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let request = OpenRequest {
            id,
            class: context.class,
            message: Rc::new(message),
            deadline: context.deadline,
            reply_sender: RefCell::new(Some(reply_sender)),
            finished: Rc::new(Cell::new(false)),
            attempts: RefCell::new(Vec::new()),
            attempts_in_flight: Cell::new(0),
            client_disconnected: Cell::new(false),
            finish_signal: Notify::new(),
        };
        self.by_id.insert(id, Rc::new(request));
        Ok(id)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&Rc<OpenRequest>> {
        self.by_id.get(&id)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The requests that were not answered and whose clients have not disconnected.
    pub(crate) fn unfinished(&self) -> impl Iterator<Item = &Rc<OpenRequest>> {
        self.by_id.values().filter(|request| !request.finished.get())
    }

    /// Removes a request that is finished and has no attempt in flight, and returns whether it did.
    pub(crate) fn remove_if_done(&mut self, now: Time, id: RequestId) -> bool {
        let done = |request: &Rc<OpenRequest>| {
            request.finished.get() && request.attempts_in_flight.get() == 0
        };
        if !self.by_id.get(&id).is_some_and(done) {
            return false;
        }
        if let Some(request) = self.by_id.remove(&id) {
            self.trace_ids.remove(&request.message.id);
            if request.is_unknown_to_its_client() {
                self.departed_ids.insert(now, &request.message.id);
            }
        }
        true
    }
}
