//! Peers that do not read, send what is no message, or open too many connections.

use std::io::{Read, Write};
use std::net::TcpStream;

use sableloom_distribution::{
    MAX_FRAME_BYTES, PROTOCOL_VERSION, Position, ServiceName, ServiceVersion, SubscriberMessage,
    SubscriberName, encode,
};
use sableloom_testkit::{PROCESS_TIMEOUT, eventually};

use crate::machine::{Folder, control, pool, server};
use crate::{follow, heavy, points};

/// Hello and scope of a subscriber that has nothing.
fn greeting(name: &str, service: &str) -> Vec<u8> {
    let subscriber = SubscriberName::try_from(name).expect("a name");
    let service = ServiceName::try_from(service).expect("a name");
    let hello = SubscriberMessage::Hello { subscriber, position: Position::default() };
    let add = vec![ServiceVersion { service, version: 0, digest: 0 }];
    let scope = SubscriberMessage::Scope {
        generation: 1,
        add,
        remove: vec![],
        rejected: vec![],
        last: true,
    };
    [encode(&hello), encode(&scope)].concat()
}

#[test]
fn a_subscriber_that_never_reads_is_closed_and_delays_no_other() {
    let folder = Folder::new();
    folder.change(1, 1, &[vec![pool("big")], heavy("big", 2500)].concat());
    folder.change(2, 1, &points(0..1));
    let machine = folder.start("stall_ms = 1000");
    let mut deaf = TcpStream::connect(machine.address).expect("a connection");
    deaf.write_all(&greeting("deaf", "big")).expect("it takes a greeting");
    let balancer = follow(&[machine.address], &["points"]);
    balancer.says(&["current 1/2 "]);
    machine.process.says(&["closed: does not read what is sent"]);
    folder.change(3, 1, &[server("points", "points-7", 9007)]);
    balancer.says(&["applied delta points 3 "]);
    assert!(machine.status()["closed"]["stalled"].as_u64() >= Some(1));
}

#[test]
fn malformed_oversized_and_partial_messages_are_counted_and_closed_and_affect_no_other() {
    let folder = Folder::new();
    folder.change(1, 1, &points(0..1));
    let machine = folder.start("silence_ms = 2000");
    let balancer = follow(&[machine.address], &["points"]);
    balancer.says(&["current 1/1 "]);
    let hello = greeting("half", "points");
    let too_long = (MAX_FRAME_BYTES as u32 + 1).to_be_bytes();
    let malformed: [(&str, &[u8], &str); 6] = [
        ("another protocol", b"GET / HTTP/1.1\r\nHost: control\r\n\r\n", "at most"),
        ("too long", &too_long, "at most"),
        ("empty", &[0; 64], "empty frame"),
        ("another version", &[0, 0, 0, 9, 99], "protocol version 99"),
        ("no message", &[0, 0, 0, 4, PROTOCOL_VERSION, 200, 200, 200], "no message"),
        ("garbage after a greeting", &[&hello[..], &[255; 4096]].concat(), "at most"),
    ];
    for (what, bytes, reason) in &malformed {
        let mut client = TcpStream::connect(machine.address).expect("a connection");
        client.write_all(bytes).expect("it takes bytes");
        machine.process.says(&["closed: ", reason]);
        client.set_read_timeout(Some(PROCESS_TIMEOUT)).expect("a time");
        let mut rest = Vec::new();
        client.read_to_end(&mut rest).unwrap_or_else(|e| panic!("{what}: it is closed: {e}"));
        if *what == "another version" {
            // It reads which version is spoken here, and nothing that it must understand for that.
            assert_eq!(rest.get(4), Some(&PROTOCOL_VERSION), "{rest:?}");
        }
    }
    // Half messages: one whose sender goes, one whose sender stays.
    let mut gone = TcpStream::connect(machine.address).expect("a connection");
    gone.write_all(&hello[..hello.len() / 2]).expect("it takes bytes");
    drop(gone);
    let mut stays = TcpStream::connect(machine.address).expect("a connection");
    stays.write_all(&hello[..3]).expect("it takes bytes");
    machine.process.says(&["closed: silent"]);
    let closed = &machine.status()["closed"];
    assert_eq!(closed["violations"], malformed.len());
    assert!(closed["silent"].as_u64() >= Some(1));
    folder.change(2, 1, &[server("points", "points-7", 9007)]);
    balancer.says(&["applied delta points 2 "]);
}

#[test]
fn requests_whose_answers_are_never_read_take_no_memory() {
    let folder = Folder::new();
    folder.change(1, 1, &points(0..1));
    let machine = folder.start("stall_ms = 3600000\nsilence_ms = 3600000");
    let mut client = TcpStream::connect(machine.address).expect("a connection");
    client.write_all(&greeting("asks", "points")).expect("it takes a greeting");
    let before = machine.process.resident_kb();
    let ping = encode(&SubscriberMessage::Ping { sequence: 0 });
    let pings = ping.repeat((64 << 10) / ping.len());
    // More than the system holds for a connection on both sides: the rest was read, and answered in vain.
    for _ in 0..512 {
        client.write_all(&pings).expect("it is read on");
    }
    let balancer = follow(&[machine.address], &["points"]);
    balancer.says(&["current 1/1 "]);
    let grown = machine.process.resident_kb().saturating_sub(before);
    assert!(grown < 8 << 10, "{grown} kB for 32 MB of questions");
}

#[test]
fn connections_beyond_the_limit_are_closed_at_once() {
    let folder = Folder::new();
    folder.change(1, 1, &points(0..1));
    let machine = folder.start("sessions = 1\nsilence_ms = 3600000");
    let beside = sableloom_control::NON_SESSION_CONNECTIONS;
    let connect = |_| TcpStream::connect(machine.address).expect("a connection");
    let held: Vec<_> = (0..1 + beside).map(connect).collect();
    // Connections are taken in their order.
    let mut further = connect(0);
    further.set_read_timeout(Some(PROCESS_TIMEOUT)).expect("a time");
    let ended = further.read(&mut [0; 1]);
    assert!(!matches!(&ended, Ok(1..)) && !timed_out(&ended), "{ended:?}");
    machine.process.says(&["65 connections are open; more are closed"]);
    drop(held);
    eventually("there is room again", || {
        control(&["status", "--at", &machine.address.to_string()]).status.success()
    });
}

fn timed_out(result: &std::io::Result<usize>) -> bool {
    let kind = result.as_ref().err().map(std::io::Error::kind);
    matches!(kind, Some(std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut))
}
