//! The messages between members. Fields and variants are encoded by their positions, so that their order is part of the
//! wire format and a change of it needs a new version (see [`crate::encode`]).

use serde::{Deserialize, Serialize};

/// The hash of a member's name. It is the same at every member and in every build.
pub type Key = u32;

/// Returns the 32-bit FNV-1a hash of a name. Two names of a fleet that share a key are rejected when the list is read.
pub fn key_of(name: &str) -> Key {
    name.bytes().fold(0x811c_9dc5, |hash, byte| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193))
}

/// The state of a member, as an update states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The member is alive.
    Alive,
    /// The member did not answer a probe of the member that reports it.
    Suspect,
    /// The member was suspected and did not refute that in time, or was proved absent.
    Dead,
    /// The member has left on purpose.
    Left,
}

/// One item of gossip: the state of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    pub member: Key,
    /// The incarnation of its process, which is greater with each start.
    pub process_incarnation: u32,
    /// SWIM's incarnation number, which is greater by one with each refutation by this process.
    pub incarnation: u32,
    /// The state of the member.
    pub state: MemberState,
    /// The member that detected this state first.
    pub reported_by: Key,
}

/// The purpose of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A probe. The receiver answers with an [`Body::Ack`].
    Ping {
        /// The sequence number that the answer returns.
        seq: u32,
    },
    /// The answer to a ping. With a sequence number of 0 it answers no ping and only carries updates.
    Ack {
        /// The sequence number of the ping, or 0.
        seq: u32,
    },
    /// An indirect probe (SWIM's ping-req). The receiver pings the target for the sender.
    PingRequest {
        /// The sequence number that the answer returns.
        seq: u32,
        /// The member to ping.
        target: Key,
    },
    /// The target of a ping request has answered.
    IndirectAck {
        /// The sequence number of the ping request.
        seq: u32,
        /// The member that was pinged.
        target: Key,
    },
    /// The target of a ping request has not answered (Lifeguard's nack). The relay itself is reachable.
    Nack {
        /// The sequence number of the ping request.
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
    /// The sequence number that the page returns.
    pub seq: u32,
    /// The first requested key.
    pub first_key: Key,
    /// The salt of the digests, which differs in each exchange.
    pub salt: u32,
    /// The number of leading bits of the keys by which members are grouped.
    pub prefix_bits: u8,
    /// The sender's digests of the groups from that of the first key on. Members of a group for which the receiver has
    /// the same digest are not sent. Without digests, all members are sent.
    pub digests: Vec<u8>,
}

/// A part of the member table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The sequence number of the request.
    pub seq: u32,
    /// The last key that the page covers.
    pub last_key: Key,
    /// The process incarnation from which those of the entries are encoded as differences.
    pub base_incarnation: u32,
    /// The encoded states of members, in the order of their keys.
    pub entries: Vec<u8>,
}

/// A message between two members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The hash of the fleet's name.
    pub fleet: Key,
    /// The key of the sender.
    pub sender: Key,
    /// The incarnation of the sender's process.
    pub process_incarnation: u32,
    /// The sender's SWIM incarnation number.
    pub incarnation: u32,
    /// The number that the sender's process drew at random at its start.
    pub nonce: u32,
    /// The nonce of the receiver that the sender has recorded; 0 if it has recorded none. A message without the
    /// receiver's own nonce has no effect, because it may be meant for an earlier process at the same address.
    pub receiver_nonce: u32,
    /// The digest of the sender's view.
    pub view_digest: u32,
    /// The length of the sender's list, itself included.
    pub list_length: u16,
    /// The digest of the endpoint lists that the sender has in force; 0 if it has none.
    pub endpoints_digest: u32,
    /// The purpose of the message, with its data.
    pub body: Body,
    /// Gossip, with as many updates as fit.
    pub updates: Vec<Update>,
}
