//! The client of the requests: what it does where a server closes, and how it sorts failures.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::thread;

use sableloom_scale_test::client::{Client, RequestFailure};

/// A server that gives each connection one of these answers and then closes it; it says when one is closed.
fn server(answers: &'static [&'static str]) -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (send, closed) = channel();
    thread::spawn(move || {
        for answer in answers {
            let (mut connection, _) = listener.accept().expect("a connection");
            let mut request = [0; 1024];
            let read = connection.read(&mut request).expect("a request");
            assert!(request[..read].starts_with(b"GET /x HTTP/1.1"), "{:?}", &request[..read]);
            connection.write_all(answer.as_bytes()).expect("a client that reads");
            drop(connection);
            send.send(()).expect("a test that listens");
        }
    });
    (address, closed)
}

fn on_a_loop(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

const SERVED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

#[test]
fn a_connection_that_was_closed_at_rest_is_not_used_again() {
    let (address, closed) = server(&[SERVED, SERVED]);
    on_a_loop(async {
        let client = Client::new(address);
        assert_eq!(client.request("/x", 1).await, Ok(()));
        closed.recv().expect("the server");
        assert_eq!(client.request("/x", 2).await, Ok(()));
    });
}

#[test]
fn failures_are_sorted_by_how_the_request_ends() {
    const REFUSED: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
    const CUT: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no";
    let (address, _closed) = server(&[REFUSED, CUT, "", "nonsense\r\n\r\n"]);
    on_a_loop(async {
        let client = Client::new(address);
        for failure in [
            RequestFailure::Status(503),
            RequestFailure::AnswerCut,
            RequestFailure::NewConnectionClosed,
            RequestFailure::Malformed,
        ] {
            assert_eq!(client.request("/x", 0).await, Err(failure));
        }
    });
}

#[test]
fn a_server_that_is_not_there_fails_to_connect() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    on_a_loop(async {
        let answered = Client::new(address).request("/x", 0).await;
        assert_eq!(answered, Err(RequestFailure::Connect));
    });
}
