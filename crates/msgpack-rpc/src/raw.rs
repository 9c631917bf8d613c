//! Values as the bytes that they came in.

use bytes::Bytes;

use crate::scan::{Shape, head, length};
use crate::{DecodeError, Limits};

/// One whole value. Its parts are cut out of the same buffer; none is copied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Raw(Bytes);

impl Raw {
    /// What was scanned already.
    pub(crate) fn scanned(bytes: Bytes) -> Self {
        Self(bytes)
    }

    /// One whole value and nothing behind it.
    ///
    /// # Errors
    ///
    /// If the bytes are no value, exceed a limit, or something follows the value.
    pub fn read(bytes: Bytes, limits: &Limits) -> Result<Self, DecodeError> {
        match length(&bytes, limits)? {
            Some(end) if end == bytes.len() => Ok(Self(bytes)),
            _ => Err(DecodeError::NoMessage),
        }
    }

    /// Its bytes.
    pub fn bytes(&self) -> &Bytes {
        &self.0
    }

    fn first(&self) -> u8 {
        self.0.first().copied().unwrap_or(0xc1)
    }

    fn shape(&self) -> Option<(Shape, usize)> {
        head(&self.0).ok().flatten()
    }

    fn behind_head(&self) -> Bytes {
        let len = self.shape().map_or(self.0.len(), |(_, len)| len);
        self.0.slice(len.min(self.0.len())..)
    }

    /// Whether it is nil.
    pub fn is_nil(&self) -> bool {
        self.first() == 0xc0
    }

    /// The text of a str, if it is UTF-8.
    pub fn text(&self) -> Option<Bytes> {
        let text = matches!(self.first(), 0xa0..=0xbf | 0xd9..=0xdb).then(|| self.behind_head())?;
        std::str::from_utf8(&text).is_ok().then_some(text)
    }

    /// The bytes of a bin, or of a str: clients from before bin was specified send str for both.
    pub fn octets(&self) -> Option<Bytes> {
        let is = matches!(self.first(), 0xa0..=0xbf | 0xc4..=0xc6 | 0xd9..=0xdb);
        is.then(|| self.behind_head())
    }

    /// A whole number from 0, in whatever width it was written.
    pub fn uint(&self) -> Option<u64> {
        let digits = self.0.get(1..)?;
        let number = digits.iter().fold(0u64, |n, digit| (n << 8) | u64::from(*digit));
        match self.first() {
            small @ 0x00..=0x7f => Some(u64::from(small)),
            0xcc..=0xcf => Some(number),
            // Signed, and not below zero.
            0xd0..=0xd3 if digits.first().is_some_and(|d| *d < 0x80) => Some(number),
            _ => None,
        }
    }

    /// True or false.
    pub fn flag(&self) -> Option<bool> {
        match self.first() {
            0xc2 => Some(false),
            0xc3 => Some(true),
            _ => None,
        }
    }

    /// The elements of an array.
    pub fn array(&self) -> Option<Vec<Raw>> {
        match self.shape()? {
            (Shape::Array(n), len) => self.parts(n, len),
            _ => None,
        }
    }

    /// The entries of a map, in their order; a key may come twice.
    pub fn map(&self) -> Option<Vec<(Raw, Raw)>> {
        let (Shape::Map(n), len) = self.shape()? else { return None };
        let mut parts = self.parts(n.checked_mul(2)?, len)?.into_iter();
        let mut entries = Vec::with_capacity(n);
        while let (Some(key), Some(value)) = (parts.next(), parts.next()) {
            entries.push((key, value));
        }
        Some(entries)
    }

    fn parts(&self, count: usize, mut at: usize) -> Option<Vec<Raw>> {
        // It was within bounds when it was read; each part takes a byte at least.
        const ANY: Limits = Limits { bytes: usize::MAX, depth: usize::MAX, elements: usize::MAX };
        let mut parts = Vec::with_capacity(count.min(self.0.len()));
        for _ in 0..count {
            let end = at + length(&self.0[at..], &ANY).ok()??;
            parts.push(Raw(self.0.slice(at..end)));
            at = end;
        }
        Some(parts)
    }
}
