//! Members on a simulated network.
#![allow(dead_code, reason = "each test file uses what it needs of it")]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};

use sableloom_membership::{
    Change, Key, ListedMember, MemberList, Membership, Output, Timing, decode, key_of,
};
use sableloom_simulated_network::{Network, Output as NetworkOutput, Process, address_of};
use sableloom_types::Time;

pub(crate) use sableloom_simulated_network::{MILLISECOND, SECOND};

/// A member alone, without a capacity share.
pub(crate) struct Member(pub(crate) Membership);

fn carry(out: Output, sent: &mut NetworkOutput<Change>) {
    // Receivers reject datagrams of more than 256 bytes, and pages of more than 1,200.
    assert!(out.datagrams.iter().all(|(_, bytes)| decode(bytes).is_ok()), "a datagram too long");
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
        carry(out, sent);
    }

    fn tick(&mut self, now: Time, sent: &mut NetworkOutput<Change>) {
        let mut out = Output::default();
        self.0.tick(now, &mut out);
        carry(out, sent);
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

    /// Starts a member's process with a list of so many names.
    pub(crate) fn start(&mut self, i: usize, of: usize) {
        self.start_as(i, of, Timing::default());
    }

    /// The same with another timing.
    pub(crate) fn start_as(&mut self, i: usize, of: usize, timing: Timing) {
        self.network.start(i, |process_incarnation, seed, now| {
            Member(Membership::new(
                "points",
                &name(i),
                process_incarnation,
                MemberList::new(listed(of)),
                timing,
                seed,
                now,
            ))
        });
    }

    /// The members whose processes run.
    pub(crate) fn fleets(&self) -> impl Iterator<Item = (usize, &Membership)> {
        let places = self.hosts.iter().enumerate();
        places.filter_map(|(i, place)| Some((i, &place.process.as_ref()?.0)))
    }

    pub(crate) fn fleet(&self, i: usize) -> &Membership {
        &self.hosts[i].process.as_ref().expect("it runs").0
    }

    /// Gives a member a list of so many names.
    pub(crate) fn takes_list(&mut self, i: usize, of: usize) {
        self.call(i, |member, now, sent| {
            let mut out = Output::default();
            member.0.update_list(now, MemberList::new(listed(of)), &mut out);
            carry(out, sent);
        });
    }

    /// Makes a member leave on purpose.
    pub(crate) fn leave(&mut self, i: usize) {
        self.call(i, |member, _, sent| {
            let mut out = Output::default();
            member.0.leave(&mut out);
            carry(out, sent);
        });
    }

    /// Whether all that run have the same view, and it is true.
    pub(crate) fn agree(&self) -> bool {
        let mut digests = self.fleets().map(|(_, fleet)| fleet.digest());
        let first = digests.next();
        let same = digests.all(|d| Some(d) == first);
        same && self.views_are_true()
    }

    /// Whether the views of all that run are true.
    pub(crate) fn views_are_true(&self) -> bool {
        self.fleets().all(|(own, fleet)| {
            fleet.peers().all(|peer| {
                let i = self.keys[&peer.key];
                i == own || peer.health.is_reachable() == self.hosts[i].process.is_some()
            })
        })
    }

    /// Runs until all agree; how long that took, or `None` if it took longer than this.
    pub(crate) fn until_agreed(&mut self, most: i64) -> Option<i64> {
        let from = self.now;
        while self.now < from + most {
            let until = self.now + 100 * MILLISECOND;
            self.run(until);
            if self.agree() {
                return Some(self.now - from);
            }
        }
        None
    }
}
