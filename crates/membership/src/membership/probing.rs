//! The actions that depend on time: probes, indirect probes and pings of missing members.

use sableloom_types::{Span, Time};

use super::list_update::INITIAL_PINGS_PER_MEMBER;
use super::{Membership, Output};
use crate::groups::Group;
use crate::message::{Body, Key, MemberState, Update};
use crate::peer::Health;

/// The maximum number of members that [`Membership::ping_missing_members`] pings.
const MAX_PINGS_AT_ONCE: usize = 64;
/// The factor that reduces the probability of pings of the missing members of a long list. Where all members start at
/// once, most members are found by pages, and each ping and its answer take bytes of the budget that pages need.
const LONG_LIST_PING_FACTOR: f64 = 0.25;
/// The maximum number of initial pings in each probe interval with a short list. Initial pings are sent to members of
/// which nothing is known, after the start of a process and after each change of its list.
const MAX_INITIAL_PINGS_PER_INTERVAL: usize = 7;
/// The maximum number of initial pings in each probe interval with a long list, until the first member has answered.
const MAX_LONG_LIST_INITIAL_PINGS_PER_INTERVAL: usize = 1;

/// A probe that has no answer yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub(super) target: Key,
    pub(super) seq: u32,
    /// When indirect probes are requested from other members.
    indirect_at: Time,
    /// When the target becomes suspected if no answer has arrived.
    deadline: Time,
    /// The number of members from which an indirect probe was requested; `None` before that.
    relay_count: Option<u32>,
    /// The number of these members that have reported that the target did not answer them either.
    pub(super) nacks: u32,
}

/// An indirect probe that this member sends at the request of another one.
#[derive(Clone, Copy, Debug)]
pub(super) struct RelayedProbe {
    pub(super) target: Key,
    pub(super) seq: u32,
    /// The member that requested the probe.
    pub(super) requester: Key,
    /// The sequence number of its request.
    pub(super) requester_seq: u32,
    /// When the requester is sent a nack if the target has not answered.
    pub(super) deadline: Time,
}

impl Membership {
    /// Returns when [`Self::tick`] has to be called next.
    pub fn next_wakeup(&self) -> Time {
        let probe = self.probe.map(|probe| match probe.relay_count {
            None => probe.indirect_at,
            Some(_) => probe.deadline,
        });
        let relayed_probes = self.relayed_probes.iter().map(|probe| probe.deadline);
        let has_gossip = self.local_health > 0 && !self.gossip.is_empty();
        let gossip = Some(self.next_gossip).filter(|_| has_gossip);
        let suspicion = self.table.first_suspicion_deadline();
        let pull = self.anti_entropy.due();
        let others = suspicion.into_iter().chain(relayed_probes).chain(gossip).chain(pull);
        let first = probe.into_iter().chain(others).min();
        first.map_or(self.next_probe, |at| at.min(self.next_probe))
    }

    /// Performs all actions that are due by `now`.
    pub fn tick(&mut self, now: Time, output: &mut Output) {
        self.now = now;
        self.detect_late_timer(now, output);
        self.expire_relayed_probes(now, output);
        self.continue_probing(now, output);
        self.expire_suspicions(now, output);
        self.continue_pull(now, output);
        self.update_reachability(output);
        self.timer_due = Some(self.next_wakeup());
    }

    fn expire_relayed_probes(&mut self, now: Time, output: &mut Output) {
        let expired: Vec<RelayedProbe> =
            self.relayed_probes.extract_if(.., |probe| probe.deadline <= now).collect();
        for probe in expired {
            self.send(probe.requester, Body::Nack { seq: probe.requester_seq }, output);
        }
    }

    fn continue_probing(&mut self, now: Time, output: &mut Output) {
        if let Some(probe) = self.probe {
            if probe.relay_count.is_none() && now >= probe.indirect_at {
                self.request_indirect_probes(probe, output);
            }
            if now >= probe.deadline {
                self.suspect_probe_target(now, output);
            }
        }
        // With bad local health, probes are rare. Updates must not wait for them, or the refutations of suspected
        // members, this one among them, come too late: at 30% loss there were seven times as many false deaths as
        // without local health.
        if now >= self.next_gossip {
            self.next_gossip = now.plus(self.timing.probe_interval);
            if self.local_health > 0 && now < self.next_probe && !self.gossip.is_empty() {
                self.gossip_to_random(1, output);
            }
        }
        if now >= self.next_probe {
            self.start_probe(now, output);
            self.ping_random_missing(output);
        }
    }

    fn start_probe(&mut self, now: Time, output: &mut Output) {
        let interval_factor = i64::from(1 + self.local_health);
        self.next_probe = now.plus(self.intervals(interval_factor));
        self.probe = self.next_probe_target().map(|target| {
            let seq = self.next_seq();
            self.send(target, Body::Ping { seq }, output);
            let indirect_at = now.plus(Span(self.timing.probe_timeout.0 * interval_factor));
            let deadline = self.next_probe;
            Probe { target, seq, indirect_at, deadline, relay_count: None, nacks: 0 }
        });
    }

    /// Returns the next member to probe. Each round probes each reachable member once, in a random order that is drawn
    /// for the round (SWIM, section 4.3), so that a dead member is found within a round at the latest.
    fn next_probe_target(&mut self) -> Option<Key> {
        for _ in 0..2 {
            while let Some(key) = self.probe_round.pop() {
                if self.peer(key).is_some_and(|peer| peer.health.is_reachable()) {
                    return Some(key);
                }
            }
            let table = &self.table;
            self.probe_round =
                table.reachable_positions().map(|position| table.at(position).key).collect();
            for i in (1..self.probe_round.len()).rev() {
                let j = self.rng.rand_range(0..i as u64 + 1) as usize;
                self.probe_round.swap(i, j);
            }
        }
        None
    }

    /// Pings a random member that is on the list and not reachable, as it may be back, or the partition may be over. If
    /// it does not answer, its state does not change. The probability is so low that all members together ping each
    /// missing one about once in a probe interval (Serf's reconnector draws at random in the same way). When each
    /// member pinged one in each interval, a single missing member of 7,600 received 38,000 datagrams a second.
    ///
    /// Also sends the initial pings of this interval. With a short list, there are two for each unknown member. With a
    /// long list, they end when the first member has answered.
    fn ping_random_missing(&mut self, output: &mut Output) {
        let reachable = self.table.count_reachable();
        let missing = self.table.len() - reachable;
        let probability = (missing as f64 / (reachable + 1) as f64).min(1.0);
        let probability =
            if self.has_short_list() { probability } else { probability * LONG_LIST_PING_FACTOR };
        let pings_one = self.rng.rand_float() < probability;
        if pings_one && let Some(key) = self.table.random_missing_peer(&mut self.rng) {
            self.ping(key, output);
        }
        let unknown = self.table.count_unknown();
        let (remaining, per_interval) = match self.has_short_list() {
            // The remaining pings are limited to twice the number of members that are still unknown. Otherwise the
            // pings that were meant for members that have become known would all go to the last few unknown ones.
            true => (
                self.remaining_initial_pings.min(INITIAL_PINGS_PER_MEMBER * unknown),
                MAX_INITIAL_PINGS_PER_INTERVAL,
            ),
            false if self.table.count_reachable() == 0 => {
                (self.remaining_initial_pings, MAX_LONG_LIST_INITIAL_PINGS_PER_INTERVAL)
            }
            false => (0, 0),
        };
        let pings = per_interval.min(remaining).min(unknown);
        self.remaining_initial_pings = remaining - pings;
        self.ping_random(Group::Unknown, pings, output);
    }

    /// Pings up to 64 members that are not reachable, members of which nothing is known before others. A process that
    /// has just started thereby records the members that answer as alive within one round trip; they record it when
    /// they receive its next message, which has their nonce. With a long list no member is pinged, because all members
    /// start to use a new list at about the same time.
    pub fn ping_missing_members(&mut self, now: Time, output: &mut Output) {
        self.now = now;
        if !self.has_short_list() {
            return;
        }
        self.ping_random(Group::Unknown, MAX_PINGS_AT_ONCE, output);
        let remaining = MAX_PINGS_AT_ONCE.saturating_sub(self.table.count_unknown());
        self.ping_random(Group::DeadOrLeft, remaining, output);
        self.timer_due = Some(self.next_wakeup().max(now));
    }

    /// Pings `count` random members of a group, or all if there are fewer.
    fn ping_random(&mut self, group: Group, count: usize, output: &mut Output) {
        for n in 0..count {
            let Some(key) = self.table.random_peer(group, n, &mut self.rng) else { break };
            self.ping(key, output);
        }
    }

    /// Pings a member in any state. The answer has the nonce of this process, and so acknowledges this process and not
    /// an earlier one at the same address.
    pub fn ping(&mut self, key: Key, output: &mut Output) {
        let seq = self.next_seq();
        self.send(key, Body::Ping { seq }, output);
    }

    fn request_indirect_probes(&mut self, probe: Probe, output: &mut Output) {
        let (mut requested, mut index) = (0, 0);
        while requested < self.timing.indirect_probes as u32 {
            let relay = self.table.random_peer(Group::Reachable, index, &mut self.rng);
            let Some(relay) = relay else { break };
            index += 1;
            let is_alive = self.peer(relay).is_some_and(|peer| peer.health == Health::Alive);
            if is_alive && relay != probe.target {
                let body = Body::PingRequest { seq: probe.seq, target: probe.target };
                self.send(relay, body, output);
                requested += 1;
            }
        }
        if let Some(probe) = &mut self.probe {
            probe.relay_count = Some(requested);
        }
    }

    /// Ends the probe in progress if it has this target and sequence number, and improves the local health. The answer
    /// comes from the target itself or from a relay.
    pub(super) fn probe_answered(&mut self, from: Key, seq: u32) {
        if self.probe.is_some_and(|probe| (probe.target, probe.seq) == (from, seq)) {
            self.probe = None;
            self.local_health = self.local_health.saturating_sub(1);
        }
    }

    /// Ends the probe in progress without an answer, and suspects its target.
    fn suspect_probe_target(&mut self, now: Time, output: &mut Output) {
        let Some(probe) = self.probe.take() else { return };
        // A relay sends a nack if it receives no answer either. If nacks are missing, it is more likely that this
        // member is not reachable itself.
        if probe.relay_count.unwrap_or(0) > probe.nacks {
            self.worsen_local_health(1);
        }
        let peer = self.peer(probe.target).filter(|peer| peer.health.is_reachable());
        let Some(peer) = peer else { return };
        let suspected = Update {
            member: probe.target,
            process_incarnation: peer.process_incarnation,
            incarnation: peer.incarnation,
            state: MemberState::Suspect,
            reported_by: self.own_key,
        };
        self.apply_update(now, suspected, output);
    }
}
