//! What clients send and get.

use std::time::{Duration, Instant};

use sableloom_testkit::{
    Balancer, LONG, Peer, answer, config, eventually, ok, only_own_times, post, read,
};

#[test]
fn each_idempotency_is_served() {
    let (upstream, came) = Peer::serving();
    let balancer = Balancer::before(&[&upstream]);
    let mut client = balancer.client();
    for request in [
        read("1", ""),
        post("put", "2", "Idempotency-Key: k2\r\n", "two"),
        post("pay", "3", "", "three"),
    ] {
        client.write(request);
        let answer = client.message().expect("an answer on a kept connection");
        let sent = came.recv_timeout(LONG).expect("a request");
        assert_eq!((answer.status(), answer.body), (200, sent.id().as_bytes().to_vec()));
    }
}

#[test]
fn a_message_passes_unchanged_both_ways() {
    let (upstream, came) = Peer::upstream(|_, _, conn| {
        let headers = "X-Made: Here\r\nConnection: keep-alive\r\n";
        conn.write(answer("200 OK", headers, "a\0body\r\n\r\n"));
        true
    });
    let balancer = Balancer::before(&[&upstream]);
    let body = "any\0bytes\r\n\r\nGET / HTTP/1.1\r\n";
    let answer =
        balancer.ask(post("put", "7", "X-Own: 1\r\nIdempotency-Key: k\r\nTE: x\r\n", body));
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"a\0body\r\n\r\n"[..]));
    assert_eq!(answer.header("x-made"), Some("Here"));
    let sent = came.recv_timeout(LONG).expect("a request");
    assert_eq!((sent.line.as_str(), &sent.body[..]), ("POST /put HTTP/1.1", body.as_bytes()));
    for (name, value) in [("x-trace-id", "7"), ("idempotency-key", "k"), ("x-own", "1")] {
        assert_eq!(sent.header(name), Some(value));
    }
    assert_eq!(sent.header("te"), None, "a header of the client's connection");
    let left: u64 = sent.header("x-expires-in-ms").and_then(|v| v.parse().ok()).expect("a time");
    assert!((1..=2500).contains(&left), "{left} ms");
}

#[test]
fn all_forms_of_a_request_are_parsed() {
    let (upstream, came) = Peer::serving();
    let balancer = Balancer::before(&[&upstream]);
    let head = "POST /pay HTTP/1.1\r\nHOST: h\r\nx-TRACE-id: 9\r\nX-QOS: pay\r\n\
                x-expires-in-MS: 2500\r\nX-Long: ";
    let chunked = format!(
        "{head}{}\r\nExpect: 100-continue\r\nTransfer-Encoding: Chunked\r\n\r\n\
         3;ext=\"v\"\r\nabc\r\n00A\r\n0123456789\r\n0\r\nX-Trailer: t\r\n\r\n",
        "l".repeat(16_000)
    );
    let mut client = balancer.client();
    // Split at every byte.
    for byte in chunked.as_bytes() {
        client.write([*byte]);
    }
    let mut answer = client.message().expect("an answer");
    if answer.status() == 100 {
        answer = client.message().expect("the final answer");
    }
    assert_eq!(answer.status(), 200);
    assert_eq!(came.recv_timeout(LONG).expect("a request").body, b"abc0123456789");
}

#[test]
fn a_pipelined_request_is_answered_after_the_first() {
    let (upstream, _came) = Peer::serving();
    let balancer = Balancer::before(&[&upstream]);
    let mut client = balancer.client();
    client.write([post("pay", "a", "", "x"), read("b", "")].concat());
    assert_eq!(client.message().expect("the first").body, b"a");
    assert_eq!(client.message().expect("the second").body, b"b");
}

#[test]
fn all_forms_of_an_answer_are_parsed() {
    let (upstream, _came) = Peer::upstream(|number, _, conn| {
        let text = [
            "HTTP/1.1 200 OK\r\nCONTENT-length: 3\r\n\r\nabc",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
             1;x=y\r\na\r\n2\r\nbc\r\n0\r\nT: t\r\n\r\n",
            "HTTP/1.1 200 OK\r\n\r\nabc",
        ][number];
        for byte in text.bytes() {
            conn.write([byte]);
        }
        number < 2
    });
    let balancer = Balancer::before(&[&upstream]);
    for id in ["1", "2", "3"] {
        let answer = balancer.ask(post("pay", id, "", "x"));
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"abc"[..]), "form {id}");
    }
}

#[test]
fn a_rejection_carries_retry_after() {
    // The deadline is too short for any answer: the policy rejects at once.
    let (upstream, came) = Peer::serving();
    let balancer = Balancer::before(&[&upstream]);
    let mut client = balancer.client();
    client.write(read("1", "").replace("2500", "1"));
    let answer = client.message().expect("an answer");
    assert_eq!(answer.status(), 503);
    let when: f64 = answer.header("retry-after").and_then(|v| v.parse().ok()).expect("a time");
    assert!(when > 0.0 && when <= 1.0, "Retry-After: {when}");
    client.write(read("2", ""));
    assert_eq!(client.message().expect("an answer").status(), 200);
    assert_eq!(came.recv_timeout(LONG).expect("a request").id(), "2", "the first went nowhere");
}

#[test]
fn a_queued_request_is_answered_by_its_deadline() {
    // Its class would queue it for longer than a test waits.
    let balancer = Balancer::start(only_own_times(config(&[])));
    let answer = balancer.ask(post("pay", "1", "", "x").replace("2500", "400"));
    assert_eq!(answer.status(), 503, "it was not executed");
}

#[test]
fn a_request_over_the_limit_of_open_requests_is_rejected() {
    let mut config = config(&[]);
    config["settings"]["PolicyLimits"]["MaxOpen"] = 1.into();
    let balancer = Balancer::start(config);
    let mut first = balancer.client();
    first.write(read("1", ""));
    // Without an upstream the first is queued; the second is over the limit, and is rejected at once.
    eventually("the second is turned away", || {
        let start = Instant::now();
        let answer = balancer.ask(read("2", ""));
        assert_eq!(answer.status(), 503);
        start.elapsed() < Duration::from_millis(300)
    });
    assert_eq!(first.message().expect("an answer").status(), 503);
}

#[test]
fn a_client_that_disconnects_leaks_nothing() {
    let (upstream, came) = Peer::upstream(|_, message, conn| {
        if message.id().starts_with('s') {
            return !conn.ends_within(LONG); // says nothing
        }
        conn.write(ok(message.id()));
        true
    });
    let balancer = Balancer::before(&[&upstream]);
    let before = balancer.descriptors();
    for round in 0..20 {
        for request in [
            "GET /re".to_string(),
            post("pay", "p", "", "abc").trim_end_matches('c').to_string(),
            read(&format!("s{round}"), "").replace("2500", "300"),
        ] {
            let mut client = balancer.client();
            let whole = request.ends_with("\r\n\r\n");
            client.write(request);
            // Sometimes it disconnects while its request is in flight, sometimes before or meanwhile.
            if whole && round % 5 == 0 {
                let id = format!("s{round}");
                assert!(came.iter().any(|m| m.id() == id));
            }
            if round % 2 == 0 {
                client.reset();
            }
        }
    }
    // One connection may be idle to the upstream, one leads to discovery.
    eventually("descriptors return", || balancer.descriptors() <= before + 2);
    // A slot that leaked would stay in use.
    eventually("all slots are free", || {
        (0..10).all(|_| balancer.ask(read("9", "")).status() == 200)
    });
}
