//! The encoding of messages as frames. A frame is a length of four bytes (big endian), one byte for the version of the
//! protocol, and the message in postcard; the length counts the version and the message.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::message::{PublisherMessage, SubscriberMessage};

/// The version of the protocol, which each frame holds. It is raised whenever a kind of resource is added: an earlier
/// program cannot decode the new kind, and refuses the frame by its version instead of reporting a malformed frame.
/// Version 1 has pools, servers and routes; version 2 also has tenants.
pub const PROTOCOL_VERSION: u8 = 2;
/// The number of bytes of a frame before its message: the length and the version.
pub const FRAME_HEADER_BYTES: usize = 5;
/// The maximum number of bytes of a frame's version and message together.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// The maximum number of unread bytes that a reader buffers: an incomplete frame, and one read of the connection that
/// returns at most about [`MAX_FRAME_BYTES`].
pub const MAX_BUFFERED_BYTES: usize = 2 * MAX_FRAME_BYTES;

const LENGTH_BYTES: usize = 4;
const VERSION_BYTES: usize = FRAME_HEADER_BYTES - LENGTH_BYTES;

/// The reason why no further frame of a stream can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// The length of a frame is over [`MAX_FRAME_BYTES`].
    #[error("a frame of {0} bytes, at most {MAX_FRAME_BYTES} are allowed")]
    TooLong(usize),
    /// The length of a frame is 0, so that it has no version.
    #[error("an empty frame, without a protocol version")]
    Empty,
    /// A frame has another version of the protocol.
    #[error("protocol version {0}, expected {PROTOCOL_VERSION}")]
    UnsupportedVersion(u8),
    /// A frame does not decode to a message, or has bytes after the message.
    #[error("a frame that holds no message, or bytes after the message")]
    Malformed,
    /// Pushed bytes would make the unread bytes exceed [`MAX_BUFFERED_BYTES`].
    #[error("more than {MAX_BUFFERED_BYTES} bytes are unread")]
    Overflow,
}

/// A message that a frame may hold: a [`SubscriberMessage`] or a [`PublisherMessage`].
pub trait Message: Serialize + DeserializeOwned + private::Sealed {}

impl Message for SubscriberMessage {}
impl Message for PublisherMessage {}

mod private {
    pub trait Sealed {}
    impl Sealed for crate::SubscriberMessage {}
    impl Sealed for crate::PublisherMessage {}
}

/// Encodes a message as a frame. The size is not checked here: the receiver's [`FrameReader`] reports a frame over
/// [`MAX_FRAME_BYTES`] as an error. The maximum numbers of services, problems and rows keep a message below that
/// size; of changes, the sender must add up [`crate::Change::encoded_size`], since their bodies differ in length.
pub fn encode<M: Message>(message: &M) -> Vec<u8> {
    let header = vec![0, 0, 0, 0, PROTOCOL_VERSION];
    // Only a sequence of unknown length could fail to encode, and no message has one.
    let mut frame = postcard::to_extend(message, header).unwrap_or_default();
    let length = frame.len().saturating_sub(LENGTH_BYTES) as u32;
    if let Some(prefix) = frame.get_mut(..LENGTH_BYTES) {
        prefix.copy_from_slice(&length.to_be_bytes());
    }
    frame
}

/// Splits a stream of bytes into messages. After an error every read returns the same error, since a stream has no
/// marker from which reading could resume.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: Vec<u8>,
    /// The number of bytes at the start of the buffer whose messages have been returned.
    read_bytes: usize,
    /// The error that ended the stream, if there was one.
    error: Option<CodecError>,
}

impl FrameReader {
    /// Creates a reader without buffered bytes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Buffers bytes of the stream. The caller must read all messages with [`Self::next_message`] before it pushes
    /// more; if more than [`MAX_BUFFERED_BYTES`] are unread, the next read reports an error. After an error the bytes
    /// are dropped.
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

    /// Returns the next message, or none if no complete frame is buffered.
    ///
    /// # Errors
    ///
    /// If the stream is not a sequence of frames of this protocol version, or if too many bytes were pushed.
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

    /// Returns the number of bytes that are buffered and not read.
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
        // The version is checked before the frame is complete, since a frame of another protocol may never be complete.
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
