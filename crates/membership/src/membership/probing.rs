//! The actions that depend on time: probes, indirect probes and pings of missing members.

use sableloom_types::{Span, Time};

use super::list_update::START_PINGS_PER_MEMBER;
use super::{Membership, Output};
use crate::groups::Group;
use crate::message::{Body, Key, MemberState, Update};
use crate::peer::Health;

/// The maximum number of members that are pinged at once when a list is new.
const MAX_LIST_UPDATE_PINGS: usize = 64;
/// The factor that reduces the probability of pings of the missing members of a long list. Where all members start at
/// once, each ping and its answer displace pages, by which most members are found.
const LONG_LIST_PING_FACTOR: f64 = 0.25;
/// The maximum number of unknown members that a process that has started with a short list pings in each probe
/// interval. A member is unknown as long as nothing is known of its state.
const START_PINGS_PER_INTERVAL: usize = 7;
/// The maximum number of unknown members that a process that has started with a long list pings in each probe interval
/// until the first member has answered.
const LONG_LIST_START_PINGS_PER_INTERVAL: usize = 1;

/// A probe that has no answer yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub(super) target: Key,
    pub(super) seq: u32,
    /// When indirect probes are requested from other members.
    indirect_at: Time,
    /// When the target is suspected.
    deadline: Time,
    /// The number of members from which an indirect probe was requested; `None` before that.
    relay_count: Option<u32>,
    /// The number of these members that have reported that they received no answer either.
    pub(super) nacks: u32,
}

/// An indirect probe that this member sends for another one.
#[derive(Clone, Copy, Debug)]
pub(super) struct Relay {
    pub(super) target: Key,
    pub(super) seq: u32,
    /// The member that requested the probe.
    pub(super) requester: Key,
    /// The sequence number of its request.
    pub(super) requester_seq: u32,
    /// When the requester is sent a nack.
    pub(super) deadline: Time,
}

impl Membership {
    /// Returns when [`Self::tick`] has to be called next.
    pub fn next_wakeup(&self) -> Time {
        let probe = self.probe.map(|probe| match probe.relay_count {
            None => probe.indirect_at,
            Some(_) => probe.deadline,
        });
        let relays = self.relays.iter().map(|relay| relay.deadline);
        let has_gossip = self.local_health > 0 && !self.gossip.is_empty();
        let gossip = Some(self.next_gossip).filter(|_| has_gossip);
        let suspicion = self.table.first_suspicion_deadline();
        let pull = self.anti_entropy.due();
        let others = suspicion.into_iter().chain(relays).chain(gossip).chain(pull);
        let first = probe.into_iter().chain(others).min();
        first.map_or(self.next_probe, |at| at.min(self.next_probe))
    }

    /// Performs all actions that are due by `now`.
    pub fn tick(&mut self, now: Time, output: &mut Output) {
        self.now = now;
        self.detect_late_timer(now, output);
        self.expire_relays(now, output);
        self.continue_probing(now, output);
        self.expire_suspicions(now, output);
        self.continue_pull(now, output);
        self.update_reachability(output);
        self.timer_due = Some(self.next_wakeup());
    }

    fn expire_relays(&mut self, now: Time, output: &mut Output) {
        let expired: Vec<Relay> =
            self.relays.extract_if(.., |relay| relay.deadline <= now).collect();
        for relay in expired {
            self.send(relay.requester, Body::Nack { seq: relay.requester_seq }, output);
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
                self.gossip_to(1, output);
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

    /// Pings a random member that is on the list and not reachable, as it may be back, or the partition may be over. A
    /// missing answer has no consequence. The probability is so low that all members together ping each missing one
    /// about once in a probe interval (Serf's reconnector draws at random in the same way). When each member pinged one
    /// in each interval, a single missing member of 7,600 received 38,000 datagrams a second.
    ///
    /// A process that has started also pings unknown members, for as long as it takes to ping each of them twice, or
    /// with a long list until the first member has answered.
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
        let (left, per_interval) = match self.has_short_list() {
            // Without the bound by the number of unknown members, all members would ping the last few unknown ones for
            // as long as it takes to ping all.
            true => (
                self.start_pings_left.min(START_PINGS_PER_MEMBER * unknown),
                START_PINGS_PER_INTERVAL,
            ),
            false if self.table.count_reachable() == 0 => {
                (self.start_pings_left, LONG_LIST_START_PINGS_PER_INTERVAL)
            }
            false => (0, 0),
        };
        let pings = per_interval.min(left).min(unknown);
        self.start_pings_left = left - pings;
        self.ping_random(Group::Unknown, pings, output);
    }

    /// Pings up to 64 members that are not reachable. A process that has just started and the members that answer
    /// thereby know each other within one round trip. With a long list, which all members take over at about the same
    /// time, no member is pinged.
    pub fn ping_missing_members(&mut self, now: Time, output: &mut Output) {
        self.now = now;
        if !self.has_short_list() {
            return;
        }
        self.ping_random(Group::Unknown, MAX_LIST_UPDATE_PINGS, output);
        let remaining = MAX_LIST_UPDATE_PINGS.saturating_sub(self.table.count_unknown());
        self.ping_random(Group::DeadOrLeft, remaining, output);
        self.timer_due = Some(self.next_wakeup().max(now));
    }

    /// Pings `members` random members of a group, or all if there are fewer.
    fn ping_random(&mut self, group: Group, members: usize, output: &mut Output) {
        for n in 0..members {
            let Some(key) = self.table.random_peer(group, n, &mut self.rng) else { break };
            self.ping(key, output);
        }
    }

    /// Pings a member, whatever is known of it. Its answer is meant for this process, not for an earlier one at the
    /// same address.
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

    /// Ends the probe in progress if it has this target and sequence number. The answer comes from the target itself or
    /// from a relay.
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
