//! Replacement of the operators' list.

use std::sync::Arc;

use sableloom_types::Time;

use super::{Membership, Output};
use crate::list::{ListedMember, MemberList};
use crate::message::Key;
use crate::peer::Peer;
use crate::table::MemberTable;

/// How often a process that has started with a short list pings each unknown member.
pub(super) const START_PINGS_PER_MEMBER: usize = 2;
/// The maximum number of pings that a process that has started with a long list sends until the first member has
/// answered.
const START_PINGS_OF_LONG_LIST: usize = 32;

impl Membership {
    /// Replaces the operators' list. The state of members that are no longer on it is dropped, and updates about them
    /// are ignored from then on.
    pub fn update_list(&mut self, now: Time, list: Arc<MemberList>, output: &mut Output) {
        self.now = now;
        let resumed = self.table.resync().map(|resync| resync.since);
        let (old_list, peers) = std::mem::take(&mut self.table).into_parts();
        let own = self.own_key;
        let known = |(key, listed): &(Key, ListedMember)| {
            let before = old_list.position(*key).filter(|_| *key != own);
            let Some(before) = before else { return Peer::unknown(*key, now, own) };
            let mut peer = peers[before].clone();
            if old_list.members()[before].1.address != listed.address {
                // The process at the new address has yet to state its nonce.
                peer.nonce = 0;
            }
            peer
        };
        self.table = MemberTable::new(list, own, known, resumed);
        self.forget_removed_members();
        self.start_pings_left = match self.has_short_list() {
            true => START_PINGS_PER_MEMBER * self.table.count_unknown(),
            false => START_PINGS_OF_LONG_LIST,
        };
        self.probe_round.clear();
        self.view_changed(output);
    }

    fn forget_removed_members(&mut self) {
        let table = &self.table;
        let is_known = |key: Key| table.position(key).is_some();
        self.gossip.retain(|key| key == self.own_key || is_known(key));
        self.relays.retain(|relay| is_known(relay.target) && is_known(relay.requester));
        self.probe = self.probe.take().filter(|probe| is_known(probe.target));
        self.anti_entropy.retain(is_known);
    }
}
