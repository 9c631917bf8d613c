//! The body of a server's answer.

use std::future::poll_fn;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sableloom_admission::MemoryRequester;
use sableloom_exchange::outcome::AttemptEnd;

use crate::limits::MAX_BODY_BYTES;
use crate::memory::{ChargedBytes, MemoryBudget, MemoryCharge, charged_bytes};

/// An answer that is passed on is held this many times: as it came, and in the buffer of the connection to its client,
/// which grows by doubling.
const COPIES_OF_PASSED_ANSWER: usize = 3;

/// Reads a complete body. The answer, with the `head_bytes` of its head, is charged for what has arrived of it, and once
/// it is complete for what passing it on takes. The protocol has no longer answers: a server that announces or sends one
/// is out of step.
pub(super) async fn read_body(
    memory: &MemoryBudget,
    head_bytes: usize,
    body: &mut Incoming,
) -> Result<Bytes, AttemptEnd> {
    let declared = body.size_hint().exact().unwrap_or(MAX_BODY_BYTES as u64);
    if declared > MAX_BODY_BYTES as u64 {
        return Err(AttemptEnd::UnusableAnswer);
    }
    let mut charge = memory.charge();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Err(AttemptEnd::ConnectionLost) };
        let Ok(data) = frame.into_data() else { continue };
        let length = bytes.len() + data.len();
        if length > MAX_BODY_BYTES {
            return Err(AttemptEnd::UnusableAnswer);
        }
        if length > bytes.capacity() {
            let capacity = (2 * bytes.capacity()).min(declared as usize).max(length);
            grow(memory, &mut charge, charged_bytes(head_bytes + capacity)).await?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    let passed_on = charged_bytes(head_bytes + bytes.len()) * COPIES_OF_PASSED_ANSWER;
    grow(memory, &mut charge, passed_on).await?;
    Ok(Bytes::from_owner(ChargedBytes { bytes, _charge: charge }))
}

async fn grow(
    memory: &MemoryBudget,
    charge: &mut MemoryCharge,
    bytes: usize,
) -> Result<(), AttemptEnd> {
    let grown = poll_fn(|cx| memory.poll_grow(cx, charge, bytes, MemoryRequester::Attempt)).await;
    grown.map_err(|_| AttemptEnd::UnusableAnswer)
}

/// Reads a short body to its end, so that its connection can be used again; whether it came to its end.
pub(super) async fn discard_body(body: &mut Incoming) -> bool {
    let mut left = MAX_BODY_BYTES;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        let size = frame.data_ref().map_or(0, |data| data.len());
        if size > left {
            return false;
        }
        left -= size;
    }
    true
}
