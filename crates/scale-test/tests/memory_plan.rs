//! How many control machines are started, by the memory that they and the balancers take.

use sableloom_scale_test::play::machines_that_fit;
use sableloom_scale_test::source::{Source, TENANTS_EACH};

/// The users' services, and their balancers.
const SERVICES: usize = 2_500;
const BALANCERS: usize = 7_600;
/// The control machines that the users set aside.
const MACHINES: usize = 57;

fn source(tenants_each: usize) -> Source {
    Source { tenants_each, ..Source::of(SERVICES) }
}

#[test]
fn the_users_control_machines_fit_without_tenants() {
    assert!(machines_that_fit(&source(0), BALANCERS, 5) >= MACHINES);
}

#[test]
fn with_tenants_fewer_are_started_and_a_smaller_scope_leaves_room_for_more() {
    let with = source(TENANTS_EACH);
    let [wide, narrow] = [5, 2].map(|scope| machines_that_fit(&with, BALANCERS, scope));
    assert!((2..MACHINES).contains(&wide), "{wide}");
    assert!((wide + 1..MACHINES).contains(&narrow), "{narrow}");
}

#[test]
fn two_are_started_where_nothing_fits() {
    assert_eq!(machines_that_fit(&source(TENANTS_EACH), BALANCERS, 250), 2);
}
