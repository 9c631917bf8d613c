//! The state of open requests and of their attempts.

use rustc_hash::FxHashMap;
use sableloom_types::{AttemptResult, Request, RequestId, Time};

use crate::deadlines::Deadlines;
use crate::server::Place;

/// Whether an attempt has ended and whether it may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    /// The attempt has no result yet.
    InFlight,
    /// The attempt ended and provably was not executed.
    NotExecuted,
    /// The attempt ended and may have been executed.
    MayHaveExecuted,
}

/// One attempt of a request at a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// The index of the server.
    pub(crate) server: usize,
    /// The place of the server when the attempt was sent: a later list may have another process there.
    pub(crate) place: Place,
    pub(crate) sent: Time,
    pub(crate) state: AttemptState,
}

/// A request that has no final answer yet, or that has an attempt without a result.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    pub(crate) class: usize,
    pub(crate) key: Option<u64>,
    /// When the client stops waiting for the answer.
    pub(crate) deadline: Time,
    /// When an answer no longer has any weight; attempts time out then.
    pub(crate) answer_deadline: Time,
    /// When the request is answered without an attempt if it is still queued.
    pub(crate) queue_deadline: Time,
    pub(crate) queued: bool,
    /// Whether the final answer was given or the client no longer waits.
    pub(crate) ended: bool,
    pub(crate) attempts: Vec<Attempt>,
}

impl OpenRequest {
    /// Creates the state of a request that has just arrived.
    pub(crate) fn new(request: &Request, deadlines: &Deadlines) -> Self {
        Self {
            class: request.class,
            key: request.key,
            deadline: request.deadline,
            answer_deadline: deadlines.answer_deadline,
            queue_deadline: deadlines.queue_deadline,
            queued: false,
            ended: false,
            attempts: Vec::new(),
        }
    }

    /// Whether an attempt of the request is in flight.
    pub(crate) fn in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Whether every attempt has ended and provably was not executed.
    pub(crate) fn never_executed(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.state == AttemptState::NotExecuted)
    }

    /// Whether an attempt was sent to this server.
    pub(crate) fn tried(&self, server: usize) -> bool {
        self.attempts.iter().any(|attempt| attempt.server == server)
    }
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    pub(crate) class: usize,
    /// The index of the server.
    pub(crate) server: usize,
    pub(crate) sent: Time,
}

/// The open requests by id.
#[derive(Debug, Default)]
pub(crate) struct OpenRequests {
    by_id: FxHashMap<RequestId, OpenRequest>,
}

impl OpenRequests {
    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.by_id.contains_key(&id)
    }

    pub(crate) fn insert(&mut self, id: RequestId, request: OpenRequest) {
        self.by_id.insert(id, request);
    }

    pub(crate) fn remove(&mut self, id: RequestId) {
        self.by_id.remove(&id);
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.by_id.get_mut(&id)
    }

    /// Whether an attempt of a request of this class is in flight.
    pub(crate) fn has_class_in_flight(&self, class: usize) -> bool {
        self.by_id.values().any(|request| request.class == class && request.in_flight())
    }

    /// Whether an open request was forwarded to this server.
    pub(crate) fn any_tried(&self, server: usize) -> bool {
        self.by_id.values().any(|request| request.tried(server))
    }

    /// Records the result of an attempt. Returns `None` if the attempt is unknown or has already ended.
    pub(crate) fn close_attempt(&mut self, result: &AttemptResult) -> Option<EndedAttempt> {
        let request = self.by_id.get_mut(&result.request)?;
        let attempt = request.attempts.get_mut(result.attempt)?;
        if attempt.state != AttemptState::InFlight {
            return None;
        }
        attempt.state = match result.outcome.not_executed() {
            true => AttemptState::NotExecuted,
            false => AttemptState::MayHaveExecuted,
        };
        Some(EndedAttempt { class: request.class, server: attempt.server, sent: attempt.sent })
    }
}
