//! Frames: a length of four bytes (big endian), the version of the protocol, the message in postcard.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::message::{PublisherMessage, SubscriberMessage};

/// The version of the protocol, in each frame. It is raised with each kind of resource that earlier programs can't
/// decode: they then refuse the frame by its version, and neither skip the resource nor report the frame as malformed.
/// Version 1 has pools, servers and routes; version 2 has tenants as well.
pub const PROTOCOL_VERSION: u8 = 2;
/// The bytes of a frame before its message: length and version.
pub const FRAME_HEADER_BYTES: usize = 5;
/// The most bytes of a frame's version and message together.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// The most bytes that a reader buffers: an incomplete frame and one large read.
pub const MAX_BUFFERED_BYTES: usize = 2 * MAX_FRAME_BYTES;

const LENGTH_BYTES: usize = 4;
const VERSION_BYTES: usize = FRAME_HEADER_BYTES - LENGTH_BYTES;

/// Why no further frame of a stream can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// A frame claims more bytes than [`MAX_FRAME_BYTES`].
    #[error("a frame of {0} bytes, at most {MAX_FRAME_BYTES} are allowed")]
    TooLong(usize),
    /// A frame has no version.
    #[error("an empty frame")]
    Empty,
    /// A frame has another version of the protocol.
    #[error("protocol version {0}, expected {PROTOCOL_VERSION}")]
    UnsupportedVersion(u8),
    /// A frame does not decode to a message, or has bytes after the message.
    #[error("a frame that is no message")]
    Malformed,
    /// More bytes were pushed than [`MAX_BUFFERED_BYTES`] without reading the frames.
    #[error("more than {MAX_BUFFERED_BYTES} bytes unread")]
    Overflow,
}

/// A message that a frame may hold.
pub trait Message: Serialize + DeserializeOwned + private::Sealed {}

impl Message for SubscriberMessage {}
impl Message for PublisherMessage {}

mod private {
    pub trait Sealed {}
    impl Sealed for crate::SubscriberMessage {}
    impl Sealed for crate::PublisherMessage {}
}

/// Encodes a message as a frame. The bounds of the messages keep it within [`MAX_FRAME_BYTES`].
pub fn encode<M: Message>(message: &M) -> Vec<u8> {
    let header = vec![0, 0, 0, 0, PROTOCOL_VERSION];
    let mut frame = postcard::to_extend(message, header).unwrap_or_default();
    let length = frame.len().saturating_sub(LENGTH_BYTES) as u32;
    if let Some(prefix) = frame.get_mut(..LENGTH_BYTES) {
        prefix.copy_from_slice(&length.to_be_bytes());
    }
    frame
}

/// Splits a stream of bytes into messages. After an error it returns the same error forever: a stream has no mark from
/// which reading could be resumed.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: Vec<u8>,
    read_bytes: usize,
    error: Option<CodecError>,
}

impl FrameReader {
    /// An empty reader.
    pub fn new() -> Self {
        Self::default()
    }

    /// Buffers bytes. The caller reads all messages by [`Self::next_message`] before it pushes more.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.error.is_some() {
            return;
        }
        self.buffer.drain(..self.read_bytes);
        self.read_bytes = 0;
        if self.buffer.len() + bytes.len() > MAX_BUFFERED_BYTES {
            self.fail(CodecError::Overflow);
            return;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// The next message, if a complete one is buffered.
    ///
    /// # Errors
    ///
    /// If the stream is no sequence of frames of this protocol version, or too many bytes were pushed.
    pub fn next_message<M: Message>(&mut self) -> Result<Option<M>, CodecError> {
        if let Some(error) = self.error {
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

    /// The bytes that are buffered.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() - self.read_bytes
    }

    fn fail(&mut self, error: CodecError) {
        self.error = Some(error);
        self.buffer = Vec::new();
        self.read_bytes = 0;
    }

    fn read<M: Message>(&mut self) -> Result<Option<M>, CodecError> {
        let unread = &self.buffer[self.read_bytes..];
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
        // The version is checked before the frame is complete: a frame of another protocol may never be.
        match rest.first() {
            Some(&PROTOCOL_VERSION) => {}
            Some(version) => return Err(CodecError::UnsupportedVersion(*version)),
            None => return Ok(None),
        }
        let Some(frame) = rest.get(..length) else {
            return Ok(None);
        };
        let message = decode(&frame[VERSION_BYTES..])?;
        self.read_bytes += LENGTH_BYTES + length;
        Ok(Some(message))
    }
}

fn decode<M: Message>(bytes: &[u8]) -> Result<M, CodecError> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        _ => Err(CodecError::Malformed),
    }
}
