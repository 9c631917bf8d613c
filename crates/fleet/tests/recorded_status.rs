//! The status in JSON, key by key and value by value, as an earlier build has written it: operators' scripts and
//! `sableloom fleet` of another version read it.

use std::net::SocketAddr;

use sableloom_capacity_share::Timing;
use sableloom_fleet::{FleetMember, MemberSettings, Output, Status};
use sableloom_membership::{
    Body, ListedMember, MAX_PAGE_BYTES, MemberList, MemberState, Message,
    Timing as MembershipTiming, Update, decode, encode, key_of,
};
use sableloom_types::Time;

/// Lines of a name and the JSON, written by commit c6abd24.
const RECORDED: &str = include_str!("data/status.txt");

const SECOND: i64 = 1_000_000;
const LIFE: u32 = 710_000;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 7000))
}

/// Member `a` of a list, and its nonce.
struct Member {
    core: FleetMember,
    nonce: u32,
}

impl Member {
    fn start(names: &[&str]) -> Self {
        let listed = |(number, name): (usize, &&str)| ListedMember {
            name: name.to_string(),
            address: address(number as u8 + 1),
        };
        let list = MemberList::new(names.iter().enumerate().map(listed));
        let settings = MemberSettings {
            fleet_name: "points".to_string(),
            own_name: "a".to_string(),
            membership_timing: MembershipTiming::default(),
            share_timing: Timing::default(),
        };
        let mut core = FleetMember::new(&settings, LIFE, list, 42, Time(0));
        let mut out = Output::default();
        core.start(Time(0), &mut out);
        let (_, first) = out.datagrams.first().expect("all others are probed");
        let nonce = decode(first).expect("a message").nonce;
        core.set_endpoints_digest(0x1234_abcd);
        Self { core, nonce }
    }

    fn receives(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        self.core.receive(now, from, bytes, &mut Output::default());
    }

    /// The member at this place of the list says something to this process.
    fn hears(&mut self, now: Time, number: u8, name: &str, updates: Vec<Update>) {
        let message = Message {
            fleet: key_of("points"),
            sender: key_of(name),
            process_incarnation: LIFE + u32::from(number),
            incarnation: 0,
            nonce: 99,
            receiver_nonce: self.nonce,
            view_digest: 7,
            list_length: 8,
            endpoints_digest: 0xcafe_f00d,
            body: Body::Nack { seq: 0 },
            updates,
        };
        self.receives(now, address(number), &encode(&message).0);
    }

    fn json(&self, now: Time) -> String {
        let status = Status::of(&self.core, "points", "a", now);
        serde_json::to_string(&status).expect("a status")
    }
}

fn update(of: &str, state: MemberState, life: u32) -> Update {
    Update {
        member: key_of(of),
        process_incarnation: life,
        incarnation: 0,
        state,
        reported_by: key_of("b"),
    }
}

/// Datagrams that are dropped: one of each reason, but that so many more are malformed.
fn drops(member: &mut Member, now: Time) {
    let message = |fleet: &str, from: &str, echo: u32| {
        let (fleet, from, body) = (key_of(fleet), key_of(from), Body::Leave);
        let message = Message {
            fleet,
            sender: from,
            process_incarnation: 1,
            incarnation: 0,
            nonce: 1,
            receiver_nonce: echo,
            view_digest: 0,
            list_length: 1,
            endpoints_digest: 0,
            body,
            updates: Vec::new(),
        };
        encode(&message).0
    };
    member.receives(now, address(2), &[2; MAX_PAGE_BYTES + 1]);
    member.receives(now, address(2), &[9, 9]);
    member.receives(now, address(2), &[2, 9]);
    member.receives(now, address(2), &[2]);
    member.receives(now, address(2), &message("other", "b", 1));
    member.receives(now, address(99), &message("points", "b", 1));
    member.receives(now, address(2), &message("points", "c", 1));
    member.receives(now, address(2), &message("points", "b", member.nonce ^ 1));
}

/// A status of each state of members, of the member itself and of its share, by name.
fn statuses() -> Vec<(&'static str, String)> {
    let mut found = Vec::new();
    let mut member = Member::start(&["a", "b", "c", "d", "e", "f"]);
    found.push(("alone", member.json(Time(SECOND / 10))));
    let now = Time(SECOND / 5);
    let updates = vec![
        update("c", MemberState::Suspect, 5),
        update("d", MemberState::Dead, 6),
        update("e", MemberState::Left, 7),
    ];
    member.hears(now, 2, "b", updates);
    drops(&mut member, now);
    found.push(("part_waits", member.json(Time(SECOND / 2))));
    member.core.tick(Time(5 * SECOND), &mut Output::default());
    found.push(("just_woken", member.json(Time(5 * SECOND + 1000))));

    let mut pair = Member::start(&["a", "b", "c"]);
    pair.hears(now, 2, "b", Vec::new());
    pair.hears(now, 3, "c", Vec::new());
    found.push(("whole_shares", pair.json(Time(SECOND / 2))));
    let asked = Time(now.0 + 1000);
    pair.core.proved_absent(Time(now.0 + 2000), key_of("c"), asked, &mut Output::default());
    found.push(("absent", pair.json(Time(SECOND / 2))));
    let twins = [LIFE + 1, LIFE + 9, LIFE + 90];
    for life in twins {
        pair.hears(Time(SECOND / 2), 2, "b", vec![update("a", MemberState::Alive, life)]);
    }
    found.push(("twin", pair.json(Time(SECOND))));
    found
}

#[test]
fn status_keeps_its_keys_and_values() {
    let written: String =
        statuses().iter().map(|(name, json)| format!("{name} {json}\n")).collect();
    assert_eq!(written, RECORDED);
}

#[test]
fn recorded_status_reads_back_to_the_same_json() {
    for line in RECORDED.lines() {
        let (name, json) = line.split_once(' ').expect("a name and JSON");
        let status: Status = serde_json::from_str(json).expect(name);
        assert_eq!(serde_json::to_string(&status).expect("a status"), json, "{name}");
    }
}
