//! Which connections are shed to free memory, and for whom.

use std::net::{IpAddr, Ipv4Addr};

use proptest::prelude::*;
use sableloom_admission::{
    Admission, Arrival, Bounds, ConnectionId, MemoryDecision, MemoryDemand, MemoryRequester,
};
use sableloom_types::{Span, Time};

const MS: i64 = 1000;
const KB: usize = 1 << 10;

fn admission() -> Admission {
    let bounds = Bounds {
        max_connections: 64,
        max_client_connections: 64,
        request_timeout: Span(2400 * MS),
        idle_timeout: Span(2500 * MS),
        write_timeout: Span(3000 * MS),
        max_wait: Span(100 * MS),
        max_retry_after: Span(1000 * MS),
    };
    Admission::new(bounds, Time(0))
}

/// A new connection that takes this much memory.
fn connect(admission: &mut Admission, now: Time, bytes: usize) -> ConnectionId {
    let source = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let Arrival::Admitted(id) = admission.arrive(now, source) else { panic!("no slot") };
    admission.memory_changed(now, id, bytes);
    id
}

/// A connection on which a part of a request has arrived.
fn partial(admission: &mut Admission, now: Time, bytes: usize) -> ConnectionId {
    let id = connect(admission, now, 0);
    admission.bytes_read(now, id);
    admission.memory_changed(now, id, bytes);
    id
}

/// A connection with a complete request.
fn busy(admission: &mut Admission, now: Time, bytes: usize) -> ConnectionId {
    let id = partial(admission, now, bytes);
    admission.request_complete(now, id);
    id
}

/// A connection that was given an answer.
fn idle(admission: &mut Admission, now: Time, bytes: usize) -> ConnectionId {
    let id = busy(admission, now, bytes);
    admission.before_answer(now, id);
    admission.answer_handed_over(now, id, false);
    id
}

/// A connection whose client does not accept its answer.
fn blocked(admission: &mut Admission, now: Time, bytes: usize) -> ConnectionId {
    let id = idle(admission, now, bytes);
    admission.write_blocked(now, id);
    id
}

fn need(
    admission: &mut Admission,
    needed: usize,
    requester: MemoryRequester,
) -> Option<Vec<ConnectionId>> {
    match admission.make_memory_room(MemoryDemand { needed, reserve: 0 }, requester) {
        MemoryDecision::Shed(ids) => Some(ids),
        MemoryDecision::Refuse => None,
    }
}

#[test]
fn the_request_that_has_made_no_progress_for_longest_is_shed_first() {
    let mut admission = admission();
    let first = partial(&mut admission, Time(0), 10 * KB);
    let second = partial(&mut admission, Time(MS), 10 * KB);
    let third = partial(&mut admission, Time(2 * MS), 10 * KB);
    // The first proceeds.
    admission.bytes_read(Time(3 * MS), first);
    admission.memory_changed(Time(3 * MS), first, 12 * KB);
    let shed = need(&mut admission, 15 * KB, MemoryRequester::Attempt);
    assert_eq!(shed, Some(vec![second, third]));
}

/// Guards against clients that send a byte now and then to stay ahead of others.
#[test]
fn bytes_that_need_no_memory_are_no_progress() {
    let mut admission = admission();
    let trickling = partial(&mut admission, Time(0), 10 * KB);
    let other = partial(&mut admission, Time(MS), 10 * KB);
    for ms in 2..50 {
        admission.bytes_read(Time(ms * MS), trickling);
        admission.memory_changed(Time(ms * MS), trickling, 10 * KB);
    }
    let partial = MemoryRequester::PartialRequest;
    assert_eq!(need(&mut admission, KB, partial(trickling)), None, "it is its own turn");
    assert_eq!(need(&mut admission, KB, partial(other)), Some(vec![trickling]));
}

#[test]
fn complete_requests_are_never_shed() {
    let mut admission = admission();
    busy(&mut admission, Time(0), 100 * KB);
    let partial = partial(&mut admission, Time(0), KB);
    let new = connect(&mut admission, Time(0), 0);
    for requester in [
        MemoryRequester::Connection(new),
        MemoryRequester::PartialRequest(partial),
        MemoryRequester::CompleteRequest(new),
        MemoryRequester::Attempt,
    ] {
        assert_eq!(need(&mut admission, 2 * KB, requester), None, "{requester:?}");
    }
}

#[test]
fn idle_connections_are_shed_for_new_ones_and_attempts_the_longest_idle_first() {
    for for_attempt in [false, true] {
        let mut admission = admission();
        let old = idle(&mut admission, Time(0), 10 * KB);
        let young = idle(&mut admission, Time(MS), 10 * KB);
        let new = connect(&mut admission, Time(2 * MS), 0);
        for requester in
            [MemoryRequester::PartialRequest(new), MemoryRequester::CompleteRequest(new)]
        {
            assert_eq!(need(&mut admission, KB, requester), None, "{requester:?}");
        }
        let requester = match for_attempt {
            true => MemoryRequester::Attempt,
            false => MemoryRequester::Connection(new),
        };
        assert_eq!(need(&mut admission, KB, requester), Some(vec![old]));
        // Its bytes may be a complete request.
        admission.bytes_waiting(Time(3 * MS), young);
        assert_eq!(need(&mut admission, 11 * KB, requester), None);
    }
}

#[test]
fn answers_are_cut_off_for_attempts_only_and_last() {
    let mut admission = admission();
    let blocked = blocked(&mut admission, Time(0), 10 * KB);
    let idle = idle(&mut admission, Time(MS), 10 * KB);
    let partial = partial(&mut admission, Time(2 * MS), 10 * KB);
    let new = connect(&mut admission, Time(3 * MS), 0);
    assert_eq!(need(&mut admission, 25 * KB, MemoryRequester::Connection(new)), None);
    let shed = need(&mut admission, 25 * KB, MemoryRequester::Attempt);
    assert_eq!(shed, Some(vec![partial, idle, blocked]));
}

#[test]
fn what_is_being_freed_is_counted_once_and_not_shed_again() {
    let mut admission = admission();
    let first = partial(&mut admission, Time(0), 10 * KB);
    let second = partial(&mut admission, Time(MS), 10 * KB);
    let attempt = MemoryRequester::Attempt;
    assert_eq!(need(&mut admission, 5 * KB, attempt), Some(vec![first]));
    assert_eq!(need(&mut admission, 10 * KB, attempt), Some(vec![]));
    assert_eq!(need(&mut admission, 11 * KB, attempt), Some(vec![second]));
    // The first became complete before it was closed.
    admission.shed_cancelled(first);
    admission.request_complete(Time(2 * MS), first);
    assert_eq!(need(&mut admission, 10 * KB, attempt), Some(vec![]));
    assert_eq!(need(&mut admission, 11 * KB, attempt), None);
    admission.closed(Time(3 * MS), first);
    admission.closed(Time(3 * MS), second);
    assert!(admission.is_empty());
}

#[test]
fn a_reserve_is_taken_from_partial_requests_alone() {
    let mut admission = admission();
    let first = partial(&mut admission, Time(0), 10 * KB);
    let second = partial(&mut admission, Time(MS), 10 * KB);
    idle(&mut admission, Time(0), 10 * KB);
    let demand = MemoryDemand { needed: KB, reserve: 100 * KB };
    let decision = admission.make_memory_room(demand, MemoryRequester::Attempt);
    assert_eq!(decision, MemoryDecision::Shed(vec![first, second]));
}

proptest! {
    /// A refusal sheds nothing; else what is shed suffices, is not shed twice, and holds no complete request.
    #[test]
    fn what_is_shed_suffices(
        connections in prop::collection::vec((0..5_usize, 0..100_usize), 0..60),
        needs in prop::collection::vec((1..400_usize, 0..4_usize, 0..60_usize), 0..30),
    ) {
        let mut admission = admission();
        let mut all = Vec::new();
        for (n, (kind, kb)) in connections.into_iter().enumerate() {
            let make = [connect, partial, busy, idle, blocked][kind];
            all.push((make(&mut admission, Time(n as i64 * MS), kb * KB), kind, kb * KB));
        }
        let mut being_shed = Vec::new();
        for (kb, requester, own) in needs {
            let own = all.get(own).map_or(ConnectionId(u64::MAX), |(id, ..)| *id);
            let requester = [
                MemoryRequester::Connection(own),
                MemoryRequester::PartialRequest(own),
                MemoryRequester::CompleteRequest(own),
                MemoryRequester::Attempt,
            ][requester];
            let Some(shed) = need(&mut admission, kb * KB, requester) else { continue };
            for id in shed {
                let (_, kind, bytes) = all.iter().find(|(other, ..)| *other == id).expect("known");
                prop_assert!(*kind != 2, "a complete request was shed");
                prop_assert!(!being_shed.contains(&(id, *bytes)), "shed twice");
                prop_assert!(requester == MemoryRequester::Attempt || id != own);
                being_shed.push((id, *bytes));
            }
            prop_assert!(being_shed.iter().map(|(_, bytes)| bytes).sum::<usize>() >= kb * KB);
        }
    }
}
