use std::collections::BTreeSet;

use oorandom::Rand64;
use sableloom_types::Span;

use super::*;
use crate::member::Member;

/// Checks that the indexes give the same results as a scan of all members.
fn check_indexes(share: &CapacityShare, now: Time, seed: u128) {
    let members = || share.members.iter();
    let is_absent = |member: &&Member| !share.is_expired(now, member.absent_since);
    assert_eq!(share.count_absent(now), members().filter(is_absent).count(), "seed {seed}");
    let unconfirmed: BTreeSet<(Time, Key)> = members().filter_map(Member::probe_entry).collect();
    assert_eq!(
        (share.members.count_unconfirmed(), share.members.probe_order().collect::<BTreeSet<_>>()),
        (unconfirmed.len(), unconfirmed),
        "seed {seed}"
    );
    let own = share.members.len() as u32 + 1;
    let longest = members().map(|member| u32::from(member.list_length)).fold(own, u32::max);
    assert_eq!(share.longest_list_length(), longest, "seed {seed}");
    let first = members().filter(is_absent).map(|member| member.absent_since).min();
    if share.count_awaited(now) == 0 {
        let until = first.map(|queried| queried.plus(share.timing.lease));
        assert_eq!(share.share(now).until, until, "seed {seed}");
    }
}

#[test]
fn indexes_match_a_scan_of_all_members() {
    for seed in 0..200u128 {
        let mut rng = Rand64::new(seed);
        let mut share = CapacityShare::new(Time(0), 1..30, Timing::default());
        let mut now = Time(0);
        for _ in 0..300 {
            now = now.plus(Span(rng.rand_range(0..300_000) as i64));
            let key = rng.rand_range(0..32) as u32;
            match rng.rand_range(0..16) {
                0 => share.set_resumed(true),
                1 => share.set_resumed(false),
                2 => {
                    let first = rng.rand_range(0..10) as u32;
                    share.update_members(first..first + 20);
                }
                3 | 4 => {
                    share.due_probes(now);
                }
                5 | 6 => share.datagram_received(now, key),
                7 | 8 => share.acknowledged(now, key, rng.rand_range(0..40) as u16),
                _ => {
                    share.proved_absent(key, Time(now.0 - rng.rand_range(0..2_500_000) as i64));
                }
            }
            check_indexes(&share, now, seed);
        }
    }
}

/// The number of probes in an interval is bounded for every list length, however often the process is called. With a
/// list that is too long to probe all members in time, the process sends no probes.
#[test]
fn probes_are_bounded_for_every_list_length() {
    let timing = Timing::default();
    for (others, max_probes) in [(47, 47), (512, 64), (513, 0), (7599, 0)] {
        let mut share = CapacityShare::new(Time(0), 1..=others, timing);
        for interval in 0..20 {
            let mut probes = 0;
            for event in 0..50 {
                let now = Time(interval * timing.probe_interval.0 + event * 1000);
                probes += share.due_probes(now).len();
            }
            assert_eq!(probes, max_probes, "{others} others");
        }
        // The process still gets a share once every proof against it has expired.
        assert_eq!(share.share(Time(timing.start_wait().0)).balancers, others + 1);
    }
}
