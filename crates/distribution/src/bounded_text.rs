//! The encoding (`serde(with)`) of texts from operators and errors in messages. Encoding cuts a text over
//! [`MAX_TEXT_BYTES`] at a character boundary; decoding reports an error for one.

use std::sync::Arc;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serializer};

/// The maximum length in bytes of a file's name, a field's name or a problem's text in a message.
pub const MAX_TEXT_BYTES: usize = 512;

pub(crate) fn serialize<S: Serializer>(text: &Arc<str>, serializer: S) -> Result<S::Ok, S::Error> {
    let end = (0..=MAX_TEXT_BYTES.min(text.len())).rev().find(|i| text.is_char_boundary(*i));
    serializer.serialize_str(&text[..end.unwrap_or(0)])
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Arc<str>, D::Error> {
    let text = <&str>::deserialize(deserializer)?;
    if text.len() > MAX_TEXT_BYTES {
        return Err(D::Error::custom("text too long"));
    }
    Ok(text.into())
}
