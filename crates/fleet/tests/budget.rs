//! What a member sends and receives in its worst second, with the headers of UDP, IP and ICMP, whatever happens in a
//! fleet whose list is too long for all to call all.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use sableloom_capacity_share::Timing;
use sableloom_fleet::{FleetMember, MemberSettings, Output};
use sableloom_membership::{
    Body, Change, ListedMember, MAX_BYTES_PER_SECOND, MemberList, Timing as MembershipTiming,
    decode, key_of,
};
use sableloom_simulated_network::{HEADERS, Net, Process, S, Sent, address, place};
use sableloom_types::Time;

/// Longer than the lists whose members all call one another.
const MEMBERS: usize = 600;
/// How often in a second a member's bytes are looked at.
const QUARTERS: usize = 4;

struct Member {
    core: FleetMember,
    /// Bytes by kind, for the report of a failure.
    kinds: BTreeMap<&'static str, usize>,
}

impl Member {
    fn call(&mut self, sent: &mut Sent<Change>, what: impl FnOnce(&mut FleetMember, &mut Output)) {
        let mut out = Output::default();
        what(&mut self.core, &mut out);
        for (_, bytes) in &out.datagrams {
            self.count("sent", bytes);
        }
        *self.kinds.entry("questions").or_default() += out.absence_queries.len();
        sent.datagrams.extend(out.datagrams);
        sent.knocks.extend(out.absence_queries.into_iter().map(|(_, at)| at));
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
        *self.kinds.entry(kind).or_default() += bytes.len() + HEADERS;
    }
}

impl Process for Member {
    type Change = Change;

    fn datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8], sent: &mut Sent<Change>) {
        self.count("received", bytes);
        self.call(sent, |core, out| core.receive(now, from, bytes, out));
    }

    fn refused(&mut self, now: Time, at: SocketAddr, asked: Time, sent: &mut Sent<Change>) {
        let Some(i) = place(at) else { return };
        self.call(sent, |core, out| core.proved_absent(now, key_of(&name(i)), asked, out));
    }

    fn tick(&mut self, now: Time, sent: &mut Sent<Change>) {
        self.call(sent, |core, out| core.tick(now, out));
    }

    fn next(&self) -> Time {
        self.core.next_wakeup()
    }
}

fn name(i: usize) -> String {
    format!("b{i}")
}

fn start(net: &mut Net<Member>, i: usize, list: &Arc<MemberList>) {
    net.start(i, |life, seed, now| {
        let settings = MemberSettings {
            fleet: "points".to_string(),
            own: name(i),
            membership: MembershipTiming::default(),
            share: Timing::default(),
        };
        let core = FleetMember::new(&settings, life, list.clone(), seed, now);
        Member { core, kinds: BTreeMap::new() }
    });
    net.call(i, |member, now, sent| member.call(sent, |core, out| core.start(now, out)));
}

/// Runs for so many seconds, in none of which any member may have more bytes than the budget; a second begins each
/// quarter of one.
fn run(net: &mut Net<Member>, seconds: usize, phase: &str) {
    let traffic = |net: &Net<Member>| -> Vec<(u64, BTreeMap<&'static str, usize>)> {
        let kinds = |p: &sableloom_simulated_network::Place<Member>| {
            p.process.as_ref().map(|m| m.kinds.clone()).unwrap_or_default()
        };
        net.places.iter().map(|p| (p.traffic, kinds(p))).collect()
    };
    let mut samples = vec![traffic(net)];
    let mut worst = 0;
    for _ in 0..seconds * QUARTERS {
        let until = net.now + S / QUARTERS as i64;
        net.run(until);
        samples.push(traffic(net));
        let from = &samples[samples.len().saturating_sub(1 + QUARTERS)];
        let to = &samples[samples.len() - 1];
        for (i, (from, to)) in from.iter().zip(to).enumerate() {
            let bytes = to.0 - from.0;
            worst = worst.max(bytes);
            let running = net.places[i].process.is_some();
            assert!(
                !running || bytes <= MAX_BYTES_PER_SECOND as u64,
                "{phase}: {bytes} bytes of {i} in the second to {} us, from {:?} to {:?}",
                net.now,
                from.1,
                to.1
            );
        }
    }
    println!("{phase}: {worst} bytes in the worst second");
}

#[test]
fn no_member_has_more_than_its_budget_in_any_second() {
    let list =
        MemberList::new((0..MEMBERS).map(|i| ListedMember { name: name(i), address: address(i) }));
    let mut net: Net<Member> = Net::new(MEMBERS, 5, 0.01);
    (0..MEMBERS).for_each(|i| start(&mut net, i, &list));
    run(&mut net, 40, "all start");
    let quarter = MEMBERS / 4;
    (0..quarter).for_each(|i| net.kill(i));
    run(&mut net, 30, "a quarter dies");
    start(&mut net, 0, &list);
    run(&mut net, 10, "one starts");
    (1..quarter).for_each(|i| start(&mut net, i, &list));
    run(&mut net, 30, "a quarter starts");
    let knows_all = |member: &Member| member.core.membership().count_reachable() == MEMBERS - 1;
    let members = net.places.iter().filter_map(|place| place.process.as_ref());
    assert_eq!(members.filter(|member| knows_all(member)).count(), MEMBERS, "all know all");
}
