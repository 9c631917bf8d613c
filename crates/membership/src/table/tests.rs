use std::collections::HashSet;

use arrayvec::ArrayVec;
use sableloom_types::Span;

use super::*;
use crate::message::key_of;
use crate::peer::Suspicion;

const MEMBERS: usize = 40;

fn list() -> Arc<MemberList> {
    let address = |i| SocketAddr::from(([127, 0, 0, 1], 7000 + i as u16));
    MemberList::new(
        (0..=MEMBERS).map(|i| ListedMember { name: format!("m{i}"), address: address(i) }),
    )
}

/// Returns a table in which this process is the last member of the list.
fn table() -> MemberTable {
    let own = key_of(&format!("m{MEMBERS}"));
    MemberTable::new(list(), own, |(key, _)| Peer::unknown(*key, Time(0), own), None)
}

fn health(choice: u64, now: Time) -> Health {
    match choice {
        0 => Health::Unknown,
        1 => Health::Alive,
        2 => Health::Dead,
        3 => Health::Left,
        _ => {
            let deadline = now.plus(Span(choice as i64));
            let confirmers = ArrayVec::new();
            Health::Suspect(Box::new(Suspicion { confirmers, deadline, started: now }))
        }
    }
}

/// Checks that the indexes give the same results as a scan of all members.
fn check_indexes(table: &MemberTable, seed: u128) {
    let peers: Vec<&Peer> = table.peers().collect();
    assert_eq!((peers.len(), table.len()), (MEMBERS, MEMBERS));
    let count = |which: &dyn Fn(&Peer) -> bool| peers.iter().filter(|p| which(p)).count();
    assert_eq!(table.count_reachable(), count(&|p| p.health.is_reachable()), "seed {seed}");
    let dead_or_left = count(&|p| matches!(p.health, Health::Dead | Health::Left));
    assert_eq!(table.groups.positions(Group::DeadOrLeft).len(), dead_or_left, "seed {seed}");
    assert_eq!(table.count_unknown(), count(&|p| p.health == Health::Unknown), "seed {seed}");
    assert_eq!(table.count_left(), count(&|p| p.health == Health::Left), "seed {seed}");
    let digest = peers.iter().map(|p| member_digest(p.key, p.process_incarnation, &p.health));
    assert_eq!(table.digest(), digest.fold(0, |a, b| a ^ b), "seed {seed}");
    let deadlines = peers.iter().filter_map(|p| match p.health {
        Health::Suspect(ref suspicion) => Some(suspicion.deadline),
        _ => None,
    });
    assert_eq!(table.first_suspicion_deadline(), deadlines.min(), "seed {seed}");
    let unconfirmed = peers.iter().filter(|p| p.health != Health::Alive).map(|p| p.key);
    let from = peers[7].key;
    let found: Vec<Key> = table.unconfirmed_from(from).collect();
    assert_eq!(found.iter().copied().collect::<HashSet<_>>(), unconfirmed.collect(), "seed {seed}");
    assert!(found.iter().map(|key| key.wrapping_sub(from)).is_sorted(), "seed {seed}");
    if let Some(Resync { since, responders }) = table.resync() {
        let has_responded =
            |p: &Peer| p.health.is_reachable() && p.last_message_at.is_some_and(|at| at >= since);
        assert_eq!(responders, count(&has_responded), "seed {seed}");
    }
}

#[test]
fn indexes_match_a_scan_of_all_members() {
    for seed in 0..50u128 {
        let mut rng = Rand64::new(seed);
        let mut table = table();
        for step in 0..300 {
            let now = Time(step);
            let position = rng.rand_range(0..MEMBERS as u64) as usize;
            match rng.rand_range(0..10) {
                0 => table.set_resync(Some(now)),
                1 => table.set_resync(None),
                2 | 3 => table.change(position, |p| p.last_message_at = Some(now)),
                4 => table.change(position, |p| p.process_incarnation += 1),
                _ => {
                    let health = health(rng.rand_range(0..8), now);
                    table.change(position, |p| p.health = health);
                }
            }
            check_indexes(&table, seed);
        }
        let resumed_at = table.resync().map(|resync| resync.since);
        let (list, peers) = table.into_parts();
        let peer_of = |(key, _): &(Key, ListedMember)| {
            peers.iter().find(|peer| peer.key == *key).expect("on the list").clone()
        };
        let own = peers[MEMBERS].key;
        check_indexes(&MemberTable::new(list.clone(), own, peer_of, resumed_at), seed);
    }
}

#[test]
fn random_peer_draws_each_member_once_in_uniform_order() {
    let mut rng = Rand64::new(3);
    let mut table = table();
    let mut first = vec![0; MEMBERS];
    for _ in 0..4000 {
        let mut drawn = Vec::new();
        while let Some(key) = table.random_peer(Group::Unknown, drawn.len(), &mut rng) {
            drawn.push(key);
        }
        assert_eq!(drawn.iter().collect::<HashSet<_>>().len(), MEMBERS);
        first[table.position(drawn[0]).expect("a member")] += 1;
    }
    // A member is expected to be first a hundred times, with a tolerance of five standard deviations.
    assert!(first.iter().all(|count| (50..150).contains(count)), "{first:?}");
    assert_eq!(table.random_peer(Group::Reachable, 0, &mut rng), None);
}
