//! Pages of the member table: entries in the order of the members' keys, about six bytes each, and the digests of small
//! groups of members by which two tables are compared.

use serde::{Deserialize, Serialize};

use crate::digest::{member_digest, mix};
use crate::message::{Key, MemberState, Page, Pull};
use crate::peer::Peer;

/// The average number of members in a group. Smaller groups make a request longer; with larger ones, two tables that
/// differ in one member send each other more of the rest of its group.
const MEMBERS_PER_GROUP: usize = 4;
/// The maximum number of groups whose digests are in a request. With them, a request has under 256 bytes.
pub(crate) const MAX_GROUPS: usize = 160;
/// The prefix bits of the finest grouping, which puts 16,384 members, the longest list, into groups of one.
const MAX_PREFIX_BITS: u8 = 14;
/// The number of bits of the state in an entry.
const STATE_BITS: u32 = 2;
/// The maximum number of bytes of a datagram with a page besides its entries, an update about the receiver itself
/// included.
const PAGE_OVERHEAD_BYTES: usize = 90;

/// The state of a member as a page states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    pub(crate) member: Key,
    pub(crate) process_incarnation: u32,
    pub(crate) incarnation: u32,
    pub(crate) state: MemberState,
}

/// An entry as it is encoded. It holds the distance of its key from that of the entry before, and the distance of its
/// process incarnation from the page's base.
#[derive(Serialize, Deserialize)]
struct PackedEntry {
    key_distance: u32,
    process_incarnation_offset: i64,
    /// The SWIM incarnation, with the state in the lowest two bits.
    incarnation_and_state: u64,
}

/// Groups members by the first bits of their keys. The two sides of a pull need not have the same list.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grouping {
    prefix_bits: u8,
}

impl Grouping {
    /// Returns the grouping for a list of `count` members.
    pub(crate) fn for_members(count: usize) -> Self {
        let groups = (count / MEMBERS_PER_GROUP).max(1);
        Self { prefix_bits: (groups.ilog2() as u8).min(MAX_PREFIX_BITS) }
    }

    fn group_of(self, key: Key) -> usize {
        key.checked_shr(Key::BITS - u32::from(self.prefix_bits)).unwrap_or(0) as usize
    }

    /// Returns the last key of a group; for a group past the last, the greatest of all keys.
    fn last_key(self, group: usize) -> Key {
        let end = (group as u64 + 1) << (Key::BITS - u32::from(self.prefix_bits));
        Key::try_from(end - 1).unwrap_or(Key::MAX)
    }
}

/// Returns the digest of a group, which has one byte. Each exchange has another salt, so that groups that differ and
/// have the same digest by chance are detected by the next exchange. Members that are not reachable are left out, as in
/// the view's digest.
fn group_digest<'a>(peers: impl IntoIterator<Item = &'a Peer>, salt: u32) -> u8 {
    peers.into_iter().fold(0, |digest, peer| {
        let contribution = member_digest(peer.key, peer.process_incarnation, &peer.health);
        let salted = mix(u64::from(contribution) << 32 | u64::from(salt));
        digest ^ if contribution == 0 { 0 } else { salted as u8 }
    })
}

/// Returns the request for those entries of another member, from `first_key` on, that differ from `peers`, this
/// member's own from that key on.
pub(crate) fn build_request<'a>(
    seq: u32,
    first_key: Key,
    salt: u32,
    grouping: Grouping,
    peers: impl Iterator<Item = &'a Peer>,
) -> Pull {
    let first_group = grouping.group_of(first_key);
    let groups = (grouping.group_of(Key::MAX) - first_group + 1).min(MAX_GROUPS);
    let mut members: Vec<Vec<&Peer>> = vec![Vec::new(); groups];
    let mut reachable_count = 0;
    for peer in peers {
        let Some(group) = members.get_mut(grouping.group_of(peer.key) - first_group) else { break };
        reachable_count += usize::from(peer.health.is_reachable());
        group.push(peer);
    }
    // A member whose table is nearly empty requests all members, as its own reachable ones take fewer bytes on a page
    // than the digests in the request.
    let digests = match reachable_count * MEMBERS_PER_GROUP * 2 < groups {
        true => Vec::new(),
        false => members.into_iter().map(|group| group_digest(group, salt)).collect(),
    };
    Pull { seq, first_key, salt, prefix_bits: grouping.prefix_bits, digests }
}

/// Returns the page that answers a request. Its entries are from `peers`, this member's own from the requested key on,
/// and its datagram has at most `max_bytes` bytes. Returns `None` for an invalid request, and if there is no space for
/// an entry.
pub(crate) fn build_page<'a>(
    pull: &Pull,
    base_incarnation: u32,
    max_bytes: usize,
    peers: impl Iterator<Item = &'a Peer>,
) -> Option<Page> {
    if pull.prefix_bits > MAX_PREFIX_BITS || pull.digests.len() > MAX_GROUPS {
        return None;
    }
    let grouping = Grouping { prefix_bits: pull.prefix_bits };
    let first_group = grouping.group_of(pull.first_key);
    let requested = match pull.digests.len() {
        0 => Key::MAX,
        groups => grouping.last_key(first_group + groups - 1),
    };
    let (seq, entries) = (pull.seq, Vec::new());
    let mut page = Page { seq, last_key: requested, base_incarnation, entries };
    let peers: Vec<&Peer> = peers.take_while(|peer| peer.key <= requested).collect();
    let mut previous = pull.first_key;
    for group in peers.chunk_by(|a, b| grouping.group_of(a.key) == grouping.group_of(b.key)) {
        let digest = pull.digests.get(grouping.group_of(group[0].key) - first_group);
        if digest == Some(&group_digest(group.iter().copied(), pull.salt)) {
            continue;
        }
        for peer in group {
            let Some(entry) = encode_entry(peer, previous, base_incarnation) else { continue };
            if page.entries.len() + entry.len() + PAGE_OVERHEAD_BYTES > max_bytes {
                page.last_key = peer.key.checked_sub(1).filter(|_| !page.entries.is_empty())?;
                return Some(page);
            }
            page.entries.extend(entry);
            previous = peer.key;
        }
    }
    Some(page)
}

/// Encodes the entry of a member; `None` for one of which nothing is known. A suspected member is sent as alive,
/// because a suspicion has a deadline and begins with an update.
fn encode_entry(peer: &Peer, previous: Key, base_incarnation: u32) -> Option<Vec<u8>> {
    let state = match peer.health.state()? {
        MemberState::Suspect => MemberState::Alive,
        state => state,
    };
    let entry = PackedEntry {
        key_distance: peer.key - previous,
        process_incarnation_offset: i64::from(peer.process_incarnation)
            - i64::from(base_incarnation),
        incarnation_and_state: u64::from(peer.incarnation) << STATE_BITS | encode_state(state),
    };
    postcard::to_allocvec(&entry).ok()
}

fn encode_state(state: MemberState) -> u64 {
    match state {
        MemberState::Alive => 0,
        MemberState::Suspect => 1,
        MemberState::Dead => 2,
        MemberState::Left => 3,
    }
}

fn decode_state(incarnation_and_state: u64) -> MemberState {
    match incarnation_and_state & ((1 << STATE_BITS) - 1) {
        0 => MemberState::Alive,
        1 => MemberState::Suspect,
        2 => MemberState::Dead,
        _ => MemberState::Left,
    }
}

/// Decodes the entries of a page that was requested from `first_key` on. Returns `None` for an invalid page: one that
/// is cut off, whose keys do not ascend or are past the last key that it covers, or with an incarnation that is out of
/// range.
pub(crate) fn decode_entries(page: &Page, first_key: Key) -> Option<Vec<Entry>> {
    if page.last_key < first_key {
        return None;
    }
    let (mut rest, mut previous, mut entries) = (page.entries.as_slice(), first_key, Vec::new());
    while !rest.is_empty() {
        let (packed, after) = postcard::take_from_bytes::<PackedEntry>(rest).ok()?;
        let PackedEntry { key_distance, process_incarnation_offset, incarnation_and_state } =
            packed;
        let member = previous.checked_add(key_distance).filter(|key| *key <= page.last_key)?;
        if key_distance == 0 && !entries.is_empty() {
            return None;
        }
        let process_incarnation =
            i64::from(page.base_incarnation).checked_add(process_incarnation_offset)?;
        let process_incarnation = u32::try_from(process_incarnation).ok()?;
        let incarnation = u32::try_from(incarnation_and_state >> STATE_BITS).ok()?;
        let state = decode_state(incarnation_and_state);
        entries.push(Entry { member, process_incarnation, incarnation, state });
        (rest, previous) = (after, member);
    }
    Some(entries)
}

#[cfg(test)]
mod tests;
