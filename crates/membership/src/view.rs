//! The view of the fleet that one member has.

use crate::peer::Peer;

/// How much of the fleet a member reaches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The member reaches all members that have not left.
    Complete,
    /// The member reaches some of the members that have not left.
    Partial {
        /// The number of members that it reaches, itself included.
        reachable: usize,
        /// The number of members that have not left, itself included.
        listed: usize,
    },
    /// The member reaches no other member of its list.
    Isolated,
    /// The member was suspended and has received messages from too few members since to trust its view.
    Resumed,
}

/// The view of the fleet at one time.
#[derive(Clone, Debug)]
pub struct View {
    /// The version of the view, which increases by one with each change.
    pub version: u64,
    /// The digest of the view. It is equal at two members that agree on which members are reachable, and in which
    /// process incarnations.
    pub digest: u32,
    /// How much of the fleet the member reaches.
    pub reachability: Reachability,
    /// The other members, in the order of the list.
    pub peers: Vec<Peer>,
}
