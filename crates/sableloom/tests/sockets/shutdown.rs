//! SIGTERM: no accepted request is lost, and the process exits cleanly.

use std::time::{Duration, Instant};

use sableloom_testkit::{Balancer, LONG, Message, Peer, ok, post, read};

/// An upstream that answers when the test says so.
fn waiting() -> (Peer, std::sync::mpsc::Receiver<Message>, std::sync::mpsc::Sender<()>) {
    let (go, wait) = std::sync::mpsc::channel();
    let wait = std::sync::Mutex::new(wait);
    let (told, came) = std::sync::mpsc::channel();
    let told = std::sync::Mutex::new(told);
    let peer = Peer::start(move |_, mut conn| {
        while let Some(message) = conn.message() {
            let body = message.id().to_string();
            let _ = told.lock().expect("unpoisoned").send(message);
            let _ = wait.lock().expect("unpoisoned").recv();
            conn.write(ok(&body));
        }
    });
    (peer, came, go)
}

#[test]
fn accepted_requests_are_answered_and_idle_connections_closed_at_sigterm() {
    let (upstream, came, go) = waiting();
    let mut balancer = Balancer::before(&[&upstream]);
    let mut idle = balancer.client();
    idle.write("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(idle.message().expect("an answer").status(), 200);
    let mut busy = balancer.client();
    busy.write(post("pay", "1", "", "x"));
    came.recv_timeout(LONG).expect("a request");
    let mut unread = balancer.client();
    balancer.terminate();
    idle.await_end();
    // Connections and requests still come for a while.
    let mut late = balancer.client();
    late.write("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
    let up = late.message().expect("an answer");
    assert_eq!((up.status(), up.header("connection")), (503, Some("close")));
    unread.write(read("2", ""));
    for _ in 0..2 {
        let _ = go.send(());
    }
    for client in [&mut busy, &mut unread] {
        let answer = client.message().expect("an answer");
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        client.await_end();
    }
    assert_eq!(balancer.await_exit(), Some(0));
}

#[test]
fn the_process_ends_in_time_whatever_is_open() {
    // One upstream never answers; a client never finishes its request.
    let upstream = Peer::start(|_, mut conn| {
        conn.message();
        conn.await_end();
    });
    let mut balancer = Balancer::before(&[&upstream]);
    let mut half = balancer.client();
    half.write("GET /re");
    let mut busy = balancer.client();
    busy.write(post("pay", "1", "", "x"));
    let start = Instant::now();
    balancer.terminate();
    assert_eq!(busy.message().expect("an answer").status(), 502);
    assert_eq!(balancer.await_exit(), Some(0));
    assert!(start.elapsed() < Duration::from_millis(3000 + 700), "{:?}", start.elapsed());
}
