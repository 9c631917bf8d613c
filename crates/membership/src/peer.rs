//! What is known of each member, and the one rule by which an update replaces it.

use arrayvec::ArrayVec;
use sableloom_types::Time;

use crate::message::{Key, MemberState, Update};

/// How many confirmers of a suspicion are counted, besides the member that suspected first (Lifeguard's K).
pub const MAX_CONFIRMERS: usize = 3;

/// The suspicion that a member is dead.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspicion {
    /// The members that confirmed it, besides the first.
    pub confirmers: ArrayVec<Key, MAX_CONFIRMERS>,
    /// When the member is declared dead, if nobody else confirms the suspicion.
    pub deadline: Time,
    /// When the suspicion began.
    pub started: Time,
}

/// What is known of a member's health.
#[derive(Clone, Debug, PartialEq)]
pub enum Health {
    /// This process has never heard of it.
    Unknown,
    /// It answers.
    Alive,
    /// It is suspected.
    Suspect(Box<Suspicion>),
    /// It did not refute a suspicion in time.
    Dead,
    /// It has left on purpose.
    Left,
}

impl Health {
    /// Whether it counts as reachable: a suspected member does.
    pub fn is_reachable(&self) -> bool {
        matches!(self, Health::Alive | Health::Suspect(_))
    }

    /// The state that an update about it states.
    pub(crate) fn state(&self) -> Option<MemberState> {
        Some(match self {
            Health::Unknown => return None,
            Health::Alive => MemberState::Alive,
            Health::Suspect(_) => MemberState::Suspect,
            Health::Dead => MemberState::Dead,
            Health::Left => MemberState::Left,
        })
    }
}

/// Another member, as this process knows it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name's key.
    pub key: Key,
    /// The incarnation of its process.
    pub process_incarnation: u32,
    /// Its SWIM incarnation number.
    pub incarnation: u32,
    /// Its health,
    pub health: Health,
    /// since this time,
    pub health_since: Time,
    /// as this member found first.
    pub reported_by: Key,
    /// When a message from itself last came, if one ever did.
    pub last_message_at: Option<Time>,
    /// The nonce of its process; 0 if it is not known.
    pub nonce: u32,
    /// The length of its list, as it last stated; 0 if it has not.
    pub list_length: u16,
    /// The digest of the endpoint lists that it has in force, as it last stated; 0 if it has not. Operators are shown
    /// it and nothing depends on it: a balancer forwards to no server but those of its own list.
    pub endpoints_digest: u32,
}

impl Peer {
    /// A member that this process has never heard of.
    pub(crate) fn unknown(key: Key, health_since: Time, reported_by: Key) -> Self {
        Self {
            key,
            process_incarnation: 0,
            incarnation: 0,
            health: Health::Unknown,
            health_since,
            reported_by,
            last_message_at: None,
            nonce: 0,
            list_length: 0,
            endpoints_digest: 0,
        }
    }
}

/// The precedence of a state among updates with the same incarnations.
fn precedence(state: MemberState) -> u8 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Dead => 2,
        MemberState::Left => 3,
    }
}

/// Whether an update replaces what is known: a later process incarnation supersedes an earlier one, within one process
/// a later SWIM incarnation does, and within that the worse state. Only the member itself increases its incarnations,
/// so that it can refute whatever others say of it.
pub(crate) fn supersedes(update: &Update, peer: &Peer) -> bool {
    let Some(known) = peer.health.state() else { return true };
    let new = (update.process_incarnation, update.incarnation, precedence(update.state));
    new > (peer.process_incarnation, peer.incarnation, precedence(known))
}
