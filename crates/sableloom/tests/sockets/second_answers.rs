//! A server that answers one request twice: the second answer comes some milliseconds late, when the next request
//! may be out on that connection. Nothing in HTTP/1.1 tells it from the answer to that one but the time, so a
//! connection has to rest before a request leaves on it whole.

use std::sync::Mutex;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use sableloom_testkit::{Balancer, LONG, Peer, ok, post, read};

/// For how long a connection shows, after an answer, whether another comes (`RESTED` in crates/http1/src/reuse.rs).
const RESTED: Duration = Duration::from_millis(5);
/// How late the second answers are meant to come.
const LATE: Duration = Duration::from_millis(4);
/// So many of them have to come in time to count.
const WANTED: usize = 30;

/// A server whose second answers to each request come [`LATE`], whatever has come on the connection by then. For
/// each it tells whether it had left within [`RESTED`] of the first: else the balancer owes nothing.
fn answers_twice() -> (Peer, Receiver<bool>) {
    let (told, in_time) = channel();
    let told = Mutex::new(told);
    let peer = Peer::start(move |_, mut conn| {
        while let Some(message) = conn.message() {
            let answered = Instant::now();
            conn.write(ok(message.id()));
            std::thread::sleep(LATE);
            conn.write(ok("the second answer"));
            let _ = told.lock().expect("unpoisoned").send(answered.elapsed() < RESTED);
        }
    });
    (peer, in_time)
}

/// Each request is asked for as soon as the one before it is answered; the second, once a second answer was there
/// to be seen, as safe requests are not slowed down where there are none.
fn none_is_taken_for_the_next(request: impl Fn(&str) -> String) {
    let (upstream, in_time) = answers_twice();
    let balancer = Balancer::before(&[&upstream]);
    let mut client = balancer.client();
    client.write(request("0"));
    assert_eq!(client.message().expect("an answer").body, b"0");
    in_time.recv_timeout(LONG).expect("a second answer");
    client.write(request("1"));
    assert_eq!(client.message().expect("an answer").body, b"1");
    let (mut counted, start) = (0, Instant::now());
    for number in 2.. {
        let id = number.to_string();
        client.write(request(&id));
        let answer = client.message().expect("an answer");
        // Of the request before it.
        if in_time.recv_timeout(LONG).expect("a second answer") {
            assert_eq!(String::from_utf8_lossy(&answer.body), id, "{}", answer.line);
            counted += 1;
        }
        if counted == WANTED {
            return;
        }
        assert!(start.elapsed() < LONG, "too slow a machine: {counted} of {number} count");
    }
}

#[test]
fn a_second_answer_is_not_taken_for_that_to_the_next_safe_request() {
    none_is_taken_for_the_next(|id| read(id, ""));
}

#[test]
fn a_second_answer_is_not_taken_for_that_to_the_next_keyed_request() {
    none_is_taken_for_the_next(|id| post("put", id, &format!("Idempotency-Key: {id}\r\n"), "x"));
}

#[test]
fn a_second_answer_is_not_taken_for_that_to_the_next_unsafe_request() {
    none_is_taken_for_the_next(|id| post("pay", id, "", "x"));
}
