//! What members say to one another: one datagram a message, versioned, 256 bytes at most but for pages.

use serde::{Deserialize, Serialize};

/// The most bytes of a datagram between balancers, but for pages.
pub const MOST: usize = 256;
/// The most bytes of a page: with its headers it fits the least MTU of IPv6, 1,280, and is never cut in parts.
pub const MAX_PAGE: usize = 1200;
/// Of this format. Another version is dropped whole: the first byte of every format to come.
const VERSION: u8 = 2;
/// No message: sent to learn whether any process holds the address, which its system answers if none does.
/// A process that holds it says nothing.
pub const KNOCK: [u8; 1] = [0];

/// A member's name, hashed: the same at every member and in every build.
pub type Key = u32;

/// FNV-1a, 32 bits. Two names of a fleet that share a key are refused when the list is read.
pub fn key_of(name: &str) -> Key {
    name.bytes().fold(0x811c_9dc5, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193))
}

/// What is said of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It is there.
    Alive,
    /// It did not answer the one who says so.
    Suspect,
    /// It was suspected and did not object in its time.
    Dead,
    /// It has left on purpose.
    Left,
}

/// News of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Of whom.
    pub of: Key,
    /// Which of its lives: greater with each start of its process.
    pub life: u32,
    /// Which of its objections within that life.
    pub incarnation: u32,
    /// What.
    pub state: MemberState,
    /// Who found that first.
    pub by: Key,
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Answer me.
    Ping {
        /// To be returned.
        seq: u32,
    },
    /// The answer.
    Ack {
        /// As it came.
        seq: u32,
    },
    /// Ask this one for me.
    Ask {
        /// To be returned.
        seq: u32,
        /// Whom.
        of: Key,
    },
    /// It has answered me.
    Answered {
        /// As it came.
        seq: u32,
        /// Who.
        of: Key,
    },
    /// It has not answered me, and I am here.
    Silent {
        /// As it came.
        seq: u32,
    },
    /// I am leaving.
    Leave,
    /// Tell me what you know of members.
    Pull(Pull),
    /// What I know of them.
    Page(Page),
}

/// A request for a part of the member table, in the order of keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// To be returned.
    pub seq: u32,
    /// The first key that is asked for.
    pub from: Key,
    /// Mixed into the digests.
    pub salt: u32,
    /// Members are in groups by so many first bits of their keys.
    pub bits: u8,
    /// The sender's digests of the groups from that key's on; members of groups that have the same are not told. With
    /// none all are.
    pub digests: Vec<u8>,
}

/// A part of the member table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// As it came.
    pub seq: u32,
    /// The last key that it covers.
    pub until: Key,
    /// Lives of its entries are told as differences from this one.
    pub base: u32,
    /// What is known of members, in the order of their keys.
    pub entries: Vec<u8>,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The fleet's name, hashed.
    pub fleet: Key,
    /// Who says it.
    pub from: Key,
    /// The life of the sender's process.
    pub life: u32,
    /// Its objections so far.
    pub incarnation: u32,
    /// Drawn by the sender's process at its start.
    pub nonce: u32,
    /// The receiver's, as the sender knows it; 0 for not yet. Nothing of a message counts that does not
    /// have the receiver's own: what was meant for an earlier process at the same address is not news.
    pub echo: u32,
    /// Of the sender's view.
    pub digest: u32,
    /// How many its list names, itself included.
    pub listed: u16,
    /// Of the lists of servers that it has in force; 0 if it has not said.
    pub servers: u32,
    /// What for.
    pub body: Body,
    /// What else there is to say.
    pub news: Vec<Update>,
}

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Longer than a datagram may be.
    TooLong,
    /// Of another version.
    Version,
    /// No message, or one with something behind it.
    Malformed,
    /// Of another fleet.
    Fleet,
    /// From an address that no member has.
    Address,
    /// From a member's address under another's name.
    Name,
    /// Meant for an earlier process here.
    Echo,
    /// A knock, which is no message.
    Knock,
}

/// How long a datagram with this body may be.
fn most_bytes(body: &Body) -> usize {
    match body {
        Body::Page(_) => MAX_PAGE,
        _ => MOST,
    }
}

/// Writes a message with as much of its news as there is room for, the first first; and how much that is.
pub fn encode(message: &Message) -> (Vec<u8>, usize) {
    let mut message = message.clone();
    let most = most_bytes(&message.body);
    loop {
        let mut bytes = vec![VERSION];
        if let Ok(text) = postcard::to_allocvec(&message) {
            bytes.extend(text);
        }
        if bytes.len() <= most || message.news.is_empty() {
            return (bytes, message.news.len());
        }
        // A news has 5 to 20 bytes: so many are surely too many.
        let over = (bytes.len() - most).div_ceil(20);
        message.news.truncate(message.news.len().saturating_sub(over));
    }
}

/// How many bytes an update takes in a message.
pub(crate) fn update_bytes(update: &Update) -> usize {
    postcard::experimental::serialized_size(update).unwrap_or(MOST)
}

/// Reads a datagram.
pub fn decode(bytes: &[u8]) -> Result<Message, Refused> {
    if bytes.len() > MAX_PAGE {
        return Err(Refused::TooLong);
    }
    if *bytes == KNOCK {
        return Err(Refused::Knock);
    }
    let (version, rest) = bytes.split_first().ok_or(Refused::Malformed)?;
    if *version != VERSION {
        return Err(Refused::Version);
    }
    let Ok((message, [])) = postcard::take_from_bytes::<Message>(rest) else {
        return Err(Refused::Malformed);
    };
    if bytes.len() > most_bytes(&message.body) {
        return Err(Refused::TooLong);
    }
    Ok(message)
}

#[cfg(test)]
mod tests;
