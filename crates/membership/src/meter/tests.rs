use oorandom::Rand64;

use super::*;

/// No window of one second, whenever it begins, has more bytes than the meter allows. Once traffic is over a second
/// old, the whole budget is available again.
#[test]
fn no_window_of_one_second_exceeds_the_budget() {
    for seed in 0..50u128 {
        let mut rng = Rand64::new(seed);
        let begin = Time(rng.rand_range(0..1 << 40) as i64 - (1 << 39));
        let (mut meter, mut now, mut sent) = (TrafficMeter::new(begin), begin, Vec::new());
        for _ in 0..2000 {
            now = now.plus(Span(rng.rand_range(0..60_000) as i64));
            let bytes = rng.rand_range(1..1200) as usize;
            if meter.remaining(now, 5000) >= bytes {
                meter.add(now, bytes);
                sent.push((now, bytes));
            }
        }
        for (from, _) in &sent {
            let within = |at: &Time| at.since(*from).0 >= 0 && at.since(*from).0 < 1_000_000;
            let sum: usize = sent.iter().filter(|(at, _)| within(at)).map(|(_, n)| n).sum();
            assert!(sum <= 5000, "seed {seed}: {sum}");
        }
        assert_eq!(meter.remaining(now.plus(Span(1_200_000)), 5000), 5000, "seed {seed}");
    }
}

/// Other traffic leaves updates their minimum and no more.
#[test]
fn updates_get_their_minimum_and_what_the_budget_leaves() {
    let mut meter = TrafficMeter::new(Time(0));
    assert_eq!(meter.remaining_for_updates(Time(0), false), UPDATE_BUDGET_BYTES);
    meter.add(Time(0), MAX_BYTES_PER_SECOND);
    assert_eq!(meter.remaining_for_updates(Time(0), false), RESERVED_UPDATE_BYTES);
    meter.add_updates(Time(0), RESERVED_UPDATE_BYTES - 10);
    assert_eq!(meter.remaining_for_updates(Time(500_000), false), 10);
    let free = Time(9_000_000);
    assert_eq!(meter.remaining_for_updates(free, true), RESERVED_UPDATE_BYTES, "pages come first");
    assert_eq!(meter.remaining_for_updates(free, false), UPDATE_BUDGET_BYTES);
}
