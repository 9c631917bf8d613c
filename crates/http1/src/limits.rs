//! The sizes of messages.

/// The largest body, of a request or an answer, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// The largest head, and what is buffered of one connection at most, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 << 10;
