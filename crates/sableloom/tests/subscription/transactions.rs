//! What a control machine sends is in force whole or not at all.

use std::fmt::Write;

use sableloom_testkit::control::{
    Control, remove, request, route, served_by, server, service, site, status,
};
use sableloom_testkit::{Balancer, Site, named};

#[test]
fn a_snapshot_and_then_deltas_are_in_force() {
    let (a, b) = (named("a"), named("b"));
    let control = Control::start(&[service("points", "h") + &server("points", "a", &a, "")]);
    let folder = Site::new(&site(control.address, "one", &["points"], ""));
    let balancer = Balancer::serving(&folder);
    assert_eq!(served_by(&balancer, "1", "h"), "a");
    assert_eq!(status(&balancer)["control"]["from"], "control");
    control.publish(2, &(server("points", "b", &b, "") + &remove("points", "a")));
    balancer.says(&["in force: points 2: 1 servers set, 1 servers removed"]);
    (0..20).for_each(|n| assert_eq!(served_by(&balancer, &format!("b{n}"), "h"), "b"));
    // A route that is before the other in order, and only routes are touched.
    let gone = route("points", "gone", "h", "refuse = \"gone\"").replace("rank = 100", "rank = 9");
    control.publish(3, &gone);
    balancer.says(&["in force: points 3: 1 routes set"]);
    assert_eq!(balancer.ask(request("gone", "h")).status(), 410);
    control.publish(4, "[[remove]]\nservice = \"points\"\nroute = \"gone\"\n");
    balancer.says(&["in force: points 4: 1 routes removed"]);
    assert_eq!(served_by(&balancer, "back", "h"), "b");
    // A server that is to drain gets nothing, and no other pool is touched by a pool's settings.
    control.publish(
        5,
        &(server("points", "a", &a, "") + &server("points", "b", &b, "state = \"draining\"")),
    );
    balancer.says(&["in force: points 5"]);
    assert_eq!(served_by(&balancer, "drained", "h"), "a");
    control.publish(6, "[[pool]]\nservice = \"points\"\nmax_open = 5\n[pool.cold]\ntime_ms = 0\n");
    balancer.says(&["in force: points 6: pool started"]);
    (0..20).for_each(|n| assert_eq!(served_by(&balancer, &format!("new{n}"), "h"), "a"));
    control.publish(7, "[[remove]]\nservice = \"points\"\n");
    balancer.says(&["in force: points 7: pool removed"]);
    assert_eq!(balancer.ask(request("none", "h")).status(), 404);
}

#[test]
fn one_balancer_rejects_a_transaction_that_another_applies() {
    let (a, b) = (named("a"), named("b"));
    let services = ["points", "partners", "third"];
    let first = service("points", "h") + &server("points", "a", &a, "");
    let second = service("partners", "p") + &server("partners", "a", &a, "");
    let third = service("third", "t") + &server("third", "a", &a, "");
    let control = Control::start(&[first, second, third]);
    let zones = |zones: &str| format!("[locality]\nzones = {zones}\nzone = \"east\"\n");
    let strict = Site::new(&site(control.address, "strict", &services, &zones("[\"east\"]")));
    let wide = Site::new(&site(control.address, "wide", &services, &zones("[\"east\", \"west\"]")));
    let (strict, wide) = (Balancer::serving(&strict), Balancer::serving(&wide));
    // One server of two services is refused: nothing of the change may be in force, of neither service.
    let moved = |service: &str, zone: &str| remove(service, "a") + &server(service, "b", &b, zone);
    control.publish(4, &(moved("partners", "") + &moved("points", "zone = \"west\"")));
    wide.says(&["in force", "partners 4", "points 4"]);
    let said = strict.says(&["rejected, nothing of it in force: partners; points: "]);
    assert!(
        said.contains("00000004.toml:14: server b of points, zone: no zone \"west\""),
        "{said}"
    );
    for (host, id) in [("h", "1"), ("p", "2")] {
        let served = (served_by(&wide, id, host), served_by(&strict, id, host));
        assert_eq!((&*served.0, &*served.1), ("b", "a"), "{host}");
    }
    // Another service moves on.
    control.publish(5, &moved("third", ""));
    strict.says(&["in force: third 5"]);
    assert_eq!(served_by(&strict, "3", "t"), "b");
    assert_eq!(status(&strict)["control"]["rejected"], serde_json::json!(["partners", "points"]));
    let seen = control.status();
    assert!(seen.contains("strict") && seen.contains("no zone"), "{seen}");
    // Once it is mended, both are taken.
    control.publish(6, &server("points", "b", &b, "zone = \"east\""));
    strict.says(&["in force", "partners 4", "points 6"]);
    assert_eq!((&*served_by(&strict, "4", "h"), &*served_by(&strict, "5", "p")), ("b", "b"));
    assert_eq!(status(&strict)["control"]["rejected"], serde_json::json!([]));
}

#[test]
fn a_server_removed_during_a_snapshot_gets_no_request() {
    let (a, b) = (named("a"), named("b"));
    let points =
        service("points", "h") + &server("points", "a", &a, "") + &server("points", "b", &b, "");
    let mut bulk = service("bulk", "bulk") + &server("bulk", "a", &a, "");
    for number in 0..5_000 {
        write!(bulk, "{}", route("bulk", &format!("r{number}"), &format!("h{number}"), ""))
            .expect("text");
    }
    let control = Control::start(&[points, bulk]);
    let folder = Site::new(&site(control.address, "one", &["points"], ""));
    let balancer = Balancer::serving(&folder);
    folder.replace("site.toml", &site(control.address, "one", &["points", "bulk"], ""));
    balancer.hang_up();
    control.publish(3, &remove("points", "a"));
    balancer.says(&["points 3: 1 servers removed"]);
    (0..100).for_each(|n| assert_eq!(served_by(&balancer, &n.to_string(), "h"), "b"));
    while status(&balancer)["subscribed"]["routes"] != 5_002 {}
    assert_eq!(served_by(&balancer, "last", "h4999"), "a");
}
