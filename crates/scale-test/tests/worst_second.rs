//! Rates over a second, from readings at any times.

use std::time::{Duration, Instant};

use sableloom_scale_test::worst_second::SecondWindow;

#[test]
fn a_rate_is_taken_over_a_second_where_readings_are_closer() {
    let begun = Instant::now();
    let at = |ms: u64| begun + Duration::from_millis(ms);
    let mut window = SecondWindow::new(at(0), 0.0);
    // Within less than a second as much as in the whole of it, and not twice as much.
    assert_eq!(window.rate(at(500), 100.0), 100.0);
    assert_eq!(window.rate(at(1000), 300.0), 300.0);
    assert_eq!(window.rate(at(1500), 300.0), 200.0);
    assert_eq!(window.rate(at(2000), 300.0), 0.0);
}

#[test]
fn a_rate_is_an_average_where_readings_are_further_apart() {
    let begun = Instant::now();
    let mut window = SecondWindow::new(begun, 0.0);
    assert_eq!(window.rate(begun + Duration::from_secs(4), 100.0), 25.0);
}
