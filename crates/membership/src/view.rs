//! The view of the fleet that one member has.

use crate::peer::Peer;

/// How much of the fleet a member reaches itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// It reaches all members that have not left.
    Complete,
    /// It reaches some of them.
    Partial {
        /// How many it reaches, itself included.
        reachable: usize,
        /// How many have not left, itself included.
        listed: usize,
    },
    /// It reaches no other member of its list.
    Isolated,
    /// It was suspended and has heard too few members since to trust what it knew.
    Resumed,
}

/// The view of the fleet at one time.
#[derive(Clone, Debug)]
pub struct View {
    /// One more with each change.
    pub version: u64,
    /// The same at two members that agree on which members are reachable, and in which process incarnations.
    pub digest: u32,
    /// How much of the fleet the member reaches.
    pub reachability: Reachability,
    /// The other members.
    pub peers: Vec<Peer>,
}
