//! Composition of the datagrams that are sent.

use super::{Membership, Output};
use crate::codec::{encode, update_bytes};
use crate::groups::Group;
use crate::message::{Body, Key, MemberState, Message, Update};

/// The maximum number of updates that are put into a message. More never fit.
const MAX_UPDATES_PER_MESSAGE: usize = 24;

impl Membership {
    /// Sends updates to `count` random reachable members, or to all if there are fewer.
    pub(super) fn gossip_to_random(&mut self, count: usize, output: &mut Output) {
        for n in 0..count {
            let Some(key) = self.table.random_peer(Group::Reachable, n, &mut self.rng) else {
                break;
            };
            self.send(key, Body::Ack { seq: 0 }, output);
        }
    }

    /// Queues an update about this member itself.
    pub(super) fn queue_own_update(&mut self) {
        self.gossip.add(Update {
            member: self.own_key,
            process_incarnation: self.process_incarnation,
            incarnation: self.incarnation,
            state: if self.is_leaving { MemberState::Left } else { MemberState::Alive },
            reported_by: self.own_key,
        });
    }

    /// Sends a message with as many updates as fit. Nothing is sent to a member that is not on the list.
    pub(super) fn send(&mut self, to: Key, body: Body, output: &mut Output) {
        let Some(peer) = self.peer(to) else { return };
        let receiver_nonce = peer.nonce;
        let Some(address) = self.listed(to).map(|listed| listed.address) else { return };
        // The known state of the receiver itself comes first, so that the receiver can refute it.
        let state = peer.health.state().filter(|state| *state != MemberState::Alive);
        let receiver_update = state.map(|state| Update {
            member: to,
            process_incarnation: peer.process_incarnation,
            incarnation: peer.incarnation,
            state,
            reported_by: peer.reported_by,
        });
        let unqueued_count = receiver_update.iter().count();
        // A message without the receiver's nonce has no effect, so that updates in it would be lost.
        let updates: Vec<Update> = match (receiver_nonce, &body) {
            (0, _) => Vec::new(),
            (_, Body::Pull(_) | Body::Page(_)) => receiver_update.into_iter().collect(),
            _ => receiver_update.into_iter().chain(self.updates_within_budget()).collect(),
        };
        let message = Message {
            fleet: self.fleet,
            sender: self.own_key,
            process_incarnation: self.process_incarnation,
            incarnation: self.incarnation,
            nonce: self.nonce,
            receiver_nonce,
            view_digest: self.digest(),
            list_length: u16::try_from(self.table.len() + 1).unwrap_or(u16::MAX),
            endpoints_digest: self.endpoints_digest,
            body,
            updates,
        };
        let (bytes, sent) = encode(&message);
        if receiver_nonce != 0 {
            self.gossip.record_sent(sent.saturating_sub(unqueued_count));
            let sent_updates = message.updates.iter().take(sent).skip(unqueued_count);
            self.meter.add_updates(self.now, sent_updates.map(update_bytes).sum());
        }
        self.meter.add_datagram(self.now, bytes.len());
        output.datagrams.push((address, bytes));
    }

    /// Returns the updates of the next message, as many as the message and the budget of the last second have space
    /// for. Refutations by this member are sent without regard to the budget, because all members that do not receive
    /// them in time declare it dead.
    fn updates_within_budget(&mut self) -> Vec<Update> {
        let is_pulling = self.anti_entropy.is_pulling();
        // With a short list all members ping each other, for which the budget is not designed, and few members have few
        // updates.
        let mut remaining = match self.has_short_list() {
            true => usize::MAX,
            false => self.meter.remaining_for_updates(self.now, is_pulling),
        };
        let mut updates =
            self.gossip.next_updates(MAX_UPDATES_PER_MESSAGE, self.max_transmissions());
        let own = self.own_key;
        let fitting = updates.iter().take_while(|update| {
            let rest = remaining.checked_sub(update_bytes(update));
            remaining = rest.unwrap_or(remaining);
            rest.is_some() || update.member == own
        });
        let fitting = fitting.count();
        updates.truncate(fitting);
        updates
    }

    /// Returns how often each update is sent.
    fn max_transmissions(&self) -> u32 {
        let members = (self.table.len() + 2) as f64;
        (self.timing.retransmit_factor * members.log2()).ceil() as u32
    }

    pub(super) fn next_seq(&mut self) -> u32 {
        self.last_seq = self.last_seq.wrapping_add(1).max(1);
        self.last_seq
    }

    /// Leaves the fleet on purpose, and notifies as many random members as the number of times that an update is sent.
    pub fn leave(&mut self, output: &mut Output) {
        self.is_leaving = true;
        self.probe = None;
        self.queue_own_update();
        for n in 0..self.max_transmissions() as usize {
            let Some(key) = self.table.random_peer(Group::Reachable, n, &mut self.rng) else {
                break;
            };
            self.send(key, Body::Leave, output);
        }
        self.record_view_change(output);
    }
}
