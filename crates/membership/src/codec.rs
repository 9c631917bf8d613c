//! The encoding: one datagram a message, versioned, of at most 256 bytes but for pages.

use crate::message::{Body, Message, Update};

/// Bytes of a datagram between members at most, but for pages.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Bytes of a page at most: with its headers it fits the smallest MTU of IPv6, 1,280, and is never fragmented.
pub const MAX_PAGE_BYTES: usize = 1200;
/// The version of this format, the first byte of every format to come. A datagram of another version is dropped.
const VERSION: u8 = 2;
/// The datagram of an absence query. It is no message: the operating system of the member answers it (ICMP, port
/// unreachable) if no process holds the address, and a process that holds the address ignores it.
pub const ABSENCE_QUERY: [u8; 1] = [0];
/// Bytes of an update at most.
const MAX_UPDATE_BYTES: usize = 20;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DropReason {
    /// It is longer than a datagram may be.
    #[error("longer than a datagram may be")]
    TooLong,
    /// It has another version.
    #[error("another version of the format")]
    OtherVersion,
    /// It is no message, or a message with bytes behind it.
    #[error("not a message")]
    Malformed,
    /// It is of another fleet.
    #[error("of another fleet")]
    OtherFleet,
    /// It came from an address that no member has.
    #[error("from an address that no member has")]
    UnknownAddress,
    /// It came from a member's address under another's name.
    #[error("from a member's address under another's name")]
    WrongSender,
    /// It was meant for an earlier process at this address.
    #[error("meant for an earlier process at this address")]
    StaleNonce,
    /// It is an absence query, which is no message.
    #[error("an absence query")]
    AbsenceQuery,
}

/// How long a datagram with this body may be.
fn max_bytes(body: &Body) -> usize {
    match body {
        Body::Page(_) => MAX_PAGE_BYTES,
        _ => MAX_DATAGRAM_BYTES,
    }
}

/// Encodes a message with as many of its updates as there is space for, the first first. Returns how many those are.
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
        // At least so many updates are too many.
        let excess = (bytes.len() - max).div_ceil(MAX_UPDATE_BYTES);
        message.updates.truncate(message.updates.len().saturating_sub(excess));
    }
}

/// How many bytes an update takes in a message.
pub(crate) fn update_bytes(update: &Update) -> usize {
    postcard::experimental::serialized_size(update).unwrap_or(MAX_DATAGRAM_BYTES)
}

/// Decodes a datagram.
///
/// # Errors
///
/// The reason to drop the datagram if it is too long, of another version, or no message.
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
