//! The other members of the list, indexed so that only a replacement of the list iterates over all of them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use sableloom_types::Time;

use crate::member::{Key, Member, NEVER};

/// The maximum number of other members on a short list. A waiting process probes all members of a short list, and the
/// rate of absence queries about them is not limited. A wait ends early only if all members have acknowledged the
/// process. Of more members than this, not all can be probed twice within the wait, and the probes would be wasted.
const MAX_SHORT_LIST_MEMBERS: usize = 512;

/// The other members of the list.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemberTable {
    /// The members, sorted by key.
    members: Vec<Member>,
    /// The number of members that may hold a stale proof.
    unconfirmed_count: usize,
    /// The members that may hold a stale proof, ordered by the time of the last probe. It is empty for a long list,
    /// whose members are not probed.
    probe_order: BTreeSet<(Time, Key)>,
    /// The proofs of absence, ordered by the times of their queries. Expired proofs stay until they are discarded.
    proofs: BTreeSet<(Time, Key)>,
    /// How many members state each list length.
    list_lengths: BTreeMap<u16, usize>,
}

impl MemberTable {
    /// Replaces the list. The state of members that are on both lists is kept.
    pub(crate) fn replace_list(&mut self, keys: impl IntoIterator<Item = Key>) {
        let before = std::mem::take(&mut self.members);
        let before: HashMap<Key, Member> =
            before.into_iter().map(|member| (member.key, member)).collect();
        let known_member = |key: Key| before.get(&key).copied().unwrap_or(Member::new(key));
        self.members = keys.into_iter().map(known_member).collect();
        self.members.sort_unstable_by_key(|member| member.key);
        self.members.dedup_by_key(|member| member.key);
        self.rebuild_indexes();
    }

    fn rebuild_indexes(&mut self) {
        let unconfirmed = self.members.iter().filter_map(Member::probe_entry);
        self.unconfirmed_count = unconfirmed.clone().count();
        self.probe_order = if self.is_short() { unconfirmed.collect() } else { BTreeSet::new() };
        self.proofs = self.members.iter().filter_map(Member::proof_entry).collect();
        self.list_lengths.clear();
        for member in &self.members {
            *self.list_lengths.entry(member.list_length).or_default() += 1;
        }
    }

    /// Returns whether the list is short enough for all members to be probed, and for queries without a rate limit.
    pub(crate) fn is_short(&self) -> bool {
        self.members.len() <= MAX_SHORT_LIST_MEMBERS
    }

    /// Returns the number of other members.
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    fn position(&self, key: Key) -> Option<usize> {
        self.members.binary_search_by_key(&key, |member| member.key).ok()
    }

    /// Returns a member, or `None` if it is not on the list.
    pub(crate) fn get(&self, key: Key) -> Option<&Member> {
        self.position(key).map(|position| &self.members[position])
    }

    /// Changes the state of a member and updates the indexes. Returns `None` if the member is not on the list.
    pub(crate) fn change<R>(
        &mut self,
        key: Key,
        change: impl FnOnce(&mut Member) -> R,
    ) -> Option<R> {
        let position = self.position(key)?;
        let member = &mut self.members[position];
        let before = *member;
        let result = change(member);
        let after = *member;
        self.update_indexes(&before, &after);
        Some(result)
    }

    fn update_indexes(&mut self, before: &Member, after: &Member) {
        if before.probe_entry() != after.probe_entry() {
            self.unconfirmed_count += usize::from(!after.cannot_hold_stale_proof);
            self.unconfirmed_count -= usize::from(!before.cannot_hold_stale_proof);
            before.probe_entry().map(|entry| self.probe_order.remove(&entry));
            self.probe_order.extend(after.probe_entry().filter(|_| self.is_short()));
        }
        if before.absent_since != after.absent_since {
            before.proof_entry().map(|entry| self.proofs.remove(&entry));
            self.proofs.extend(after.proof_entry());
        }
        if before.list_length != after.list_length {
            if let Some(count) = self.list_lengths.get_mut(&before.list_length) {
                *count -= 1;
                if *count == 0 {
                    self.list_lengths.remove(&before.list_length);
                }
            }
            *self.list_lengths.entry(after.list_length).or_default() += 1;
        }
    }

    /// Returns how many members may hold a stale proof.
    pub(crate) fn count_unconfirmed(&self) -> usize {
        self.unconfirmed_count
    }

    /// Returns the members to probe with the times of their last probes, the longest ago first.
    pub(crate) fn probe_order(&self) -> impl Iterator<Item = (Time, Key)> {
        self.probe_order.iter().copied()
    }

    /// Returns the query times of the proofs of absence, the oldest first. Expired proofs may be among them.
    pub(crate) fn proof_query_times(&self) -> impl Iterator<Item = Time> {
        self.proofs.iter().map(|(queried, _)| *queried)
    }

    /// Returns the number of proofs of absence. Expired proofs may be among them.
    pub(crate) fn proof_count(&self) -> usize {
        self.proofs.len()
    }

    /// Discards expired proofs from the index, the oldest first, up to the first one that has not expired.
    pub(crate) fn discard_proofs(&mut self, is_expired: impl Fn(Time) -> bool) {
        while let Some((queried, _)) = self.proofs.first()
            && is_expired(*queried)
        {
            self.proofs.pop_first();
        }
    }

    /// Drops all proofs.
    pub(crate) fn drop_proofs(&mut self) {
        // Proofs that were discarded before are no longer in the index. They have expired and have no effect.
        let proofs = std::mem::take(&mut self.proofs);
        for (_, key) in proofs {
            if let Some(position) = self.position(key) {
                self.members[position].absent_since = NEVER;
            }
        }
    }

    /// Returns the greatest list length that any member states; 0 if there are no members.
    pub(crate) fn longest_list_length(&self) -> u16 {
        self.list_lengths.last_key_value().map_or(0, |(length, _)| *length)
    }

    /// Returns all members in the order of their keys.
    #[cfg(test)]
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// Returns all members in the order of their keys, from `key` on and then from the first one.
    pub(crate) fn cyclic_from(&self, key: Key) -> impl Iterator<Item = &Member> {
        let first = self.members.partition_point(|member| member.key < key);
        let (before, from) = self.members.split_at(first);
        from.iter().chain(before)
    }
}
