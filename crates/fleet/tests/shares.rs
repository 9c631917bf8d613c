//! Runs members on a simulated network and checks after every event that the shares of all processes add up to one at
//! most, including those of suspended processes, even while their views differ. Faults are loss, partitions,
//! suspensions, crashes, late and duplicated datagrams and clock drift. A seed determines each run, and a failure
//! message states it.

use std::net::SocketAddr;

use sableloom_capacity_share::{Share, ShareReason, Timing};
use sableloom_fleet::{FleetMember, MemberSettings, Output};
use sableloom_membership::{
    Change, Key, ListedMember, MemberList, Timing as MembershipTiming, key_of,
};
use sableloom_simulated_network::{
    MILLISECOND, Network, Output as NetworkOutput, Process, SECOND, address_of, for_each_seed,
    host_at,
};
use sableloom_types::Time;

/// A member and its share as of the last event, which the policy uses until the next one.
struct Member {
    fleet_member: FleetMember,
    share: Share,
}

impl Member {
    fn call(
        &mut self,
        network_output: &mut NetworkOutput<Change>,
        event: impl FnOnce(&mut FleetMember, &mut Output),
    ) {
        let mut output = Output::default();
        event(&mut self.fleet_member, &mut output);
        self.share = self.fleet_member.share();
        network_output.datagrams.extend(output.datagrams);
        network_output
            .absence_queries
            .extend(output.absence_queries.into_iter().map(|(_, address)| address));
        network_output.changes.extend(output.changes);
    }
}

impl Process for Member {
    type Change = Change;

    fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        bytes: &[u8],
        network_output: &mut NetworkOutput<Change>,
    ) {
        self.call(network_output, |fleet_member, output| {
            fleet_member.receive(now, from, bytes, output)
        });
    }

    fn proved_absent(
        &mut self,
        now: Time,
        address: SocketAddr,
        queried_at: Time,
        network_output: &mut NetworkOutput<Change>,
    ) {
        let Some(i) = host_at(address) else { return };
        self.call(network_output, |fleet_member, output| {
            fleet_member.proved_absent(now, key(i), queried_at, output)
        });
    }

    fn tick(&mut self, now: Time, network_output: &mut NetworkOutput<Change>) {
        self.call(network_output, |fleet_member, output| fleet_member.tick(now, output));
    }

    fn next_wakeup(&self) -> Time {
        self.fleet_member.next_wakeup()
    }
}

fn key(i: usize) -> Key {
    key_of(&format!("b{}", i + 1))
}

fn listed_members(n: usize) -> Vec<ListedMember> {
    (0..n).map(|i| ListedMember { name: format!("b{}", i + 1), address: address_of(i) }).collect()
}

fn start(network: &mut Network<Member>, i: usize, list_size: usize) {
    network.start(i, |process_incarnation, seed, now| {
        let settings = MemberSettings {
            fleet_name: "points".to_string(),
            own_name: format!("b{}", i + 1),
            membership_timing: MembershipTiming::default(),
            share_timing: Timing::default(),
        };
        let fleet_member = FleetMember::new(
            &settings,
            process_incarnation,
            MemberList::new(listed_members(list_size)),
            seed,
            now,
        );
        Member { share: fleet_member.share(), fleet_member }
    });
    network.call(i, |member, now, network_output| {
        member.call(network_output, |fleet_member, output| fleet_member.start(now, output))
    });
}

/// Returns the sum of the shares of all running processes, each at the time of its own clock.
fn share_sum(network: &Network<Member>) -> f64 {
    let running = network.hosts.iter().enumerate();
    let shares = running
        .filter_map(|(i, host)| Some(host.process.as_ref()?.share.fraction(network.local_time(i))));
    shares.sum()
}

/// Returns the number of balancers and the reason in the share of each host; `None` for a host without a process.
fn balancers_and_reasons(network: &Network<Member>) -> Vec<Option<(u32, ShareReason)>> {
    let share =
        |host: &sableloom_simulated_network::Host<Member>| host.process.as_ref().map(|m| m.share);
    network
        .hosts
        .iter()
        .map(|host| share(host).map(|share| (share.balancers, share.reason)))
        .collect()
}

/// Runs until the time `until` in microseconds, and checks after each event that the shares add up to one at most.
fn run_checked(network: &mut Network<Member>, until: i64, seed: u64) {
    network.run_observed(until, |network| {
        let share_sum = share_sum(network);
        assert!(
            share_sum <= 1.0 + 1e-9,
            "seed {seed}, at {} ms: the shares add up to {share_sum}: {:?}",
            network.now / MILLISECOND,
            balancers_and_reasons(network)
        );
    });
}

/// Runs until all running processes divide the capacity among themselves alone. Returns how long that took in
/// microseconds, or `None` if it took longer than `max_time`.
fn time_until_shared(network: &mut Network<Member>, max_time: i64, seed: u64) -> Option<i64> {
    let from = network.now;
    let running = network.hosts.iter().filter(|host| host.process.is_some()).count() as u32;
    while network.now < from + max_time {
        let next = network.now + 50 * MILLISECOND;
        run_checked(network, next, seed);
        if balancers_and_reasons(network)
            .iter()
            .flatten()
            .all(|share| *share == (running, ShareReason::Sharing))
        {
            return Some(network.now - from);
        }
    }
    None
}

/// The maximum time until all running processes divide the capacity among themselves after the network has healed. It
/// covers the longest validity of a proof, the pings to missing members (one in each probe interval, which may be nine
/// times its normal length) and the longest suspicion.
const MAX_CONVERGENCE_TIME_US: i64 = 90 * SECOND;

/// Applies random faults for 14 seconds and then heals the network. The shares must never exceed one, and must converge
/// after the network has healed.
fn run_random_schedule(seed: u64) {
    let n = 2 + (seed % 6) as usize;
    let mut network: Network<Member> = Network::new(n, seed, 0.09);
    // In some networks, a datagram may be delayed for longer than a proof of absence is valid.
    network.max_delay = [30 * MILLISECOND, 400 * MILLISECOND, 4 * SECOND][(seed / 6 % 3) as usize];
    network.duplication = 0.2;
    (0..n).for_each(|i| start(&mut network, i, n));
    let end = 14 * SECOND;
    while network.now < end {
        let action = network.rng.rand_range(0..11);
        let a = network.rng.rand_range(0..n as u64) as usize;
        let b = network.rng.rand_range(0..n as u64) as usize;
        match action {
            0 | 1 => network.kill(a),
            2 => {
                let time = (network.rng.rand_float() * 7.0 * SECOND as f64) as i64;
                network.suspend(a, time);
            }
            3 => network.links[a][b] = false,
            4 => (0..n).for_each(|i| network.links[a][i] = false),
            5 => {
                for (i, j) in (0..n * n).map(|ij| (ij / n, ij % n)) {
                    network.links[i][j] = (i <= a) == (j <= a);
                }
            }
            6 => network.loss = network.rng.rand_float() * 0.5,
            7 => {
                network.kill(a);
                start(&mut network, a, n);
            }
            8 => network.heal(),
            9 => {
                // The member announces that it leaves, and its process terminates.
                network.call(a, |member, _, network_output| {
                    member.call(network_output, |fleet_member, output| fleet_member.leave(output))
                });
                network.kill(a);
            }
            _ => {
                for i in 0..n {
                    if network.hosts[i].process.is_none() {
                        start(&mut network, i, n);
                    }
                }
            }
        }
        let time_to_next_action = (network.rng.rand_float().powi(2) * 2.0 * SECOND as f64) as i64;
        let until = network.now + time_to_next_action;
        run_checked(&mut network, until, seed);
    }
    network.heal();
    network.max_delay = 30 * MILLISECOND;
    let time_to_share = time_until_shared(&mut network, MAX_CONVERGENCE_TIME_US, seed);
    assert!(
        time_to_share.is_some(),
        "seed {seed}: the shares did not converge: {:?}",
        balancers_and_reasons(&network)
    );
}

#[test]
fn shares_add_up_to_one_at_most_in_every_schedule() {
    for_each_seed(0..10_000, run_random_schedule);
}

/// All members start at once. None of them waits for longer than it takes to probe all others.
#[test]
fn members_that_start_together_share_within_a_second() {
    for_each_seed(0..50, |seed| {
        let n = 24;
        let mut network: Network<Member> = Network::new(n, seed, 0.02);
        (0..n).for_each(|i| start(&mut network, i, n));
        let time_to_share = time_until_shared(&mut network, SECOND, seed);
        assert!(time_to_share.is_some(), "seed {seed}: {:?}", balancers_and_reasons(&network));
    });
}

/// Half of the members are killed while their operating systems still run, and start again later. The others take over
/// the shares, and give them back.
#[test]
fn shares_of_killed_members_are_taken_over_and_given_back() {
    for_each_seed(0..50, |seed| {
        let n = 12;
        let mut network: Network<Member> = Network::new(n, seed, 0.02);
        (0..n).for_each(|i| start(&mut network, i, n));
        assert!(time_until_shared(&mut network, SECOND, seed).is_some(), "seed {seed}");
        (0..6).for_each(|i| network.kill(i));
        let time_to_share = time_until_shared(&mut network, 6 * SECOND, seed);
        assert!(time_to_share.is_some(), "seed {seed}: {:?}", balancers_and_reasons(&network));
        (0..6).for_each(|i| start(&mut network, i, n));
        let time_to_share = time_until_shared(&mut network, 6 * SECOND, seed);
        assert!(time_to_share.is_some(), "seed {seed}: {:?}", balancers_and_reasons(&network));
    });
}

/// A partition proves no member absent. No member takes over a share, and all keep their own.
#[test]
fn a_partition_enlarges_no_share() {
    for_each_seed(0..50, |seed| {
        let n = 10;
        let mut network: Network<Member> = Network::new(n, seed, 0.02);
        (0..n).for_each(|i| start(&mut network, i, n));
        assert!(time_until_shared(&mut network, SECOND, seed).is_some(), "seed {seed}");
        for (i, j) in (0..n * n).map(|ij| (ij / n, ij % n)) {
            network.links[i][j] = (i < 4) == (j < 4);
        }
        for _ in 0..40 {
            let until = network.now + 500 * MILLISECOND;
            run_checked(&mut network, until, seed);
            let shares = balancers_and_reasons(&network);
            assert!(
                shares.iter().flatten().all(|share| *share == (10, ShareReason::Sharing)),
                "seed {seed}: {shares:?}"
            );
        }
        let is_death = |change: &(i64, Change)| matches!(change.1, Change::Died { .. });
        assert!(
            network.hosts.iter().all(|host| host.changes.iter().any(is_death)),
            "a member declared no other member dead"
        );
    });
}

/// A member that was suspended while other members started again must not use their shares when it resumes.
#[test]
fn a_member_resumed_after_others_restart_takes_no_more_than_its_share() {
    for_each_seed(0..200, |seed| {
        let n = 6;
        let mut network: Network<Member> = Network::new(n, seed, 0.05);
        (0..n).for_each(|i| start(&mut network, i, n));
        assert!(time_until_shared(&mut network, SECOND, seed).is_some(), "seed {seed}");
        (0..4).for_each(|i| network.kill(i));
        assert!(
            time_until_shared(&mut network, 6 * SECOND, seed).is_some(),
            "seed {seed}: {:?}",
            balancers_and_reasons(&network)
        );
        // The member has half of the capacity when it is suspended. Then the other members start again.
        network.suspend(5, 10 * SECOND);
        let until = network.now + 100 * MILLISECOND;
        run_checked(&mut network, until, seed);
        (0..4).for_each(|i| start(&mut network, i, n));
        let until = network.now + 9 * SECOND;
        run_checked(&mut network, until, seed);
        let shares = balancers_and_reasons(&network);
        assert!(shares[..5].iter().flatten().all(|share| share.0 == 6), "seed {seed}: {shares:?}");
        let time_to_share = time_until_shared(&mut network, 40 * SECOND, seed);
        assert!(time_to_share.is_some(), "seed {seed}: {:?}", balancers_and_reasons(&network));
    });
}

/// A fleet of 24 members grows to 60. All lists name the new members before they start, so that the shares of the first
/// members shrink before that.
#[test]
fn shares_of_a_growing_fleet_never_exceed_one() {
    for_each_seed(0..4, |seed| {
        let (initial_size, final_size) = (24, 60);
        let mut network: Network<Member> = Network::new(final_size, seed, 0.02);
        (0..initial_size).for_each(|i| start(&mut network, i, final_size));
        assert!(
            time_until_shared(&mut network, 6 * SECOND, seed).is_some(),
            "seed {seed}: {:?}",
            balancers_and_reasons(&network)
        );
        for i in initial_size..final_size {
            start(&mut network, i, final_size);
            let until = network.now + 50 * MILLISECOND;
            run_checked(&mut network, until, seed);
        }
        let time_to_share = time_until_shared(&mut network, 20 * SECOND, seed);
        assert!(time_to_share.is_some(), "seed {seed}: {:?}", balancers_and_reasons(&network));
    });
}

/// Checks the limit of memory for each other member, without its name, that docs/design/members.md states.
#[test]
fn state_per_member_is_under_200_bytes() {
    let bytes =
        size_of::<sableloom_membership::Peer>() + sableloom_capacity_share::BYTES_PER_MEMBER;
    assert!(bytes < 200, "{bytes}");
}
