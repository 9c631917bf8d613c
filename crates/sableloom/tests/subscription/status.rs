//! The status that a balancer logs with SIGUSR1: programs of operators read its keys.

use sableloom_testkit::control::{Control, server, service, site, status};
use sableloom_testkit::{Balancer, Site, named};
use serde_json::Value;

fn keys(value: &Value) -> Vec<&str> {
    value.as_object().expect("an object").keys().map(String::as_str).collect()
}

#[test]
fn the_status_of_a_subscribing_balancer_has_exactly_these_keys() {
    let peer = named("a");
    let control = Control::start(&[service("points", "h") + &server("points", "a", &peer, "")]);
    let folder = Site::new(&site(control.address, "one", &["points"], ""));
    let balancer = Balancer::serving(&folder);
    let status = status(&balancer);
    let expected = ["configuration", "control", "fleet", "hash", "open", "pools", "subscribed"];
    assert_eq!(keys(&status), expected);
    let expected = [
        "age_ms",
        "bytes",
        "connection",
        "drifts",
        "from",
        "in_force",
        "longest_save_us",
        "machine",
        "mismatches",
        "number",
        "rejected",
        "rejected_transactions",
        "resources",
        "save_error",
        "seen",
        "services",
        "services_held",
        "snapshots",
        "tenants",
        "transactions",
    ];
    assert_eq!(keys(&status["control"]), expected);
    let expected = [
        "apply_us",
        "longest_apply_us",
        "pools",
        "rejected",
        "routes",
        "servers",
        "services",
        "tenants",
        "transactions",
    ];
    assert_eq!(keys(&status["subscribed"]), expected);
    let expected = ["applied", "limits", "most_refused", "refused", "share"];
    assert_eq!(keys(&status["subscribed"]["tenants"]), expected);
}
