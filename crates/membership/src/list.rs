//! The operators' list of members.

use std::net::SocketAddr;
use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::message::{Key, key_of};

/// A member of the operators' list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedMember {
    /// The member's name.
    pub name: String,
    /// The address at which the member receives datagrams.
    pub address: SocketAddr,
}

/// An immutable list of members, indexed by key and by address. Members in the same process that have the same list
/// share it, because it takes more memory than the state that one member keeps of the others.
#[derive(Clone, Debug, Default)]
pub struct MemberList {
    members: Vec<(Key, ListedMember)>,
    by_key: FxHashMap<Key, u32>,
    by_address: FxHashMap<SocketAddr, u32>,
    /// The keys of the members with their positions, sorted by key.
    sorted: Vec<(Key, u32)>,
}

impl MemberList {
    /// Creates a list of these members. Of members with the same key, only the first is kept.
    pub fn new(members: impl IntoIterator<Item = ListedMember>) -> Arc<Self> {
        let mut list = Self::default();
        for listed in members {
            let (key, position) = (key_of(&listed.name), list.members.len() as u32);
            if list.by_key.contains_key(&key) {
                continue;
            }
            list.by_key.insert(key, position);
            list.by_address.insert(listed.address, position);
            list.members.push((key, listed));
        }
        list.sorted = list.by_key.iter().map(|(key, position)| (*key, *position)).collect();
        list.sorted.sort_unstable();
        Arc::new(list)
    }

    /// Returns the members in the order in which they were given, each with its key.
    pub fn members(&self) -> &[(Key, ListedMember)] {
        &self.members
    }

    /// Returns the position of a member, or `None` if it is not on the list.
    pub(crate) fn position(&self, key: Key) -> Option<usize> {
        self.by_key.get(&key).map(|position| *position as usize)
    }

    /// Returns the positions of the members whose keys are at least `key`, in the order of their keys.
    pub(crate) fn positions_from(&self, key: Key) -> impl Iterator<Item = usize> {
        let first = self.sorted.partition_point(|(other, _)| *other < key);
        self.sorted[first..].iter().map(|(_, position)| *position as usize)
    }

    /// Returns the position of the member with this address, or `None` if no member has it.
    pub(crate) fn position_at(&self, address: SocketAddr) -> Option<usize> {
        self.by_address.get(&address).map(|position| *position as usize)
    }

    /// Returns the name and address of a member, or `None` if it is not on the list.
    pub(crate) fn listed(&self, key: Key) -> Option<&ListedMember> {
        self.position(key).map(|position| &self.members[position].1)
    }
}
