//! Replacement of the operators' list.

use std::sync::Arc;

use sableloom_types::Time;

use super::{Membership, Output};
use crate::list::{ListedMember, MemberList};
use crate::message::Key;
use crate::peer::Peer;
use crate::table::MemberTable;

/// The number of initial pings for each unknown member of a short list.
pub(super) const INITIAL_PINGS_PER_MEMBER: usize = 2;
/// The maximum number of initial pings with a long list. They end when the first member has answered.
const MAX_LONG_LIST_INITIAL_PINGS: usize = 32;

impl Membership {
    /// Replaces the operators' list. The state of members that are no longer on it is dropped, and updates about them
    /// are ignored from then on.
    pub fn update_list(&mut self, now: Time, list: Arc<MemberList>, output: &mut Output) {
        self.now = now;
        let resumed_at = self.table.resync().map(|resync| resync.since);
        let (old_list, peers) = std::mem::take(&mut self.table).into_parts();
        let own = self.own_key;
        let peer_of = |(key, listed): &(Key, ListedMember)| {
            let old_position = old_list.position(*key).filter(|_| *key != own);
            let Some(old_position) = old_position else { return Peer::unknown(*key, now, own) };
            let mut peer = peers[old_position].clone();
            if old_list.members()[old_position].1.address != listed.address {
                // The nonce is that of the process at the old address. The one at the new address has sent none yet.
                peer.nonce = 0;
            }
            peer
        };
        self.table = MemberTable::new(list, own, peer_of, resumed_at);
        self.drop_removed_members();
        self.remaining_initial_pings = match self.has_short_list() {
            true => INITIAL_PINGS_PER_MEMBER * self.table.count_unknown(),
            false => MAX_LONG_LIST_INITIAL_PINGS,
        };
        self.probe_round.clear();
        self.record_view_change(output);
    }

    /// Drops queued updates, probes and pulls that concern members that are no longer on the list.
    fn drop_removed_members(&mut self) {
        let table = &self.table;
        let is_listed = |key: Key| table.position(key).is_some();
        self.gossip.retain(|key| key == self.own_key || is_listed(key));
        self.relayed_probes.retain(|probe| is_listed(probe.target) && is_listed(probe.requester));
        self.probe = self.probe.take().filter(|probe| is_listed(probe.target));
        self.anti_entropy.retain(is_listed);
    }
}
