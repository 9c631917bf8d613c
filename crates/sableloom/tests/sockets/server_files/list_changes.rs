//! What a change of a list does to the servers on it: left out, drained, weighed anew, cold, too many at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use sableloom_testkit::{Balancer, LONG, Peer, Site, named, ok, post, read, servers};

use super::{list, one_pool, serves, start, waiting};

/// What a server works on a request.
const WORK: Duration = Duration::from_millis(5);

/// Answers with its name after a few milliseconds of work. What a loaded machine adds to an answer is small
/// beside that: of two servers that answer at once, the one that it held up once is sent little for long.
fn works(name: &'static str) -> Peer {
    Peer::upstream(move |_, _, conn| {
        thread::sleep(WORK);
        conn.write(ok(name));
        true
    })
    .0
}

#[test]
fn a_server_that_is_left_out_finishes_what_it_has_and_gets_nothing_new() {
    let (slow, came, go) = waiting();
    let quick = named("quick");
    let (site, balancer) = start(&[("slow", &slow)]);
    let mut client = balancer.client();
    client.write(post("pay", "out", "", "x"));
    came.recv_timeout(LONG).expect("a request");
    site.replace("points.toml", &list(&[("quick", &quick)]));
    balancer.says(&["in force", "removed slow"]);
    for i in 0..20 {
        assert_eq!(serves(&balancer, &format!("new-{i}")), "quick");
    }
    drop(go);
    assert_eq!(client.message().expect("an answer").body, b"waited");
    assert!(came.try_recv().is_err(), "nothing new went there");
}

#[test]
fn a_pool_may_be_drained_reloaded_emptied_and_filled_again() {
    let (a, b) = (named("a"), named("b"));
    let (site, balancer) = start(&[("a", &a), ("b", &b)]);
    assert_eq!(balancer.ask(read("1", "")).status(), 200);
    let drained = [&a, &b].map(|peer| peer.address);
    let text = servers(
        "",
        [("a", drained[0], "state = \"draining\""), ("b", drained[1], "state = \"draining\"")],
    );
    site.replace("points.toml", &text);
    balancer.says(&["in force", "drained a", "drained b"]);
    // A reload while all of them drain.
    balancer.hang_up();
    balancer.says(&["SIGHUP", "in force"]);
    // What comes now waits for a server, and has one once the pool is filled.
    let mut waits = balancer.client();
    waits.write(read("waits", ""));
    site.replace("points.toml", &servers("", []));
    balancer.says(&["in force", "removed a"]);
    site.replace("points.toml", &list(&[("a", &a)]));
    balancer.says(&["in force", "returned a"]);
    let answer = waits.message().expect("an answer");
    // Refused at once, or held and served; never lost, never failed.
    assert!([200, 503].contains(&answer.status()), "{}", answer.line);
    assert_eq!(serves(&balancer, "2"), "a");
}

#[test]
fn a_changed_weight_opens_no_connection() {
    let opened = Arc::new(AtomicUsize::new(0));
    let count = opened.clone();
    let peer = Peer::start(move |_, mut conn| {
        count.fetch_add(1, Ordering::SeqCst);
        while conn.message().is_some() {
            conn.write(ok("a"));
        }
    });
    let (site, balancer) = start(&[("a", &peer)]);
    let ask = |from: usize| {
        (from..from + 10).for_each(|i| assert_eq!(serves(&balancer, &i.to_string()), "a"))
    };
    ask(0);
    let before = opened.load(Ordering::SeqCst);
    for (n, weight) in [2.0, 0.5, 7.0].into_iter().enumerate() {
        let more = format!("weight = {weight}");
        site.replace("points.toml", &servers("", [("a", peer.address, more.as_str())]));
        balancer.says(&["in force", "weight of a from", &format!("to {weight}")]);
        ask(10 + n * 10);
    }
    assert_eq!(opened.load(Ordering::SeqCst), before);
}

#[test]
fn a_new_server_starts_cold_and_one_that_has_long_been_up_does_not() {
    let (a, b) = (works("a"), works("b"));
    // A server starts with a hundredth of its capacity, and takes an hour.
    let text = one_pool("").replace("time_ms = 0", "time_ms = 3600000\nfrom = 0.01");
    let site = Site::new(&text);
    site.write("points.toml", &list(&[("a", &a)]));
    let balancer = Balancer::serving(&site);
    let ask =
        |what: &str| (0..200).filter(|i| serves(&balancer, &format!("{what}-{i}")) == "b").count();
    assert_eq!(ask("alone"), 0);
    site.replace("points.toml", &list(&[("a", &a), ("b", &b)]));
    balancer.says(&["in force", "added b"]);
    let cold = ask("cold");
    let warm = [("a", a.address, ""), ("b", b.address, "started = 2020-01-01T00:00:00Z")];
    site.replace("points.toml", &servers("", warm));
    balancer.says(&["in force", "restarted b"]);
    let warm = ask("warm");
    // Half of them, by lot, once it counts as warm.
    assert!(cold * 3 < warm && warm > 40, "{cold} of 200 while cold, {warm} of 200 warm");
}

#[test]
fn a_change_that_takes_out_too_many_must_say_so() {
    let (a, b, c) = (named("a"), named("b"), named("c"));
    let site = Site::new(&one_pool(""));
    let all = [("a", a.address, ""), ("b", b.address, ""), ("c", c.address, "")];
    site.write("points.toml", &servers("", all));
    let balancer = Balancer::serving(&site);
    site.replace("points.toml", &servers("", [("a", a.address, "")]));
    balancer.says(&["not changed", "takes 2 of 3 serving servers out", "takes_out = 2"]);
    site.replace("points.toml", &servers("takes_out = 2", [("a", a.address, "")]));
    balancer.says(&["in force", "removed b, removed c"]);
    assert_eq!(serves(&balancer, "1"), "a");
}
