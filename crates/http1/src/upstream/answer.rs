//! The body of a server's answer.

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sableloom_exchange::outcome::AttemptEnd;

use crate::limits::MAX_BODY_BYTES;

/// Reads a complete body. The protocol has no longer answers: a server that announces or sends one is out of step.
pub(super) async fn read_body(body: &mut Incoming) -> Result<Bytes, AttemptEnd> {
    if body.size_hint().exact().is_some_and(|bytes| bytes > MAX_BODY_BYTES as u64) {
        return Err(AttemptEnd::UnusableAnswer);
    }
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return Err(AttemptEnd::ConnectionLost) };
        let Ok(data) = frame.into_data() else { continue };
        if read.len() + data.len() > MAX_BODY_BYTES {
            return Err(AttemptEnd::UnusableAnswer);
        }
        read.extend_from_slice(&data);
    }
    Ok(read.freeze())
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
