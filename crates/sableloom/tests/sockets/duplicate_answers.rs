//! A server that answers each request twice: the duplicate answer comes some milliseconds late, when the next request may
//! be in flight on that connection. Nothing in HTTP/1.1 but the time tells it from the answer to that one, so a connection
//! has to be idle for a while before a request is written to it completely.

use std::sync::Mutex;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use sableloom_testkit::{Balancer, LONG, Peer, ok, post, read};

/// For this time after an answer a duplicate is detected (the same constant is in crates/http1/src/reuse_guard.rs).
const DUPLICATE_ANSWER_WAIT: Duration = Duration::from_millis(5);
/// The delay of the duplicate answers.
const DELAY: Duration = Duration::from_millis(4);
/// This many of them have to come in time.
const WANTED: usize = 30;

/// A server that answers each request a second time after [`DELAY`], whatever has come on the connection by then. For each
/// duplicate it reports whether it was sent within [`DUPLICATE_ANSWER_WAIT`] of the first answer: else it need not be
/// detected.
fn duplicating_upstream() -> (Peer, Receiver<bool>) {
    let (sent, in_time) = channel();
    let sent = Mutex::new(sent);
    let peer = Peer::start(move |_, mut conn| {
        while let Some(message) = conn.message() {
            let answered = Instant::now();
            conn.write(ok(message.id()));
            std::thread::sleep(DELAY);
            conn.write(ok("the duplicate answer"));
            let _ =
                sent.lock().expect("unpoisoned").send(answered.elapsed() < DUPLICATE_ANSWER_WAIT);
        }
    });
    (peer, in_time)
}

/// Each request is sent as soon as the one before it is answered; the second, once a duplicate was sent that can be
/// detected, as idempotent requests are not held back without one.
fn no_duplicate_is_passed_on(request: impl Fn(&str) -> String) {
    let (upstream, in_time) = duplicating_upstream();
    let balancer = Balancer::before(&[&upstream]);
    let mut client = balancer.client();
    client.write(request("0"));
    assert_eq!(client.message().expect("an answer").body, b"0");
    in_time.recv_timeout(LONG).expect("a duplicate answer");
    client.write(request("1"));
    assert_eq!(client.message().expect("an answer").body, b"1");
    let (mut counted, start) = (0, Instant::now());
    for number in 2.. {
        let id = number.to_string();
        client.write(request(&id));
        let answer = client.message().expect("an answer");
        // The duplicate of the request before it.
        if in_time.recv_timeout(LONG).expect("a duplicate answer") {
            assert_eq!(String::from_utf8_lossy(&answer.body), id, "{}", answer.line);
            counted += 1;
        }
        if counted == WANTED {
            return;
        }
        assert!(
            start.elapsed() < LONG,
            "the machine is too slow: {counted} of {number} were in time"
        );
    }
}

#[test]
fn a_duplicate_answer_is_not_passed_on_for_the_next_idempotent_request() {
    no_duplicate_is_passed_on(|id| read(id, ""));
}

#[test]
fn a_duplicate_answer_is_not_passed_on_for_the_next_keyed_request() {
    no_duplicate_is_passed_on(|id| post("put", id, &format!("Idempotency-Key: {id}\r\n"), "x"));
}

#[test]
fn a_duplicate_answer_is_not_passed_on_for_the_next_non_idempotent_request() {
    no_duplicate_is_passed_on(|id| post("pay", id, "", "x"));
}
