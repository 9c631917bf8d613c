//! Decodes messages from bytes as they come.

use arrayvec::ArrayVec;
use bytes::{Bytes, BytesMut};

use crate::scan::{Scan, Shape, Step, head};
use crate::{DecodeError, Limits, Raw};

/// A decoded message; its method, params, error and result are not interpreted yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A call that is to be answered.
    Request {
        /// Identifies its response among the open calls of the connection.
        msgid: u32,
        /// The method; a str, if the peer keeps to the specification.
        method: Raw,
        /// Its params; an array, if the peer keeps to the specification.
        params: Raw,
    },
    /// The answer to a call.
    Response {
        /// Which call.
        msgid: u32,
        /// Nil, or the error.
        error: Raw,
        /// The result of the call.
        result: Raw,
    },
    /// A call that is not to be answered.
    Notification {
        /// The method.
        method: Raw,
        /// Its params.
        params: Raw,
    },
}

/// Decodes messages from bytes that may be split anywhere.
#[derive(Debug)]
pub struct Decoder {
    limits: Limits,
    buffer: BytesMut,
    scan: Scan,
    /// Where the message's own elements end, as far as they are scanned.
    ends: ArrayVec<usize, 4>,
    /// The length of the message's head, once that is there.
    begun: Option<usize>,
    failed: Option<DecodeError>,
}

impl Decoder {
    /// A decoder at the start of a connection.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            buffer: BytesMut::new(),
            scan: Scan::default(),
            ends: ArrayVec::new(),
            begun: None,
            failed: None,
        }
    }

    /// Adds received bytes. They are decoded by [`Decoder::message`], to be called until it needs more: then less than
    /// a message is buffered.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.failed.is_none() {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// Bytes that are buffered.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Whether a message has begun and not ended.
    pub fn is_within(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next complete message; `None` if more bytes are needed. After an error nothing more of the connection can
    /// be decoded, and every call returns the error.
    ///
    /// # Errors
    ///
    /// If the bytes are no message, or exceed a limit.
    pub fn message(&mut self) -> Result<Option<Message>, DecodeError> {
        if let Some(failed) = self.failed {
            return Err(failed);
        }
        let next = self.scan_on();
        if let Err(error) = next {
            self.failed = Some(error);
            self.buffer = BytesMut::new();
        }
        next
    }

    fn scan_on(&mut self) -> Result<Option<Message>, DecodeError> {
        if self.begun.is_none() {
            let Some((shape, len)) = head(&self.buffer)? else { return Ok(None) };
            // Mostly decided by the first byte: no more is awaited of a peer that speaks another protocol.
            if !matches!(shape, Shape::Array(3 | 4)) {
                return Err(DecodeError::NoMessage);
            }
            self.begun = Some(len);
        }
        loop {
            match self.scan.step(&self.buffer, &self.limits, 1)? {
                Step::Needs => return Ok(None),
                Step::Ended { at, depth: 1 } => {
                    let _ = self.ends.try_push(at);
                    self.check_kind()?;
                }
                Step::Ended { at, .. } => {
                    let _ = self.ends.try_push(at);
                    self.check_kind()?;
                    return self.take(at).map(Some);
                }
            }
        }
    }

    fn part(whole: &[u8], begun: usize, ends: &[usize], i: usize) -> std::ops::Range<usize> {
        let start = if i == 0 { begun } else { ends[i - 1] };
        start..ends[i].min(whole.len())
    }

    /// Checks the kind and the id as soon as they are there, so that an invalid message is not buffered to its end.
    fn check_kind(&self) -> Result<(), DecodeError> {
        let begun = self.begun.unwrap_or(0);
        let value = |i: usize| {
            let range = Self::part(&self.buffer, begun, &self.ends, i);
            Raw::scanned(Bytes::copy_from_slice(&self.buffer[range])).uint()
        };
        match self.ends.len() {
            1 => match value(0) {
                Some(0..=2) => Ok(()),
                _ => Err(DecodeError::NoMessage),
            },
            2 if value(0) != Some(2) => match value(1) {
                Some(id) if id <= u64::from(u32::MAX) => Ok(()),
                _ => Err(DecodeError::NoId),
            },
            _ => Ok(()),
        }
    }

    /// Cuts the complete message out of the buffer.
    fn take(&mut self, end: usize) -> Result<Message, DecodeError> {
        let whole = self.buffer.split_to(end).freeze();
        let ends = std::mem::take(&mut self.ends);
        let begun = self.begun.take().unwrap_or(0);
        self.scan = Scan::default();
        let part = |i: usize| Raw::scanned(whole.slice(Self::part(&whole, begun, &ends, i)));
        let id = || part(1).uint().and_then(|id| u32::try_from(id).ok()).ok_or(DecodeError::NoId);
        match (part(0).uint(), ends.len()) {
            (Some(0), 4) => Ok(Message::Request { msgid: id()?, method: part(2), params: part(3) }),
            (Some(1), 4) => Ok(Message::Response { msgid: id()?, error: part(2), result: part(3) }),
            (Some(2), 3) => Ok(Message::Notification { method: part(1), params: part(2) }),
            _ => Err(DecodeError::NoMessage),
        }
    }
}
