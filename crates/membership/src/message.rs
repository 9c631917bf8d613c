//! What members say to each other. Fields and variants are encoded by their positions: their order is the wire format,
//! and a change of it needs a new version (see [`crate::encode`]).

use serde::{Deserialize, Serialize};

/// A member's name, hashed: the same at every member and in every build.
pub type Key = u32;

/// FNV-1a, 32 bits. Two names of a fleet that share a key are rejected when the list is read.
pub fn key_of(name: &str) -> Key {
    name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

/// The state of a member, as an update states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers.
    Alive,
    /// It did not answer a probe of the member that reports it.
    Suspect,
    /// It was suspected and did not refute that in time.
    Dead,
    /// It has left on purpose.
    Left,
}

/// One item of gossip: the state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    pub member: Key,
    /// The incarnation of its process: greater with each start.
    pub process_incarnation: u32,
    /// SWIM's incarnation number: one more with each refutation of this process.
    pub incarnation: u32,
    /// Its state.
    pub state: MemberState,
    /// The member that found that first.
    pub reported_by: Key,
}

/// The purpose of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A probe: the receiver answers with an [`Body::Ack`].
    Ping {
        /// To be returned.
        seq: u32,
    },
    /// The answer to a ping. With a sequence number of 0 it answers nothing and carries updates.
    Ack {
        /// As it came.
        seq: u32,
    },
    /// An indirect probe (SWIM's ping-req): the receiver pings the target for the sender.
    PingRequest {
        /// To be returned.
        seq: u32,
        /// The member to ping.
        target: Key,
    },
    /// The target of a ping request has answered.
    IndirectAck {
        /// As it came.
        seq: u32,
        /// The member that was pinged.
        target: Key,
    },
    /// The target of a ping request has not answered (Lifeguard's nack): the relay itself is reachable.
    Nack {
        /// As it came.
        seq: u32,
    },
    /// The sender leaves on purpose.
    Leave,
    /// A request for a page of the receiver's member table.
    Pull(Pull),
    /// A page of the sender's member table.
    Page(Page),
}

/// A request for a part of the member table, in the order of keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// To be returned.
    pub seq: u32,
    /// The first key that is requested.
    pub first_key: Key,
    /// Mixed into the digests.
    pub salt: u32,
    /// Members are grouped by so many first bits of their keys.
    pub prefix_bits: u8,
    /// The sender's digests of the groups from that of the first key on. Members of a group with the same digest are
    /// not sent. Without digests all members are sent.
    pub digests: Vec<u8>,
}

/// A part of the member table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// As it came.
    pub seq: u32,
    /// The last key that it covers.
    pub last_key: Key,
    /// Process incarnations of its entries are encoded as differences from this one.
    pub base_incarnation: u32,
    /// What is known of members, in the order of their keys.
    pub entries: Vec<u8>,
}

/// A message between two members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The fleet's name, hashed.
    pub fleet: Key,
    /// The sender.
    pub sender: Key,
    /// The incarnation of the sender's process.
    pub process_incarnation: u32,
    /// The sender's SWIM incarnation number.
    pub incarnation: u32,
    /// Drawn by the sender's process at its start.
    pub nonce: u32,
    /// The nonce of the receiver, as the sender knows it; 0 if it does not. A message without the receiver's own nonce
    /// has no effect: it was meant for an earlier process at the same address.
    pub receiver_nonce: u32,
    /// The digest of the sender's view.
    pub view_digest: u32,
    /// The length of the sender's list, itself included.
    pub list_length: u16,
    /// The digest of the endpoint lists that the sender has in force; 0 if it has none.
    pub endpoints_digest: u32,
    /// The purpose.
    pub body: Body,
    /// Gossip, as much as there is space for.
    pub updates: Vec<Update>,
}
