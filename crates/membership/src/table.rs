//! The members of the list and what is known of each, indexed: no call goes over all members, but those that return all.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use oorandom::Rand64;
use sableloom_types::Time;

use crate::digest::member_digest;
use crate::groups::{Group, Groups};
use crate::list::{ListedMember, MemberList};
use crate::message::Key;
use crate::peer::{Health, Peer};

/// The members that a process which was suspended has heard again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Resync {
    /// When the process was resumed.
    pub(crate) since: Time,
    /// How many of the reachable members it has heard since.
    pub(crate) responders: usize,
}

/// The other members of the list.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberTable {
    list: Arc<MemberList>,
    /// In the order of the list.
    peers: Vec<Peer>,
    /// The position of this process itself, if it is on the list.
    own_position: Option<usize>,
    groups: Groups,
    /// When each suspicion ends.
    suspicions: BTreeSet<(Time, usize)>,
    /// All members that are not confirmed to be alive: missing or suspected.
    unconfirmed: BTreeSet<Key>,
    left_count: usize,
    digest: u32,
    resync: Option<Resync>,
}

impl MemberTable {
    /// A table of this list, with what `known` says of each member. `own` is the key of this process, which is not one
    /// of the others.
    pub(crate) fn new(
        list: Arc<MemberList>,
        own: Key,
        mut known: impl FnMut(&(Key, ListedMember)) -> Peer,
        resumed: Option<Time>,
    ) -> Self {
        let peers: Vec<Peer> = list.members().iter().map(&mut known).collect();
        let mut table = Self {
            own_position: list.position(own),
            groups: Groups::new(peers.len()),
            resync: resumed.map(|since| Resync { since, responders: 0 }),
            peers,
            list,
            ..Self::default()
        };
        if let Some(own) = table.own_position {
            table.groups.move_position(own, Group::Reachable, Group::Own);
        }
        let own = table.own_position;
        for position in (0..table.peers.len()).filter(|position| Some(*position) != own) {
            let group = Group::of(&table.peers[position].health);
            table.groups.move_position(position, Group::Reachable, group);
            table.add_to_indexes(position);
        }
        table
    }

    /// All of them, in the order of the list.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &Peer> {
        let own = self.own_position;
        let others = self.peers.iter().enumerate();
        others.filter(move |(position, _)| Some(*position) != own).map(|(_, peer)| peer)
    }

    /// All of them from this key on, in the order of their keys.
    pub(crate) fn peers_from(&self, key: Key) -> impl Iterator<Item = &Peer> {
        let others =
            self.list.positions_from(key).filter(|position| Some(*position) != self.own_position);
        others.map(|position| &self.peers[position])
    }

    /// The list, and what was known of its members.
    pub(crate) fn into_parts(self) -> (Arc<MemberList>, Vec<Peer>) {
        (self.list, self.peers)
    }

    pub(crate) fn len(&self) -> usize {
        self.peers.len() - usize::from(self.own_position.is_some())
    }

    pub(crate) fn position(&self, key: Key) -> Option<usize> {
        self.list.position(key).filter(|position| Some(*position) != self.own_position)
    }

    pub(crate) fn position_at(&self, address: SocketAddr) -> Option<usize> {
        self.list.position_at(address).filter(|position| Some(*position) != self.own_position)
    }

    pub(crate) fn at(&self, position: usize) -> &Peer {
        &self.peers[position]
    }

    pub(crate) fn peer(&self, key: Key) -> Option<&Peer> {
        self.position(key).map(|position| &self.peers[position])
    }

    /// The name and address of a member.
    pub(crate) fn listed(&self, key: Key) -> Option<&ListedMember> {
        self.list.listed(key)
    }

    /// How many are reachable, the suspected among them.
    pub(crate) fn count_reachable(&self) -> usize {
        self.groups.positions(Group::Reachable).len()
    }

    /// How many this process has never heard of.
    pub(crate) fn count_unknown(&self) -> usize {
        self.groups.positions(Group::Unknown).len()
    }

    /// How many have left.
    pub(crate) fn count_left(&self) -> usize {
        self.left_count
    }

    /// The others' part of the view's digest.
    pub(crate) fn digest(&self) -> u32 {
        self.digest
    }

    /// The positions of all that are reachable, in no order that means anything.
    pub(crate) fn reachable_positions(&self) -> impl Iterator<Item = usize> {
        self.groups.positions(Group::Reachable).iter().map(|position| *position as usize)
    }

    /// The n-th member of a random order of a group. Calls with 0, 1, 2, … draw each member once.
    pub(crate) fn random_peer(&mut self, group: Group, n: usize, rng: &mut Rand64) -> Option<Key> {
        self.groups.random(group, n, rng).map(|position| self.peers[position].key)
    }

    /// A random one of those that are not reachable.
    pub(crate) fn random_missing_peer(&self, rng: &mut Rand64) -> Option<Key> {
        let dead_or_left = self.groups.positions(Group::DeadOrLeft);
        let unknown = self.groups.positions(Group::Unknown);
        let count = (dead_or_left.len() + unknown.len()) as u64;
        let index = (count > 0).then(|| rng.rand_range(0..count) as usize)?;
        let position =
            dead_or_left.get(index).or_else(|| unknown.get(index - dead_or_left.len()))?;
        Some(self.peers[*position as usize].key)
    }

    /// When the first suspicion ends.
    pub(crate) fn first_suspicion_deadline(&self) -> Option<Time> {
        self.suspicions.first().map(|(deadline, _)| *deadline)
    }

    /// The positions of those whose suspicion has ended by now.
    pub(crate) fn expired_suspicions(&self, now: Time) -> Vec<usize> {
        let expired = self.suspicions.iter().take_while(|(deadline, _)| *deadline <= now);
        expired.map(|(_, position)| *position).collect()
    }

    /// The positions of all that are suspected.
    pub(crate) fn suspected_positions(&self) -> Vec<usize> {
        self.suspicions.iter().map(|(_, position)| *position).collect()
    }

    /// Those that are not confirmed to be alive, in the order of their keys from this one on, and then those before it.
    pub(crate) fn unconfirmed_from(&self, key: Key) -> impl Iterator<Item = Key> {
        self.unconfirmed.range(key..).chain(self.unconfirmed.range(..key)).copied()
    }

    /// How many those are.
    pub(crate) fn count_unconfirmed(&self) -> usize {
        self.unconfirmed.len()
    }

    /// Counts which of the reachable members are heard from this time on, or no longer counts them.
    pub(crate) fn set_resync(&mut self, since: Option<Time>) {
        self.resync = since.map(|since| {
            let responders = self.peers().filter(|peer| has_responded_since(peer, since)).count();
            Resync { since, responders }
        });
    }

    /// The members heard since this process was resumed, if they are counted.
    pub(crate) fn resync(&self) -> Option<Resync> {
        self.resync
    }

    /// Changes what is known of a member.
    pub(crate) fn change<R>(&mut self, position: usize, change: impl FnOnce(&mut Peer) -> R) -> R {
        let before = Group::of(&self.peers[position].health);
        self.remove_from_indexes(position);
        let result = change(&mut self.peers[position]);
        self.add_to_indexes(position);
        self.groups.move_position(position, before, Group::of(&self.peers[position].health));
        result
    }

    fn add_to_indexes(&mut self, position: usize) {
        let peer = &self.peers[position];
        match &peer.health {
            Health::Suspect(suspicion) => {
                self.suspicions.insert((suspicion.deadline, position));
            }
            Health::Left => self.left_count += 1,
            Health::Unknown | Health::Alive | Health::Dead => {}
        }
        if peer.health != Health::Alive {
            self.unconfirmed.insert(peer.key);
        }
        self.digest ^= member_digest(peer.key, peer.process_incarnation, &peer.health);
        if let Some(resync) = &mut self.resync {
            resync.responders += usize::from(has_responded_since(peer, resync.since));
        }
    }

    fn remove_from_indexes(&mut self, position: usize) {
        let peer = &self.peers[position];
        match &peer.health {
            Health::Suspect(suspicion) => {
                self.suspicions.remove(&(suspicion.deadline, position));
            }
            Health::Left => self.left_count -= 1,
            Health::Unknown | Health::Alive | Health::Dead => {}
        }
        if peer.health != Health::Alive {
            self.unconfirmed.remove(&peer.key);
        }
        self.digest ^= member_digest(peer.key, peer.process_incarnation, &peer.health);
        if let Some(resync) = &mut self.resync {
            resync.responders -= usize::from(has_responded_since(peer, resync.since));
        }
    }
}

fn has_responded_since(peer: &Peer, since: Time) -> bool {
    peer.health.is_reachable() && peer.last_message_at.is_some_and(|at| at >= since)
}

#[cfg(test)]
mod tests;
