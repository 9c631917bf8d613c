//! Finds where a value ends, however its bytes are split, and scans each of them once.

use rmp::Marker;

use crate::{DecodeError, Limits};

/// What a value's first bytes announce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    /// So many bytes behind the head, and nothing inside.
    Plain(usize),
    /// So many values inside.
    Array(usize),
    /// Twice so many values inside.
    Map(usize),
}

/// The shape of the value that begins here and the length of its head; `None` if more bytes are
/// needed to tell.
pub(crate) fn head(bytes: &[u8]) -> Result<Option<(Shape, usize)>, DecodeError> {
    let Some(first) = bytes.first() else { return Ok(None) };
    // The big-endian number behind the first byte.
    let number = |len: usize| -> Option<usize> {
        let digits = bytes.get(1..=len)?;
        Some(digits.iter().fold(0, |n, digit| (n << 8) | usize::from(*digit)))
    };
    let sized = |len: usize, extra: usize| {
        number(len).map(|n| (Shape::Plain(n.saturating_add(extra)), 1 + len))
    };
    let plain = |n: usize| Some((Shape::Plain(n), 1));
    Ok(match Marker::from_u8(*first) {
        Marker::FixPos(_) | Marker::FixNeg(_) | Marker::Null | Marker::False | Marker::True => {
            plain(0)
        }
        Marker::U8 | Marker::I8 => plain(1),
        Marker::U16 | Marker::I16 => plain(2),
        Marker::U32 | Marker::I32 | Marker::F32 => plain(4),
        Marker::U64 | Marker::I64 | Marker::F64 => plain(8),
        Marker::FixStr(n) => plain(usize::from(n)),
        Marker::Str8 | Marker::Bin8 => sized(1, 0),
        Marker::Str16 | Marker::Bin16 => sized(2, 0),
        Marker::Str32 | Marker::Bin32 => sized(4, 0),
        // An extension's type is one byte more.
        Marker::FixExt1 => plain(2),
        Marker::FixExt2 => plain(3),
        Marker::FixExt4 => plain(5),
        Marker::FixExt8 => plain(9),
        Marker::FixExt16 => plain(17),
        Marker::Ext8 => sized(1, 1),
        Marker::Ext16 => sized(2, 1),
        Marker::Ext32 => sized(4, 1),
        Marker::FixArray(n) => Some((Shape::Array(usize::from(n)), 1)),
        Marker::Array16 => number(2).map(|n| (Shape::Array(n), 3)),
        Marker::Array32 => number(4).map(|n| (Shape::Array(n), 5)),
        Marker::FixMap(n) => Some((Shape::Map(usize::from(n)), 1)),
        Marker::Map16 => number(2).map(|n| (Shape::Map(n), 3)),
        Marker::Map32 => number(4).map(|n| (Shape::Map(n), 5)),
        Marker::Reserved => return Err(DecodeError::NeverUsed),
    })
}

/// A value that is being scanned, from the first byte of a buffer that may grow.
#[derive(Clone, Debug, Default)]
pub(crate) struct Scan {
    /// All before it is scanned.
    at: usize,
    /// How many values are still to come in each array and map that is open, the outermost first.
    open: Vec<usize>,
    elements: usize,
    done: bool,
}

/// How a step of a scan ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// More bytes are needed.
    Needs,
    /// A value ended here that lies so deep: 0 for the whole.
    Ended { at: usize, depth: usize },
}

impl Scan {
    /// Goes on to the end of the next value that is not inside one deeper than `depth`.
    pub(crate) fn step(
        &mut self,
        bytes: &[u8],
        limits: &Limits,
        depth: usize,
    ) -> Result<Step, DecodeError> {
        while !self.done {
            let Some((shape, len)) = head(&bytes[self.at..])? else {
                // An incomplete head must not exceed the limit either.
                return if bytes.len() > limits.bytes {
                    Err(DecodeError::TooLong)
                } else {
                    Ok(Step::Needs)
                };
            };
            let inside = match shape {
                Shape::Plain(more) => {
                    let end = self.at.saturating_add(len).saturating_add(more);
                    if end > limits.bytes {
                        return Err(DecodeError::TooLong);
                    }
                    if end > bytes.len() {
                        return Ok(Step::Needs);
                    }
                    self.at = end;
                    0
                }
                Shape::Array(n) => self.enter(len, n, limits)?,
                Shape::Map(n) => self.enter(len, n.saturating_mul(2), limits)?,
            };
            if inside > 0 {
                continue;
            }
            if let Some(ended) = self.close(depth) {
                return Ok(ended);
            }
        }
        Ok(Step::Ended { at: self.at, depth: 0 })
    }

    fn enter(&mut self, len: usize, inside: usize, limits: &Limits) -> Result<usize, DecodeError> {
        if self.at + len > limits.bytes {
            return Err(DecodeError::TooLong);
        }
        self.elements = self.elements.saturating_add(inside);
        if self.elements > limits.elements {
            return Err(DecodeError::TooMany);
        }
        if self.open.len() >= limits.depth {
            return Err(DecodeError::TooDeep);
        }
        self.at += len;
        if inside > 0 {
            self.open.push(inside);
        }
        Ok(inside)
    }

    /// A value has ended, and with it those of which it was the last part. Returns the outermost, unless all of them
    /// lie deeper than `most`.
    fn close(&mut self, most: usize) -> Option<Step> {
        loop {
            let depth = self.open.len();
            match self.open.last_mut() {
                None => {
                    self.done = true;
                    return Some(Step::Ended { at: self.at, depth: 0 });
                }
                Some(left) => {
                    *left -= 1;
                    if *left > 0 {
                        return (depth <= most).then_some(Step::Ended { at: self.at, depth });
                    }
                    self.open.pop();
                }
            }
        }
    }
}

/// The length of the value that these bytes begin with.
pub(crate) fn length(bytes: &[u8], limits: &Limits) -> Result<Option<usize>, DecodeError> {
    match Scan::default().step(bytes, limits, 0)? {
        Step::Needs => Ok(None),
        Step::Ended { at, .. } => Ok(Some(at)),
    }
}
