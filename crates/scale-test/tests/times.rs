//! From changes to their being in force, and who subscribes to what.

use std::time::Duration;

use sableloom_scale_test::latency::{Audience, Published, times_in_force};
use sableloom_scale_test::source::{scope_of, subscribers_of};
use sableloom_scale_test::subscribers::InForce;

fn seen(subscriber: usize, version: u64, at_us: u64) -> InForce {
    InForce { subscriber, service: 0, version, at_us }
}

/// Two subscribers that both have service 0 in scope, of one service.
fn audience() -> Audience {
    Audience { subscribers: 2, services: 1, scope: 1, absent: 0..0 }
}

#[test]
fn a_later_version_counts_as_having_the_change() {
    let published = [1, 2].map(|number| Published { number, service: 0, at_us: number * 100 });
    let in_force = [seen(0, 1, 150), seen(0, 2, 260), seen(1, 2, 300)];
    let times = times_in_force(&published, &in_force, &audience());
    assert_eq!((times.missing, times.changes), (0, 2));
    assert_eq!(times.at(0.0), Duration::from_micros(50));
    assert_eq!(times.at(1.0), Duration::from_micros(200));
}

#[test]
fn what_never_came_is_missing() {
    let published = [Published { number: 7, service: 0, at_us: 0 }];
    let times = times_in_force(&published, &[seen(0, 6, 5)], &audience());
    assert_eq!(times.missing, 2);
}

#[test]
fn of_those_that_do_not_run_nothing_is_missing() {
    let published = [Published { number: 7, service: 0, at_us: 0 }];
    let audience = Audience { absent: 0..1, ..audience() };
    let times = times_in_force(&published, &[seen(1, 7, 5)], &audience);
    assert_eq!((times.missing, times.at(1.0)), (0, Duration::from_micros(5)));
}

#[test]
fn a_change_of_many_services_is_one_change() {
    let published = [0, 1].map(|service| Published { number: 7, service, at_us: 0 });
    let in_force = [0, 1].map(|service| InForce { service, ..seen(0, 7, 5) });
    let audience = Audience { subscribers: 1, services: 2, scope: 2, absent: 0..0 };
    let times = times_in_force(&published, &in_force, &audience);
    assert_eq!((times.missing, times.changes), (0, 1));
}

#[test]
fn scopes_are_blocks_that_cover_all_services() {
    let scopes: Vec<Vec<usize>> =
        (0..4).map(|balancer| scope_of(balancer, 20, 5).collect()).collect();
    assert_eq!(scopes.concat(), (0..20).collect::<Vec<_>>());
    assert_eq!(subscribers_of(7, 10, 20, 5).collect::<Vec<_>>(), [1, 5, 9]);
    assert_eq!(subscribers_of(21, 10, 22, 5).collect::<Vec<_>>(), [0; 0], "past whole blocks");
    assert_eq!(scope_of(3, 2, 25).collect::<Vec<_>>(), [0, 1]);
}
