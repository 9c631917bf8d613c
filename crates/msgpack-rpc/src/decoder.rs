//! Messages out of bytes as they come.

use arrayvec::ArrayVec;
use bytes::{Bytes, BytesMut};

use crate::scan::{Scan, Shape, Step, head};
use crate::{Error, Limits, Raw};

/// A message as it came. What it asks for or answers is not judged yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// A call that is to be answered.
    Request {
        /// By which its response is known, among those that are open on the connection.
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
        /// Nil, or what went wrong.
        error: Raw,
        /// What the call gave.
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

/// Makes messages of bytes that may be cut anywhere.
#[derive(Debug)]
pub struct Decoder {
    limits: Limits,
    buffer: BytesMut,
    scan: Scan,
    /// Where the message's own elements end, as far as they are scanned.
    ends: ArrayVec<usize, 4>,
    /// The length of the message's head, once that is there.
    begun: Option<usize>,
    failed: Option<Error>,
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

    /// More bytes have come. They are looked at by [`Decoder::message`], which is to be called until
    /// it needs more: what is buffered is then less than a message.
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

    /// The next whole message; `None` if more bytes are needed. After an error the rest of the
    /// connection means nothing, and the error is told again.
    ///
    /// # Errors
    ///
    /// If the bytes are no message, or exceed a limit.
    pub fn message(&mut self) -> Result<Option<Message>, Error> {
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

    fn scan_on(&mut self) -> Result<Option<Message>, Error> {
        if self.begun.is_none() {
            let Some((shape, len)) = head(&self.buffer)? else { return Ok(None) };
            // Told by the first byte mostly: whoever speaks another protocol is not waited for.
            if !matches!(shape, Shape::Array(3 | 4)) {
                return Err(Error::NoMessage);
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

    /// The kind is told as soon as it is there, and an id behind it: a response to nothing is not
    /// read to its end.
    fn check_kind(&self) -> Result<(), Error> {
        let begun = self.begun.unwrap_or(0);
        let value = |i: usize| {
            let range = Self::part(&self.buffer, begun, &self.ends, i);
            Raw::scanned(Bytes::copy_from_slice(&self.buffer[range])).uint()
        };
        match self.ends.len() {
            1 => match value(0) {
                Some(0..=2) => Ok(()),
                _ => Err(Error::NoMessage),
            },
            2 if value(0) != Some(2) => match value(1) {
                Some(id) if id <= u64::from(u32::MAX) => Ok(()),
                _ => Err(Error::NoId),
            },
            _ => Ok(()),
        }
    }

    /// Cuts the whole message out of the buffer.
    fn take(&mut self, end: usize) -> Result<Message, Error> {
        let whole = self.buffer.split_to(end).freeze();
        let ends = std::mem::take(&mut self.ends);
        let begun = self.begun.take().unwrap_or(0);
        self.scan = Scan::default();
        let part = |i: usize| Raw::scanned(whole.slice(Self::part(&whole, begun, &ends, i)));
        let id = || part(1).uint().and_then(|id| u32::try_from(id).ok()).ok_or(Error::NoId);
        match (part(0).uint(), ends.len()) {
            (Some(0), 4) => Ok(Message::Request { msgid: id()?, method: part(2), params: part(3) }),
            (Some(1), 4) => Ok(Message::Response { msgid: id()?, error: part(2), result: part(3) }),
            (Some(2), 3) => Ok(Message::Notification { method: part(1), params: part(2) }),
            _ => Err(Error::NoMessage),
        }
    }
}
