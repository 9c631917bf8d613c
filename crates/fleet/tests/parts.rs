//! Thousands of schedules of loss, cuts, stops, crashes, late and doubled datagrams and drift: after every
//! event the parts of all add up to one at most, whatever each believes, those that are stopped included.
//! A seed makes each, and a failure names it.

use std::net::SocketAddr;

use sableloom_capacity_share::{Share, ShareReason, Timing};
use sableloom_fleet::{FleetMember, MemberSettings, Output};
use sableloom_membership::{
    Change, Key, ListedMember, MemberList, Timing as MembershipTiming, key_of,
};
use sableloom_simulated_network::{MS, Net, Process, S, Sent, address, on_all_cores, place};
use sableloom_types::Time;

/// A member and its part, as the shell holds it between two calls.
struct Member {
    core: FleetMember,
    part: Share,
}

impl Member {
    fn call(&mut self, sent: &mut Sent<Change>, what: impl FnOnce(&mut FleetMember, &mut Output)) {
        let mut out = Output::default();
        what(&mut self.core, &mut out);
        self.part = self.core.share();
        sent.datagrams.extend(out.datagrams);
        sent.knocks.extend(out.absence_queries.into_iter().map(|(_, at)| at));
        sent.changes.extend(out.changes);
    }
}

impl Process for Member {
    type Change = Change;

    fn datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8], sent: &mut Sent<Change>) {
        self.call(sent, |core, out| core.receive(now, from, bytes, out));
    }

    fn refused(&mut self, now: Time, at: SocketAddr, asked: Time, sent: &mut Sent<Change>) {
        let Some(i) = place(at) else { return };
        self.call(sent, |core, out| core.proved_absent(now, key(i), asked, out));
    }

    fn tick(&mut self, now: Time, sent: &mut Sent<Change>) {
        self.call(sent, |core, out| core.tick(now, out));
    }

    fn next(&self) -> Time {
        self.core.next_wakeup()
    }
}

fn key(i: usize) -> Key {
    key_of(&format!("b{}", i + 1))
}

fn listed(n: usize) -> Vec<ListedMember> {
    (0..n).map(|i| ListedMember { name: format!("b{}", i + 1), address: address(i) }).collect()
}

fn start(net: &mut Net<Member>, i: usize, of: usize) {
    net.start(i, |life, seed, now| {
        let settings = MemberSettings {
            fleet: "points".to_string(),
            own: format!("b{}", i + 1),
            membership: MembershipTiming::default(),
            share: Timing::default(),
        };
        let core = FleetMember::new(&settings, life, MemberList::new(listed(of)), seed, now);
        Member { part: core.share(), core }
    });
    net.call(i, |member, now, sent| member.call(sent, |core, out| core.start(now, out)));
}

/// What all that run have together, each by its own clock.
fn sum(net: &Net<Member>) -> f64 {
    let running = net.places.iter().enumerate();
    let parts = running.filter_map(|(i, p)| Some(p.process.as_ref()?.part.fraction(net.local(i))));
    parts.sum()
}

fn numbers(net: &Net<Member>) -> Vec<Option<(u32, ShareReason)>> {
    let part = |p: &sableloom_simulated_network::Place<Member>| p.process.as_ref().map(|m| m.part);
    net.places.iter().map(|p| part(p).map(|part| (part.balancers, part.reason))).collect()
}

fn run(net: &mut Net<Member>, until: i64, seed: u64) {
    net.run_and(until, |net| {
        let sum = sum(net);
        assert!(
            sum <= 1.0 + 1e-9,
            "seed {seed}, at {} ms: the parts add up to {sum}: {:?}",
            net.now / MS,
            numbers(net)
        );
    });
}

/// Runs until all that run share among themselves alone; `None` if that takes longer.
fn until_shared(net: &mut Net<Member>, most: i64, seed: u64) -> Option<i64> {
    let from = net.now;
    let running = net.places.iter().filter(|p| p.process.is_some()).count() as u32;
    while net.now < from + most {
        let next = net.now + 50 * MS;
        run(net, next, seed);
        if numbers(net).iter().flatten().all(|n| *n == (running, ShareReason::Sharing)) {
            return Some(net.now - from);
        }
    }
    None
}

/// Once the net is whole, all share among those that run within this: the longest proof, calls of the
/// missing one a period of up to nine times its length, and the longest doubt.
const SHARED_WITHIN: i64 = 90 * S;

fn schedule(seed: u64) {
    let n = 2 + (seed % 6) as usize;
    let mut net: Net<Member> = Net::new(n, seed, 0.09);
    // Some nets hold datagrams back for longer than a proof lasts.
    net.delay = [30 * MS, 400 * MS, 4 * S][(seed / 6 % 3) as usize];
    net.doubled = 0.2;
    (0..n).for_each(|i| start(&mut net, i, n));
    let end = 14 * S;
    while net.now < end {
        let lot = net.rng.rand_range(0..11);
        let a = net.rng.rand_range(0..n as u64) as usize;
        let b = net.rng.rand_range(0..n as u64) as usize;
        match lot {
            0 | 1 => net.kill(a),
            2 => {
                let time = (net.rng.rand_float() * 7.0 * S as f64) as i64;
                net.stop(a, time);
            }
            3 => net.open[a][b] = false,
            4 => (0..n).for_each(|i| net.open[a][i] = false),
            5 => {
                for (i, j) in (0..n * n).map(|ij| (ij / n, ij % n)) {
                    net.open[i][j] = (i <= a) == (j <= a);
                }
            }
            6 => net.loss = net.rng.rand_float() * 0.5,
            7 => {
                net.kill(a);
                start(&mut net, a, n);
            }
            8 => net.heal(),
            9 => {
                // It says that it leaves, and ends.
                net.call(a, |member, _, sent| member.call(sent, |core, out| core.leave(out)));
                net.kill(a);
            }
            _ => {
                for i in 0..n {
                    if net.places[i].process.is_none() {
                        start(&mut net, i, n);
                    }
                }
            }
        }
        let gap = (net.rng.rand_float().powi(2) * 2.0 * S as f64) as i64;
        let until = net.now + gap;
        run(&mut net, until, seed);
    }
    net.heal();
    net.delay = 30 * MS;
    let took = until_shared(&mut net, SHARED_WITHIN, seed);
    assert!(took.is_some(), "seed {seed}: they do not share among themselves: {:?}", numbers(&net));
}

#[test]
fn the_parts_of_all_add_up_to_one_at_most_whatever_happens() {
    on_all_cores(0..10_000, schedule);
}

/// All start at once: nobody waits for longer than it takes to speak to all.
#[test]
fn who_starts_together_shares_at_once() {
    on_all_cores(0..50, |seed| {
        let n = 24;
        let mut net: Net<Member> = Net::new(n, seed, 0.02);
        (0..n).for_each(|i| start(&mut net, i, n));
        let took = until_shared(&mut net, S, seed);
        assert!(took.is_some(), "seed {seed}: {:?}", numbers(&net));
    });
}

/// Half are killed where their systems go on: the rest take over, and give back as they return.
#[test]
fn what_the_killed_had_goes_over_and_comes_back() {
    on_all_cores(0..50, |seed| {
        let n = 12;
        let mut net: Net<Member> = Net::new(n, seed, 0.02);
        (0..n).for_each(|i| start(&mut net, i, n));
        assert!(until_shared(&mut net, S, seed).is_some(), "seed {seed}");
        (0..6).for_each(|i| net.kill(i));
        let took = until_shared(&mut net, 6 * S, seed);
        assert!(took.is_some(), "seed {seed}: {:?}", numbers(&net));
        (0..6).for_each(|i| start(&mut net, i, n));
        let took = until_shared(&mut net, 6 * S, seed);
        assert!(took.is_some(), "seed {seed}: {:?}", numbers(&net));
    });
}

/// A cut is no death: neither side takes over anything, and both go on with what they had.
#[test]
fn a_cut_gives_nobody_more() {
    on_all_cores(0..50, |seed| {
        let n = 10;
        let mut net: Net<Member> = Net::new(n, seed, 0.02);
        (0..n).for_each(|i| start(&mut net, i, n));
        assert!(until_shared(&mut net, S, seed).is_some(), "seed {seed}");
        for (i, j) in (0..n * n).map(|ij| (ij / n, ij % n)) {
            net.open[i][j] = (i < 4) == (j < 4);
        }
        for _ in 0..40 {
            let until = net.now + 500 * MS;
            run(&mut net, until, seed);
            let all = numbers(&net);
            assert!(
                all.iter().flatten().all(|n| *n == (10, ShareReason::Sharing)),
                "seed {seed}: {all:?}"
            );
        }
        let dead = |c: &(i64, Change)| matches!(c.1, Change::Died { .. });
        assert!(net.places.iter().all(|p| p.changes.iter().any(dead)), "they never missed anybody");
    });
}

/// One that was stopped while others came back holds nothing of theirs when it wakes, at no moment.
#[test]
fn one_that_wakes_has_no_more_than_its_own() {
    on_all_cores(0..200, |seed| {
        let n = 6;
        let mut net: Net<Member> = Net::new(n, seed, 0.05);
        (0..n).for_each(|i| start(&mut net, i, n));
        assert!(until_shared(&mut net, S, seed).is_some(), "seed {seed}");
        (0..4).for_each(|i| net.kill(i));
        assert!(until_shared(&mut net, 6 * S, seed).is_some(), "seed {seed}: {:?}", numbers(&net));
        // It has half of all, and is stopped; then the others come back.
        net.stop(5, 10 * S);
        let until = net.now + 100 * MS;
        run(&mut net, until, seed);
        (0..4).for_each(|i| start(&mut net, i, n));
        let until = net.now + 9 * S;
        run(&mut net, until, seed);
        let all = numbers(&net);
        assert!(all[..5].iter().flatten().all(|n| n.0 == 6), "seed {seed}: {all:?}");
        let took = until_shared(&mut net, 40 * S, seed);
        assert!(took.is_some(), "seed {seed}: {:?}", numbers(&net));
    });
}

/// A fleet of 24 grows to 60, each on all lists before it starts; the parts of those there shrink first.
#[test]
fn a_fleet_that_grows_never_has_too_much() {
    on_all_cores(0..4, |seed| {
        let (few, many) = (24, 60);
        let mut net: Net<Member> = Net::new(many, seed, 0.02);
        (0..few).for_each(|i| start(&mut net, i, many));
        assert!(until_shared(&mut net, 6 * S, seed).is_some(), "seed {seed}: {:?}", numbers(&net));
        for i in few..many {
            start(&mut net, i, many);
            let until = net.now + 50 * MS;
            run(&mut net, until, seed);
        }
        let took = until_shared(&mut net, 20 * S, seed);
        assert!(took.is_some(), "seed {seed}: {:?}", numbers(&net));
    });
}

/// The bound that docs/design/members.md states: what is kept of a member, its name apart.
#[test]
fn what_is_kept_of_a_member_is_bounded() {
    let bytes =
        size_of::<sableloom_membership::Peer>() + sableloom_capacity_share::BYTES_PER_MEMBER;
    assert!(bytes < 200, "{bytes}");
}
