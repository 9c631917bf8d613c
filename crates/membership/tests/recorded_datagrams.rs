//! Datagrams as an earlier build has written them: members of two versions talk to each other during a roll-out, so
//! that each is read as the same message and written with the same bytes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sableloom_membership::{
    Body, Fleet, KNOCK, Listed, MemberList, MemberState, Message, Out, Page, Pull, Refused, Times,
    Update, decode, encode, key_of,
};
use sableloom_types::Time;

/// Lines of a name and the bytes in hexadecimal digits, written by the encoder of commit c6abd24.
const RECORDED: &str = include_str!("data/datagrams.txt");

fn update(of: &str, state: MemberState, number: u32) -> Update {
    Update { of: key_of(of), life: 700_000 + number, incarnation: number, state, by: key_of("b") }
}

/// An update of each state.
fn updates() -> Vec<Update> {
    vec![
        update("c", MemberState::Alive, 0),
        update("d", MemberState::Suspect, 1),
        update("e", MemberState::Dead, 200),
        update("f", MemberState::Left, 70_000),
    ]
}

fn message(body: Body, news: Vec<Update>) -> Message {
    Message {
        fleet: key_of("points"),
        from: key_of("b"),
        life: 712_345,
        incarnation: 3,
        nonce: 0xfeed_beef,
        echo: 0x0102_0304,
        digest: 0x8000_0001,
        listed: 7600,
        servers: 0xcafe_f00d,
        body,
        news,
    }
}

/// A message of each kind.
fn messages() -> Vec<(&'static str, Message)> {
    let digests: Vec<u8> = (0..60).map(|number| number * 4 + 1).collect();
    let pull = Pull { seq: 77, from: 0x1234_5678, salt: 0x9abc_def0, bits: 11, digests };
    let first_pull = Pull { seq: 1, from: 0, salt: 5, bits: 0, digests: Vec::new() };
    let entries: Vec<u8> = (0..1000u32).map(|number| (number * 31) as u8).collect();
    let page = Page { seq: 77, until: 0x7fff_ffff, base: 712_345, entries };
    let first =
        Message { echo: 0, digest: 0, listed: 1, servers: 0, ..message(Body::Leave, vec![]) };
    let kinds = [
        ("ping", Body::Ping { seq: 1 }),
        ("ack", Body::Ack { seq: 300 }),
        ("ask", Body::Ask { seq: 70_000, of: key_of("c") }),
        ("answered", Body::Answered { seq: u32::MAX, of: key_of("d") }),
        ("silent", Body::Silent { seq: 0 }),
        ("leave", Body::Leave),
        ("pull", Body::Pull(pull)),
        ("first_pull", Body::Pull(first_pull)),
        ("page", Body::Page(page)),
    ];
    let mut messages: Vec<(&str, Message)> = Vec::new();
    for (name, body) in kinds {
        messages.push((name, message(body, updates())));
    }
    messages.push(("first_ping", Message { body: Body::Ping { seq: 9 }, ..first }));
    messages
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The recorded bytes by name.
fn recorded() -> BTreeMap<&'static str, Vec<u8>> {
    let lines = RECORDED.lines().map(|line| line.split_once(' ').expect("a name and bytes"));
    let byte = |pair: &[u8]| {
        let digits = std::str::from_utf8(pair).expect("digits");
        u8::from_str_radix(digits, 16).expect("two hexadecimal digits")
    };
    lines.map(|(name, digits)| (name, digits.as_bytes().chunks(2).map(byte).collect())).collect()
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 7000))
}

/// What a member answers to this message from `b`.
fn answers(member: &mut Fleet, message: &Message) -> Vec<Vec<u8>> {
    let mut out = Out::default();
    member.datagram(Time(0), address(2), &encode(message).0, &mut out);
    out.datagrams.into_iter().map(|(_, bytes)| bytes).collect()
}

/// The page that a member sends of a table with a member in each state, and the answer to a first ping.
fn page_of_a_member() -> Vec<(&'static str, Vec<u8>)> {
    let listed = |(number, name): (usize, &str)| Listed {
        name: name.to_string(),
        address: address(number as u8 + 1),
    };
    let list = ["a", "b", "c", "d", "e", "f", "g"].into_iter().enumerate().map(listed);
    let list = MemberList::new(list);
    let times = Times::default();
    let mut member = Fleet::new("points", "a", 710_000, list, times, 42, Time(0));
    let first = Message { echo: 0, ..message(Body::Ping { seq: 1 }, Vec::new()) };
    let ack = answers(&mut member, &first).pop().expect("an answer");
    let echo = decode(&ack).expect("a message").nonce;
    let pull = Pull { seq: 2, from: 0, salt: 9, bits: 1, digests: Vec::new() };
    let pull = Message { echo, ..message(Body::Pull(pull), updates()) };
    let page = answers(&mut member, &pull).pop().expect("a page");
    vec![("member_ack", ack), ("member_page", page)]
}

#[test]
fn recorded_datagrams_decode_to_their_messages() {
    let recorded = recorded();
    for (name, message) in messages() {
        assert_eq!(decode(&recorded[name]), Ok(message), "{name}");
    }
    assert_eq!(decode(&recorded["absence_probe"]), Err(Refused::Knock));
}

#[test]
fn messages_encode_to_the_recorded_bytes() {
    let mut written = String::new();
    for (name, message) in messages() {
        let (bytes, updates) = encode(&message);
        assert_eq!(updates, message.news.len(), "{name}");
        written += &format!("{name} {}\n", hexadecimal(&bytes));
    }
    for (name, bytes) in page_of_a_member() {
        written += &format!("{name} {}\n", hexadecimal(&bytes));
    }
    written += &format!("absence_probe {}\n", hexadecimal(&KNOCK));
    assert_eq!(written, RECORDED);
}
