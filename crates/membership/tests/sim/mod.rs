//! Members on a simulated network.
#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};

use sableloom_membership::{
    Change, Key, ListedMember, MemberList, Membership, Output, Timing, decode, key_of,
};
use sableloom_simulated_network::{Network, Output as NetworkOutput, Process, address_of};
use sableloom_types::Time;

pub(crate) use sableloom_simulated_network::{MILLISECOND, SECOND};

/// A member without a capacity share.
pub(crate) struct Member(pub(crate) Membership);

fn forward_output(out: Output, sent: &mut NetworkOutput<Change>) {
    // Receivers reject datagrams of more than 256 bytes, and pages of more than 1,200.
    assert!(
        out.datagrams.iter().all(|(_, bytes)| decode(bytes).is_ok()),
        "a datagram is too long or invalid"
    );
    sent.datagrams.extend(out.datagrams);
    sent.changes.extend(out.changes);
}

impl Process for Member {
    type Change = Change;

    fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        bytes: &[u8],
        sent: &mut NetworkOutput<Change>,
    ) {
        let mut out = Output::default();
        self.0.receive(now, from, bytes, &mut out);
        forward_output(out, sent);
    }

    fn tick(&mut self, now: Time, sent: &mut NetworkOutput<Change>) {
        let mut out = Output::default();
        self.0.tick(now, &mut out);
        forward_output(out, sent);
    }

    fn next_wakeup(&self) -> Time {
        self.0.next_wakeup()
    }
}

pub(crate) struct Sim {
    network: Network<Member>,
    keys: HashMap<Key, usize>,
}

impl Deref for Sim {
    type Target = Network<Member>;
    fn deref(&self) -> &Network<Member> {
        &self.network
    }
}

impl DerefMut for Sim {
    fn deref_mut(&mut self) -> &mut Network<Member> {
        &mut self.network
    }
}

pub(crate) fn name(i: usize) -> String {
    format!("balancer-{}", i + 1)
}

pub(crate) fn key(i: usize) -> Key {
    key_of(&name(i))
}

pub(crate) fn listed(n: usize) -> Vec<ListedMember> {
    (0..n).map(|i| ListedMember { name: name(i), address: address_of(i) }).collect()
}

impl Sim {
    pub(crate) fn new(n: usize, seed: u64, drift: f64) -> Self {
        Self { network: Network::new(n, seed, drift), keys: (0..n).map(|i| (key(i), i)).collect() }
    }

    /// Starts the process of member `i` with a list of `list_length` members.
    pub(crate) fn start(&mut self, i: usize, list_length: usize) {
        self.start_with_timing(i, list_length, Timing::default());
    }

    /// Starts the process of member `i` with a list of `list_length` members and this timing.
    pub(crate) fn start_with_timing(&mut self, i: usize, list_length: usize, timing: Timing) {
        self.network.start(i, |process_incarnation, seed, now| {
            Member(Membership::new(
                "points",
                &name(i),
                process_incarnation,
                MemberList::new(listed(list_length)),
                timing,
                seed,
                now,
            ))
        });
    }

    /// Returns the members whose processes run, with their indexes.
    pub(crate) fn memberships(&self) -> impl Iterator<Item = (usize, &Membership)> {
        let hosts = self.hosts.iter().enumerate();
        hosts.filter_map(|(i, host)| Some((i, &host.process.as_ref()?.0)))
    }

    pub(crate) fn membership(&self, i: usize) -> &Membership {
        &self.hosts[i].process.as_ref().expect("a running member").0
    }

    /// Replaces the list of member `i` by one of `list_length` members.
    pub(crate) fn update_list(&mut self, i: usize, list_length: usize) {
        self.call(i, |member, now, sent| {
            let mut out = Output::default();
            member.0.update_list(now, MemberList::new(listed(list_length)), &mut out);
            forward_output(out, sent);
        });
    }

    /// Makes a member leave on purpose.
    pub(crate) fn leave(&mut self, i: usize) {
        self.call(i, |member, _, sent| {
            let mut out = Output::default();
            member.0.leave(&mut out);
            forward_output(out, sent);
        });
    }

    /// Returns whether all running members have the same view, and it is correct.
    pub(crate) fn views_agree(&self) -> bool {
        let mut digests = self.memberships().map(|(_, membership)| membership.digest());
        let first = digests.next();
        let are_equal = digests.all(|d| Some(d) == first);
        are_equal && self.views_are_correct()
    }

    /// Returns whether the views of all running members are correct.
    pub(crate) fn views_are_correct(&self) -> bool {
        self.memberships().all(|(own, membership)| {
            membership.peers().all(|peer| {
                let i = self.keys[&peer.key];
                i == own || peer.health.is_reachable() == self.hosts[i].process.is_some()
            })
        })
    }

    /// Runs until all views agree. Returns how long that took in microseconds, or `None` if it takes longer than
    /// `max_time`.
    pub(crate) fn run_until_agreed(&mut self, max_time: i64) -> Option<i64> {
        let from = self.now;
        while self.now < from + max_time {
            let until = self.now + 100 * MILLISECOND;
            self.run(until);
            if self.views_agree() {
                return Some(self.now - from);
            }
        }
        None
    }
}
