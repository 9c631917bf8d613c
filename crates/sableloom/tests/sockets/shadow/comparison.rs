//! What is copied, what counts as a difference of two answers, and the report on the record.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

use sableloom_testkit::{Balancer, Conn, LONG, Message, Peer, Site, eventually, post, read};

use super::{answering, ended, json, keyed, record, report, said, site, start};
use crate::server_files::list;

#[test]
fn answered_reads_are_copied_once_and_marked_and_compared() {
    let (live, _came) = answering(r#"{"points":7,"at":1}"#);
    let (candidate, copies) = answering(r#"{"points":8,"at":2}"#);
    let rules = "values = true\n[shadow.compare]\nignore = [\"/at\"]\n";
    let (site, mut balancer) = start(rules, &live, &candidate);
    let mut client = balancer.client();
    let secret = "Authorization: Bearer x\r\nCookie: a=b\r\nX-Shadow: forged\r\nX-Till: 9\r\n";
    for i in 0..20 {
        client.write(read(&format!("r{i}"), &format!("{secret}{}", keyed(i))));
        let answer = client.message().expect("an answer");
        assert_eq!(answer.body, br#"{"points":7,"at":1}"#, "the live answer");
        client.write(post("pay", &format!("p{i}"), &keyed(100 + i), "1"));
        assert_eq!(client.message().expect("an answer").status(), 200);
    }
    let mut seen = BTreeMap::new();
    for _ in 0..20 {
        let copy = copies.recv_timeout(LONG).expect("a copy");
        assert_eq!(copy.line, "GET /read/x?q=1 HTTP/1.1");
        assert_eq!(copy.header("x-shadow"), Some("next"));
        assert_eq!(copy.header("x-till"), Some("9"), "what is the client's own goes along");
        assert_eq!((copy.header("authorization"), copy.header("cookie")), (None, None));
        *seen.entry(copy.id().to_string()).or_insert(0) += 1;
    }
    let expected = (0..20).map(|i| (format!("r{i}-shadow"), 1)).collect();
    assert_eq!(seen, expected, "each read once");
    let record = ended(&site, 20);
    let class = &record["classes"][0];
    assert_eq!((&class["different"], &class["same"]), (&20.into(), &0.into()), "{record}");
    let place = &class["places"]["/points value"];
    assert_eq!(
        (&place["candidate"], &place["examples"][0]["candidate"]),
        (&20.into(), &"8".into())
    );
    assert_eq!(class["places"].as_object().map(|p| p.len()), Some(1), "{record}");
    let output = report(&site, &["--least", "20"]);
    assert_eq!(output.status.code(), Some(1), "{}", said(&output));
    assert!(
        said(&output).contains("AGAINST read: differs at /points value: 20 of 20"),
        "{}",
        said(&output)
    );
    let page = said(&report(&site, &["--format", "html"]));
    // Nothing is fetched: the one address in it names the form of its charts.
    let own = page.replace("http://www.w3.org/2000/svg", "");
    assert!(own.contains("<svg") && !own.contains("http"), "{page}");
    assert!(copies.try_recv().is_err(), "no more than that");
    balancer.terminate();
    assert_eq!(balancer.await_exit(), Some(0));
}

#[test]
fn a_change_between_two_answers_is_no_difference() {
    let points = Arc::new(AtomicUsize::new(7));
    let serving = |points: Arc<AtomicUsize>| {
        move |message: &Message, conn: &mut Conn| {
            if message.line.starts_with("POST") {
                points.fetch_sub(1, Ordering::SeqCst);
            }
            conn.write(json(&format!(r#"{{"points":{}}}"#, points.load(Ordering::SeqCst))));
        }
    };
    let at_live = serving(points.clone());
    let (live, _came) = Peer::upstream(move |_, message, conn| {
        at_live(message, conn);
        true
    });
    // The candidate reads the same data, once the test lets it.
    let (lets, let_go) = channel::<()>();
    let let_go = Mutex::new(let_go);
    let at_candidate = serving(points.clone());
    let (candidate, copies) = Peer::upstream(move |_, message, conn| {
        let _ = let_go.lock().expect("unpoisoned").recv_timeout(LONG);
        at_candidate(message, conn);
        true
    });
    let (site, balancer) = start("settle_ms = 0\nin_flight = 1\n", &live, &candidate);
    let read_of = |id: &str, key| {
        let answer = balancer.ask(read(id, &keyed(key)));
        assert_eq!(answer.status(), 200);
        copies.recv_timeout(LONG).expect("a copy");
    };
    let pay_of = |id: &str, more: &str| {
        assert_eq!(balancer.ask(post("pay", id, more, "1")).status(), 200);
    };
    // Changed while the copy is at the candidate, by a payment for the card, and by one that does
    // not say for which.
    for (round, more) in [(0, keyed(5)), (1, String::new())] {
        read_of(&format!("a{round}"), 5);
        pay_of(&format!("pay-{round}"), &more);
        lets.send(()).expect("a candidate");
        let record = ended(&site, round + 1);
        let class = &record["classes"][0];
        assert_eq!(
            (&class["disturbed"], &class["different"]),
            (&(round + 1).into(), &0.into()),
            "{record}"
        );
    }
    // Another card's payment leaves it to be compared, and so does one that was over before.
    read_of("b", 5);
    pay_of("pay-b", &keyed(6));
    points.fetch_add(1, Ordering::SeqCst);
    lets.send(()).expect("a candidate");
    let record = ended(&site, 3);
    assert_eq!(
        (&record["classes"][0]["same"], &record["classes"][0]["disturbed"]),
        (&1.into(), &2.into()),
        "{record}"
    );
    // What really differs is told.
    read_of("c", 5);
    points.fetch_add(1, Ordering::SeqCst);
    lets.send(()).expect("a candidate");
    let record = ended(&site, 4);
    assert_eq!(record["classes"][0]["different"], 1, "{record}");
}

#[test]
fn what_differs_at_the_control_group_too_is_noise() {
    let (live, _came) = answering(r#"{"points":7,"node":"a"}"#);
    let (control, _copies) = answering(r#"{"points":7,"node":"b"}"#);
    let (good, _copies) = answering(r#"{"points":7,"node":"c"}"#);
    let (bad, _copies) = answering(r#"{"points":9,"node":"d"}"#);
    for (candidate, code) in [(&good, 0), (&bad, 1)] {
        let text = site("control = \"control\"\n", &["points", "candidate", "control"]);
        let site = Site::new(&text);
        site.write("points.toml", &list(&[("live", &live)]));
        site.write("candidate.toml", &list(&[("next", candidate)]));
        site.write("control.toml", &list(&[("old", &control)]));
        let balancer = Balancer::serving(&site);
        let mut client = balancer.client();
        for i in 0..400 {
            client.write(read(&format!("r{i}"), &keyed(i)));
            assert_eq!(client.message().expect("an answer").status(), 200);
        }
        eventually("copies end", || {
            let record = record(&site);
            record["sampled"] == 400 && record["classes"][0]["ended"] == record["copied"]
        });
        // The rest was skipped, or had no room at one of the two.
        let class = &record(&site)["classes"][0];
        let (all, both) = (&class["different"], &class["with_control"]);
        assert!(both.as_u64() >= Some(50), "{class}");
        let output = report(&site, &["--late-at-most", "1", "--least", "50"]);
        assert_eq!(output.status.code(), Some(code), "{}", said(&output));
        let told = said(&output);
        assert!(told.contains(&format!("differs at /node value: {all} of {all}")), "{told}");
        assert!(!told.contains("AGAINST read: differs at /node"), "{told}");
        assert_eq!(told.contains("AGAINST read: differs at /points value"), code == 1, "{told}");
    }
}

#[test]
fn a_record_that_is_none_is_told_with_its_place() {
    let site = Site::new("");
    for (text, says) in [
        ("", "EOF"),
        ("{\"format\": 1, \"shadow\": 7}", "field `shadow`"),
        ("{\"format\": 9", "EOF"),
    ] {
        site.write("shadow-next.json", text);
        let output = report(&site, &[]);
        assert_eq!(output.status.code(), Some(1));
        let told = said(&output);
        assert!(told.contains("shadow-next.json:1:") && told.contains(says), "{told}");
    }
    let output = report(&site, &["--late-at-most", "2"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(said(&output).contains("a share from 0 to 1"));
}
