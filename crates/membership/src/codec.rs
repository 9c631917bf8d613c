//! The encoding of messages. Each message is one datagram that begins with a version. It has at most 256 bytes, or
//! 1,200 if it carries a page.

use crate::message::{Body, Message, Update};

/// The maximum size of a datagram between members in bytes, except for pages.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The maximum size of a datagram with a page in bytes. With its headers it fits the minimum MTU of IPv6, 1,280 bytes,
/// and is never fragmented.
pub const MAX_PAGE_BYTES: usize = 1200;
/// The version of this format, which is the first byte of this and every later format. A datagram of another version is
/// dropped.
const VERSION: u8 = 2;
/// The datagram of an absence query. It is not a message: the member's operating system answers it (ICMP, port
/// unreachable) if no process holds the address, and a process that holds the address ignores it.
pub const ABSENCE_QUERY: [u8; 1] = [0];
/// The maximum size of an encoded update in bytes.
const MAX_UPDATE_BYTES: usize = 20;

/// The reason for which a received datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DropReason {
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`], or than [`MAX_PAGE_BYTES`] if it carries a page.
    #[error("longer than 256 bytes, or than 1,200 bytes with a page")]
    TooLong,
    /// The datagram has another version of the format.
    #[error("of another version of the format")]
    OtherVersion,
    /// The datagram does not decode to a message, or bytes follow the message.
    #[error("not a valid message")]
    Malformed,
    /// The message is from a member of another fleet.
    #[error("from a member of another fleet")]
    OtherFleet,
    /// The source address is that of no member.
    #[error("from an address that no member has")]
    UnknownAddress,
    /// The source address is that of another member than the sender that the message names.
    #[error("from a member's address under another member's name")]
    WrongSender,
    /// The message was meant for an earlier process at this address.
    #[error("meant for an earlier process at this address")]
    StaleNonce,
    /// The datagram is an absence query, which is not a message.
    #[error("an absence query")]
    AbsenceQuery,
}

/// Returns the maximum size of a datagram with this body in bytes.
fn max_bytes(body: &Body) -> usize {
    match body {
        Body::Page(_) => MAX_PAGE_BYTES,
        _ => MAX_DATAGRAM_BYTES,
    }
}

/// Encodes a message with as many of its updates as fit, beginning with the first. Returns the datagram and the number
/// of updates in it.
pub fn encode(message: &Message) -> (Vec<u8>, usize) {
    let mut message = message.clone();
    let max = max_bytes(&message.body);
    loop {
        let mut bytes = vec![VERSION];
        if let Ok(encoded) = postcard::to_allocvec(&message) {
            bytes.extend(encoded);
        }
        if bytes.len() <= max || message.updates.is_empty() {
            return (bytes, message.updates.len());
        }
        // At least this number of updates does not fit.
        let excess = (bytes.len() - max).div_ceil(MAX_UPDATE_BYTES);
        message.updates.truncate(message.updates.len().saturating_sub(excess));
    }
}

/// Returns the encoded size of an update in bytes.
pub(crate) fn update_bytes(update: &Update) -> usize {
    postcard::experimental::serialized_size(update).unwrap_or(MAX_DATAGRAM_BYTES)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns the reason to drop the datagram if it is too long, of another version, an absence query, or not a message.
pub fn decode(bytes: &[u8]) -> Result<Message, DropReason> {
    if bytes.len() > MAX_PAGE_BYTES {
        return Err(DropReason::TooLong);
    }
    if *bytes == ABSENCE_QUERY {
        return Err(DropReason::AbsenceQuery);
    }
    let (version, rest) = bytes.split_first().ok_or(DropReason::Malformed)?;
    if *version != VERSION {
        return Err(DropReason::OtherVersion);
    }
    let Ok((message, [])) = postcard::take_from_bytes::<Message>(rest) else {
        return Err(DropReason::Malformed);
    };
    if bytes.len() > max_bytes(&message.body) {
        return Err(DropReason::TooLong);
    }
    Ok(message)
}

#[cfg(test)]
mod tests;
