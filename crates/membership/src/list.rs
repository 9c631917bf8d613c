//! The operators' list of members.

use std::net::SocketAddr;
use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::message::{Key, key_of};

/// A member of the operators' list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedMember {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
}

/// An immutable list, indexed by key and by address. Members in one process that have the same list share it: it takes
/// more memory than what one member knows of the others.
#[derive(Clone, Debug, Default)]
pub struct MemberList {
    members: Vec<(Key, ListedMember)>,
    by_key: FxHashMap<Key, u32>,
    by_address: FxHashMap<SocketAddr, u32>,
    /// Keys with their positions, in the order of keys.
    sorted: Vec<(Key, u32)>,
}

impl MemberList {
    /// A list of these members. Of two that share a key the first counts.
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

    /// Its members in their order, each with its key.
    pub fn members(&self) -> &[(Key, ListedMember)] {
        &self.members
    }

    /// The position of a member.
    pub(crate) fn position(&self, key: Key) -> Option<usize> {
        self.by_key.get(&key).map(|position| *position as usize)
    }

    /// The positions of members, in the order of their keys from this one on.
    pub(crate) fn positions_from(&self, key: Key) -> impl Iterator<Item = usize> {
        let first = self.sorted.partition_point(|(other, _)| *other < key);
        self.sorted[first..].iter().map(|(_, position)| *position as usize)
    }

    /// The position of the member at an address.
    pub(crate) fn position_at(&self, address: SocketAddr) -> Option<usize> {
        self.by_address.get(&address).map(|position| *position as usize)
    }

    /// The name and address of a member.
    pub(crate) fn listed(&self, key: Key) -> Option<&ListedMember> {
        self.position(key).map(|position| &self.members[position].1)
    }
}
