//! Header fields in one buffer.

use bytes::{Bytes, BytesMut};

/// The header fields of a request or an answer, in their order. Names are in lower case.
/// All text is in one buffer: a message costs two allocations, however many fields it has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields {
    text: Bytes,
    ends: Vec<FieldEnd>,
}

/// Where the name and the value of a field end in the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FieldEnd {
    name: u32,
    value: u32,
}

impl Fields {
    /// Copies names and values into one buffer. `pairs` is called twice: to measure them, and to copy them into a
    /// buffer of that size. Fields that do not fit into 4 GiB are left out.
    pub fn collect<'a, I>(pairs: impl Fn() -> I) -> Self
    where
        I: Iterator<Item = (&'a [u8], &'a [u8])>,
    {
        let (mut bytes, mut count) = (0, 0);
        for (name, value) in pairs() {
            bytes += name.len() + value.len();
            count += 1;
        }
        let (mut text, mut ends) = (BytesMut::with_capacity(bytes), Vec::with_capacity(count));
        for (name, value) in pairs() {
            let name_end = text.len() + name.len();
            let value_end = name_end + value.len();
            let (Ok(name_end), Ok(value_end)) = (u32::try_from(name_end), u32::try_from(value_end))
            else {
                break;
            };
            text.extend_from_slice(name);
            text.extend_from_slice(value);
            ends.push(FieldEnd { name: name_end, value: value_end });
        }
        Self { text: text.freeze(), ends }
    }

    /// Iterates over the names and values in their order. The values share the buffer.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], Bytes)> {
        let mut start = 0;
        self.ends.iter().map(move |end| {
            let (name_end, value_end) = (end.name as usize, end.value as usize);
            let field = (&self.text[start..name_end], self.text.slice(name_end..value_end));
            start = value_end;
            field
        })
    }

    /// The bytes of all names and values.
    pub fn text_bytes(&self) -> usize {
        self.text.len()
    }

    /// The number of fields.
    pub fn count(&self) -> usize {
        self.ends.len()
    }

    /// The value of the first field with this name, which must be in lower case.
    pub fn get(&self, name: &str) -> Option<Bytes> {
        self.iter().find(|(n, _)| *n == name.as_bytes()).map(|(_, value)| value)
    }
}

#[cfg(test)]
mod tests;
