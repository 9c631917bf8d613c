//! The operators' list of members.

use std::net::SocketAddr;
use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::wire::{Key, key_of};

/// A member of the operators' list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Where it is.
    pub address: SocketAddr,
}

/// A list that does not change, to be found in by key and by address. Members of one process that have the same
/// list share it: it takes more memory than what one of them knows of the others.
#[derive(Clone, Debug, Default)]
pub struct MemberList {
    members: Vec<(Key, Listed)>,
    by_key: FxHashMap<Key, u32>,
    by_address: FxHashMap<SocketAddr, u32>,
    /// Keys with their places, in the order of keys.
    sorted: Vec<(Key, u32)>,
}

impl MemberList {
    /// A list of these. Of two that share a key the first counts.
    pub fn new(members: impl IntoIterator<Item = Listed>) -> Arc<Self> {
        let mut list = Self::default();
        for listed in members {
            let (key, place) = (key_of(&listed.name), list.members.len() as u32);
            if list.by_key.contains_key(&key) {
                continue;
            }
            list.by_key.insert(key, place);
            list.by_address.insert(listed.address, place);
            list.members.push((key, listed));
        }
        list.sorted = list.by_key.iter().map(|(key, place)| (*key, *place)).collect();
        list.sorted.sort_unstable();
        Arc::new(list)
    }

    /// Its members in their order, each with its key.
    pub fn members(&self) -> &[(Key, Listed)] {
        &self.members
    }

    /// Where on the list a member is.
    pub(crate) fn place(&self, key: Key) -> Option<usize> {
        self.by_key.get(&key).map(|place| *place as usize)
    }

    /// Where members are on the list, in the order of their keys from this one on.
    pub(crate) fn places_from(&self, key: Key) -> impl Iterator<Item = usize> {
        let first = self.sorted.partition_point(|(other, _)| *other < key);
        self.sorted[first..].iter().map(|(_, place)| *place as usize)
    }

    /// Where on the list the member at an address is.
    pub(crate) fn place_at(&self, address: SocketAddr) -> Option<usize> {
        self.by_address.get(&address).map(|place| *place as usize)
    }

    /// Whose key this is.
    pub(crate) fn listed(&self, key: Key) -> Option<&Listed> {
        self.place(key).map(|place| &self.members[place].1)
    }
}
