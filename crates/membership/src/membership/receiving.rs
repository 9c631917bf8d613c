//! Acceptance and processing of datagrams.

use std::net::SocketAddr;

use sableloom_types::Time;

use super::probing::RelayedProbe;
use super::{Membership, Output};
use crate::codec::{DropReason, decode};
use crate::message::{Body, Key, MemberState, Message, Update};

/// The maximum number of indirect probes for other members that are in progress. Further requests are ignored.
const MAX_RELAYED_PROBES: usize = 64;

impl Membership {
    /// Processes a datagram that was received from the address `from`. An invalid datagram is dropped and counted by
    /// its reason (see [`Self::count_dropped`]).
    pub fn receive(&mut self, now: Time, from: SocketAddr, bytes: &[u8], output: &mut Output) {
        self.now = now;
        self.meter.add_datagram(now, bytes.len());
        // A process that resumes after a suspension may read its socket before its timer fires.
        self.detect_late_timer(now, output);
        match self.authenticate(from, bytes) {
            Ok((position, message)) => self.receive_message(now, position, message, output),
            Err(reason) => *self.dropped.entry(reason).or_default() += 1,
        }
        self.timer_due = Some(self.next_wakeup().max(now));
    }

    /// Decodes a datagram, and checks that its sender is the member of this fleet with the address `from`. Returns the
    /// member's position and the message.
    fn authenticate(&self, from: SocketAddr, bytes: &[u8]) -> Result<(usize, Message), DropReason> {
        let message = decode(bytes)?;
        if message.fleet != self.fleet {
            return Err(DropReason::OtherFleet);
        }
        let position = self.table.position_at(from).ok_or(DropReason::UnknownAddress)?;
        if message.sender != self.table.at(position).key {
            return Err(DropReason::WrongSender);
        }
        Ok((position, message))
    }

    fn receive_message(
        &mut self,
        now: Time,
        position: usize,
        message: Message,
        output: &mut Output,
    ) {
        if message.receiver_nonce != self.nonce {
            if message.receiver_nonce != 0 {
                *self.dropped.entry(DropReason::StaleNonce).or_default() += 1;
            }
            return self.answer_with_nonce(position, &message, output);
        }
        let Message { process_incarnation, incarnation, nonce, view_digest, .. } = message;
        let sender = message.sender;
        if process_incarnation >= self.table.at(position).process_incarnation {
            let alive = Update {
                member: sender,
                process_incarnation,
                incarnation,
                state: MemberState::Alive,
                reported_by: sender,
            };
            self.apply_update(now, alive, output);
            self.table.change(position, |peer| {
                (peer.nonce, peer.last_message_at) = (nonce, Some(now));
                peer.list_length = message.list_length;
                peer.endpoints_digest = message.endpoints_digest;
            });
            self.update_reachability(output);
        } else {
            // A later process incarnation of the sender is recorded, from an earlier process. It is sent to the new
            // process, so that this one takes a still later process incarnation.
            self.table.change(position, |peer| peer.nonce = nonce);
            self.send_known_incarnation(sender, output);
        }
        for update in message.updates {
            self.apply_update(now, update, output);
        }
        if matches!(message.body, Body::Ack { .. }) {
            self.compare_view_digests(now, sender, view_digest, output);
        }
        self.receive_body(now, sender, message.body, output);
    }

    /// Handles a message whose sender has not received this process's nonce yet. The message has no effect, but a ping
    /// is answered with the nonce, so that the sender's next message can have it. The sender's own nonce goes into the
    /// answer, but is not recorded.
    fn answer_with_nonce(&mut self, position: usize, message: &Message, output: &mut Output) {
        let Body::Ping { seq } = message.body else { return };
        let nonce = message.nonce;
        let before = self.table.change(position, |peer| std::mem::replace(&mut peer.nonce, nonce));
        self.send(message.sender, Body::Ack { seq }, output);
        self.table.change(position, |peer| peer.nonce = before);
    }

    /// Sends a member the incarnations that this process has recorded of it, with an ack that answers no ping: no ping
    /// has the sequence number 0.
    fn send_known_incarnation(&mut self, key: Key, output: &mut Output) {
        let Some(peer) = self.peer(key) else { return };
        let update = Update {
            member: key,
            process_incarnation: peer.process_incarnation,
            incarnation: peer.incarnation,
            state: MemberState::Alive,
            reported_by: peer.reported_by,
        };
        self.gossip.add(update);
        self.send(key, Body::Ack { seq: 0 }, output);
    }

    fn receive_body(&mut self, now: Time, from: Key, body: Body, output: &mut Output) {
        match body {
            Body::Ping { seq } => self.send(from, Body::Ack { seq }, output),
            Body::Ack { seq } => {
                self.probe_answered(from, seq);
                self.relay_ack(from, seq, output);
            }
            Body::PingRequest { seq, target } => {
                self.relay_ping(now, from, seq, target, output);
            }
            Body::IndirectAck { seq, target } => self.probe_answered(target, seq),
            Body::Nack { seq } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq) {
                    probe.nacks += 1;
                }
            }
            Body::Leave => self.receive_leave(now, from, output),
            Body::Pull(pull) => self.answer_pull(now, from, &pull, output),
            Body::Page(page) => self.receive_page(now, from, &page, output),
        }
    }

    /// Pings `target` for `requester`.
    fn relay_ping(
        &mut self,
        now: Time,
        requester: Key,
        requester_seq: u32,
        target: Key,
        output: &mut Output,
    ) {
        let is_full = self.relayed_probes.len() >= MAX_RELAYED_PROBES;
        if is_full || target == requester || self.peer(target).is_none() {
            return;
        }
        let seq = self.next_seq();
        // The requester needs the nack within its own probe interval.
        let deadline = now.plus(self.timing.probe_timeout);
        self.relayed_probes.push(RelayedProbe { target, seq, requester, requester_seq, deadline });
        self.send(target, Body::Ping { seq }, output);
    }

    fn relay_ack(&mut self, from: Key, seq: u32, output: &mut Output) {
        let found =
            self.relayed_probes.iter().position(|probe| (probe.target, probe.seq) == (from, seq));
        if let Some(probe) = found.map(|index| self.relayed_probes.swap_remove(index)) {
            let body = Body::IndirectAck { seq: probe.requester_seq, target: probe.target };
            self.send(probe.requester, body, output);
        }
    }

    fn receive_leave(&mut self, now: Time, from: Key, output: &mut Output) {
        let Some(peer) = self.peer(from) else { return };
        let left = Update {
            member: from,
            process_incarnation: peer.process_incarnation,
            incarnation: peer.incarnation,
            state: MemberState::Left,
            reported_by: from,
        };
        self.apply_update(now, left, output);
    }
}
