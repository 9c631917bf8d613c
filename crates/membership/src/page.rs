//! Pages of the member table: entries in the order of members' keys, some six bytes each, and the digests of
//! small groups of members by which two tables are compared.

use serde::{Deserialize, Serialize};

use crate::book::{Peer, mixed, part_of_digest};
use crate::wire::{Key, MemberState, Page, Pull};

/// Members of a group on average: fewer make a request longer, more make two tables that differ in one member
/// tell each other the others of its group too.
const MEMBERS_A_GROUP: usize = 4;
/// Groups whose digests a request has at most; with them it has under 256 bytes.
pub(crate) const MAX_GROUPS: usize = 160;
/// The finest grouping: 16,384 members, the longest list, in groups of one.
const MAX_BITS: u8 = 14;
/// Bits of a state in an entry.
const STATE_BITS: u32 = 2;
/// What all of a page but its entries takes at most, a word on the receiver itself included.
const PAGE_HEAD: usize = 90;

/// What a page says of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) of: Key,
    pub(crate) life: u32,
    pub(crate) incarnation: u32,
    pub(crate) state: MemberState,
}

/// An entry as it is written: the key's distance from the one before, the life's from the page's base.
#[derive(Serialize, Deserialize)]
struct Packed {
    distance: u32,
    life: i64,
    /// The incarnation, and the state in the last two bits.
    word: u64,
}

/// Members in groups by the first so many bits of their keys. Both sides need not have the same list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grouping {
    bits: u8,
}

impl Grouping {
    /// One that suits a list of this length.
    pub(crate) fn for_members(count: usize) -> Self {
        let groups = (count / MEMBERS_A_GROUP).max(1);
        Self { bits: (groups.ilog2() as u8).min(MAX_BITS) }
    }

    fn group(self, key: Key) -> usize {
        key.checked_shr(Key::BITS - u32::from(self.bits)).unwrap_or(0) as usize
    }

    /// The last key of a group; of a group past the last, the last of all.
    fn last_key(self, group: usize) -> Key {
        let end = (group as u64 + 1) << (Key::BITS - u32::from(self.bits));
        Key::try_from(end - 1).unwrap_or(Key::MAX)
    }
}

/// A group's digest, of one byte: the salt, another for each exchange, makes two groups that differ and have the
/// same digest by chance be told apart by the next one. Who is not there is no part of it, as in the view's digest.
fn digest_of<'a>(peers: impl IntoIterator<Item = &'a Peer>, salt: u32) -> u8 {
    peers.into_iter().fold(0, |digest, peer| {
        let part = part_of_digest(peer.key, peer.life, &peer.health);
        let salted = mixed(u64::from(part) << 32 | u64::from(salt));
        digest ^ if part == 0 { 0 } else { salted as u8 }
    })
}

/// The request for what another knows from this key on, of the members that differ from `peers`, which are one's
/// own from that key on.
pub(crate) fn request<'a>(
    seq: u32,
    from: Key,
    salt: u32,
    grouping: Grouping,
    peers: impl Iterator<Item = &'a Peer>,
) -> Pull {
    let first = grouping.group(from);
    let groups = (grouping.group(Key::MAX) - first + 1).min(MAX_GROUPS);
    let mut members: Vec<Vec<&Peer>> = vec![Vec::new(); groups];
    let mut known = 0;
    for peer in peers {
        let Some(group) = members.get_mut(grouping.group(peer.key) - first) else { break };
        known += usize::from(peer.health.is_there());
        group.push(peer);
    }
    // Of a table that is nearly empty all is asked for: what it has costs less on a page than the digests.
    let digests = match known * MEMBERS_A_GROUP * 2 < groups {
        true => Vec::new(),
        false => members.into_iter().map(|group| digest_of(group, salt)).collect(),
    };
    Pull { seq, from, salt, bits: grouping.bits, digests }
}

/// The page that answers a request from these, one's own from the requested key on, in so many bytes at most.
/// `None` for a request that no member makes, and if there is no room for an entry.
pub(crate) fn answer<'a>(
    pull: &Pull,
    own_life: u32,
    most: usize,
    peers: impl Iterator<Item = &'a Peer>,
) -> Option<Page> {
    if pull.bits > MAX_BITS || pull.digests.len() > MAX_GROUPS {
        return None;
    }
    let grouping = Grouping { bits: pull.bits };
    let first = grouping.group(pull.from);
    let asked = match pull.digests.len() {
        0 => Key::MAX,
        groups => grouping.last_key(first + groups - 1),
    };
    let mut page = Page { seq: pull.seq, until: asked, base: own_life, entries: Vec::new() };
    let peers: Vec<&Peer> = peers.take_while(|peer| peer.key <= asked).collect();
    let mut last = pull.from;
    for group in peers.chunk_by(|a, b| grouping.group(a.key) == grouping.group(b.key)) {
        let digest = pull.digests.get(grouping.group(group[0].key) - first);
        if digest == Some(&digest_of(group.iter().copied(), pull.salt)) {
            continue;
        }
        for peer in group {
            let Some(entry) = packed(peer, last, own_life) else { continue };
            if page.entries.len() + entry.len() + PAGE_HEAD > most {
                page.until = peer.key.checked_sub(1).filter(|_| !page.entries.is_empty())?;
                return Some(page);
            }
            page.entries.extend(entry);
            last = peer.key;
        }
    }
    Some(page)
}

/// Nothing is said of those that nothing was ever heard of. One that is doubted is told to be there: doubts have
/// their time, and begin with an update.
fn packed(peer: &Peer, last: Key, base: u32) -> Option<Vec<u8>> {
    let state = match peer.health.state()? {
        MemberState::Suspect => MemberState::Alive,
        state => state,
    };
    let distance = peer.key - last;
    let life = i64::from(peer.life) - i64::from(base);
    let word = u64::from(peer.incarnation) << STATE_BITS | state_number(state);
    postcard::to_allocvec(&Packed { distance, life, word }).ok()
}

fn state_number(state: MemberState) -> u64 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Dead => 2,
        MemberState::Left => 3,
    }
}

fn state_of(word: u64) -> MemberState {
    match word & ((1 << STATE_BITS) - 1) {
        0 => MemberState::Alive,
        1 => MemberState::Suspect,
        2 => MemberState::Dead,
        _ => MemberState::Left,
    }
}

/// What a page that was asked for from this key on says. `None` for one that no member writes: cut off, with keys
/// that do not ascend or are beyond what it says that it covers, with what no life can be.
pub(crate) fn read(page: &Page, from: Key) -> Option<Vec<Entry>> {
    if page.until < from {
        return None;
    }
    let (mut rest, mut last, mut entries) = (page.entries.as_slice(), from, Vec::new());
    while !rest.is_empty() {
        let (packed, after) = postcard::take_from_bytes::<Packed>(rest).ok()?;
        let Packed { distance, life, word } = packed;
        let of = last.checked_add(distance).filter(|of| *of <= page.until)?;
        if distance == 0 && !entries.is_empty() {
            return None;
        }
        let life = u32::try_from(i64::from(page.base).checked_add(life)?).ok()?;
        let incarnation = u32::try_from(word >> STATE_BITS).ok()?;
        entries.push(Entry { of, life, incarnation, state: state_of(word) });
        (rest, last) = (after, of);
    }
    Some(entries)
}

#[cfg(test)]
mod tests;
