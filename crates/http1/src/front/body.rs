//! Bodies: of requests, read completely within a budget; of answers, on their way to the client.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::client_handle::ClientHandle;
use super::context::FrontContext;
use crate::limits::MAX_BODY_BYTES;

/// What each body may hold without drawing on the budget, in bytes.
const UNBUDGETED_BODY_BYTES: usize = 8 << 10;

/// A complete body, with the permit for its share of the memory budget.
pub(super) struct RequestBody {
    pub(super) bytes: Bytes,
    pub(super) memory: Option<OwnedSemaphorePermit>,
}

/// Reads a complete body, or returns the status that rejects it. It takes all the memory that it may need at once, so that
/// bodies that wait for memory hold none that others wait for.
pub(super) async fn read_body(
    memory_budget: &Arc<Semaphore>,
    mut body: Incoming,
) -> Result<RequestBody, StatusCode> {
    let declared = body.size_hint().exact().unwrap_or(MAX_BODY_BYTES as u64);
    if declared > MAX_BODY_BYTES as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let memory = match declared > UNBUDGETED_BODY_BYTES as u64 {
        true => memory_budget.clone().acquire_many_owned(declared as u32).await.ok(),
        false => None,
    };
    // Copied into one buffer: pieces of a few bytes would each hold a buffer of their own.
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data() else { continue };
        if bytes.len() + data.len() > MAX_BODY_BYTES {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        if bytes.is_empty() {
            let expected = declared.min(UNBUDGETED_BODY_BYTES as u64).max(data.len() as u64);
            bytes.reserve(expected as usize);
        }
        bytes.extend_from_slice(&data);
    }
    Ok(RequestBody { bytes: bytes.freeze(), memory })
}

/// The body of an answer on its way to the client. Once it is dropped, the answer is handed over.
pub(super) struct AnswerBody {
    pub(super) data: Full<Bytes>,
    pub(super) context: Rc<FrontContext>,
    pub(super) client: Rc<ClientHandle>,
    /// Whether the connection is closed with the answer.
    pub(super) closes: bool,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.data).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.data.size_hint()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        let closes = self.closes;
        self.client.length_scan.set_answered();
        self.context.notify_admission(&self.client, |admission, now, id| {
            admission.answer_handed_over(now, id, closes);
        });
        self.context.slot_signal.notify_one();
    }
}
