//! MessagePack-RPC: the codec, and the mapping of a call's params, result and error to what HTTP has in header fields.
//! No I/O.
//!
//! The forms are those of the specifications of MessagePack-RPC (github.com/msgpack-rpc/msgpack-rpc) and MessagePack
//! (github.com/msgpack/msgpack); the mapping is specified in [`docs/specs/msgpack-rpc.md`] of this repository.
//!
//! [`Decoder`] takes bytes as they come, split anywhere, and returns complete messages. Nothing is allocated for
//! lengths that are merely announced; size, depth and number of elements are bounded by [`Limits`]. Values stay the
//! bytes that they came as ([`Raw`]), cut out of the buffer without a copy.
//!
//! ```
//! use sableloom_msgpack_rpc::{Decoder, Limits, Message};
//!
//! let mut decoder = Decoder::new(Limits::STANDARD);
//! decoder.push(&[0x93, 2, 0xa1]);
//! assert_eq!(decoder.message(), Ok(None));
//! decoder.push(&[b'm', 0x90]);
//! assert!(matches!(decoder.message(), Ok(Some(Message::Notification { .. }))));
//! ```
//!
//! [`docs/specs/msgpack-rpc.md`]: ../../../docs/specs/msgpack-rpc.md

mod call;
mod decode_error;
mod decoder;
mod encode;
mod format_error;
mod limits;
mod raw;
mod scan;

pub use call::{Body, Call, Failure, FailureCode, Served};
pub use decode_error::DecodeError;
pub use decoder::{Decoder, Message};
pub use encode::{notification, request, response_err, response_ok};
pub use format_error::FormatError;
pub use limits::Limits;
pub use raw::Raw;
