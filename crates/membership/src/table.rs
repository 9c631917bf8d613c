//! The members of the list and what is known of each, indexed so that no question about all of them takes
//! longer the more there are.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use oorandom::Rand64;
use sableloom_types::Time;

use crate::book::{Health, Peer, part_of_digest};
use crate::list::{Listed, MemberList};
use crate::wire::Key;

/// What a member is counted among.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    /// It is there, doubted or not.
    There,
    /// It is not there any more.
    Gone,
    /// Nothing was ever heard of it.
    Unknown,
    /// It is this very process.
    Own,
}

const GROUPS: usize = 4;

impl Group {
    fn of(health: &Health) -> Self {
        match health {
            Health::Alive | Health::Suspect(_) => Group::There,
            Health::Dead | Health::Left => Group::Gone,
            Health::Unknown => Group::Unknown,
        }
    }
}

/// The places of the table by group, one group behind the other: to move one, to count a group and to draw
/// from it take the same time whatever the table's size.
#[derive(Clone, Debug, Default)]
struct Groups {
    order: Vec<u32>,
    /// Where each place is in that order.
    positions: Vec<u32>,
    /// Where each group ends.
    ends: [usize; GROUPS],
}

impl Groups {
    /// So many places, all of the first group.
    fn new(places: usize) -> Self {
        let order: Vec<u32> = (0..places as u32).collect();
        Self { positions: order.clone(), order, ends: [places; GROUPS] }
    }

    fn start(&self, group: Group) -> usize {
        (group as usize).checked_sub(1).map_or(0, |before| self.ends[before])
    }

    fn of(&self, group: Group) -> &[u32] {
        &self.order[self.start(group)..self.ends[group as usize]]
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.order.swap(a, b);
        for position in [a, b] {
            self.positions[self.order[position] as usize] = position as u32;
        }
    }

    /// Moves a place from one group to another, past those between.
    fn shift(&mut self, place: usize, from: Group, to: Group) {
        for group in from as usize..to as usize {
            // The last of its group becomes the first of the next.
            self.ends[group] -= 1;
            self.swap(self.positions[place] as usize, self.ends[group]);
        }
        for group in (to as usize..from as usize).rev() {
            // The first of its group becomes the last of the one before.
            self.swap(self.positions[place] as usize, self.ends[group]);
            self.ends[group] += 1;
        }
    }

    /// The n-th of an order of a group that is drawn as it is asked for, each place once.
    fn drawn(&mut self, group: Group, n: usize, rng: &mut Rand64) -> Option<usize> {
        let (first, end) = (self.start(group) + n, self.ends[group as usize]);
        let left = end.checked_sub(first).filter(|left| *left > 0)?;
        self.swap(first, first + rng.rand_range(0..left as u64) as usize);
        Some(self.order[first] as usize)
    }
}

/// The others on the list.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberTable {
    list: Arc<MemberList>,
    /// In the order of the list.
    peers: Vec<Peer>,
    /// Where this process is itself, if it is on the list.
    own: Option<usize>,
    groups: Groups,
    /// When each doubt ends.
    suspicions: BTreeSet<(Time, usize)>,
    /// All whose life is not certain: missing or doubted.
    unsure: BTreeSet<Key>,
    left: usize,
    digest: u32,
    /// Since when they have to be heard again, and how many of those that are there were.
    awaited: Option<(Time, usize)>,
}

impl MemberTable {
    /// A table of this list, of which this process is not one of the others; what is known of each comes from
    /// the function.
    pub(crate) fn new(
        list: Arc<MemberList>,
        own: Key,
        mut known: impl FnMut(&(Key, Listed)) -> Peer,
        awaited_since: Option<Time>,
    ) -> Self {
        let peers: Vec<Peer> = list.members().iter().map(&mut known).collect();
        let mut table = Self {
            own: list.place(own),
            groups: Groups::new(peers.len()),
            awaited: awaited_since.map(|since| (since, 0)),
            peers,
            list,
            ..Self::default()
        };
        if let Some(own) = table.own {
            table.groups.shift(own, Group::There, Group::Own);
        }
        let own = table.own;
        for place in (0..table.peers.len()).filter(|place| Some(*place) != own) {
            let group = Group::of(&table.peers[place].health);
            table.groups.shift(place, Group::There, group);
            table.index(place);
        }
        table
    }

    /// All of them, in the order of the list.
    pub(crate) fn peers(&self) -> impl Iterator<Item = &Peer> {
        let own = self.own;
        let others = self.peers.iter().enumerate().filter(move |(place, _)| Some(*place) != own);
        others.map(|(_, peer)| peer)
    }

    /// All of them from this key on, in the order of their keys.
    pub(crate) fn peers_from(&self, key: Key) -> impl Iterator<Item = &Peer> {
        let others = self.list.places_from(key).filter(|place| Some(*place) != self.own);
        others.map(|place| &self.peers[place])
    }

    /// The list, and what was known of its members.
    pub(crate) fn into_parts(self) -> (Arc<MemberList>, Vec<Peer>) {
        (self.list, self.peers)
    }

    pub(crate) fn len(&self) -> usize {
        self.peers.len() - usize::from(self.own.is_some())
    }

    pub(crate) fn place(&self, key: Key) -> Option<usize> {
        self.list.place(key).filter(|place| Some(*place) != self.own)
    }

    pub(crate) fn place_at(&self, address: SocketAddr) -> Option<usize> {
        self.list.place_at(address).filter(|place| Some(*place) != self.own)
    }

    pub(crate) fn at(&self, place: usize) -> &Peer {
        &self.peers[place]
    }

    pub(crate) fn peer(&self, key: Key) -> Option<&Peer> {
        self.place(key).map(|place| &self.peers[place])
    }

    /// Its name and address.
    pub(crate) fn listed(&self, key: Key) -> Option<&Listed> {
        self.list.listed(key)
    }

    /// How many are there, the doubted among them.
    pub(crate) fn there(&self) -> usize {
        self.groups.of(Group::There).len()
    }

    /// How many nothing was ever heard of.
    pub(crate) fn unknown(&self) -> usize {
        self.groups.of(Group::Unknown).len()
    }

    /// How many have left.
    pub(crate) fn left(&self) -> usize {
        self.left
    }

    /// The others' part of the view's digest.
    pub(crate) fn digest(&self) -> u32 {
        self.digest
    }

    /// The places of all that are there, in no order that means anything.
    pub(crate) fn places_there(&self) -> impl Iterator<Item = usize> {
        self.groups.of(Group::There).iter().map(|place| *place as usize)
    }

    /// The n-th of those that are there, in an order that is drawn as it is asked for.
    pub(crate) fn draw_there(&mut self, n: usize, rng: &mut Rand64) -> Option<Key> {
        self.draw(Group::There, n, rng)
    }

    /// The same of those that nothing was ever heard of.
    pub(crate) fn draw_unknown(&mut self, n: usize, rng: &mut Rand64) -> Option<Key> {
        self.draw(Group::Unknown, n, rng)
    }

    /// The same of those that are not there any more.
    pub(crate) fn draw_gone(&mut self, n: usize, rng: &mut Rand64) -> Option<Key> {
        self.draw(Group::Gone, n, rng)
    }

    fn draw(&mut self, group: Group, n: usize, rng: &mut Rand64) -> Option<Key> {
        self.groups.drawn(group, n, rng).map(|place| self.peers[place].key)
    }

    /// Any of those that are not there, whether or not they ever were.
    pub(crate) fn any_missing(&self, rng: &mut Rand64) -> Option<Key> {
        let (gone, unknown) = (self.groups.of(Group::Gone), self.groups.of(Group::Unknown));
        let count = (gone.len() + unknown.len()) as u64;
        let lot = (count > 0).then(|| rng.rand_range(0..count) as usize)?;
        let place = gone.get(lot).or_else(|| unknown.get(lot - gone.len()))?;
        Some(self.peers[*place as usize].key)
    }

    /// When the first doubt ends.
    pub(crate) fn first_suspicion(&self) -> Option<Time> {
        self.suspicions.first().map(|(until, _)| *until)
    }

    /// The places of those whose doubt has ended by now.
    pub(crate) fn suspicions_over(&self, now: Time) -> Vec<usize> {
        let over = self.suspicions.iter().take_while(|(until, _)| *until <= now);
        over.map(|(_, place)| *place).collect()
    }

    /// The places of all that are doubted.
    pub(crate) fn suspects(&self) -> Vec<usize> {
        self.suspicions.iter().map(|(_, place)| *place).collect()
    }

    /// Those whose life is not certain, in the order of their keys from this one on, and round.
    pub(crate) fn unsure_from(&self, key: Key) -> impl Iterator<Item = Key> {
        self.unsure.range(key..).chain(self.unsure.range(..key)).copied()
    }

    /// How many those are.
    pub(crate) fn unsure(&self) -> usize {
        self.unsure.len()
    }

    /// From now on it is counted which of those that are there are heard again.
    pub(crate) fn await_all(&mut self, since: Option<Time>) {
        let heard = |p: &&Peer| since.is_some_and(|since| heard_since(p, since));
        self.awaited = since.map(|since| (since, self.peers().filter(heard).count()));
    }

    /// Since when it is counted, and how many were heard.
    pub(crate) fn awaited(&self) -> Option<(Time, usize)> {
        self.awaited
    }

    /// Changes what is known of one.
    pub(crate) fn change<R>(&mut self, place: usize, change: impl FnOnce(&mut Peer) -> R) -> R {
        let before = Group::of(&self.peers[place].health);
        self.unindex(place);
        let result = change(&mut self.peers[place]);
        self.index(place);
        self.groups.shift(place, before, Group::of(&self.peers[place].health));
        result
    }

    fn index(&mut self, place: usize) {
        let peer = &self.peers[place];
        match &peer.health {
            Health::Suspect(suspicion) => {
                self.suspicions.insert((suspicion.until, place));
            }
            Health::Left => self.left += 1,
            Health::Unknown | Health::Alive | Health::Dead => {}
        }
        if peer.health != Health::Alive {
            self.unsure.insert(peer.key);
        }
        self.digest ^= part_of_digest(peer.key, peer.life, &peer.health);
        if let Some((since, heard)) = &mut self.awaited {
            *heard += usize::from(heard_since(peer, *since));
        }
    }

    fn unindex(&mut self, place: usize) {
        let peer = &self.peers[place];
        match &peer.health {
            Health::Suspect(suspicion) => {
                self.suspicions.remove(&(suspicion.until, place));
            }
            Health::Left => self.left -= 1,
            Health::Unknown | Health::Alive | Health::Dead => {}
        }
        if peer.health != Health::Alive {
            self.unsure.remove(&peer.key);
        }
        self.digest ^= part_of_digest(peer.key, peer.life, &peer.health);
        if let Some((since, heard)) = &mut self.awaited {
            *heard -= usize::from(heard_since(peer, *since));
        }
    }
}

fn heard_since(peer: &Peer, since: Time) -> bool {
    peer.health.is_there() && peer.heard.is_some_and(|at| at >= since)
}

#[cfg(test)]
mod tests;
