//! What the two threads of a mirror share, and hand over to each other.

use std::sync::Arc;

use bytes::Bytes;
use sableloom_exchange::{Answer, Fields, Message, RequestContext};
use sableloom_shadow::{Changes, CopyCounts, CopyEnd, CopyInFlight};
use sableloom_types::{Span, Time};
use tokio::sync::mpsc;

/// A request and its live answer, handed to the second thread.
pub(crate) struct CopyJob {
    pub(crate) copy: CopyInFlight,
    pub(crate) request: CapturedRequest,
    pub(crate) answer: Answer,
    /// How long the live pool took.
    pub(crate) live_latency: Span,
}

/// A sampled request, as the live pool got it.
pub(crate) struct CapturedRequest {
    pub(crate) class: usize,
    pub(crate) tenant: usize,
    pub(crate) key: Option<u64>,
    pub(crate) id: Bytes,
    pub(crate) method: Bytes,
    pub(crate) target: Bytes,
    pub(crate) headers: Fields,
    pub(crate) body: Bytes,
    pub(crate) received: Time,
}

impl CapturedRequest {
    /// Shares the buffers of the live request.
    pub(crate) fn of(context: &RequestContext, message: &Message, received: Time) -> Self {
        Self {
            class: context.class,
            tenant: context.tenant,
            key: context.key,
            id: message.id.clone(),
            method: message.method.clone(),
            target: message.target.clone(),
            headers: message.fields.clone(),
            body: message.body.clone(),
            received,
        }
    }

    /// Copies it into buffers of its own: a slice of a shared buffer would keep the whole buffer in memory,
    /// beyond the limit on bytes.
    pub(crate) fn detached(self) -> Self {
        let owned = |bytes: &Bytes| Bytes::copy_from_slice(bytes);
        Self {
            id: owned(&self.id),
            method: owned(&self.method),
            target: owned(&self.target),
            body: owned(&self.body),
            ..self
        }
    }
}

/// State that both threads share.
pub(crate) struct Shared {
    pub(crate) changes: Changes,
    pub(crate) counts: Arc<CopyCounts>,
}

/// A copy that ended, for the gate.
pub(crate) struct EndedCopy {
    pub(crate) copy: CopyInFlight,
    pub(crate) end: CopyEnd,
}

/// Reports ended copies to the gate. The queue is bounded by the number of copies in flight.
pub(crate) type EndedCopies = mpsc::UnboundedSender<EndedCopy>;
