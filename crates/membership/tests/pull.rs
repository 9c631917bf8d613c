//! Tests of anti-entropy, which pulls member tables page by page: which pages have an effect, members that die while
//! they serve a pull, lists that differ, and thousands of schedules in which views agree by pulls alone.

mod sim;

use std::net::SocketAddr;

use sableloom_membership::{
    Body, ListedMember, MemberList, MemberState, Membership, Message, Output, Page, Pull, Timing,
    Update, decode, encode, key_of,
};
use sableloom_simulated_network::{address_of, for_each_seed};
use sableloom_types::{Span, Time};

use sim::{MILLISECOND, SECOND, Sim};

/// The length of the lists. A table of this length takes several pages.
const LIST_LENGTH: usize = 600;

/// Returns the indexes of the members that send no messages themselves. Members 0 to 3 do.
fn others() -> std::ops::Range<usize> {
    4..LIST_LENGTH
}

/// The default probe interval, in microseconds.
const PROBE_INTERVAL: i64 = 200 * MILLISECOND;
/// When pulls begin. This is over a second after all updates before them, so that the budget leaves space for pages.
const PULL_START: Time = Time(10 * SECOND);

fn name(i: usize) -> String {
    format!("m{i}")
}

fn member(own: usize, list_length: usize) -> Membership {
    let list = MemberList::new(
        (0..list_length).map(|i| ListedMember { name: name(i), address: address_of(i) }),
    );
    // The updates before the pull must not worsen the member's local health.
    let timing = Timing { local_health_enabled: false, ..Timing::default() };
    Membership::new("points", &name(own), 9, list, timing, own as u64 + 1, Time(0))
}

/// Takes all datagrams from `out`, and returns the messages to host `at`.
fn messages_to(out: &mut Output, at: usize) -> Vec<Message> {
    let is_addressed = |(to, _): &(SocketAddr, Vec<u8>)| *to == address_of(at);
    let datagrams: Vec<_> = std::mem::take(&mut out.datagrams);
    datagrams
        .iter()
        .filter(|sent| is_addressed(sent))
        .map(|(_, bytes)| decode(bytes).expect("a valid datagram"))
        .collect()
}

fn deliver(membership: &mut Membership, now: Time, from: usize, message: &Message) -> Output {
    let mut out = Output::default();
    membership.receive(now, address_of(from), &encode(message).0, &mut out);
    out
}

/// Returns a member with a view in which all others are alive with this process incarnation, by updates from one of
/// them.
fn member_with_full_view(own: usize, process_incarnation: u32) -> Membership {
    let mut membership = member(own, LIST_LENGTH);
    let sender = 3;
    let mut out = Output::default();
    membership.ping(key_of(&name(sender)), &mut out);
    let nonce = messages_to(&mut out, sender)[0].nonce;
    for chunk in others().collect::<Vec<_>>().chunks(8) {
        let alive = |i: &usize| Update {
            member: key_of(&name(*i)),
            process_incarnation,
            incarnation: 0,
            state: MemberState::Alive,
            reported_by: key_of(&name(sender)),
        };
        let message = Message {
            fleet: key_of("points"),
            sender: key_of(&name(sender)),
            process_incarnation: 9,
            incarnation: 0,
            nonce: 77,
            receiver_nonce: nonce,
            view_digest: 0,
            list_length: LIST_LENGTH as u16,
            endpoints_digest: 0,
            body: Body::Leave,
            updates: chunk.iter().map(alive).collect(),
        };
        deliver(&mut membership, Time(0), sender, &message);
    }
    assert!(membership.count_reachable() >= others().len());
    membership
}

/// Makes `first` ping `second`, which answers. Returns the pull request that `first` then sends.
fn start_pull(
    first: &mut Membership,
    second: &mut Membership,
    second_index: usize,
    now: Time,
) -> Message {
    let mut out = Output::default();
    first.ping(key_of(&name(second_index)), &mut out);
    let ping = messages_to(&mut out, second_index).remove(0);
    let answer = messages_to(&mut deliver(second, now, 0, &ping), 0).remove(0);
    let mut output = deliver(first, now, second_index, &answer);
    let requests = messages_to(&mut output, second_index);
    requests.into_iter().find(|m| matches!(m.body, Body::Pull(_))).expect("a pull request")
}

fn page_of(message: &Message) -> Page {
    match &message.body {
        Body::Page(page) => page.clone(),
        other => panic!("not a page: {other:?}"),
    }
}

fn pull_of(message: &Message) -> Pull {
    match &message.body {
        Body::Pull(pull) => pull.clone(),
        other => panic!("not a pull request: {other:?}"),
    }
}

/// Exchanges the messages of both, with the timer of `first`, until `first` has recorded all members as reachable.
fn complete_pull(
    first: &mut Membership,
    second: &mut Membership,
    second_index: usize,
    mut request: Message,
    mut now: Time,
) {
    for _ in 0..100 {
        let answer = messages_to(&mut deliver(second, now, 0, &request), 0).remove(0);
        let mut out = deliver(first, now, second_index, &answer);
        while out.datagrams.is_empty() {
            if first.count_reachable() >= others().len() {
                return;
            }
            now = now.plus(Span(PROBE_INTERVAL / 2));
            first.tick(now, &mut out);
            out.datagrams
                .retain(|(_, bytes)| decode(bytes).is_ok_and(|m| matches!(m.body, Body::Pull(_))));
        }
        request = messages_to(&mut out, second_index).remove(0);
    }
    panic!("the pull does not end");
}

/// Returns the next request for a page to host `at`, and when it is sent.
fn next_pull(membership: &mut Membership, at: usize, mut now: Time) -> (Message, Time) {
    for _ in 0..30 {
        now = now.plus(Span(PROBE_INTERVAL / 2));
        let mut out = Output::default();
        membership.tick(now, &mut out);
        let request =
            messages_to(&mut out, at).into_iter().find(|m| matches!(m.body, Body::Pull(_)));
        if let Some(request) = request {
            return (request, now);
        }
    }
    panic!("no page is requested");
}

/// After its start, a process pulls the whole table from the first member that answers. No entry counts as a message
/// from its member, and none is sent on as gossip.
#[test]
fn a_starting_process_pulls_the_table_of_the_first_responder() {
    let (mut a, mut b) = (member(0, LIST_LENGTH), member_with_full_view(1, 5));
    let request = start_pull(&mut a, &mut b, 1, PULL_START);
    assert!(a.count_reachable() < 30, "only the updates in the answer are known");
    complete_pull(&mut a, &mut b, 1, request, PULL_START);
    for i in others() {
        let known = a.peer(key_of(&name(i))).expect("on the list");
        assert_eq!((known.health.is_reachable(), known.process_incarnation), (true, 5));
        assert_eq!(
            (known.last_message_at, known.nonce),
            (None, 0),
            "no message came from the member itself"
        );
    }
    assert!(a.queued_updates() < 30, "{} updates are queued", a.queued_updates());
    assert!(
        b.peer(key_of(&name(0))).is_some_and(|peer| peer.last_message_at.is_some()),
        "b has received messages from a"
    );
}

/// Late pages, pages from another member than the server, and duplicates have no effect.
#[test]
fn only_the_requested_page_has_an_effect_and_only_once() {
    let (mut a, mut b) = (member(0, LIST_LENGTH), member_with_full_view(1, 5));
    let request = start_pull(&mut a, &mut b, 1, PULL_START);
    let answer = messages_to(&mut deliver(&mut b, PULL_START, 0, &request), 0).remove(0);
    let page = page_of(&answer);
    let page_message = |page: Page| Message { body: Body::Page(page), ..answer.clone() };
    let known = |membership: &Membership| {
        others()
            .filter(|i| {
                membership.peer(key_of(&name(*i))).is_some_and(|peer| peer.process_incarnation == 5)
            })
            .count()
    };
    let (version, known_before) = (a.view_version(), known(&a));
    let late = page_message(Page { seq: page.seq.wrapping_sub(1), ..page.clone() });
    deliver(&mut a, PULL_START, 1, &late);
    let from_other_member = Message { sender: key_of(&name(2)), ..answer.clone() };
    deliver(&mut a, PULL_START, 2, &from_other_member);
    assert_eq!(known(&a), known_before, "neither page has an effect");
    deliver(&mut a, PULL_START, 1, &answer);
    let known_after_page = known(&a);
    assert!(known_after_page > 100, "{known_after_page}");
    assert!(a.view_version() > version);
    let (next, now) = next_pull(&mut a, 1, PULL_START);
    assert_eq!(pull_of(&next).first_key, page.last_key + 1, "the request starts after the page");
    let version = a.view_version();
    let out = deliver(&mut a, now, 1, &answer);
    assert!(a.view_version() == version && out.datagrams.is_empty(), "a duplicate has no effect");
}

/// Makes `first` ping a further member, which answers, while it pulls from the second.
fn exchange_ping(first: &mut Membership, other: &mut Membership, other_index: usize, now: Time) {
    let mut out = Output::default();
    first.ping(key_of(&name(other_index)), &mut out);
    let ping = messages_to(&mut out, other_index).remove(0);
    let answer = messages_to(&mut deliver(other, now, 0, &ping), 0).remove(0);
    let out = deliver(first, now, other_index, &answer);
    assert!(out.datagrams.is_empty(), "one pull at a time");
}

/// A page that is truncated or invalid is discarded completely, and the pull continues with another member.
#[test]
fn an_invalid_page_is_discarded_completely() {
    for defect in 0..3 {
        let (mut a, mut b, mut c) =
            (member(0, LIST_LENGTH), member_with_full_view(1, 5), member_with_full_view(2, 5));
        let request = start_pull(&mut a, &mut b, 1, PULL_START);
        exchange_ping(&mut a, &mut c, 2, PULL_START);
        let answer = messages_to(&mut deliver(&mut b, PULL_START, 0, &request), 0).remove(0);
        let mut page = page_of(&answer);
        match defect {
            0 => page.entries.truncate(page.entries.len() - 1),
            1 => page.last_key = 0,
            // With this base, incarnations are less than 0.
            _ => page.base_incarnation = 0,
        }
        let version = a.view_version();
        deliver(&mut a, PULL_START, 1, &Message { body: Body::Page(page), ..answer });
        assert_eq!(a.view_version(), version, "defect {defect}");
        let (request, _) = next_pull(&mut a, 2, PULL_START);
        assert_eq!(
            pull_of(&request).first_key,
            0,
            "another member receives a request from the first key on"
        );
    }
}

/// If the server of a pull dies after a page, the rest comes from another member, and nothing is requested twice.
#[test]
fn a_server_that_dies_during_a_pull_is_replaced() {
    let (mut a, mut b, mut c) =
        (member(0, LIST_LENGTH), member_with_full_view(1, 5), member_with_full_view(2, 5));
    let request = start_pull(&mut a, &mut b, 1, PULL_START);
    exchange_ping(&mut a, &mut c, 2, PULL_START);
    let answer = messages_to(&mut deliver(&mut b, PULL_START, 0, &request), 0).remove(0);
    let last_covered_key = page_of(&answer).last_key;
    deliver(&mut a, PULL_START, 1, &answer);
    let (request, now) = next_pull(&mut a, 2, PULL_START);
    assert_eq!(pull_of(&request).first_key, last_covered_key + 1);
    // A late page of the dead server has no effect.
    let version = a.view_version();
    deliver(&mut a, now, 1, &answer);
    assert_eq!(a.view_version(), version);
    complete_pull(&mut a, &mut c, 2, request, now);
}

/// A page from before the restarts of members does not replace their later incarnations.
#[test]
fn a_page_with_earlier_process_incarnations_replaces_nothing() {
    let (mut a, mut b) = (member_with_full_view(0, 8), member_with_full_view(1, 5));
    let request = start_pull(&mut a, &mut b, 1, PULL_START);
    let answer = messages_to(&mut deliver(&mut b, PULL_START, 0, &request), 0).remove(0);
    assert!(page_of(&answer).entries.len() > 500, "all entries differ");
    let version = a.view_version();
    deliver(&mut a, PULL_START, 1, &answer);
    assert_eq!(a.view_version(), version);
    assert!(
        others()
            .all(|i| a.peer(key_of(&name(i))).is_some_and(|peer| peer.process_incarnation == 8))
    );
}

/// Members on a page that are not on the receiver's own list are ignored.
#[test]
fn a_page_of_a_longer_list_adds_no_member() {
    let (mut a, mut b) = (member(0, 100), member_with_full_view(1, 5));
    let request = start_pull(&mut a, &mut b, 1, PULL_START);
    let answer = messages_to(&mut deliver(&mut b, PULL_START, 0, &request), 0).remove(0);
    deliver(&mut a, PULL_START, 1, &answer);
    assert!(
        a.count_reachable() > 10 && a.peers().count() == 99,
        "{} are reachable",
        a.count_reachable()
    );
}

/// Starts a member for which every list is long. With an even seed it sends no gossip.
fn start_without_short_list(sim: &mut Sim, i: usize, list_length: usize, seed: u64) {
    let retransmit_factor =
        if seed.is_multiple_of(2) { 0.0 } else { Timing::default().retransmit_factor };
    sim.start_with_timing(
        i,
        list_length,
        Timing { max_short_list: 0, retransmit_factor, ..Timing::default() },
    );
}

/// The maximum time, in microseconds, until all members agree once the network is healed. It is that with short lists,
/// and the longest backoff between two pulls.
const MAX_AGREEMENT_TIME: i64 = 150 * SECOND;

/// Formats the views of all members for a failure message.
fn format_views(sim: &Sim) -> Vec<String> {
    let health = |membership: &Membership| -> Vec<String> {
        membership
            .peers()
            .map(|peer| format!("{:?} {} {}", peer.health, peer.process_incarnation, peer.nonce))
            .collect()
    };
    sim.memberships()
        .map(|(i, membership)| {
            format!("{i} {}: {:?}", membership.process_incarnation(), health(membership))
        })
        .collect()
}

/// Runs nine seconds of loss, late and duplicated datagrams, broken links, suspensions, kills and restarts, some with a
/// shorter list. Then heals the network and checks that all views become correct.
fn run_schedule(seed: u64) {
    let n = 4 + (seed % 9) as usize;
    let mut sim = Sim::new(n, seed, 0.1);
    sim.duplication = 0.2;
    sim.max_delay = [30, 400, 2000][(seed / 9 % 3) as usize] * MILLISECOND;
    (0..n).for_each(|i| start_without_short_list(&mut sim, i, n, seed));
    while sim.now < 9 * SECOND {
        let a = sim.rng.rand_range(0..n as u64) as usize;
        let shorter = n - sim.rng.rand_range(0..2) as usize;
        match sim.rng.rand_range(0..8) {
            0 => sim.kill(a),
            1 => {
                let time = (sim.rng.rand_float() * 5.0 * SECOND as f64) as i64;
                sim.suspend(a, time);
            }
            2 => (0..n).for_each(|i| sim.links[a][i] = false),
            3 => {
                for (i, j) in (0..n * n).map(|ij| (ij / n, ij % n)) {
                    sim.links[i][j] = (i <= a) == (j <= a);
                }
            }
            4 => sim.loss = sim.rng.rand_float() * 0.5,
            5 => sim.heal(),
            _ => start_without_short_list(&mut sim, a, shorter, seed),
        }
        let until = sim.now + (sim.rng.rand_float() * 1.2 * SECOND as f64) as i64;
        sim.run(until);
    }
    sim.heal();
    sim.max_delay = 30 * MILLISECOND;
    // All members get the same list, as a member that is not on a list gets no answer.
    (0..n).for_each(|i| sim.update_list(i, n));
    let end = sim.now + MAX_AGREEMENT_TIME;
    while !sim.views_are_correct() {
        assert!(sim.now < end, "seed {seed}: {n} members do not agree: {:#?}", format_views(&sim));
        let until = sim.now + 100 * MILLISECOND;
        sim.run(until);
    }
}

#[test]
fn pulls_make_views_correct_after_any_schedule() {
    for_each_seed(0..3000, run_schedule);
}

/// Without gossip, members find most others by pulls alone. The views of a fleet whose members all start at once agree
/// within 15 seconds.
#[test]
fn pulls_alone_make_a_starting_fleet_agree() {
    for_each_seed(0..100, |seed| {
        let n = 100;
        let mut sim = Sim::new(n, seed, 0.02);
        (0..n).for_each(|i| start_without_short_list(&mut sim, i, n, 0));
        let agreement_time = sim.run_until_agreed(15 * SECOND);
        assert!(agreement_time.is_some(), "seed {seed}");
    });
}

/// Lists that differ make views differ permanently, and pulls become rare.
#[test]
fn pulls_back_off_where_lists_differ() {
    let n = 8;
    let mut sim = Sim::new(n, 1, 0.02);
    (0..n).for_each(|i| start_without_short_list(&mut sim, i, if i == 0 { n - 1 } else { n }, 1));
    sim.run(120 * SECOND);
    let from = sim.hosts[0].traffic;
    sim.run(180 * SECOND);
    let bytes_per_second = (sim.hosts[0].traffic - from) / 60;
    // The member's probes and their answers are 20 datagrams of about 70 bytes a second.
    assert!(bytes_per_second < 1600, "{bytes_per_second} bytes a second");
}
