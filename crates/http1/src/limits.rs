//! The sizes of messages.

/// The largest body, of a request or an answer, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// The largest head, and what is buffered of one connection at most, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 << 10;
/// What is read from a connection at once, in bytes. hyper enlarges its buffer only where a read fills it.
pub(crate) const MAX_READ_BYTES: usize = 4 << 10;
/// Messages up to this size are part of what each connection has of its own, in bytes.
pub(crate) const SMALL_MESSAGE_BYTES: usize = 4 << 10;
/// What each connection has of its own beside its buffer for heads, in bytes: its task, hyper's state, small messages.
pub(crate) const CONNECTION_BYTES: usize = 8 << 10;
/// The buffer for heads that each connection has, in bytes: hyper wants room for so many bytes before each read.
pub(crate) const INITIAL_BUFFER_BYTES: usize = 8 << 10;

/// The buffer that hyper needs to read on, with this many bytes of a head before.
pub(crate) fn head_buffer_bytes(head_bytes: usize) -> usize {
    match head_bytes {
        0 => INITIAL_BUFFER_BYTES,
        // It doubles.
        _ if head_bytes <= INITIAL_BUFFER_BYTES => 2 * INITIAL_BUFFER_BYTES,
        _ => MAX_HEAD_BYTES,
    }
}
