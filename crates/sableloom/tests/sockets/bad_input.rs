//! Invalid input from any side: an answer or a close, nothing forwarded, never a crash.

use std::io::Read;

use serde_json::{Value, json};

use sableloom_testkit::{Balancer, LONG, Peer, config, entry, ok, post, read, spawn};

/// What the program logs for a configuration that it can't run with.
fn log_of_invalid(config: &str) -> String {
    let (mut child, mut log) = spawn(config);
    let mut text = String::new();
    log.read_to_string(&mut text).expect("a log");
    assert_eq!(child.wait().expect("an end").code(), Some(1));
    assert_eq!(text.lines().count(), 1, "one plain line: {text}");
    text
}

fn changed(change: impl Fn(&mut Value)) -> String {
    let mut config = config(&[]);
    change(&mut config);
    config.to_string()
}

/// Guards against clients that keep the balancer busy with chunks of one byte, so that it answers others too late.
#[test]
fn a_body_in_thousands_of_chunks_is_rejected_and_one_in_hundreds_is_served() {
    let (upstream, _came) = Peer::upstream(|_, message, conn| {
        conn.write(ok(&message.body.len().to_string()));
        true
    });
    let balancer = Balancer::before(&[&upstream]);
    let chunked = |id: &str, chunks: usize| {
        let head =
            post("pay", id, "", "").replace("Content-Length: 0", "Transfer-Encoding: chunked");
        head + &"1\r\nx\r\n".repeat(chunks) + "0\r\n\r\n"
    };
    assert_eq!(balancer.ask(chunked("hundreds", 900)).body, b"900");
    assert_eq!(balancer.ask(chunked("thousands", 5_000)).status(), 400);
}

#[test]
fn an_invalid_configuration_is_reported_with_its_field() {
    for (field, text) in [
        ("line 1", "{".to_string()),
        ("settings", changed(|c| c["settings"] = json!(null))),
        ("settings.Services[1].Aim", changed(|c| c["settings"]["Services"][1]["Aim"] = json!("x"))),
        ("settings", changed(|c| c["settings"]["Services"] = json!([]))),
        ("limits.sockets", changed(|c| c["limits"]["sockets"] = json!(10))),
        ("limits.memory_mb", changed(|c| c["limits"]["memory_mb"] = json!(8))),
        ("listen", changed(|c| c["listen"] = json!("nowhere"))),
        ("listen", changed(|c| c["listen"] = json!(null))),
        ("discovery", changed(|c| c["discovery"] = json!("x:y"))),
        ("seed", changed(|c| c["seed"] = json!("green"))),
    ] {
        let said = log_of_invalid(&text);
        assert!(said.contains(field), "{field}: {said}");
    }
}

#[test]
fn an_address_in_use_is_reported() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = taken.local_addr().expect("an address").to_string();
    let said = log_of_invalid(&changed(|c| c["listen"] = json!(at)));
    assert!(said.contains("listen") && said.contains(&at), "{said}");
}

#[test]
fn keys_of_other_deployments_are_ignored() {
    let (upstream, _came) = Peer::serving();
    let mut config = config(&[upstream.address]);
    config["new"] = json!({"deep": 1});
    config["settings"]["New"] = json!([1]);
    config["settings"]["Stats"] = json!({"How": "telepathy", "Names": ["mood"]});
    config["settings"]["Services"][0]["New"] = json!(null);
    let balancer = Balancer::start(config);
    assert_eq!(balancer.ask(read("1", "")).status(), 200);
}

#[test]
fn an_invalid_request_is_not_forwarded() {
    let (upstream, came) = Peer::serving();
    let balancer = Balancer::before(&[&upstream]);
    let body = |headers: &str, body: &str| {
        let head = post("pay", "b", "", "").replace("Content-Length: 0\r\n\r\n", "");
        format!("{head}{headers}\r\n\r\n{body}")
    };
    for (what, text) in [
        ("no id", read("1", "").replace("X-Trace-Id", "X-Other")),
        ("an empty id", read("", "")),
        ("no such class", read("1", "").replace("read", "dance")),
        ("POST for GET", read("1", "").replace("GET", "POST")),
        ("GET for POST", post("pay", "1", "", "").replace("POST", "GET")),
        ("no key", post("put", "1", "", "x")),
        ("no deadline", read("1", "").replace("X-Expires-In-Ms", "X-Other")),
        ("a deadline in words", read("1", "").replace("2500", "soon")),
        ("a deadline before now", read("1", "").replace("2500", "-5")),
        ("a deadline of years", read("1", "").replace("2500", "99999999999999999999")),
        ("a body too large", body("Content-Length: 99999999999", "")),
        ("two lengths", body("Content-Length: 1\r\nContent-Length: 2", "ab")),
        ("a length in words", body("Content-Length: two", "ab")),
        ("a negative length", body("Content-Length: -2", "ab")),
        ("a bad chunk size", body("Transfer-Encoding: chunked", "zz\r\nab\r\n0\r\n\r\n")),
        ("a huge chunk", body("Transfer-Encoding: chunked", "fffffffffffffffff\r\nab")),
        ("a long head", read("1", &format!("X-Long: {}\r\n", "l".repeat(300_000)))),
        ("no HTTP", "\x16\x03\x01\0nonsense\r\n\r\n".to_string()),
        ("a binary", "\0\0\0\0\0\0\0\r\n\r\n".to_string()),
    ] {
        let mut client = balancer.client();
        client.write(&text);
        let answer = client.message().unwrap_or_else(|| panic!("{what}: no answer"));
        assert!((400..500).contains(&answer.status()), "{what}: {}", answer.line);
        client.await_end();
    }
    // A body that ends early: there is nothing to answer.
    let mut client = balancer.client();
    client.write(body("Content-Length: 9", "short"));
    client.finish();
    while client.message().is_some() {}
    assert_eq!(balancer.ask(read("good", "")).status(), 200);
    assert_eq!(came.recv_timeout(LONG).expect("a request").id(), "good", "nothing else was sent");
}

/// A head with these framing lines, and a body that hides a request behind an empty chunk.
fn smuggled(id: &str, framing: &[&str]) -> String {
    let hidden = format!("0\r\n\r\n{}", post("pay", "hidden", "", "x"));
    let head = post("pay", id, "", "").replace("Content-Length: 0\r\n\r\n", "");
    let lines: String = framing.iter().map(|line| format!("{line}\r\n")).collect();
    format!("{head}{}\r\n{hidden}", lines.replace("{}", &hidden.len().to_string()))
}

#[test]
fn a_length_beside_a_transfer_coding_is_rejected_in_any_order() {
    let (upstream, came) = Peer::serving();
    let balancer = Balancer::before(&[&upstream]);
    let (length, coding) = ("Content-Length: {}", "Transfer-Encoding: chunked");
    for framing in [
        [length, coding],
        [coding, length],
        ["CONTENT-LENGTH: {}", "transfer-encoding: chunked"],
        [coding, "content-length: 0"],
    ] {
        // As the first on its connection, behind another, and pipelined.
        let bad = smuggled("bad", &framing);
        for (ahead, answers) in
            [("", 0), (&*read("good", ""), 1), (&*post("pay", "good", "", "x"), 1)]
        {
            for at_once in [false, true] {
                let mut client = balancer.client();
                if at_once {
                    client.write(format!("{ahead}{bad}"));
                } else {
                    client.write(ahead);
                }
                for _ in 0..answers {
                    assert_eq!(client.message().expect("an answer").status(), 200);
                    assert_eq!(came.recv_timeout(LONG).expect("a request").id(), "good");
                }
                if !at_once {
                    client.write(&bad);
                }
                assert_eq!(client.message().expect("an answer").status(), 400, "{framing:?}");
                client.await_end();
            }
        }
    }
    // A chunked request alone is accepted, also behind one with a length.
    let mut client = balancer.client();
    client.write(post("pay", "good", "", "x"));
    assert_eq!(client.message().expect("an answer").status(), 200);
    let chunked = post("pay", "chunked", "", "")
        .replace("Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n");
    client.write(format!("{chunked}1\r\nx\r\n0\r\n\r\n"));
    assert_eq!(client.message().expect("an answer").status(), 200);
    assert!(came.try_iter().all(|m| m.id() != "bad" && m.id() != "hidden"));
}

#[test]
fn the_id_of_another_open_request_is_rejected() {
    let (go, wait) = std::sync::mpsc::channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let (upstream, came) = Peer::upstream(move |_, message, conn| {
        let _ = wait.lock().expect("unpoisoned").recv();
        conn.write(ok(message.id()));
        true
    });
    let balancer = Balancer::before(&[&upstream]);
    let mut owner = balancer.client();
    owner.write(post("pay", "same", "", "x"));
    assert_eq!(came.recv_timeout(LONG).expect("a request").id(), "same");
    assert_eq!(balancer.ask(read("same", "")).status(), 409);
    go.send(()).expect("an upstream");
    assert_eq!(owner.message().expect("an answer").body, b"same");
    go.send(()).expect("an upstream");
    assert_eq!(balancer.ask(read("same", "")).status(), 200, "free again");
    assert_eq!(came.try_iter().count(), 1);
}

#[test]
fn invalid_entries_of_a_list_are_ignored() {
    let (upstream, _came) = Peer::serving();
    let mut config = config(&[upstream.address]);
    let known = config["known"]["members"].as_array_mut().expect("members");
    let mut strange = known[0].clone();
    strange["locality"] = json!("atlantis");
    strange["flavor"] = json!("xxl");
    known[0] = strange;
    known.insert(0, json!({"id": 5}));
    known.push(json!("nonsense"));
    known.push(entry("s-9", "127.0.0.1:1".parse().expect("an address"), "DREAMING"));
    let balancer = Balancer::start(config);
    for id in 0..5 {
        assert_eq!(balancer.ask(post("pay", &id.to_string(), "", "x")).status(), 200);
    }
}
