//! The state that is known of each member, and the rule by which an update replaces it.

use arrayvec::ArrayVec;
use sableloom_types::Time;

use crate::message::{Key, MemberState, Update};

/// The maximum number of confirmers of a suspicion that are counted, besides the member that suspected first
/// (Lifeguard's K).
pub const MAX_CONFIRMERS: usize = 3;

/// The suspicion that a member is dead.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspicion {
    /// The members that confirmed the suspicion, besides the one that suspected first.
    pub confirmers: ArrayVec<Key, MAX_CONFIRMERS>,
    /// When the member is declared dead, if no other member confirms the suspicion.
    pub deadline: Time,
    /// When the suspicion began.
    pub started: Time,
}

/// What is known of the health of a member.
#[derive(Clone, Debug, PartialEq)]
pub enum Health {
    /// Nothing is known of the member yet.
    Unknown,
    /// The member is alive.
    Alive,
    /// The member is suspected to be dead.
    Suspect(Box<Suspicion>),
    /// The member did not refute a suspicion in time, or was proved absent.
    Dead,
    /// The member has left on purpose.
    Left,
}

impl Health {
    /// Returns whether the member counts as reachable. A suspected member does.
    pub fn is_reachable(&self) -> bool {
        matches!(self, Health::Alive | Health::Suspect(_))
    }

    /// Returns the state that an update about the member states; `None` if nothing is known of it.
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

/// The state that this process has recorded of another member.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The key of its name.
    pub key: Key,
    /// The incarnation of its process.
    pub process_incarnation: u32,
    /// Its SWIM incarnation number.
    pub incarnation: u32,
    /// Its health.
    pub health: Health,
    /// When this process recorded the current state of the member.
    pub health_since: Time,
    /// The member that detected this state first.
    pub reported_by: Key,
    /// When the last message from the member itself was accepted; `None` if none was.
    pub last_message_at: Option<Time>,
    /// The nonce of its process; 0 if it is not known.
    pub nonce: u32,
    /// The length of its list as it last stated; 0 if it has stated none.
    pub list_length: u16,
    /// The digest of the endpoint lists that it has in force as it last stated; 0 if it has stated none. The digest is
    /// shown to operators, and nothing depends on it: a balancer forwards to no server but those of its own list.
    pub endpoints_digest: u32,
}

impl Peer {
    /// Creates the state of a member of which nothing is known.
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

/// Returns the precedence of a state among updates with the same incarnations.
fn precedence(state: MemberState) -> u8 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Dead => 2,
        MemberState::Left => 3,
    }
}

/// Returns whether an update replaces the known state of a member. A later process incarnation supersedes an earlier
/// one; within one process a later SWIM incarnation does, and within that the worse state. Only the member itself
/// increases its incarnations, so that it can refute all statements of others about it.
pub(crate) fn supersedes(update: &Update, peer: &Peer) -> bool {
    let Some(known) = peer.health.state() else { return true };
    let new = (update.process_incarnation, update.incarnation, precedence(update.state));
    new > (peer.process_incarnation, peer.incarnation, precedence(known))
}
