//! The members of the list and their known states, indexed so that most calls do not iterate over all members.

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

/// Counts the members from which a process that was suspended has received messages since it resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Resync {
    /// When the process resumed.
    pub(crate) since: Time,
    /// The number of reachable members from which a message was received since.
    pub(crate) responders: usize,
}

/// The other members of the list.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberTable {
    list: Arc<MemberList>,
    /// The states of all members of the list, in its order.
    peers: Vec<Peer>,
    /// The position of this process itself, if it is on the list.
    own_position: Option<usize>,
    groups: Groups,
    /// The deadlines of all suspicions, with the positions of the suspected members.
    suspicions: BTreeSet<(Time, usize)>,
    /// The members that are not confirmed to be alive, as they are missing or suspected.
    unconfirmed: BTreeSet<Key>,
    left_count: usize,
    digest: u32,
    resync: Option<Resync>,
}

impl MemberTable {
    /// Creates the table of a list, with the state that `peer_of` returns of each member. `own` is the key of this
    /// process, which is not one of the others. If this process was suspended, `resumed_at` is when it resumed.
    pub(crate) fn new(
        list: Arc<MemberList>,
        own: Key,
        mut peer_of: impl FnMut(&(Key, ListedMember)) -> Peer,
        resumed_at: Option<Time>,
    ) -> Self {
        let peers: Vec<Peer> = list.members().iter().map(&mut peer_of).collect();
        let mut table = Self {
            own_position: list.position(own),
            groups: Groups::new(peers.len()),
            resync: resumed_at.map(|since| Resync { since, responders: 0 }),
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

    /// Returns the other members in the order of the list.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &Peer> {
        let own = self.own_position;
        let others = self.peers.iter().enumerate();
        others.filter(move |(position, _)| Some(*position) != own).map(|(_, peer)| peer)
    }

    /// Returns the other members whose keys are at least `key`, in the order of their keys.
    pub(crate) fn peers_from(&self, key: Key) -> impl Iterator<Item = &Peer> {
        let others =
            self.list.positions_from(key).filter(|position| Some(*position) != self.own_position);
        others.map(|position| &self.peers[position])
    }

    /// Returns the list and the known states of its members.
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

    /// Returns the name and address of a member, or `None` if it is not on the list.
    pub(crate) fn listed(&self, key: Key) -> Option<&ListedMember> {
        self.list.listed(key)
    }

    /// Returns how many members are reachable, suspected ones included.
    pub(crate) fn count_reachable(&self) -> usize {
        self.groups.positions(Group::Reachable).len()
    }

    /// Returns of how many members nothing is known.
    pub(crate) fn count_unknown(&self) -> usize {
        self.groups.positions(Group::Unknown).len()
    }

    /// Returns how many members have left.
    pub(crate) fn count_left(&self) -> usize {
        self.left_count
    }

    /// Returns the contribution of the other members to the view's digest.
    pub(crate) fn digest(&self) -> u32 {
        self.digest
    }

    /// Returns the positions of all reachable members in unspecified order.
    pub(crate) fn reachable_positions(&self) -> impl Iterator<Item = usize> {
        self.groups.positions(Group::Reachable).iter().map(|position| *position as usize)
    }

    /// Returns the `n`-th member of a random order of a group, or `None` if the group has no more. Calls with 0, 1, 2,
    /// … draw each member once.
    pub(crate) fn random_peer(&mut self, group: Group, n: usize, rng: &mut Rand64) -> Option<Key> {
        self.groups.random(group, n, rng).map(|position| self.peers[position].key)
    }

    /// Returns a random member that is not reachable, or `None` if there is none.
    pub(crate) fn random_missing_peer(&self, rng: &mut Rand64) -> Option<Key> {
        let dead_or_left = self.groups.positions(Group::DeadOrLeft);
        let unknown = self.groups.positions(Group::Unknown);
        let count = (dead_or_left.len() + unknown.len()) as u64;
        let index = (count > 0).then(|| rng.rand_range(0..count) as usize)?;
        let position =
            dead_or_left.get(index).or_else(|| unknown.get(index - dead_or_left.len()))?;
        Some(self.peers[*position as usize].key)
    }

    /// Returns when the first suspicion ends.
    pub(crate) fn first_suspicion_deadline(&self) -> Option<Time> {
        self.suspicions.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the positions of the members whose suspicions have ended by `now`.
    pub(crate) fn expired_suspicions(&self, now: Time) -> Vec<usize> {
        let expired = self.suspicions.iter().take_while(|(deadline, _)| *deadline <= now);
        expired.map(|(_, position)| *position).collect()
    }

    /// Returns the positions of all suspected members.
    pub(crate) fn suspected_positions(&self) -> Vec<usize> {
        self.suspicions.iter().map(|(_, position)| *position).collect()
    }

    /// Returns the members that are not confirmed to be alive, in the order of their keys from `key` on and then from
    /// the first one.
    pub(crate) fn unconfirmed_from(&self, key: Key) -> impl Iterator<Item = Key> {
        self.unconfirmed.range(key..).chain(self.unconfirmed.range(..key)).copied()
    }

    /// Returns how many members are not confirmed to be alive.
    pub(crate) fn count_unconfirmed(&self) -> usize {
        self.unconfirmed.len()
    }

    /// Starts to count the reachable members from which messages are received from `since` on, or stops counting.
    pub(crate) fn set_resync(&mut self, since: Option<Time>) {
        self.resync = since.map(|since| {
            let responders = self.peers().filter(|peer| has_responded_since(peer, since)).count();
            Resync { since, responders }
        });
    }

    /// Returns the count of members from which messages were received since this process resumed, if they are counted.
    pub(crate) fn resync(&self) -> Option<Resync> {
        self.resync
    }

    /// Changes the state of a member and updates the indexes.
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
