//! What is done by time: probes, indirect probes and pings of members that are missing.

use sableloom_types::{Span, Time};

use super::list_update::START_PINGS_PER_MEMBER;
use super::{Membership, Output};
use crate::groups::Group;
use crate::message::{Body, Key, MemberState, Update};
use crate::peer::Health;

/// Members that are pinged at once when a list is new.
const MAX_LIST_UPDATE_PINGS: usize = 64;
/// The missing members of a long list are pinged so many times less often: where all members start at once, each ping
/// and its answer displace pages, by which most members are found.
const LONG_LIST_PING_FACTOR: f64 = 0.25;
/// A process that has started pings so many members in each probe interval that it never heard of,
const START_PINGS_PER_INTERVAL: usize = 7;
/// and so many until the first member has answered if its list is long.
const LONG_LIST_START_PINGS_PER_INTERVAL: usize = 1;

/// A probe that has no answer yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    pub(super) target: Key,
    pub(super) seq: u32,
    /// When other members are asked for an indirect probe.
    indirect_at: Time,
    /// When the target is suspected.
    deadline: Time,
    /// How many others were asked.
    relay_count: Option<u32>,
    /// How many of them said that they had no answer either.
    pub(super) nacks: u32,
}

/// A probe for another member.
#[derive(Clone, Copy, Debug)]
pub(super) struct Relay {
    pub(super) target: Key,
    pub(super) seq: u32,
    /// The member that asked for it.
    pub(super) requester: Key,
    /// The sequence number of its request.
    pub(super) requester_seq: u32,
    /// When the requester is sent a nack.
    pub(super) deadline: Time,
}

impl Membership {
    /// When [`Self::tick`] has to be called next.
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

    /// Does what is due by now.
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
        // Bad local health makes probes rare. Updates must not wait for them, or the refutations of suspected members,
        // this one among them, come too late: at 30% loss there were seven times as many false deaths as without
        // local health.
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

    /// Each member once in a round, in a random order drawn for each round (SWIM, section 4.3): a dead member is found
    /// within a round at the latest.
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

    /// Pings a member that is on the list and not reachable: it may be back, or the partition may be over. Nothing
    /// follows if it does not answer. Each member does so as seldom as to have each missing one pinged once in a probe
    /// interval by all together (Serf's reconnector draws at random in the same way): where each member pinged one in
    /// each interval, a single missing one of 7,600 was sent 38,000 datagrams a second. A process that has started
    /// pings more of those that it never heard of, for as long as it takes to ping each of them twice, or with a long
    /// list until the first has answered.
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
            // Without the bound by the unknown members the last few would be pinged by all for as long as all were to
            // be pinged.
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

    /// Pings members that are not reachable, 64 at once at most: a process that has just started is known to all that
    /// answer, and knows them, within one round trip. With a long list, which all take over at about the same time, it
    /// pings none.
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

    /// Pings so many random members of a group, or all if there are fewer.
    fn ping_random(&mut self, group: Group, members: usize, output: &mut Output) {
        for n in 0..members {
            let Some(key) = self.table.random_peer(group, n, &mut self.rng) else { break };
            self.ping(key, output);
        }
    }

    /// Pings a member: it answers to this very process, whatever is known of it.
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

    /// A member has answered, itself or by another member.
    pub(super) fn probe_answered(&mut self, from: Key, seq: u32) {
        if self.probe.is_some_and(|probe| (probe.target, probe.seq) == (from, seq)) {
            self.probe = None;
            self.local_health = self.local_health.saturating_sub(1);
        }
    }

    /// The probe has ended without an answer.
    fn suspect_probe_target(&mut self, now: Time, output: &mut Output) {
        let Some(probe) = self.probe.take() else { return };
        // Members that were asked say so if they had no answer either. If they say nothing at all, it is more likely
        // this member that is not heard.
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
