//! What a candidate can do to the live traffic: nothing, whatever it does.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use oorandom::Rand64;
use sableloom_testkit::{Conn, LONG, Peer, Site, answer, eventually, ok, post, program, read};
use serde_json::Value;

use super::{answering, json, keyed, record, site, start, started};
use crate::server_files::list;

/// Reads and payments from many clients, with servers that break off, refuse and fail in a seeded
/// order, so that attempts are repeated and clients ask again: not one payment is copied.
#[test]
fn nothing_but_safe_requests_reaches_the_candidate_whatever_happens() {
    const SEED: u128 = 11;
    let rng = Mutex::new(Rand64::new(SEED));
    let (live, _came) = Peer::upstream(move |_, message, conn| {
        let what = rng.lock().expect("unpoisoned").rand_range(0..60);
        match what {
            0 => return false,
            1 => conn.write(answer("503 Busy", "X-Never-Ran: 1\r\n", "")),
            2 => conn.write(answer("500 Broken", "", "")),
            3 => {
                conn.write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf");
                return false;
            }
            _ => conn.write(ok(message.id())),
        }
        true
    });
    let (candidate, copies) = answering("{}");
    let (site, balancer) = start("calm_ms = 0\n", &live, &candidate);
    let balancer = Arc::new(balancer);
    let clients: Vec<_> = (0..8)
        .map(|worker| {
            let balancer = balancer.clone();
            thread::spawn(move || {
                let mut served = 0;
                for i in 0..60 {
                    let id = format!("{worker}-{i}");
                    let pays = i % 2 == 0;
                    let request = match pays {
                        true => post("pay", &id, &keyed(i), "1"),
                        false => read(&id, &keyed(1000 + i)),
                    };
                    let answer = balancer.ask(request);
                    served += u64::from(answer.status() == 200 && !pays);
                }
                served
            })
        })
        .collect();
    let served: u64 = clients.into_iter().map(|c| c.join().expect("a client")).sum();
    assert!(served > 100, "{served} reads served, seed {SEED}");
    // Each served read is copied or its reason not to be is counted.
    eventually("all is counted", || {
        let record = record(&site);
        let skipped =
            record["skipped"].as_object().map(|s| s.values().filter_map(Value::as_u64).sum());
        let copied = record["copied"].as_u64().unwrap_or(0);
        record["sampled"] == served
            && copied + skipped.unwrap_or(0) == served
            && record["classes"][0]["ended"] == copied
    });
    let copies: Vec<_> = copies.try_iter().collect();
    assert!(!copies.is_empty());
    for copy in &copies {
        assert!(copy.line.starts_with("GET /read"), "{}", copy.line);
    }
}

/// How a candidate behaves on a connection, which has this number.
type Script = fn(usize, Conn);

/// Each way in which a candidate can misbehave, with its name, and whether copies stay open there.
fn misbehaviours() -> [(&'static str, Script, bool); 8] {
    let hangs: Script = |_, mut conn| while conn.message().is_some() {};
    let unread: Script = |_, conn| {
        thread::park();
        drop(conn);
    };
    let trickles: Script = |_, mut conn| {
        conn.message();
        conn.write("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nx");
        conn.await_end();
    };
    let resets: Script = |_, mut conn| {
        conn.message();
        conn.reset();
    };
    let closes: Script = |_, _| {};
    let garbage: Script = |_, mut conn| {
        conn.message();
        conn.write([0xff; 5000]);
        conn.await_end();
    };
    let endless: Script = |_, mut conn| {
        conn.message();
        conn.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        // It is cut off past the longest answer.
        for _ in 0..200 {
            conn.write(format!("1000\r\n{}\r\n", "x".repeat(4096)));
        }
    };
    let errs: Script = |_, mut conn| {
        while conn.message().is_some() {
            conn.write(answer("500 Broken", "", ""));
        }
    };
    // Of those that answer nothing copies stay out; of the others they end, and all are failures.
    [
        ("hangs", hangs, true),
        ("does not read", unread, true),
        ("trickles", trickles, true),
        ("resets", resets, false),
        ("closes", closes, false),
        ("garbage", garbage, false),
        ("endless", endless, false),
        ("errs", errs, false),
    ]
}

/// Each way in which a candidate can behave. Copies may take ten minutes, as an answer is worth all for
/// so long: a live request, or an end of the program, that waited for one would not come within the
/// test's time.
#[test]
fn a_candidate_can_do_nothing_to_the_live_traffic() {
    for (name, script, stays) in misbehaviours() {
        let (live, _came) = answering(r#"{"points":7}"#);
        let taken = Arc::new(AtomicUsize::new(0));
        let count = taken.clone();
        let candidate = Peer::start(move |number, conn| {
            count.fetch_add(1, Ordering::SeqCst);
            script(number, conn);
        });
        let text = site("in_flight = 4\ncalm_ms = 0\n", &["points", "candidate"])
            .replace("aim_ms = 5000", "aim_ms = 600000")
            .replace("deadline_ms = 20000", "deadline_ms = 600000");
        let (site, mut balancer) = started(&text, &live, &candidate);
        let mut client = balancer.client();
        let read = |id: &str, more: &str| read(id, more).replace("2500", "600000");
        client.write(read("first", ""));
        assert_eq!(client.message().expect("an answer").status(), 200, "{name}");
        let before = balancer.descriptors();
        for i in 0..300 {
            client.write(read(&format!("{name}-{i}"), &keyed(i)));
            let answer = client.message().expect("an answer");
            assert_eq!(
                (answer.status(), &answer.body[..]),
                (200, &br#"{"points":7}"#[..]),
                "{name}"
            );
        }
        eventually("all are counted", || {
            let record = record(&site);
            record["sampled"] == 301 && (stays || record["classes"][0]["failed"] != 0)
        });
        let now = balancer.descriptors();
        // Four connections, and what the record and the watch of a file hold for a moment.
        assert!(now <= before + 4 + 3, "{name}: {before} and {now} descriptors");
        let record = record(&site);
        let (copied, failed) = (&record["copied"], &record["classes"][0]["failed"]);
        if stays {
            assert_eq!(*copied, 4, "{name}: {record}");
            assert_eq!(record["skipped"]["in flight"], 297, "{name}: {record}");
            assert!(taken.load(Ordering::SeqCst) <= 4, "{name}");
        } else {
            assert!(copied.as_u64() >= Some(4), "{name}: {record}");
            assert!(failed.as_u64() > Some(0), "{name}: {record}");
            assert_eq!(record["classes"][0]["same"], 0, "{name}");
        }
        balancer.terminate();
        assert_eq!(balancer.await_exit(), Some(0), "{name}: it ends all the same");
    }
}

#[test]
fn a_candidate_that_fails_rests_and_is_tried_again() {
    let (live, _came) = answering("{}");
    let good = Arc::new(AtomicBool::new(false));
    let is_good = good.clone();
    let (candidate, copies) = Peer::upstream(move |_, _, conn| {
        let good = is_good.load(Ordering::SeqCst);
        if good {
            conn.write(json("{}"));
        }
        good
    });
    let rests = "trip = 3\nin_flight = 1\nrest_ms = 60\nrest_most_ms = 120\n";
    let (site, balancer) = start(rests, &live, &candidate);
    let mut client = balancer.client();
    let mut asked = 0;
    let mut ask = || {
        asked += 1;
        client.write(read(&format!("r{asked}"), &keyed(asked)));
        assert_eq!(client.message().expect("an answer").status(), 200);
    };
    eventually("it rests twice", || {
        ask();
        record(&site)["rests"].as_u64() >= Some(2)
    });
    good.store(true, Ordering::SeqCst);
    eventually("it is served again", || {
        ask();
        record(&site)["classes"][0]["same"].as_u64() >= Some(20)
    });
    let record = record(&site);
    assert!(record["skipped"]["candidate rests"].as_u64() > Some(0), "{record}");
    // A rest has one copy, the first had three: those that failed are bounded by the rests.
    let (failed, rests) = (&record["classes"][0]["failed"], record["rests"].as_u64().unwrap_or(0));
    assert!(failed.as_u64() <= Some(2 + rests), "{record}");
    assert!(copies.try_iter().count() >= 20);
}

#[test]
fn a_live_request_that_fails_stops_the_copying_for_a_while() {
    let (live, _came) = Peer::upstream(|_, message, conn| {
        conn.write(match message.id().starts_with("bad") {
            true => answer("500 Broken", "", ""),
            false => json("{}"),
        });
        true
    });
    let (candidate, copies) = answering("{}");
    let (site, balancer) = start("calm_ms = 600000\n", &live, &candidate);
    assert_eq!(balancer.ask(read("good", "")).status(), 200);
    assert_eq!(copies.recv_timeout(LONG).expect("a copy").id(), "good-shadow");
    assert_eq!(balancer.ask(post("pay", "bad", "", "1")).status(), 502);
    for i in 0..5 {
        assert_eq!(balancer.ask(read(&format!("late-{i}"), "")).status(), 200);
    }
    eventually("they are counted", || record(&site)["skipped"]["live pressed"] == 5);
    assert!(copies.try_recv().is_err());
}

#[test]
fn descriptors_for_copies_are_part_of_the_limit() {
    let (live, _came) = answering("{}");
    let (candidate, _copies) = answering("{}");
    let text = site("in_flight = 500\n", &["points", "candidate"]);
    let folder = Site::new(&text);
    folder.write("points.toml", &list(&[("live", &live)]));
    folder.write("candidate.toml", &list(&[("next", &candidate)]));
    let mut command = Command::new(program());
    command.args(["serve", "--config"]).arg(folder.path("site.toml")).env_remove("ROUTER_CONFIG");
    let mut child = command.stderr(Stdio::piped()).spawn().expect("it starts");
    let log = BufReader::new(child.stderr.take().expect("piped"));
    let mut lines = log.lines().map_while(Result::ok);
    let told = lines.find(|line| line.contains("shadow") || line.contains("listening on"));
    // One that runs all the same does not end by itself.
    let _ = child.kill();
    child.wait().expect("an end");
    let told = told.expect("a word on it");
    let line = text.lines().position(|l| l == "[[shadow]]").expect("a shadow") + 1;
    assert!(told.contains(&format!("site.toml:{line}:1: field `shadow[0].in_flight`")), "{told}");
    assert!(told.contains("descriptors"), "{told}");
}
