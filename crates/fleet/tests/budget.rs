//! Bytes that a member sends and receives in its worst second, with the headers of UDP, IP and ICMP, in a fleet with a
//! long list.

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

/// Longer than a short list, whose members all ping one another.
const MEMBERS: usize = 600;
/// How often in a second a member's bytes are looked at.
const QUARTERS: usize = 4;

struct Member {
    core: FleetMember,
    /// Bytes by kind, for the report of a failure.
    kinds: BTreeMap<&'static str, usize>,
}

impl Member {
    fn call(
        &mut self,
        sent: &mut NetworkOutput<Change>,
        what: impl FnOnce(&mut FleetMember, &mut Output),
    ) {
        let mut out = Output::default();
        what(&mut self.core, &mut out);
        for (_, bytes) in &out.datagrams {
            self.count("sent", bytes);
        }
        *self.kinds.entry("absence queries").or_default() += out.absence_queries.len();
        sent.datagrams.extend(out.datagrams);
        sent.absence_queries.extend(out.absence_queries.into_iter().map(|(_, at)| at));
    }

    fn count(&mut self, way: &'static str, bytes: &[u8]) {
        let kind = match (way, decode(bytes).map(|message| message.body)) {
            ("sent", Ok(Body::Pull(_))) => "pulls sent",
            ("sent", Ok(Body::Page(_))) => "pages sent",
            ("sent", _) => "others sent",
            (_, Ok(Body::Pull(_))) => "pulls received",
            (_, Ok(Body::Page(_))) => "pages received",
            _ => "others received",
        };
        *self.kinds.entry(kind).or_default() += bytes.len() + HEADER_BYTES;
    }
}

impl Process for Member {
    type Change = Change;

    fn receive(
        &mut self,
        now: Time,
        from: SocketAddr,
        bytes: &[u8],
        sent: &mut NetworkOutput<Change>,
    ) {
        self.count("received", bytes);
        self.call(sent, |core, out| core.receive(now, from, bytes, out));
    }

    fn proved_absent(
        &mut self,
        now: Time,
        at: SocketAddr,
        queried: Time,
        sent: &mut NetworkOutput<Change>,
    ) {
        let Some(i) = host_at(at) else { return };
        self.call(sent, |core, out| core.proved_absent(now, key_of(&name(i)), queried, out));
    }

    fn tick(&mut self, now: Time, sent: &mut NetworkOutput<Change>) {
        self.call(sent, |core, out| core.tick(now, out));
    }

    fn next_wakeup(&self) -> Time {
        self.core.next_wakeup()
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
        let core = FleetMember::new(&settings, process_incarnation, list.clone(), seed, now);
        Member { core, kinds: BTreeMap::new() }
    });
    network.call(i, |member, now, sent| member.call(sent, |core, out| core.start(now, out)));
}

/// Runs for so many seconds, in none of which any member may have more bytes than the budget; a second begins each
/// quarter of one.
fn run(network: &mut Network<Member>, seconds: usize, phase: &str) {
    let traffic = |network: &Network<Member>| -> Vec<(u64, BTreeMap<&'static str, usize>)> {
        let kinds = |p: &sableloom_simulated_network::Host<Member>| {
            p.process.as_ref().map(|m| m.kinds.clone()).unwrap_or_default()
        };
        network.hosts.iter().map(|p| (p.traffic, kinds(p))).collect()
    };
    let mut samples = vec![traffic(network)];
    let mut worst = 0;
    for _ in 0..seconds * QUARTERS {
        let until = network.now + SECOND / QUARTERS as i64;
        network.run(until);
        samples.push(traffic(network));
        let from = &samples[samples.len().saturating_sub(1 + QUARTERS)];
        let to = &samples[samples.len() - 1];
        for (i, (from, to)) in from.iter().zip(to).enumerate() {
            let bytes = to.0 - from.0;
            worst = worst.max(bytes);
            let running = network.hosts[i].process.is_some();
            assert!(
                !running || bytes <= MAX_BYTES_PER_SECOND as u64,
                "{phase}: {bytes} bytes of {i} in the second to {} us, from {:?} to {:?}",
                network.now,
                from.1,
                to.1
            );
        }
    }
    println!("{phase}: {worst} bytes in the worst second");
}

#[test]
fn no_member_exceeds_its_budget_in_any_second() {
    let list = MemberList::new(
        (0..MEMBERS).map(|i| ListedMember { name: name(i), address: address_of(i) }),
    );
    let mut network: Network<Member> = Network::new(MEMBERS, 5, 0.01);
    (0..MEMBERS).for_each(|i| start(&mut network, i, &list));
    run(&mut network, 40, "all start");
    let quarter = MEMBERS / 4;
    (0..quarter).for_each(|i| network.kill(i));
    run(&mut network, 30, "a quarter dies");
    start(&mut network, 0, &list);
    run(&mut network, 10, "one starts");
    (1..quarter).for_each(|i| start(&mut network, i, &list));
    run(&mut network, 30, "a quarter starts");
    let knows_all = |member: &Member| member.core.membership().count_reachable() == MEMBERS - 1;
    let members = network.hosts.iter().filter_map(|place| place.process.as_ref());
    assert_eq!(members.filter(|member| knows_all(member)).count(), MEMBERS, "all know all");
}
