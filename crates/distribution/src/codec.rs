//! Frames: a length of four bytes (big endian), the protocol's version, the message in postcard.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::message::{PublisherMessage, SubscriberMessage};

/// The version of the format, in each frame. A kind of resource that programs from before can't decode raises it:
/// they refuse the frame by its version, and neither skip the resource nor take the frame for garbage. 1 had pools,
/// servers and routes; 2 has tenants as well.
pub const PROTOCOL_VERSION: u8 = 2;
/// Bytes before the message: length and version.
pub const FRAME_HEADER_BYTES: usize = 5;
/// The most bytes of a frame's version and message together.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// The most bytes that a reader keeps: an unfinished frame and one large read.
pub const MAX_BUFFERED_BYTES: usize = 2 * MAX_FRAME_BYTES;

const LENGTH_BYTES: usize = 4;

/// Why a stream of frames cannot be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// A frame claims more bytes than [`MAX_FRAME_BYTES`].
    #[error("a frame of {0} bytes, at most {MAX_FRAME_BYTES} are allowed")]
    TooLong(usize),
    /// A frame without a version.
    #[error("an empty frame")]
    Empty,
    /// A frame of another version of the protocol.
    #[error("protocol version {0}, expected {PROTOCOL_VERSION}")]
    Version(u8),
    /// A frame that is no message, or has bytes behind it.
    #[error("a frame that is no message")]
    Malformed,
    /// More bytes were pushed than [`MAX_BUFFERED_BYTES`] without reading the frames.
    #[error("more than {MAX_BUFFERED_BYTES} bytes unread")]
    Overflow,
}

/// A message that goes in a frame.
pub trait Message: Serialize + DeserializeOwned + private::Sealed {}

impl Message for SubscriberMessage {}
impl Message for PublisherMessage {}

mod private {
    pub trait Sealed {}
    impl Sealed for crate::SubscriberMessage {}
    impl Sealed for crate::PublisherMessage {}
}

/// Writes a message as a frame. The bounds of messages keep it within [`MAX_FRAME_BYTES`].
pub fn encode<M: Message>(message: &M) -> Vec<u8> {
    let header = vec![0, 0, 0, 0, PROTOCOL_VERSION];
    let mut frame = postcard::to_extend(message, header).unwrap_or_default();
    let length = frame.len().saturating_sub(LENGTH_BYTES) as u32;
    if let Some(prefix) = frame.get_mut(..LENGTH_BYTES) {
        prefix.copy_from_slice(&length.to_be_bytes());
    }
    frame
}

/// Takes bytes as they come and gives messages. After an error it gives the same error for good: a stream has no
/// place from which it could be read on.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: Vec<u8>,
    start: usize,
    failed: Option<CodecError>,
}

impl FrameReader {
    /// An empty reader.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes bytes. [`Self::next`] is to be called until it gives none before more are pushed.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.failed.is_some() {
            return;
        }
        self.buffer.drain(..self.start);
        self.start = 0;
        if self.buffer.len() + bytes.len() > MAX_BUFFERED_BYTES {
            self.fail(CodecError::Overflow);
            return;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// The next message, if there is a whole one.
    #[expect(
        clippy::should_implement_trait,
        reason = "the type of message is the caller's choice, so it is no iterator"
    )]
    pub fn next<M: Message>(&mut self) -> Result<Option<M>, CodecError> {
        if let Some(error) = self.failed {
            return Err(error);
        }
        match self.read() {
            Ok(message) => Ok(message),
            Err(error) => {
                self.fail(error);
                Err(error)
            }
        }
    }

    /// Bytes that are kept.
    pub fn buffered(&self) -> usize {
        self.buffer.len() - self.start
    }

    fn fail(&mut self, error: CodecError) {
        self.failed = Some(error);
        self.buffer = Vec::new();
        self.start = 0;
    }

    fn read<M: Message>(&mut self) -> Result<Option<M>, CodecError> {
        let unread = &self.buffer[self.start..];
        let Some((prefix, rest)) = unread.split_first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length == 0 {
            return Err(CodecError::Empty);
        }
        if length > MAX_FRAME_BYTES {
            return Err(CodecError::TooLong(length));
        }
        // The version is judged before the frame is whole: another protocol need not be waited for.
        match rest.first() {
            Some(&PROTOCOL_VERSION) => {}
            Some(version) => return Err(CodecError::Version(*version)),
            None => return Ok(None),
        }
        let Some(frame) = rest.get(..length) else {
            return Ok(None);
        };
        let message = decode(&frame[1..])?;
        self.start += LENGTH_BYTES + length;
        Ok(Some(message))
    }
}

fn decode<M: Message>(bytes: &[u8]) -> Result<M, CodecError> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        _ => Err(CodecError::Malformed),
    }
}
