//! Bodies: of requests, read completely and charged as they arrive; of answers, on their way to the client.

use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use hyper::StatusCode;
use hyper::body::Incoming;
use sableloom_admission::MemoryRequester;

use super::client_handle::ClientHandle;
use super::context::FrontContext;
use crate::limits::MAX_BODY_BYTES;
use crate::memory::charged_bytes;

/// A request that is forwarded is held this many times: as it came, and in the buffer of the connection to its server,
/// which grows by doubling.
const COPIES_OF_FORWARDED_REQUEST: usize = 3;

/// The most pieces in which a body may come: chunks of 64 bytes for the largest. Each costs a turn of its connection,
/// which hundreds of clients with chunks of one byte made late for everybody.
const MAX_BODY_PIECES: usize = 1024;

/// Reads a complete body, or returns the status that rejects it. The request, with the `head_bytes` that are kept of its
/// head, is charged for what has arrived of it, and once it is complete for what forwarding it takes.
pub(super) async fn read_body(
    context: &FrontContext,
    client: &ClientHandle,
    head_bytes: usize,
    mut body: Incoming,
) -> Result<Bytes, StatusCode> {
    let no_memory = |_| StatusCode::SERVICE_UNAVAILABLE;
    let partial = MemoryRequester::PartialRequest(client.id);
    let declared = body.size_hint().exact().unwrap_or(MAX_BODY_BYTES as u64);
    if declared > MAX_BODY_BYTES as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let charge = charged_bytes(head_bytes);
    context.charge_request(client, charge, partial).await.map_err(no_memory)?;
    // Copied into one buffer: pieces of a few bytes would each hold a buffer of their own.
    let mut bytes = Vec::new();
    let mut pieces = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data() else { continue };
        pieces += 1;
        if pieces > MAX_BODY_PIECES {
            return Err(StatusCode::BAD_REQUEST);
        }
        let length = bytes.len() + data.len();
        if length > MAX_BODY_BYTES {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        if length > bytes.capacity() {
            let capacity = (2 * bytes.capacity()).min(declared as usize).max(length);
            let charge = charged_bytes(head_bytes + capacity);
            context.charge_request(client, charge, partial).await.map_err(no_memory)?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    let charge = charged_bytes(head_bytes + bytes.len()) * COPIES_OF_FORWARDED_REQUEST;
    let complete = MemoryRequester::CompleteRequest(client.id);
    context.charge_request(client, charge, complete).await.map_err(no_memory)?;
    Ok(bytes.into())
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
