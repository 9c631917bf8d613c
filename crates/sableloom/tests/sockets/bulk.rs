//! Large bodies and answers, slow requests, crowds: within the limits, complete or visibly broken.

use std::time::Duration;

use sableloom_testkit::{Balancer, Conn, LONG, Peer, config, eventually, ok, post, read};

/// More than the protocol allows.
const LONG_BODY: usize = 3 << 30;

#[test]
fn an_answer_over_the_size_limit_fails_at_once_and_is_not_passed_on() {
    let (upstream, came) = Peer::upstream(|number, _, conn| {
        let part = "a".repeat(70_000);
        match number {
            // With its length, and more and more bytes.
            0 => {
                conn.write(format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY}\r\n\r\n"));
                for _ in 0..1000 {
                    conn.write(&part);
                }
            }
            // Without a length.
            1 => {
                conn.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                conn.write(format!("11170\r\n{part}\r\n"));
                conn.await_end();
            }
            _ => conn.write(ok("good")),
        }
        number >= 2
    });
    let balancer = Balancer::before(&[&upstream]);
    for id in ["1", "2"] {
        assert_eq!(balancer.ask(post("pay", id, "", "x")).status(), 502);
        assert_eq!(came.recv_timeout(LONG).expect("a request").id(), id);
    }
    assert_eq!(balancer.ask(post("pay", "3", "", "x")).body, b"good");
    assert!(balancer.peak_memory_mb() < 32, "{} MB", balancer.peak_memory_mb());
}

#[test]
fn the_largest_bodies_pass_both_ways() {
    let (upstream, _came) = Peer::upstream(|_, message, conn| {
        conn.write(ok(&String::from_utf8_lossy(&message.body)));
        true
    });
    let mut config = config(&[upstream.address]);
    config["limits"] = serde_json::json!({"cores": 1.0, "memory_mb": 32, "sockets": 256});
    let balancer = Balancer::start(config);
    let body = "b".repeat(64 << 10);
    let mut clients: Vec<_> = (0..60).map(|_| balancer.client()).collect();
    for (i, client) in clients.iter_mut().enumerate() {
        client.write(post("pay", &i.to_string(), "", &body));
    }
    for client in &mut clients {
        let answer = client.message().expect("an answer");
        // Rejected if there is no memory or no slot in time, but never cut off.
        assert!(answer.status() == 503 || answer.body == body.as_bytes(), "{}", answer.line);
    }
    assert!(balancer.peak_memory_mb() < 32, "{} MB", balancer.peak_memory_mb());
    assert_eq!(balancer.ask(post("pay", "z", "", "x")).status(), 200, "the memory is free again");
}

/// A client that is silent, one that sends a part of a request, or one that has sent one request.
fn one_of_a_crowd(balancer: &Balancer, i: usize) -> Conn {
    let mut client = balancer.client();
    match i % 3 {
        0 => {}
        1 => client.write("GET /read HTT"),
        _ => {
            client.write(read(&i.to_string(), ""));
            assert_eq!(client.message().expect("an answer").status(), 200);
        }
    }
    client
}

#[test]
fn silent_clients_and_idle_ones_are_closed_after_their_timeouts() {
    let (upstream, _came) = Peer::serving();
    let balancer = Balancer::before(&[&upstream]);
    let before = balancer.descriptors();
    let mut crowd = Vec::new();
    for i in 0..60 {
        crowd.push(one_of_a_crowd(&balancer, i));
    }
    for client in &mut crowd {
        client.await_end();
    }
    eventually("descriptors return", || balancer.descriptors() <= before + 3);
}

#[test]
fn a_request_that_does_not_end_is_answered_or_closed_in_time() {
    let balancer = Balancer::before(&[]);
    let mut clients: Vec<_> = (0..3).map(|_| balancer.client()).collect();
    let start = std::time::Instant::now();
    clients[0].write("GET /read HTTP/1.1\r\nX-Long: ");
    clients[1].write(post("pay", "1", "", "x").replace("Content-Length: 1", "Content-Length: 9"));
    let big = 60_000_000;
    clients[2].write(
        post("pay", "2", "", "x").replace("Content-Length: 1", &format!("Content-Length: {big}")),
    );
    assert_eq!(clients[2].message().expect("an answer").status(), 413);
    assert_eq!(clients[1].message().expect("an answer").status(), 408);
    clients[0].await_end();
    // It is due within 3 s; the rest is for a slow machine.
    assert!(start.elapsed() < Duration::from_millis(4500), "{:?}", start.elapsed());
}

#[test]
fn the_smallest_limits_of_a_deployment_are_enough() {
    let (upstream, _came) = Peer::serving();
    let mut config = config(&[upstream.address]);
    config["limits"] = serde_json::json!({"cores": 0.2, "memory_mb": 32, "sockets": 256});
    let balancer = Balancer::start(config);
    assert_eq!(balancer.ask(read("1", "")).status(), 200);
    assert!(balancer.peak_memory_mb() < 16, "{} MB", balancer.peak_memory_mb());
}

#[test]
fn a_crowd_does_not_shut_out_other_clients() {
    let (upstream, _came) = Peer::serving();
    let mut config = config(&[upstream.address]);
    config["limits"]["sockets"] = 100.into();
    let balancer = Balancer::start(config);
    let mut crowd = Vec::new();
    for i in 0..300 {
        crowd.push(one_of_a_crowd(&balancer, i));
        assert!(balancer.descriptors() <= 100);
    }
    assert_eq!(balancer.ask(post("pay", "z", "", "x")).status(), 200);
    // The last ones are still connected.
    let last = crowd.last_mut().expect("a client");
    last.write(read("again", ""));
    assert_eq!(last.message().expect("an answer").status(), 200);
}
