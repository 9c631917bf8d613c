//! Bodies: of requests, read whole within a budget; of answers, on their way to the client.

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

use super::connection::Connection;
use crate::wire::BODY_MAX;

/// What each body may hold without drawing on the budget.
const BODY_FREE: usize = 8 << 10;

/// Reads a body whole. `budget` comes to hold what it draws: all that it may need at once, so that
/// bodies that wait for room hold none that others wait for.
pub(super) async fn read_body(
    room: &Arc<Semaphore>,
    mut body: Incoming,
    budget: &mut Option<OwnedSemaphorePermit>,
) -> Result<Bytes, StatusCode> {
    let declared = body.size_hint().exact().unwrap_or(BODY_MAX as u64);
    if declared > BODY_MAX as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    if declared > BODY_FREE as u64 {
        *budget = room.clone().acquire_many_owned(declared as u32).await.ok();
    }
    // Copied together: pieces of a few bytes would each hold a buffer of their own.
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data() else { continue };
        if whole.len() + data.len() > BODY_MAX {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        if whole.is_empty() {
            whole.reserve(declared.min(BODY_FREE as u64).max(data.len() as u64) as usize);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

/// An answer's body on its way to the client.
pub(super) struct Content {
    pub(super) data: Full<Bytes>,
    pub(super) client: Rc<Connection>,
    pub(super) ends: bool,
}

impl Body for Content {
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

impl Drop for Content {
    fn drop(&mut self) {
        let ends = self.ends;
        self.client.lengths.answered.set(true);
        self.client.tell(|admission, now, id| admission.answer_handed_over(now, id, ends));
        self.client.frontend.changed.notify_one();
    }
}
