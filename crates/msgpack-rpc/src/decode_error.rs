//! Why bytes are no message.

/// Why bytes are no message. Nothing after them on the connection can be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
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
