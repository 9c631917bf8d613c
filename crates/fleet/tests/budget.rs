//! Checks the budget for the bytes that a member sends and receives in any second, with the headers of UDP, IP and
//! ICMP, in a fleet with a long list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use sableloom_capacity_share::Timing;
use sableloom_fleet::{FleetMember, MemberSettings, Output};
use sableloom_membership::{
    Body, Change, ListedMember, MAX_BYTES_PER_SECOND, MemberList, Timing as MembershipTiming,
    decode, key_of,
};
use sableloom_simulated_network::{
    HEADER_BYTES, Network, Output as NetworkOutput, Process, SECOND, address_of, host_at,
};
use sableloom_types::Time;

/// The number of members. Their list is longer than a short list, whose members all ping each other.
const MEMBER_COUNT: usize = 600;
/// How many times a second the bytes of each member are read. The seconds that are checked overlap.
const SAMPLES_PER_SECOND: usize = 4;

struct Member {
    fleet_member: FleetMember,
    /// The bytes of datagrams by kind and the number of absence queries, for the message of a failure.
    traffic_by_kind: BTreeMap<&'static str, usize>,
}

impl Member {
    fn call(
        &mut self,
        network_output: &mut NetworkOutput<Change>,
        event: impl FnOnce(&mut FleetMember, &mut Output),
    ) {
        let mut output = Output::default();
        event(&mut self.fleet_member, &mut output);
        for (_, bytes) in &output.datagrams {
            self.count_bytes("sent", bytes);
        }
        *self.traffic_by_kind.entry("absence queries").or_default() += output.absence_queries.len();
        network_output.datagrams.extend(output.datagrams);
        network_output
            .absence_queries
            .extend(output.absence_queries.into_iter().map(|(_, address)| address));
    }

    fn count_bytes(&mut self, direction: &'static str, bytes: &[u8]) {
        let kind = match (direction, decode(bytes).map(|message| message.body)) {
            ("sent", Ok(Body::Pull(_))) => "pulls sent",
            ("sent", Ok(Body::Page(_))) => "pages sent",
            ("sent", _) => "others sent",
            (_, Ok(Body::Pull(_))) => "pulls received",
            (_, Ok(Body::Page(_))) => "pages received",
            _ => "others received",
        };
        *self.traffic_by_kind.entry(kind).or_default() += bytes.len() + HEADER_BYTES;
    }
}

impl Process for Member {
    type Change = Change;

    fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        bytes: &[u8],
        network_output: &mut NetworkOutput<Change>,
    ) {
        self.count_bytes("received", bytes);
        self.call(network_output, |fleet_member, output| {
            fleet_member.receive(now, from, bytes, output)
        });
    }

    fn proved_absent(
        &mut self,
        now: Time,
        address: SocketAddr,
        queried_at: Time,
        network_output: &mut NetworkOutput<Change>,
    ) {
        let Some(i) = host_at(address) else { return };
        self.call(network_output, |fleet_member, output| {
            fleet_member.proved_absent(now, key_of(&name(i)), queried_at, output)
        });
    }

    fn tick(&mut self, now: Time, network_output: &mut NetworkOutput<Change>) {
        self.call(network_output, |fleet_member, output| fleet_member.tick(now, output));
    }

    fn next_wakeup(&self) -> Time {
        self.fleet_member.next_wakeup()
    }
}

fn name(i: usize) -> String {
    format!("b{i}")
}

fn start(network: &mut Network<Member>, i: usize, list: &Arc<MemberList>) {
    network.start(i, |process_incarnation, seed, now| {
        let settings = MemberSettings {
            fleet_name: "points".to_string(),
            own_name: name(i),
            membership_timing: MembershipTiming::default(),
            share_timing: Timing::default(),
        };
        let fleet_member =
            FleetMember::new(&settings, process_incarnation, list.clone(), seed, now);
        Member { fleet_member, traffic_by_kind: BTreeMap::new() }
    });
    network.call(i, |member, now, network_output| {
        member.call(network_output, |fleet_member, output| fleet_member.start(now, output))
    });
}

/// Runs for a number of seconds, and checks that no running member exceeds the budget in any second. A second begins
/// with each sample, four times a second.
fn run_checked(network: &mut Network<Member>, seconds: usize, phase: &str) {
    let sample = |network: &Network<Member>| -> Vec<(u64, BTreeMap<&'static str, usize>)> {
        let traffic_by_kind = |host: &sableloom_simulated_network::Host<Member>| {
            host.process.as_ref().map(|m| m.traffic_by_kind.clone()).unwrap_or_default()
        };
        network.hosts.iter().map(|host| (host.traffic, traffic_by_kind(host))).collect()
    };
    let mut samples = vec![sample(network)];
    let mut max_bytes = 0;
    for _ in 0..seconds * SAMPLES_PER_SECOND {
        let until = network.now + SECOND / SAMPLES_PER_SECOND as i64;
        network.run(until);
        samples.push(sample(network));
        let earlier = &samples[samples.len().saturating_sub(1 + SAMPLES_PER_SECOND)];
        let later = &samples[samples.len() - 1];
        for (i, (earlier, later)) in earlier.iter().zip(later).enumerate() {
            let bytes = later.0 - earlier.0;
            max_bytes = max_bytes.max(bytes);
            let running = network.hosts[i].process.is_some();
            assert!(
                !running || bytes <= MAX_BYTES_PER_SECOND as u64,
                "{phase}: member {i} had {bytes} bytes in the second before {} us; its traffic was {:?} at the \
                 start and {:?} at the end",
                network.now,
                earlier.1,
                later.1
            );
        }
    }
    println!("{phase}: {max_bytes} bytes in the worst second");
}

#[test]
fn no_member_exceeds_its_budget_in_any_second() {
    let list = MemberList::new(
        (0..MEMBER_COUNT).map(|i| ListedMember { name: name(i), address: address_of(i) }),
    );
    let mut network: Network<Member> = Network::new(MEMBER_COUNT, 5, 0.01);
    (0..MEMBER_COUNT).for_each(|i| start(&mut network, i, &list));
    run_checked(&mut network, 40, "all start");
    let quarter = MEMBER_COUNT / 4;
    (0..quarter).for_each(|i| network.kill(i));
    run_checked(&mut network, 30, "a quarter dies");
    start(&mut network, 0, &list);
    run_checked(&mut network, 10, "one starts");
    (1..quarter).for_each(|i| start(&mut network, i, &list));
    run_checked(&mut network, 30, "a quarter starts");
    let reaches_all =
        |member: &Member| member.fleet_member.membership().count_reachable() == MEMBER_COUNT - 1;
    let members = network.hosts.iter().filter_map(|host| host.process.as_ref());
    assert_eq!(
        members.filter(|member| reaches_all(member)).count(),
        MEMBER_COUNT,
        "every member reaches all others"
    );
}
