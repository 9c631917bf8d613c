use super::*;

impl CachedKeys {
    fn slots_in_use(&self) -> usize {
        self.order.len().max(self.last.len())
    }
}

#[test]
fn a_key_is_known_for_a_while_and_gives_way_to_newer_ones() {
    let mut cached_keys = CachedKeys::default();
    let mut see = |ms: i64, key| cached_keys.see(Time(ms), key, 2, Span(100));
    assert!(!see(0, 1));
    assert!(see(100, 1), "just in time");
    assert!(!see(201, 1), "too late");
    assert!(!see(210, 2));
    assert!(see(220, 1));
    assert!(!see(230, 3), "a third");
    assert!(!see(240, 2), "2 gave way to 3: it was seen longest ago");
}

#[test]
fn what_is_held_is_bounded() {
    let mut cached_keys = CachedKeys::default();
    for i in 0..10_000u64 {
        cached_keys.see(Time(i as i64), i % 700, 500, Span(400));
        assert!(cached_keys.slots_in_use() <= 501, "{} at {i}", cached_keys.slots_in_use());
    }
    // One key alone, ever again, does not pile up sightings past the time that they are kept.
    for i in 10_000..20_000 {
        cached_keys.see(Time(i), 1, 500, Span(400));
    }
    assert!(cached_keys.slots_in_use() <= 402, "{}", cached_keys.slots_in_use());
}
