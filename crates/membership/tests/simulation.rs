//! Thousands of schedules of loss, broken links, suspensions, crashes and clock drift. Each is generated from one seed,
//! which a failure names. All times are simulated.

mod sim;

use sableloom_membership::{Change, Health, Reachability};
use sableloom_simulated_network::for_each_seed;

use sim::{MILLISECOND, SECOND, Sim, key};

/// The maximum time, in microseconds, until all members agree once the network is healed. It covers rounds of pings of
/// missing members, one in a probe interval of up to nine times its length while local health is bad, and the longest
/// suspicion.
const MAX_AGREEMENT_TIME: i64 = 90 * SECOND;

fn start_agreed_fleet(n: usize, seed: u64, drift: f64) -> Sim {
    let mut sim = Sim::new(n, seed, drift);
    (0..n).for_each(|i| sim.start(i, n));
    let agreement_time = sim.run_until_agreed(20 * SECOND);
    assert!(agreement_time.is_some(), "seed {seed}: {n} members that start at once do not agree");
    sim
}

/// Runs twelve seconds of random events, and then heals the network. Returns how long it takes until all views agree,
/// in microseconds.
fn run_schedule(seed: u64) -> i64 {
    let n = 3 + (seed % 7) as usize;
    let mut sim = start_agreed_fleet(n, seed, 0.1);
    let begin = sim.now;
    while sim.now < begin + 12 * SECOND {
        let choice = sim.rng.rand_float();
        let (a, b) =
            (sim.rng.rand_range(0..n as u64) as usize, sim.rng.rand_range(0..n as u64) as usize);
        match (choice * 10.0) as u32 {
            0 => sim.kill(a),
            1 | 2 => {
                let time = (sim.rng.rand_float() * 7.0 * SECOND as f64) as i64;
                sim.suspend(a, time);
            }
            3 => sim.links[a][b] = false,
            4 => (0..n).for_each(|i| sim.links[a][i] = false),
            5 => {
                for (i, j) in (0..n * n).map(|ij| (ij / n, ij % n)) {
                    sim.links[i][j] = (i <= a) == (j <= a);
                }
            }
            6 => sim.loss = sim.rng.rand_float() * 0.4,
            7 => {
                sim.kill(a);
                sim.start(a, n);
            }
            8 => sim.heal(),
            _ => {
                for i in 0..n {
                    if sim.hosts[i].process.is_none() {
                        sim.start(i, n);
                    }
                }
            }
        }
        let event_interval = (sim.rng.rand_float() * 1.5 * SECOND as f64) as i64;
        let until = sim.now + event_interval;
        sim.run(until);
    }
    sim.heal();
    let agreement_time = sim.run_until_agreed(MAX_AGREEMENT_TIME);
    let format_views = || {
        let views = sim.memberships().map(|(i, membership)| {
            let health = |p: &sableloom_membership::Peer| match p.health {
                Health::Unknown => '?',
                Health::Alive => 'a',
                Health::Suspect { .. } => 's',
                Health::Dead => 'd',
                Health::Left => 'l',
            };
            let row: String = membership.view().peers.iter().map(health).collect();
            format!("{i}: {row} local health {}", membership.local_health())
        });
        views.collect::<Vec<_>>()
    };
    agreement_time
        .unwrap_or_else(|| panic!("seed {seed}: {n} members do not agree: {:#?}", format_views()))
}

#[test]
fn views_agree_and_are_correct_after_the_network_is_healed() {
    for_each_seed(0..10_000, |seed| {
        run_schedule(seed);
    });
}

#[test]
fn a_schedule_replays_identically_from_its_seed() {
    assert_eq!(run_schedule(11), run_schedule(11));
}

/// While 30% of all datagrams are lost for twenty seconds, no running member is considered dead for six seconds
/// or longer.
#[test]
fn false_deaths_are_short_at_30_percent_loss() {
    for_each_seed(0..60, |seed| {
        let n = 12;
        let mut sim = start_agreed_fleet(n, seed, 0.0);
        sim.loss = 0.3;
        let end = sim.now + 20 * SECOND;
        let mut dead_since = vec![vec![None; n]; n];
        while sim.now < end {
            let until = sim.now + 200 * MILLISECOND;
            sim.run(until);
            for (i, row) in dead_since.iter_mut().enumerate() {
                let view = sim.membership(i).view();
                for peer in &view.peers {
                    let j = (0..n).find(|j| key(*j) == peer.key).expect("a member");
                    let since = &mut row[j];
                    match peer.health {
                        Health::Dead => {
                            let from = *since.get_or_insert(sim.now);
                            let dead_time = sim.now - from;
                            assert!(
                                dead_time < 6 * SECOND,
                                "seed {seed}: {i} considers {j} dead for {dead_time} us"
                            );
                        }
                        _ => *since = None,
                    }
                }
            }
        }
        sim.heal();
        let agreement_time = sim.run_until_agreed(20 * SECOND);
        assert!(agreement_time.is_some(), "seed {seed}: no agreement after the loss");
    });
}

/// A member that is suspended for ten seconds and resumes with an old view distrusts itself first, and declares no
/// other member dead.
#[test]
fn a_resumed_member_declares_no_other_dead() {
    for_each_seed(0..300, |seed| {
        let n = 8;
        let mut sim = start_agreed_fleet(n, seed, 0.05);
        sim.suspend(2, 10 * SECOND);
        let until = sim.now + 10 * SECOND - MILLISECOND;
        sim.run(until);
        let others = (0..n).filter(|i| *i != 2);
        for i in others.clone() {
            let died =
                |c: &(i64, Change)| matches!(c.1, Change::Died { member, .. } if member == key(2));
            assert!(
                sim.hosts[i].changes.iter().any(died),
                "seed {seed}: {i} did not declare the suspended member dead"
            );
        }
        let resumed_at = sim.now;
        let agreement_time = sim.run_until_agreed(40 * SECOND);
        assert!(agreement_time.is_some(), "seed {seed}: no agreement after the member resumed");
        let until = sim.now + 10 * SECOND;
        sim.run(until);
        let since =
            |i: usize| sim.hosts[i].changes.iter().filter(move |c| c.0 >= resumed_at).map(|c| c.1);
        for i in 0..n {
            let declared_dead =
                since(i).find(|c| matches!(c, Change::Died { member, .. } if *member != key(2)));
            assert_eq!(declared_dead, None, "seed {seed}: {i} declared another member dead");
        }
        let own_changes: Vec<Change> = since(2).collect();
        let resumed =
            own_changes.iter().position(|c| *c == Change::Reachability(Reachability::Resumed));
        assert!(
            resumed.is_some(),
            "seed {seed}: the member did not report that it resumed: {own_changes:?}"
        );
        assert!(
            own_changes[resumed.unwrap_or(0)..]
                .contains(&Change::Reachability(Reachability::Complete)),
            "seed {seed}: the member's view is not complete again: {own_changes:?}"
        );
    });
}

/// If 60% of the members are killed at once, the others detect it within the longest suspicion and a round of probes.
#[test]
fn survivors_detect_the_death_of_a_majority() {
    for_each_seed(0..100, |seed| {
        let n = 10;
        let mut sim = start_agreed_fleet(n, seed, 0.0);
        (0..6).for_each(|i| sim.kill(i));
        let agreement_time = sim.run_until_agreed(30 * SECOND);
        assert!(agreement_time.is_some(), "seed {seed}: no agreement");
        for i in 6..n {
            let view = sim.membership(i).view();
            assert_eq!(view.reachability, Reachability::Partial { reachable: 4, listed: 10 });
        }
    });
}

/// During a partition into halves, each half declares the other dead. After the partition, all views agree again.
#[test]
fn partitioned_halves_agree_again_after_the_partition() {
    for_each_seed(0..60, |seed| {
        let n = 8;
        let mut sim = start_agreed_fleet(n, seed, 0.02);
        for (i, j) in (0..n * n).map(|ij| (ij / n, ij % n)) {
            sim.links[i][j] = i % 2 == j % 2;
        }
        let until = sim.now + 20 * SECOND;
        sim.run(until);
        for (_, membership) in sim.memberships() {
            let reachability = membership.view().reachability;
            assert_eq!(
                reachability,
                Reachability::Partial { reachable: 4, listed: 8 },
                "seed {seed}"
            );
        }
        sim.heal();
        let agreement_time = sim.run_until_agreed(30 * SECOND);
        assert!(agreement_time.is_some(), "seed {seed}: no agreement after the partition");
    });
}

/// The other members report a restart under the same name within a second as a new process incarnation.
#[test]
fn a_restart_within_a_second_is_a_new_process_incarnation() {
    for_each_seed(0..100, |seed| {
        let n = 6;
        let mut sim = start_agreed_fleet(n, seed, 0.0);
        let before = sim.now;
        sim.kill(1);
        let until = sim.now + 700 * MILLISECOND;
        sim.run(until);
        sim.start(1, n);
        let agreement_time = sim.run_until_agreed(10 * SECOND);
        assert!(agreement_time.is_some(), "seed {seed}: no agreement");
        let process_incarnation = sim.hosts[1].process_incarnation;
        for i in (0..n).filter(|i| *i != 1) {
            let has_joined = |c: &(i64, Change)| {
                c.0 >= before && c.1 == Change::Joined { member: key(1), process_incarnation }
            };
            assert!(
                sim.hosts[i].changes.iter().any(has_joined),
                "seed {seed}: {i} did not report the new process"
            );
        }
    });
}

/// A process whose clock went back starts with an earlier process incarnation than the one before. The other members
/// send it the later incarnation, and it takes one that is later still.
#[test]
fn a_process_incarnation_that_is_too_early_is_corrected() {
    for_each_seed(0..60, |seed| {
        let n = 5;
        let mut sim = start_agreed_fleet(n, seed, 0.0);
        sim.kill(3);
        let until = sim.now + 500 * MILLISECOND;
        sim.run(until);
        sim.hosts[3].process_incarnation = 7;
        sim.start(3, n);
        let agreement_time = sim.run_until_agreed(20 * SECOND);
        assert!(agreement_time.is_some(), "seed {seed}: no agreement");
        let view = sim.membership(0).view();
        let peer = view.peers.iter().find(|p| p.key == key(3)).expect("on the list");
        assert!(
            peer.process_incarnation > 101,
            "seed {seed}: process incarnation {}",
            peer.process_incarnation
        );
    });
}

/// A member that leaves on purpose counts as left at once, and is never suspected.
#[test]
fn a_member_that_leaves_is_never_suspected() {
    for_each_seed(0..100, |seed| {
        let n = 7;
        let mut sim = start_agreed_fleet(n, seed, 0.0);
        sim.leave(4);
        let until = sim.now + 50 * MILLISECOND;
        sim.run(until);
        sim.kill(4);
        let agreement_time = sim.run_until_agreed(10 * SECOND).expect("agreed");
        assert!(agreement_time < 5 * SECOND, "seed {seed}: agreement took {agreement_time} us");
        let suspected =
            |c: &(i64, Change)| matches!(c.1, Change::Suspected { member, .. } if member == key(4));
        assert!(sim.hosts.iter().all(|host| !host.changes.iter().any(suspected)), "seed {seed}");
    });
}

/// If a fleet grows from 56 to 300 members in three seconds, all views agree afterwards, and the traffic of each member
/// does not grow with the fleet.
#[test]
fn a_fleet_that_grows_fivefold_agrees_at_constant_traffic_per_member() {
    let (few, many) = (56, 300);
    let mut sim = Sim::new(many, 5, 0.02);
    (0..few).for_each(|i| sim.start(i, many));
    assert!(sim.run_until_agreed(30 * SECOND).is_some(), "the first 56 members do not agree");
    for i in few..many {
        sim.start(i, many);
        let until = sim.now + 3 * SECOND / (many - few) as i64;
        sim.run(until);
    }
    let agreement_time = sim.run_until_agreed(120 * SECOND);
    assert!(agreement_time.is_some(), "the 300 members do not agree");
    let (sent, bytes, from) = (sim.sent, sim.bytes, sim.now);
    let until = sim.now + 10 * SECOND;
    sim.run(until);
    let seconds = (sim.now - from) as f64 / SECOND as f64 * many as f64;
    let (packets, bytes) =
        ((sim.sent - sent) as f64 / seconds, (sim.bytes - bytes) as f64 / seconds);
    assert!(
        packets < 12.0 && bytes < 12.0 * 256.0,
        "{packets} packets and {bytes} bytes per second and member"
    );
}

/// A member reaches a majority of the others, and the rest in one direction or not at all. Members that declare it dead
/// soon receive its refutation from the others.
#[test]
fn a_member_that_reaches_a_majority_is_soon_refuted_everywhere() {
    for_each_seed(0..200, |seed| {
        let n = 9;
        let mut sim = start_agreed_fleet(n, seed, 0.02);
        let victim = (seed % n as u64) as usize;
        let mut others: Vec<usize> = (0..n).filter(|i| *i != victim).collect();
        while others.len() > 4 {
            let choice = sim.rng.rand_range(0..others.len() as u64) as usize;
            let unreachable = others.swap_remove(choice);
            match sim.rng.rand_range(0..3) {
                0 => sim.links[victim][unreachable] = false,
                1 => sim.links[unreachable][victim] = false,
                _ => {
                    (sim.links[victim][unreachable], sim.links[unreachable][victim]) =
                        (false, false)
                }
            }
        }
        sim.loss = 0.05;
        let mut since = vec![None; n];
        let end = sim.now + 60 * SECOND;
        while sim.now < end {
            let until = sim.now + 100 * MILLISECOND;
            sim.run(until);
            for (i, membership) in sim.memberships() {
                let dead = |p: &sableloom_membership::Peer| {
                    p.key == key(victim) && p.health == Health::Dead
                };
                if membership.peers().any(dead) {
                    let dead_time = sim.now - *since[i].get_or_insert(sim.now);
                    assert!(
                        dead_time < MAX_DEAD_TIME,
                        "seed {seed}: {i} considers {victim} dead for {dead_time} us"
                    );
                } else {
                    since[i] = None;
                }
            }
        }
    });
}

/// The maximum time, in microseconds, for which a member that reaches a majority may be considered dead by another
/// member.
const MAX_DEAD_TIME: i64 = 5 * SECOND;
