//! Compatibility with datagrams of an earlier build. Members of two versions send each other datagrams during a
//! roll-out, so that each recorded datagram must decode to the same message, and each message must encode to the same
//! bytes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sableloom_membership::{
    ABSENCE_QUERY, Body, DropReason, ListedMember, MemberList, MemberState, Membership, Message,
    Output, Page, Pull, Timing, Update, decode, encode, key_of,
};
use sableloom_types::Time;

/// The recorded datagrams. Each line has a name and the bytes in hexadecimal digits, as written by the encoder of
/// commit c6abd24.
const RECORDED: &str = include_str!("data/datagrams.txt");

fn update(member: &str, state: MemberState, offset: u32) -> Update {
    Update {
        member: key_of(member),
        process_incarnation: 700_000 + offset,
        incarnation: offset,
        state,
        reported_by: key_of("b"),
    }
}

/// Returns an update of each state.
fn updates() -> Vec<Update> {
    vec![
        update("c", MemberState::Alive, 0),
        update("d", MemberState::Suspect, 1),
        update("e", MemberState::Dead, 200),
        update("f", MemberState::Left, 70_000),
    ]
}

fn message(body: Body, updates: Vec<Update>) -> Message {
    Message {
        fleet: key_of("points"),
        sender: key_of("b"),
        process_incarnation: 712_345,
        incarnation: 3,
        nonce: 0xfeed_beef,
        receiver_nonce: 0x0102_0304,
        view_digest: 0x8000_0001,
        list_length: 7600,
        endpoints_digest: 0xcafe_f00d,
        body,
        updates,
    }
}

/// Returns a message of each kind, with its name in the recording.
fn messages() -> Vec<(&'static str, Message)> {
    let digests: Vec<u8> = (0..60).map(|number| number * 4 + 1).collect();
    let pull =
        Pull { seq: 77, first_key: 0x1234_5678, salt: 0x9abc_def0, prefix_bits: 11, digests };
    let first_pull = Pull { seq: 1, first_key: 0, salt: 5, prefix_bits: 0, digests: Vec::new() };
    let entries: Vec<u8> = (0..1000u32).map(|number| (number * 31) as u8).collect();
    let page = Page { seq: 77, last_key: 0x7fff_ffff, base_incarnation: 712_345, entries };
    let first_ping = Message {
        receiver_nonce: 0,
        view_digest: 0,
        list_length: 1,
        endpoints_digest: 0,
        ..message(Body::Leave, vec![])
    };
    let kinds = [
        ("ping", Body::Ping { seq: 1 }),
        ("ack", Body::Ack { seq: 300 }),
        ("ping_request", Body::PingRequest { seq: 70_000, target: key_of("c") }),
        ("indirect_ack", Body::IndirectAck { seq: u32::MAX, target: key_of("d") }),
        ("nack", Body::Nack { seq: 0 }),
        ("leave", Body::Leave),
        ("pull", Body::Pull(pull)),
        ("first_pull", Body::Pull(first_pull)),
        ("page", Body::Page(page)),
    ];
    let mut messages: Vec<(&str, Message)> = Vec::new();
    for (name, body) in kinds {
        messages.push((name, message(body, updates())));
    }
    messages.push(("first_ping", Message { body: Body::Ping { seq: 9 }, ..first_ping }));
    messages
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns the recorded bytes by name.
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

/// Returns the datagrams with which a member answers this message from `b`.
fn answers_to(member: &mut Membership, message: &Message) -> Vec<Vec<u8>> {
    let mut out = Output::default();
    member.receive(Time(0), address(2), &encode(message).0, &mut out);
    out.datagrams.into_iter().map(|(_, bytes)| bytes).collect()
}

/// Returns the answer of a member to a first ping, and the page that it sends of a table with a member in each state.
fn recorded_answers_of_a_member() -> Vec<(&'static str, Vec<u8>)> {
    let listed = |(number, name): (usize, &str)| ListedMember {
        name: name.to_string(),
        address: address(number as u8 + 1),
    };
    let list = ["a", "b", "c", "d", "e", "f", "g"].into_iter().enumerate().map(listed);
    let list = MemberList::new(list);
    let timing = Timing::default();
    let mut member = Membership::new("points", "a", 710_000, list, timing, 42, Time(0));
    let first_ping = Message { receiver_nonce: 0, ..message(Body::Ping { seq: 1 }, Vec::new()) };
    let ack = answers_to(&mut member, &first_ping).pop().expect("an answer");
    let nonce = decode(&ack).expect("a message").nonce;
    let pull = Pull { seq: 2, first_key: 0, salt: 9, prefix_bits: 1, digests: Vec::new() };
    let pull = Message { receiver_nonce: nonce, ..message(Body::Pull(pull), updates()) };
    let page = answers_to(&mut member, &pull).pop().expect("a page");
    vec![("member_ack", ack), ("member_page", page)]
}

#[test]
fn recorded_datagrams_decode_to_their_messages() {
    let recorded = recorded();
    for (name, message) in messages() {
        assert_eq!(decode(&recorded[name]), Ok(message), "{name}");
    }
    assert_eq!(decode(&recorded["absence_query"]), Err(DropReason::AbsenceQuery));
}

#[test]
fn messages_encode_to_the_recorded_bytes() {
    let mut encoded = String::new();
    for (name, message) in messages() {
        let (bytes, updates) = encode(&message);
        assert_eq!(updates, message.updates.len(), "{name}");
        encoded += &format!("{name} {}\n", hexadecimal(&bytes));
    }
    for (name, bytes) in recorded_answers_of_a_member() {
        encoded += &format!("{name} {}\n", hexadecimal(&bytes));
    }
    encoded += &format!("absence_query {}\n", hexadecimal(&ABSENCE_QUERY));
    assert_eq!(encoded, RECORDED);
}
