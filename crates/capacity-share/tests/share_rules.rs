//! Tests of the single rules that determine a share. The simulations of the crate `fleet`, which combines shares with
//! the membership protocol, test that shares add up to at most one in every schedule.

use sableloom_capacity_share::{CapacityShare, Share, ShareReason, Timing};
use sableloom_types::{Span, Time};

const SECOND: i64 = 1_000_000;

fn at(seconds: f64) -> Time {
    Time((seconds * SECOND as f64) as i64)
}

/// Returns the share of one of `n` members after all others have acknowledged it.
fn share_acknowledged_by_all(n: u16) -> CapacityShare {
    let mut share = CapacityShare::new(at(0.0), 1..u32::from(n), Timing::default());
    (1..n).for_each(|key| share.acknowledged(at(0.1), key.into(), n));
    share
}

fn balancers_and_reason(share: &CapacityShare, now: f64) -> (u32, ShareReason) {
    let current = share.share(at(now));
    (current.balancers, current.reason)
}

/// Returns the members that are queried, of those that are candidates.
fn query(share: &mut CapacityShare, now: f64, is_candidate: impl Fn(u32) -> bool) -> Vec<u32> {
    let candidates: Vec<u32> = share.query_order().filter(|key| is_candidate(*key)).collect();
    share.query_absence(at(now), usize::MAX, candidates).to
}

#[test]
fn a_member_alone_on_its_list_has_all_capacity() {
    let alone = CapacityShare::new(at(0.0), [], Timing::default());
    assert_eq!(balancers_and_reason(&alone, 0.0), (1, ShareReason::Sharing));
}

#[test]
fn no_share_until_all_have_acknowledged_or_the_start_wait_is_over() {
    let timing = Timing::default();
    let mut share = CapacityShare::new(at(0.0), 1..4, timing);
    assert_eq!(balancers_and_reason(&share, 0.0), (0, ShareReason::Waiting(3)));
    share.acknowledged(at(0.1), 1, 4);
    share.datagram_received(at(0.1), 2);
    assert_eq!(
        balancers_and_reason(&share, 0.1),
        (0, ShareReason::Waiting(2)),
        "a datagram without an acknowledgement does not count"
    );
    share.acknowledged(at(0.2), 2, 4);
    assert_eq!(balancers_and_reason(&share, 0.2), (0, ShareReason::Waiting(1)));
    let wait = timing.start_wait().as_micros_f64() / 1e6;
    assert!(
        wait > timing.lease.as_micros_f64() / 1e6 * 1.2,
        "the wait is too short for a clock 10% slow against one 10% fast: {wait} s"
    );
    assert_eq!(balancers_and_reason(&share, wait - 0.001).0, 0);
    assert_eq!(balancers_and_reason(&share, wait), (4, ShareReason::Sharing));
    // A member that is proved absent holds no proofs.
    let mut share = CapacityShare::new(at(0.0), 1..3, timing);
    share.acknowledged(at(0.1), 1, 3);
    share.proved_absent(2, at(0.05));
    assert_eq!(balancers_and_reason(&share, 0.1), (2, ShareReason::Sharing));
}

#[test]
fn a_proof_of_absence_makes_the_share_larger_for_one_lease() {
    let mut share = share_acknowledged_by_all(4);
    assert_eq!(balancers_and_reason(&share, 0.2), (4, ShareReason::Sharing));
    assert!(share.proved_absent(2, at(0.3)), "the first proof is new");
    let current = share.share(at(0.4));
    assert_eq!((current.balancers, current.until, current.balancers_after), (3, Some(at(2.3)), 4));
    // A process that does not recompute its share in time shares with all members.
    assert_eq!((current.fraction(at(2.29)), current.fraction(at(2.3))), (1.0 / 3.0, 0.25));
    assert!(!share.proved_absent(2, at(0.9)), "the absence was known before");
    assert_eq!(balancers_and_reason(&share, 2.8).0, 3, "the proof was renewed");
    // A late answer is as old as its query.
    share.proved_absent(3, at(0.5));
    assert_eq!(balancers_and_reason(&share, 2.8).0, 3);
    assert_eq!(balancers_and_reason(&share, 2.9).0, 4);
}

#[test]
fn a_received_datagram_ends_the_proof_of_absence_at_once() {
    let mut share = share_acknowledged_by_all(4);
    share.proved_absent(2, at(0.3));
    share.datagram_received(at(0.5), 2);
    assert_eq!(balancers_and_reason(&share, 0.5).0, 4);
    // An answer to a query from before the datagram proves nothing.
    share.proved_absent(2, at(0.45));
    share.proved_absent(2, at(0.5));
    assert_eq!(balancers_and_reason(&share, 0.6).0, 4);
    share.proved_absent(2, at(0.7));
    assert_eq!(balancers_and_reason(&share, 0.8).0, 3, "the member is proved absent again");
}

#[test]
fn a_resumed_process_drops_its_proofs() {
    let mut share = share_acknowledged_by_all(4);
    share.proved_absent(2, at(0.3));
    share.set_resumed(true);
    assert_eq!(balancers_and_reason(&share, 0.5), (4, ShareReason::Resumed));
    share.set_resumed(false);
    assert_eq!(balancers_and_reason(&share, 0.5), (4, ShareReason::Sharing));
}

#[test]
fn a_duplicate_identity_halves_the_share() {
    let mut share = share_acknowledged_by_all(4);
    share.set_duplicate_identity();
    assert_eq!(balancers_and_reason(&share, 0.5), (8, ShareReason::DuplicateIdentity));
}

#[test]
fn the_longest_list_determines_the_share_where_lists_differ() {
    let mut share = share_acknowledged_by_all(3);
    share.acknowledged(at(0.3), 1, 7);
    assert_eq!(balancers_and_reason(&share, 0.3).0, 7);
    // Neither an absent member nor the list length that it stated counts.
    share.proved_absent(1, at(0.4));
    assert_eq!(balancers_and_reason(&share, 0.5).0, 2);
    // A member that is added gets its share at once.
    share.proved_absent(1, at(5.0));
    share.update_members(1..10);
    let current = share.share(at(5.1));
    assert_eq!((current.balancers, current.balancers_after), (9, 10));
    share.update_members([5]);
    assert_eq!(
        balancers_and_reason(&share, 5.2).0,
        2,
        "members that are removed leave their shares"
    );
    // A member that is added within the start wait may hold a proof against this process.
    let mut share = share_acknowledged_by_all(2);
    share.update_members(1..3);
    assert_eq!(balancers_and_reason(&share, 0.3), (0, ShareReason::Waiting(1)));
}

#[test]
fn queries_stay_within_their_budget_and_reach_every_member() {
    let timing = Timing { max_queries_per_lease: 10, ..Timing::default() };
    let mut share = CapacityShare::new(at(0.0), 1..31, timing);
    assert_eq!(query(&mut share, 0.0, |key| key % 2 == 0).len(), 10);
    assert_eq!(
        query(&mut share, 1.9, |key| key % 2 == 0),
        Vec::<u32>::new(),
        "the lease allows no further query"
    );
    let mut queried: Vec<u32> = Vec::new();
    let mut now = 0.0;
    for _ in 0..2 {
        now += 2.0;
        queried.extend(query(&mut share, now, |key| key % 2 == 0));
    }
    queried.sort_unstable();
    queried.dedup();
    assert_eq!(queried.len(), 15, "{queried:?}");
    // The same member is queried again only after the interval.
    let mut share = share_acknowledged_by_all(3);
    assert_eq!(query(&mut share, 1.0, |_| true), [1, 2]);
    assert_eq!(query(&mut share, 1.49, |_| true), Vec::<u32>::new());
    assert_eq!(query(&mut share, 1.5, |_| true), [1, 2]);
}

/// The number of queries about a long list is limited in every second, and each member is queried in turn. Queries
/// about a short list are all sent at once.
#[test]
fn queries_about_a_long_list_are_paced() {
    let timing = Timing { lease: Span(60 * SECOND), ..Timing::default() };
    let mut share = CapacityShare::new(at(0.0), 1..7600, timing);
    let mut queried: Vec<(f64, u32)> = Vec::new();
    for step in 0..1000 {
        let now = f64::from(step) / 50.0;
        queried
            .extend(query(&mut share, now, |key| key % 19 == 0).into_iter().map(|key| (now, key)));
    }
    for (from, _) in &queried {
        let within = queried.iter().filter(|(now, _)| now >= from && *now < from + 1.0).count();
        assert!(within <= 32, "{within} queries in the second from {from} s on");
    }
    let mut distinct: Vec<u32> = queried.iter().map(|(_, key)| *key).collect();
    distinct.sort_unstable();
    distinct.dedup();
    assert_eq!(distinct.len(), 399, "each missing member is queried");
    let mut share = CapacityShare::new(at(0.0), 1..512, Timing::default());
    assert_eq!(query(&mut share, 0.0, |_| true).len(), 511);
}

/// A share never overflows and never exceeds all capacity, for any list length and any sequence of events.
#[test]
fn a_share_is_never_more_than_all_capacity() {
    let mut rng = oorandom::Rand64::new(5);
    for _ in 0..2000 {
        let n = 1 + rng.rand_range(0..40) as u32;
        let mut share =
            CapacityShare::new(Time(0), 1..n, Timing { lease: Span(SECOND), ..Timing::default() });
        let mut now = Time(0);
        for _ in 0..60 {
            now = now.plus(Span(rng.rand_range(0..400_000) as i64));
            let key = rng.rand_range(0..45) as u32;
            match rng.rand_range(0..5) {
                0 => share.datagram_received(now, key),
                1 => share.acknowledged(now, key, rng.rand_range(0..65_536) as u16),
                2 => share.set_resumed(rng.rand_range(0..2) == 0),
                _ => {
                    share.proved_absent(key, Time(now.0 - rng.rand_range(0..1_500_000) as i64));
                }
            }
            let Share { balancers, until, balancers_after, reason } = share.share(now);
            assert!(
                balancers_after >= n && (balancers <= balancers_after),
                "{balancers} balancers now, {balancers_after} afterwards"
            );
            assert!(balancers > 0 || matches!(reason, ShareReason::Waiting(_)));
            assert!(until.is_none_or(|until| until > now), "the share ends in the past");
            assert!(share.next_wakeup(now) > now, "the timer would fire again at once");
        }
    }
}
