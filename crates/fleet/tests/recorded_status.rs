//! Compares the status in JSON with recorded statuses. Operators' scripts and other versions of `sableloom fleet` read
//! the JSON, so that its keys and values must not change.

use std::net::SocketAddr;

use sableloom_capacity_share::Timing;
use sableloom_fleet::{FleetMember, MemberSettings, Output, Status};
use sableloom_membership::{
    Body, ListedMember, MAX_PAGE_BYTES, MemberList, MemberState, Message,
    Timing as MembershipTiming, Update, decode, encode, key_of,
};
use sableloom_types::Time;

/// The statuses that commit c6abd24 wrote. Each line has the name of a case and the JSON.
const RECORDED: &str = include_str!("data/status.txt");

/// One second in microseconds.
const SECOND: i64 = 1_000_000;
/// The process incarnation with which member `a` starts.
const PROCESS_INCARNATION: u32 = 710_000;

fn address(last_octet: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last_octet], 7000))
}

/// Member `a` of a list, and the nonce of its process.
struct Member {
    fleet_member: FleetMember,
    nonce: u32,
}

impl Member {
    fn start(names: &[&str]) -> Self {
        let listed = |(index, name): (usize, &&str)| ListedMember {
            name: name.to_string(),
            address: address(index as u8 + 1),
        };
        let list = MemberList::new(names.iter().enumerate().map(listed));
        let settings = MemberSettings {
            fleet_name: "points".to_string(),
            own_name: "a".to_string(),
            membership_timing: MembershipTiming::default(),
            share_timing: Timing::default(),
        };
        let mut fleet_member = FleetMember::new(&settings, PROCESS_INCARNATION, list, 42, Time(0));
        let mut output = Output::default();
        fleet_member.start(Time(0), &mut output);
        let (_, first) = output.datagrams.first().expect("all others are probed");
        let nonce = decode(first).expect("a message").nonce;
        fleet_member.set_endpoints_digest(0x1234_abcd);
        Self { fleet_member, nonce }
    }

    fn receive(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        self.fleet_member.receive(now, from, bytes, &mut Output::default());
    }

    /// Passes the member a message from another member, whose address ends with this octet.
    fn receive_message(&mut self, now: Time, last_octet: u8, name: &str, updates: Vec<Update>) {
        let message = Message {
            fleet: key_of("points"),
            sender: key_of(name),
            process_incarnation: PROCESS_INCARNATION + u32::from(last_octet),
            incarnation: 0,
            nonce: 99,
            receiver_nonce: self.nonce,
            view_digest: 7,
            list_length: 8,
            endpoints_digest: 0xcafe_f00d,
            body: Body::Nack { seq: 0 },
            updates,
        };
        self.receive(now, address(last_octet), &encode(&message).0);
    }

    fn json(&self, now: Time) -> String {
        let status = Status::of(&self.fleet_member, "points", "a", now);
        serde_json::to_string(&status).expect("a status")
    }
}

fn update(member: &str, state: MemberState, process_incarnation: u32) -> Update {
    Update {
        member: key_of(member),
        process_incarnation,
        incarnation: 0,
        state,
        reported_by: key_of("b"),
    }
}

/// Passes the member datagrams that are dropped: two malformed ones, and one for each other reason.
fn receive_invalid_datagrams(member: &mut Member, now: Time) {
    let message = |fleet: &str, sender: &str, receiver_nonce: u32| {
        let (fleet, sender, body) = (key_of(fleet), key_of(sender), Body::Leave);
        let message = Message {
            fleet,
            sender,
            process_incarnation: 1,
            incarnation: 0,
            nonce: 1,
            receiver_nonce,
            view_digest: 0,
            list_length: 1,
            endpoints_digest: 0,
            body,
            updates: Vec::new(),
        };
        encode(&message).0
    };
    member.receive(now, address(2), &[2; MAX_PAGE_BYTES + 1]);
    member.receive(now, address(2), &[9, 9]);
    member.receive(now, address(2), &[2, 9]);
    member.receive(now, address(2), &[2]);
    member.receive(now, address(2), &message("other", "b", 1));
    member.receive(now, address(99), &message("points", "b", 1));
    member.receive(now, address(2), &message("points", "c", 1));
    member.receive(now, address(2), &message("points", "b", member.nonce ^ 1));
}

/// Returns named statuses that together contain each state of another member, each reachability and each reason for the
/// size of a share.
fn build_statuses() -> Vec<(&'static str, String)> {
    let mut statuses = Vec::new();
    let mut member = Member::start(&["a", "b", "c", "d", "e", "f"]);
    statuses.push(("alone", member.json(Time(SECOND / 10))));
    let now = Time(SECOND / 5);
    let updates = vec![
        update("c", MemberState::Suspect, 5),
        update("d", MemberState::Dead, 6),
        update("e", MemberState::Left, 7),
    ];
    member.receive_message(now, 2, "b", updates);
    receive_invalid_datagrams(&mut member, now);
    statuses.push(("part_waits", member.json(Time(SECOND / 2))));
    member.fleet_member.tick(Time(5 * SECOND), &mut Output::default());
    statuses.push(("just_woken", member.json(Time(5 * SECOND + 1000))));

    let mut member_of_three = Member::start(&["a", "b", "c"]);
    member_of_three.receive_message(now, 2, "b", Vec::new());
    member_of_three.receive_message(now, 3, "c", Vec::new());
    statuses.push(("whole_shares", member_of_three.json(Time(SECOND / 2))));
    let queried_at = Time(now.0 + 1000);
    member_of_three.fleet_member.proved_absent(
        Time(now.0 + 2000),
        key_of("c"),
        queried_at,
        &mut Output::default(),
    );
    statuses.push(("absent", member_of_three.json(Time(SECOND / 2))));
    let duplicate_incarnations =
        [PROCESS_INCARNATION + 1, PROCESS_INCARNATION + 9, PROCESS_INCARNATION + 90];
    for process_incarnation in duplicate_incarnations {
        member_of_three.receive_message(
            Time(SECOND / 2),
            2,
            "b",
            vec![update("a", MemberState::Alive, process_incarnation)],
        );
    }
    statuses.push(("twin", member_of_three.json(Time(SECOND))));
    statuses
}

#[test]
fn status_json_equals_the_recorded_json() {
    let json_lines: String =
        build_statuses().iter().map(|(name, json)| format!("{name} {json}\n")).collect();
    assert_eq!(json_lines, RECORDED);
}

#[test]
fn recorded_status_reads_back_to_the_same_json() {
    for line in RECORDED.lines() {
        let (name, json) = line.split_once(' ').expect("a name and JSON");
        let status: Status = serde_json::from_str(json).expect(name);
        assert_eq!(serde_json::to_string(&status).expect("a status"), json, "{name}");
    }
}
