//! MessagePack-RPC (the specification at github.com/msgpack-rpc/msgpack-rpc, over MessagePack as
//! specified at github.com/msgpack/msgpack): the codec, and how a call's params, result and error
//! say what HTTP says in header fields ([`docs/specs/msgpack-rpc.md`] of this repository). No I/O.
//!
//! [`Decoder`] takes bytes as they come, cut anywhere, and gives whole messages. Nothing is
//! allocated for what is merely announced; sizes, depth and elements are bounded by [`Limits`].
//! Values stay as the bytes they came in ([`Raw`]), cut out of the buffer without a copy.
//!
//! [`docs/specs/msgpack-rpc.md`]: ../../../docs/specs/msgpack-rpc.md

mod call;
mod decoder;
mod encode;
mod raw;
mod scan;

pub use call::{Body, Call, Code, Failure, Served, Wrong};
pub use decoder::{Decoder, Message};
pub use encode::{notification, request, response_err, response_ok};
pub use raw::Raw;

/// What one message may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes.
    pub bytes: usize,
    /// Most arrays and maps inside each other, the message's own array included.
    pub depth: usize,
    /// Most elements of all arrays and maps together; a map has two for each entry.
    pub elements: usize,
}

impl Limits {
    /// A body of 64 KiB and 32 KiB for all else, as HTTP/1.1 has them here.
    pub const STANDARD: Self = Self { bytes: 96 << 10, depth: 32, elements: 8192 };
}

/// Why bytes are no message. What follows on the connection means nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The byte 0xc1, which MessagePack never uses.
    #[error("the byte 0xc1, which is never used")]
    NeverUsed,
    /// No array of three or four whose first element says which message it is.
    #[error("no message of MessagePack-RPC")]
    NoMessage,
    /// A message id that is no whole number from 0 to 2^32 - 1.
    #[error("a message id that is no 32-bit number")]
    NoId,
    /// Longer than the limit, or announced so.
    #[error("longer than the limit")]
    TooLong,
    /// Deeper than the limit.
    #[error("deeper than the limit")]
    TooDeep,
    /// More elements than the limit, or announced so.
    #[error("more elements than the limit")]
    TooMany,
}
