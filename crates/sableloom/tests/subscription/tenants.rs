//! Limits of tenants come by the way of pools and routes, and are applied before a request goes to any server. Rates
//! are so low that none comes back while a test runs: what is within is a matter of bursts alone.

use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use sableloom_testkit::control::{Control, request, served_by, server, service, site, status};
use sableloom_testkit::{Balancer, Message, Peer, Site, eventually, named, ok};
use serde_json::json;

const HEADER: &str = "[tenants]\nheader = \"X-Customer\"\n";
/// One request in a thousand seconds.
const SLOW: &str = "0.001";

fn tenant(name: &str, rate: &str, burst: usize) -> String {
    format!(
        "[[tenant]]\nservice = \"points\"\nname = \"{name}\"\nrequests_per_second = {rate}\n\
         burst = {burst}\n"
    )
}

fn removed(name: &str) -> String {
    format!("[[remove]]\nservice = \"points\"\ntenant = \"{name}\"\n")
}

/// A request that names a tenant.
fn of_tenant(id: &str, tenant: &str) -> String {
    request(id, "h").replace("X-Qos", &format!("X-Customer: {tenant}\r\nX-Qos"))
}

/// The statuses of so many requests of a tenant, one after the other.
fn statuses(balancer: &Balancer, tenant: &str, requests: usize) -> Vec<u16> {
    let mut client = balancer.client();
    let ask = |number: usize| {
        client.write(of_tenant(&format!("{tenant}-{number}"), tenant));
        client.message().expect("an answer").status()
    };
    (0..requests).map(ask).collect()
}

/// A server that counts what reaches it.
fn counting() -> (Peer, Arc<AtomicUsize>) {
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    let peer = Peer::start(move |_, mut conn| {
        while conn.message().is_some() {
            counted.fetch_add(1, Ordering::SeqCst);
            conn.write(ok("a"));
        }
    });
    (peer, count)
}

/// A control machine with one service, of one server and these tenants.
fn control(peer: &Peer, tenants: &str) -> Control {
    Control::start(&[service("points", "h") + &server("points", "a", peer, "") + tenants])
}

fn balancer(control: &Control, own: &str, more: &str) -> (Site, Balancer) {
    let folder = Site::new(&site(control.address, own, &["points"], more));
    let balancer = Balancer::serving(&folder);
    (folder, balancer)
}

#[test]
fn a_limit_is_set_changed_and_removed_by_deltas() {
    let (peer, count) = counting();
    let control = control(&peer, "");
    let (_folder, balancer) = balancer(&control, "one", HEADER);
    assert_eq!(statuses(&balancer, "t", 5), [200; 5]);
    control.publish(2, &tenant("t", SLOW, 2));
    balancer.says(&["in force: points 2: 1 tenants set"]);
    assert_eq!(statuses(&balancer, "t", 4), [200, 200, 429, 429]);
    let answer: Message = balancer.ask(of_tenant("over", "t"));
    let after: u64 = answer.header("retry-after").expect("a time").parse().expect("whole seconds");
    assert!((1..=1_000).contains(&after), "{after}");
    // What was refused has reached no server; whoever names no tenant, or another, is not limited.
    assert_eq!(count.load(Ordering::SeqCst), 5 + 2);
    assert_eq!(served_by(&balancer, "none", "h"), "a");
    assert_eq!(statuses(&balancer, "other", 3), [200; 3]);
    // A second header does not lift the limit.
    let twice = of_tenant("twice", "other").replace("X-Qos", "X-Customer: t\r\nX-Qos");
    assert_eq!(balancer.ask(twice).status(), 429);
    let shown = status(&balancer)["subscribed"]["tenants"].clone();
    let expected = json!({"limits": 1, "applied": true, "share": 1.0, "refused": 4,
        "most_refused": [{"service": "points", "tenant": "t", "refused": 4}]});
    assert_eq!(shown, expected);
    // Two of the new burst are owed.
    control.publish(3, &tenant("t", SLOW, 5));
    balancer.says(&["in force: points 3: 1 tenants set"]);
    assert_eq!(statuses(&balancer, "t", 5), [200, 200, 200, 429, 429]);
    control.publish(4, &removed("t"));
    balancer.says(&["in force: points 4: 1 tenants removed"]);
    assert_eq!(statuses(&balancer, "t", 8), [200; 8]);
    // It was forgotten: nothing is owed.
    control.publish(5, &tenant("t", SLOW, 1));
    balancer.says(&["in force: points 5: 1 tenants set"]);
    assert_eq!(statuses(&balancer, "t", 2), [200, 429]);
    let shown = status(&balancer)["subscribed"]["tenants"].clone();
    assert_eq!((&shown["limits"], &shown["refused"]), (&json!(1), &json!(7)), "{shown}");
}

#[test]
fn tenants_of_a_service_are_added_and_removed_under_load() {
    const CLIENTS: usize = 4;
    const REQUESTS: usize = 100;
    let (peer, count) = counting();
    let control = control(&peer, &tenant("t", SLOW, 3));
    let (_folder, balancer) = balancer(&control, "one", HEADER);
    let told = thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let (mut conn, name) = (balancer.client(), ["t", "u"][client % 2]);
                scope.spawn(move || {
                    let ask = |number: usize| {
                        conn.write(of_tenant(&format!("{client}-{number}"), name));
                        conn.message().expect("exactly one answer").status()
                    };
                    (0..REQUESTS).map(ask).collect::<Vec<u16>>()
                })
            })
            .collect();
        for number in 2..12 {
            let change = match number % 3 {
                0 => tenant("t", SLOW, number),
                1 => removed("t") + &tenant("u", SLOW, 1),
                _ => removed("u") + &tenant("t", SLOW, 1),
            };
            // Removed is only what is there.
            let change = if number == 2 { change.replace(&removed("u"), "") } else { change };
            control.publish(number, &change);
        }
        clients.into_iter().flat_map(|client| client.join().expect("answers")).collect::<Vec<_>>()
    });
    let passed = told.iter().filter(|status| **status == 200).count();
    let refused = told.iter().filter(|status| **status == 429).count();
    assert_eq!((told.len(), passed + refused), (CLIENTS * REQUESTS, CLIENTS * REQUESTS));
    // Each that passed was run once, each that did not was not.
    assert_eq!(count.load(Ordering::SeqCst), passed);
    eventually("all changes are in force", || status(&balancer)["control"]["number"] == 11);
    let shown = status(&balancer)["subscribed"]["tenants"].clone();
    assert_eq!((&shown["limits"], &shown["refused"]), (&json!(1), &json!(refused)), "{shown}");
    // The service goes with its tenants and comes back without them.
    let whole = service("points", "h") + &server("points", "a", &peer, "");
    control.publish(12, &("[[remove]]\nservice = \"points\"\n".to_string() + &whole));
    balancer.says(&["in force: points 12", "1 tenants removed"]);
    assert_eq!(statuses(&balancer, "t", 9), [200; 9]);
}

#[test]
fn balancers_apply_their_shares_of_a_limit() {
    let peer = named("a");
    let control = control(&peer, &tenant("t", SLOW, 7));
    let half = format!("[locality]\nbalancers = 2\n{HEADER}");
    let (_one, first) = balancer(&control, "one", &half);
    let (_other, second) = balancer(&control, "other", &half);
    for balancer in [&first, &second] {
        assert_eq!(statuses(balancer, "t", 5), [200, 200, 200, 429, 429]);
        assert_eq!(status(balancer)["subscribed"]["tenants"]["share"], 0.5);
    }
}

#[test]
fn a_balancer_without_a_capacity_share_rejects_every_request_of_a_limited_tenant() {
    let (peer, count) = counting();
    let control = control(&peer, &tenant("t", "1000", 1_000));
    // The other member never speaks, so that the wait is not cut short.
    let silent = UdpSocket::bind("127.0.0.1:0").expect("a socket");
    let own = UdpSocket::bind("127.0.0.1:0").expect("a socket").local_addr().expect("an address");
    let fleet = format!(
        "{HEADER}[fleet]\nname = \"f\"\nown = \"one\"\nclaim_ms = 60000\n\
         [[fleet.member]]\nname = \"one\"\naddress = \"{own}\"\n\
         [[fleet.member]]\nname = \"silent\"\naddress = \"{}\"\n",
        silent.local_addr().expect("an address")
    );
    let (_folder, balancer) = balancer(&control, "one", &fleet);
    let answer = balancer.ask(of_tenant("1", "t"));
    assert_eq!((answer.status(), answer.header("retry-after")), (429, Some("1")));
    assert_eq!(count.load(Ordering::SeqCst), 0);
    assert_eq!(served_by(&balancer, "2", "h"), "a");
    assert_eq!(status(&balancer)["subscribed"]["tenants"]["share"], 0.0);
}

#[test]
fn without_a_tenant_header_nothing_is_limited_and_that_is_logged_once() {
    let peer = named("a");
    let control = control(&peer, "");
    let (folder, balancer) = balancer(&control, "one", "");
    control.publish(2, &tenant("t", SLOW, 1));
    balancer.says(&["1 limits of tenants are held and not applied: the site has no [tenants]"]);
    assert_eq!(statuses(&balancer, "t", 5), [200; 5]);
    control.publish(3, &tenant("u", SLOW, 1));
    balancer.says(&["in force: points 3"]);
    // The next line about tenants is of the next change: it is not said again.
    control.publish(4, &tenant("u", SLOW, 2));
    assert!(balancer.says(&["tenants"]).contains("in force: points 4"));
    let shown = status(&balancer)["subscribed"]["tenants"].clone();
    assert_eq!((&shown["limits"], &shown["applied"]), (&json!(2), &json!(false)), "{shown}");
    // Once the site says how tenants are named, what is held is applied.
    folder.replace("site.toml", &site(control.address, "one", &["points"], HEADER));
    balancer.hang_up();
    balancer.says(&["SIGHUP; configuration 2"]);
    assert_eq!(statuses(&balancer, "t", 3), [200, 429, 429]);
}

#[test]
fn limits_survive_a_restart_and_are_removed_with_their_service() {
    let a = named("a");
    let mut control = control(&a, &(tenant("t1", "20", 20) + &tenant("t2", "0.5", 1)));
    let (folder, mut balancer) = balancer(&control, "one", HEADER);
    assert_eq!(status(&balancer)["control"]["tenants"], 2);
    control.publish(2, &(tenant("t1", "30", 20) + &tenant("t3", "1", 1) + &removed("t2")));
    balancer.says(&["in force: points 2: 2 tenants set, 1 tenants removed"]);
    assert_eq!(status(&balancer)["control"]["tenants"], 2);
    assert_eq!(served_by(&balancer, "1", "h"), "a");
    control.publish(3, &tenant("t4", SLOW, 1));
    balancer.says(&["in force: points 3"]);
    assert!(control.status().contains("6 resources, 3 of them tenants"), "{}", control.status());
    // The last good state has them: it is begun from, and nothing is sent again.
    eventually("the state is in the file", || {
        std::fs::read(folder.path("last-good.bin"))
            .is_ok_and(|bytes| bytes.windows(2).any(|at| at == b"t4"))
    });
    control.kill();
    balancer.terminate();
    assert_eq!(balancer.await_exit(), Some(0));
    let balancer = Balancer::serving(&folder);
    assert_eq!(status(&balancer)["control"]["tenants"], 3);
    assert_eq!(statuses(&balancer, "t4", 2), [200, 429]);
    control.restart();
    balancer.says(&["all is in force up to 1/3"]);
    assert_eq!(status(&balancer)["control"]["snapshots"], 0);
    control.publish(4, "[[remove]]\nservice = \"points\"\n");
    balancer.says(&["in force: points 4: pool removed"]);
    let shown = status(&balancer);
    let held = (&shown["control"]["tenants"], &shown["subscribed"]["tenants"]["limits"]);
    assert_eq!(held, (&json!(0), &json!(0)));
    assert!(control.status().contains("0 resources, 0 of them tenants"), "{}", control.status());
}

#[test]
fn a_snapshot_removes_limits_that_it_does_not_contain() {
    let a = named("a");
    let first = service("points", "h") + &server("points", "a", &a, "");
    let tenants = tenant("t", SLOW, 1) + &tenant("u", SLOW, 1);
    let mut control = Control::with_limits(&[first + &tenants], "[limits]\nlog_changes = 2\n");
    let (_folder, balancer) = balancer(&control, "one", HEADER);
    assert_eq!(statuses(&balancer, "t", 2), [200, 429]);
    assert_eq!(statuses(&balancer, "u", 2), [200, 429]);
    control.kill();
    control.publish(2, &removed("t"));
    (3..6).for_each(|number| control.publish(number, &tenant("v", SLOW, number)));
    control.restart();
    balancer.says(&["in force: points 5", "1 tenants removed"]);
    assert_eq!(statuses(&balancer, "t", 3), [200; 3]);
    // What is in it as it was still owes what it owed.
    assert_eq!(statuses(&balancer, "u", 1), [429]);
    assert_eq!(status(&balancer)["subscribed"]["tenants"]["limits"], 2);
}

#[test]
fn limits_are_removed_when_their_service_leaves_the_scope() {
    let a = named("a");
    let partners = service("partners", "p") + &server("partners", "a", &a, "");
    let points = service("points", "h") + &server("points", "a", &a, "");
    let control = Control::start(&[points + &tenant("t", SLOW, 1), partners]);
    let of = |services: &[&str]| site(control.address, "one", services, HEADER);
    let folder = Site::new(&of(&["points", "partners"]));
    let balancer = Balancer::serving(&folder);
    assert_eq!(statuses(&balancer, "t", 2), [200, 429]);
    folder.replace("site.toml", &of(&["partners"]));
    balancer.hang_up();
    balancer.says(&["SIGHUP; configuration 2"]);
    assert_eq!(status(&balancer)["subscribed"]["tenants"]["limits"], 0);
    // It comes back as one that is new here.
    folder.replace("site.toml", &of(&["points", "partners"]));
    balancer.hang_up();
    balancer.says(&["in force: points 1", "1 tenants set"]);
    assert_eq!(statuses(&balancer, "t", 2), [200, 429]);
}
