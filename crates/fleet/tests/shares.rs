//! Thousands of schedules of loss, partitions, stops, crashes, late and duplicated datagrams and drift: after every
//! event the shares of all members add up to one at most, those of stopped processes included, whatever their views
//! are. A seed makes each schedule, and a failure names it.

use std::net::SocketAddr;

use sableloom_capacity_share::{Share, ShareReason, Timing};
use sableloom_fleet::{FleetMember, MemberSettings, Output};
use sableloom_membership::{
    Change, Key, ListedMember, MemberList, Timing as MembershipTiming, key_of,
};
use sableloom_simulated_network::{MS, Net, Process, S, Sent, address, on_all_cores, place};
use sableloom_types::Time;

/// A member and its share, as the policy has it between two events.
struct Member {
    core: FleetMember,
    share: Share,
}

impl Member {
    fn call(&mut self, sent: &mut Sent<Change>, what: impl FnOnce(&mut FleetMember, &mut Output)) {
        let mut out = Output::default();
        what(&mut self.core, &mut out);
        self.share = self.core.share();
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
    net.start(i, |process_incarnation, seed, now| {
        let settings = MemberSettings {
            fleet: "points".to_string(),
            own: format!("b{}", i + 1),
            membership: MembershipTiming::default(),
            share: Timing::default(),
        };
        let core = FleetMember::new(
            &settings,
            process_incarnation,
            MemberList::new(listed(of)),
            seed,
            now,
        );
        Member { share: core.share(), core }
    });
    net.call(i, |member, now, sent| member.call(sent, |core, out| core.start(now, out)));
}

/// The sum of the shares of all that run, each by its own clock.
fn sum(net: &Net<Member>) -> f64 {
    let running = net.places.iter().enumerate();
    let shares =
        running.filter_map(|(i, p)| Some(p.process.as_ref()?.share.fraction(net.local(i))));
    shares.sum()
}

fn balancers_and_reasons(net: &Net<Member>) -> Vec<Option<(u32, ShareReason)>> {
    let share =
        |p: &sableloom_simulated_network::Place<Member>| p.process.as_ref().map(|m| m.share);
    net.places.iter().map(|p| share(p).map(|share| (share.balancers, share.reason))).collect()
}

fn run(net: &mut Net<Member>, until: i64, seed: u64) {
    net.run_and(until, |net| {
        let sum = sum(net);
        assert!(
            sum <= 1.0 + 1e-9,
            "seed {seed}, at {} ms: the shares add up to {sum}: {:?}",
            net.now / MS,
            balancers_and_reasons(net)
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
        if balancers_and_reasons(net)
            .iter()
            .flatten()
            .all(|n| *n == (running, ShareReason::Sharing))
        {
            return Some(net.now - from);
        }
    }
    None
}

/// The longest time in which all share among those that run once the network is healed: the longest proof, pings of
/// the missing, one in a probe interval of up to nine times its length, and the longest suspicion.
const SHARED_WITHIN: i64 = 90 * S;

fn schedule(seed: u64) {
    let n = 2 + (seed % 6) as usize;
    let mut net: Net<Member> = Net::new(n, seed, 0.09);
    // Some networks hold datagrams back for longer than a proof holds.
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
    assert!(
        took.is_some(),
        "seed {seed}: they do not share among themselves: {:?}",
        balancers_and_reasons(&net)
    );
}

#[test]
fn shares_add_up_to_one_at_most_in_every_schedule() {
    on_all_cores(0..10_000, schedule);
}

/// All start at once: none waits for longer than it takes to probe all.
#[test]
fn members_that_start_together_share_within_a_second() {
    on_all_cores(0..50, |seed| {
        let n = 24;
        let mut net: Net<Member> = Net::new(n, seed, 0.02);
        (0..n).for_each(|i| start(&mut net, i, n));
        let took = until_shared(&mut net, S, seed);
        assert!(took.is_some(), "seed {seed}: {:?}", balancers_and_reasons(&net));
    });
}

/// Half are killed and their systems go on: the rest take over their shares, and give them back as they return.
#[test]
fn shares_of_killed_members_are_taken_over_and_given_back() {
    on_all_cores(0..50, |seed| {
        let n = 12;
        let mut net: Net<Member> = Net::new(n, seed, 0.02);
        (0..n).for_each(|i| start(&mut net, i, n));
        assert!(until_shared(&mut net, S, seed).is_some(), "seed {seed}");
        (0..6).for_each(|i| net.kill(i));
        let took = until_shared(&mut net, 6 * S, seed);
        assert!(took.is_some(), "seed {seed}: {:?}", balancers_and_reasons(&net));
        (0..6).for_each(|i| start(&mut net, i, n));
        let took = until_shared(&mut net, 6 * S, seed);
        assert!(took.is_some(), "seed {seed}: {:?}", balancers_and_reasons(&net));
    });
}

/// A partition proves nothing: neither side takes over a share, and both keep theirs.
#[test]
fn a_partition_enlarges_no_share() {
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
            let all = balancers_and_reasons(&net);
            assert!(
                all.iter().flatten().all(|n| *n == (10, ShareReason::Sharing)),
                "seed {seed}: {all:?}"
            );
        }
        let dead = |c: &(i64, Change)| matches!(c.1, Change::Died { .. });
        assert!(net.places.iter().all(|p| p.changes.iter().any(dead)), "they never missed anybody");
    });
}

/// A member that was stopped while others came back has nothing of their shares when it resumes, at no time.
#[test]
fn a_resumed_member_has_no_more_than_its_own_share() {
    on_all_cores(0..200, |seed| {
        let n = 6;
        let mut net: Net<Member> = Net::new(n, seed, 0.05);
        (0..n).for_each(|i| start(&mut net, i, n));
        assert!(until_shared(&mut net, S, seed).is_some(), "seed {seed}");
        (0..4).for_each(|i| net.kill(i));
        assert!(
            until_shared(&mut net, 6 * S, seed).is_some(),
            "seed {seed}: {:?}",
            balancers_and_reasons(&net)
        );
        // It has half of all, and is stopped; then the others come back.
        net.stop(5, 10 * S);
        let until = net.now + 100 * MS;
        run(&mut net, until, seed);
        (0..4).for_each(|i| start(&mut net, i, n));
        let until = net.now + 9 * S;
        run(&mut net, until, seed);
        let all = balancers_and_reasons(&net);
        assert!(all[..5].iter().flatten().all(|n| n.0 == 6), "seed {seed}: {all:?}");
        let took = until_shared(&mut net, 40 * S, seed);
        assert!(took.is_some(), "seed {seed}: {:?}", balancers_and_reasons(&net));
    });
}

/// A fleet of 24 grows to 60, each on all lists before it starts; the shares of the first shrink before that.
#[test]
fn shares_of_a_growing_fleet_never_exceed_one() {
    on_all_cores(0..4, |seed| {
        let (few, many) = (24, 60);
        let mut net: Net<Member> = Net::new(many, seed, 0.02);
        (0..few).for_each(|i| start(&mut net, i, many));
        assert!(
            until_shared(&mut net, 6 * S, seed).is_some(),
            "seed {seed}: {:?}",
            balancers_and_reasons(&net)
        );
        for i in few..many {
            start(&mut net, i, many);
            let until = net.now + 50 * MS;
            run(&mut net, until, seed);
        }
        let took = until_shared(&mut net, 20 * S, seed);
        assert!(took.is_some(), "seed {seed}: {:?}", balancers_and_reasons(&net));
    });
}

/// The bound that docs/design/members.md states: what is kept of a member, its name apart.
#[test]
fn bytes_kept_of_a_member_are_bounded() {
    let bytes =
        size_of::<sableloom_membership::Peer>() + sableloom_capacity_share::BYTES_PER_MEMBER;
    assert!(bytes < 200, "{bytes}");
}
