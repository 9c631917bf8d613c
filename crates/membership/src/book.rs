//! What is known of each member, and the one rule by which news replaces what is known.

use arrayvec::ArrayVec;
use sableloom_types::Time;

use crate::wire::{Key, MemberState, Update};

/// How many accusers besides the first are told apart.
pub const ACCUSERS: usize = 3;

/// A member is doubted.
#[derive(Clone, Debug, PartialEq)]
pub struct Suspicion {
    /// Who confirmed it.
    pub accusers: ArrayVec<Key, ACCUSERS>,
    /// When it counts as dead, with no more accusers.
    pub until: Time,
    /// When the doubt began.
    pub from: Time,
}

/// What is known of a member's health.
#[derive(Clone, Debug, PartialEq)]
pub enum Health {
    /// Nothing was ever heard of it.
    Unknown,
    /// It is there.
    Alive,
    /// It is doubted, by these besides the first, until then.
    Suspect(Box<Suspicion>),
    /// It did not object in its time.
    Dead,
    /// It has left on purpose.
    Left,
}

impl Health {
    /// Whether it counts among those that are there: one that is doubted does.
    pub fn is_there(&self) -> bool {
        matches!(self, Health::Alive | Health::Suspect(_))
    }

    /// What would be said of it.
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

/// Another member, as it is known.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its name's key.
    pub key: Key,
    /// Which of its lives is known.
    pub life: u32,
    /// Which of its objections.
    pub incarnation: u32,
    /// What is known.
    pub health: Health,
    /// Since when.
    pub since: Time,
    /// By whose word.
    pub by: Key,
    /// When it was last heard itself, if it ever was.
    pub heard: Option<Time>,
    /// What its process drew at its start, once it has told; 0 before.
    pub nonce: u32,
    /// How many its list names, as it told last; 0 before.
    pub listed: u16,
    /// A digest of the lists of servers that it has in force, as it told last; 0 before. Nothing is done by it:
    /// a balancer sends to no server but those of its own list.
    pub servers: u32,
}

impl Peer {
    /// One that nothing was ever heard of.
    pub(crate) fn unknown(key: Key, since: Time, by: Key) -> Self {
        Self {
            key,
            life: 0,
            incarnation: 0,
            health: Health::Unknown,
            since,
            by,
            heard: None,
            nonce: 0,
            listed: 0,
            servers: 0,
        }
    }
}

/// What one's own place in the fleet is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It hears all that it counts among those there.
    Whole,
    /// It hears some of the list.
    Part {
        /// So many, itself included,
        hears: usize,
        /// of so many.
        of: usize,
    },
    /// It hears nobody, and others are on the list.
    Alone,
    /// It did not run for a while and has heard too few since to trust what it knew.
    JustWoken,
}

/// The view of a fleet at a moment.
#[derive(Clone, Debug)]
pub struct View {
    /// One more with each change.
    pub number: u64,
    /// The same at two members that agree on who is there, and in which lives.
    pub digest: u32,
    /// Its own place.
    pub standing: Standing,
    /// The others.
    pub peers: Vec<Peer>,
}

/// How much news counts against other news of the same life and objection.
fn weight(state: MemberState) -> u8 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Dead => 2,
        MemberState::Left => 3,
    }
}

/// Whether news replaces what is known: a later life beats an earlier one, within a life a later
/// objection, and within that the worse word. Only the member itself makes lives and objections, so that
/// whoever is accused can always say something that counts more.
pub(crate) fn replaces(news: &Update, peer: &Peer) -> bool {
    let Some(known) = peer.health.state() else { return true };
    let new = (news.life, news.incarnation, weight(news.state));
    new > (peer.life, peer.incarnation, weight(known))
}

/// One member's part of a digest. Doubt is not part of it: it passes, or becomes death.
pub(crate) fn part_of_digest(key: Key, life: u32, health: &Health) -> u32 {
    if !health.is_there() {
        return 0;
    }
    // Every bit of name and life changes half of the digest's.
    mixed(u64::from(key) << 32 | u64::from(life))
}

/// splitmix64's last steps.
pub(crate) fn mixed(mut h: u64) -> u32 {
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (h ^ (h >> 31)) as u32
}
