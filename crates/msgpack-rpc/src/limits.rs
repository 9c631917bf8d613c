//! The bounds of one message.

/// The bounds of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes.
    pub bytes: usize,
    /// Deepest nesting of arrays and maps, the message's own array included.
    pub depth: usize,
    /// Most elements of all arrays and maps together; a map has two for each entry.
    pub elements: usize,
}

impl Limits {
    /// A body of 64 KiB and 32 KiB for all else, the bounds of the HTTP/1.1 front.
    pub const STANDARD: Self = Self { bytes: 96 << 10, depth: 32, elements: 8192 };
}
