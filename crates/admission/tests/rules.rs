//! Scripted sequences of events, at least one for each rule of admission that an operator depends on.

use std::collections::VecDeque;
use std::net::{IpAddr, Ipv4Addr};

use sableloom_admission::{
    Admission, Arrival, Bounds, ConnectionId, KeepAlive, Phase, Release, ReleaseReason,
    TICK_INTERVAL,
};
use sableloom_types::{Span, Time};

const MS: i64 = 1000;
const SLOTS: usize = 216;
const CLIENT_SLOTS: usize = 128;

fn bounds() -> Bounds {
    Bounds {
        max_connections: SLOTS,
        max_client_connections: CLIENT_SLOTS,
        request_timeout: Span(2400 * MS),
        idle_timeout: Span(2500 * MS),
        write_timeout: Span(3000 * MS),
        max_wait: Span(100 * MS),
        max_retry_after: Span(1000 * MS),
    }
}

fn source(n: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, n))
}

/// Admits a new connection from source `from`, and closes the connections that are evicted for it.
fn admit(admission: &mut Admission, now: Time, from: u8) -> ConnectionId {
    loop {
        match admission.arrive(now, source(from)) {
            Arrival::Admitted(id) => return id,
            Arrival::Evict(id) => admission.closed(now, id),
            other => panic!("no slot: {other:?}"),
        }
    }
}

/// Sends a request that is answered at once. Returns `false` if the connection is closed with the answer.
fn send_request(admission: &mut Admission, now: Time, id: ConnectionId) -> bool {
    admission.bytes_read(now, id);
    admission.request_complete(now, id);
    let keep_alive = admission.before_answer(now, id);
    admission.answer_handed_over(now, id, keep_alive == KeepAlive::Close);
    if let KeepAlive::CloseOther(other) = keep_alive {
        admission.closed(now, other);
    }
    keep_alive != KeepAlive::Close
}

/// A connection whose request is answered at this time.
struct BusyConnection {
    answer_at: Time,
    id: ConnectionId,
    reuses: bool,
}

/// Simulated clients that are limited to `CLIENT_SLOTS` connections at once on their own side, as those of the
/// platform are. Some send one request and keep their connection open; others reuse an idle connection, the most
/// recently used first.
struct ClientLoad {
    admission: Admission,
    now: Time,
    /// Idle connections of clients that send one request.
    single_use: Vec<ConnectionId>,
    /// Idle connections of clients that reuse them.
    reused: VecDeque<ConnectionId>,
    busy: VecDeque<BusyConnection>,
    /// The number of requests that were served, by whether the client reuses connections.
    served: [usize; 2],
    /// The number of requests that found no slot, by the same index.
    no_slot: [usize; 2],
    /// The number of requests that took a new connection, by the same index.
    opened: [usize; 2],
}

impl ClientLoad {
    fn new() -> Self {
        let now = Time(1_000_000_000);
        Self {
            admission: Admission::new(bounds(), now),
            now,
            single_use: Vec::new(),
            reused: VecDeque::new(),
            busy: VecDeque::new(),
            served: [0; 2],
            no_slot: [0; 2],
            opened: [0; 2],
        }
    }

    fn open(&self) -> usize {
        self.single_use.len() + self.reused.len() + self.busy.len()
    }

    fn close(&mut self, id: ConnectionId) {
        self.single_use.retain(|c| *c != id);
        self.reused.retain(|c| *c != id);
        self.admission.closed(self.now, id);
    }

    fn hand_over_due_answers(&mut self) {
        while self.busy.front().is_some_and(|busy| busy.answer_at <= self.now) {
            let BusyConnection { id, reuses, .. } = self.busy.pop_front().expect("busy");
            let keep_alive = self.admission.before_answer(self.now, id);
            let closes = keep_alive == KeepAlive::Close;
            self.admission.answer_handed_over(self.now, id, closes);
            if let KeepAlive::CloseOther(other) = keep_alive {
                self.close(other);
            }
            match (closes, reuses) {
                (true, _) => self.admission.closed(self.now, id),
                (false, true) => self.reused.push_back(id),
                (false, false) => self.single_use.push(id),
            }
        }
    }

    /// Sends a request whose answer takes `busy_ms`.
    fn request(&mut self, reuses: bool, busy_ms: i64) {
        self.hand_over_due_answers();
        let reusable = if reuses { self.reused.pop_back() } else { None };
        let id = match reusable {
            Some(id) => id,
            None if self.open() < CLIENT_SLOTS => {
                self.opened[usize::from(reuses)] += 1;
                admit(&mut self.admission, self.now, 1)
            }
            None => return self.no_slot[usize::from(reuses)] += 1,
        };
        self.admission.bytes_read(self.now, id);
        self.admission.request_complete(self.now, id);
        let answer_at = self.now.plus(Span(busy_ms * MS));
        self.busy.push_back(BusyConnection { answer_at, id, reuses });
        self.served[usize::from(reuses)] += 1;
    }

    /// Sends `per_s` requests a second for `seconds`, of which each `reuse_every`-th is of a client that reuses an idle
    /// connection (0 for none).
    fn run(&mut self, seconds: i64, per_s: i64, reuse_every: i64) {
        let step = 1_000_000 / per_s;
        for i in 0..seconds * per_s {
            self.now = self.now.plus(Span(step));
            if (i * step) / (250 * MS) != ((i + 1) * step) / (250 * MS) {
                for release in self.admission.tick(self.now) {
                    self.close(release.id);
                }
            }
            let reuses = reuse_every > 0 && i % reuse_every == 0;
            self.request(reuses, 30);
        }
    }
}

#[test]
fn single_request_clients_are_admitted_at_ten_times_the_rate_that_the_idle_timeout_allows() {
    // 128 slots that are idle for 2.5 s each would admit 51 requests a second.
    let mut load = ClientLoad::new();
    load.run(10, 512, 0);
    let (served, no_slot) = (load.served[0], load.no_slot[0]);
    assert_eq!(served + no_slot, 5120);
    assert!(no_slot * 50 < served, "{no_slot} of {} found no slot", served + no_slot);
}

#[test]
fn clients_that_reuse_connections_keep_them_among_many_single_request_clients() {
    for reuse_every in [2, 4, 10] {
        let mut load = ClientLoad::new();
        load.run(4, 512, reuse_every);
        let before = (load.opened[1], load.served[1]);
        load.run(10, 512, reuse_every);
        let (opened, served) = (load.opened[1] - before.0, load.served[1] - before.1);
        let no_slot: usize = load.no_slot.iter().sum();
        assert!(no_slot * 50 < 14 * 512, "1 in {reuse_every}: {no_slot} found no slot");
        assert!(
            opened * 20 < served,
            "1 in {reuse_every}: {opened} of {served} reusing requests took a new connection"
        );
    }
}

#[test]
fn without_a_shortage_of_slots_no_connection_is_closed_before_its_timeout() {
    let mut load = ClientLoad::new();
    load.run(20, 320, 1);
    // The clients opened no more connections than were busy at the same time.
    assert!(load.opened[1] <= 11, "{} opened", load.opened[1]);
    assert_eq!(load.no_slot, [0, 0]);
}

#[test]
fn a_burst_of_reusing_clients_keeps_all_its_connections() {
    let mut load = ClientLoad::new();
    for _ in 0..100 {
        load.request(true, 30);
    }
    load.now = load.now.plus(Span(40 * MS));
    load.hand_over_due_answers();
    assert_eq!(load.reused.len(), 100, "seven eighths of the slots may be idle");
    load.now = load.now.plus(Span(250 * MS));
    let releases = load.admission.tick(load.now);
    // A hundred new clients in a quarter second need headroom, half of the slots at most.
    assert!(releases.len() <= 100 - CLIENT_SLOTS / 2, "{}", releases.len());
    assert!(releases.iter().all(|r| r.reason == ReleaseReason::MakeRoom));
}

#[test]
fn silent_connections_are_evicted_before_those_that_send_requests() {
    let mut now = Time(1_000_000_000);
    let mut admission = Admission::new(bounds(), now);
    let active: Vec<_> = (0..60).map(|_| admit(&mut admission, now, 1)).collect();
    for id in &active {
        assert!(send_request(&mut admission, now, *id));
    }
    for _ in 0..8 {
        now = now.plus(Span(100 * MS));
        active.iter().for_each(|id| assert!(send_request(&mut admission, now, *id)));
        for _ in 0..18 {
            admit(&mut admission, now, 1);
        }
        admission.tick(now);
    }
    // All slots are taken now: 60 by connections that send requests, the others by silent connections.
    for i in 0..400 {
        now = now.plus(Span(MS));
        match admission.arrive(now, source(1)) {
            Arrival::Evict(id) => {
                assert!(!active.contains(&id), "arrival {i} evicted one that sends requests");
                admission.closed(now, id);
                admit(&mut admission, now, 1);
            }
            Arrival::Admitted(_) => {}
            other => panic!("{other:?}"),
        }
        if i % 50 == 0 {
            active.iter().for_each(|id| assert!(send_request(&mut admission, now, *id)));
        }
    }
}

#[test]
fn with_all_slots_busy_a_client_waits_briefly_and_later_ones_are_rejected_until_a_slot_is_free() {
    let mut now = Time(1_000_000_000);
    let mut admission = Admission::new(bounds(), now);
    let ids: Vec<_> = (0..SLOTS).map(|_| admit(&mut admission, now, 1)).collect();
    for id in &ids {
        admission.bytes_read(now, *id);
        admission.request_complete(now, *id);
    }
    let Arrival::Wait(until) = admission.arrive(now, source(1)) else { panic!("busy") };
    assert_eq!(until, now.plus(Span(100 * MS)));
    now = until;
    let Arrival::Reject(retry_after) = admission.arrive(now, source(1)) else { panic!("busy") };
    assert!(retry_after > Span(0));
    // A client that arrives after the rejected one does not wait again.
    assert!(matches!(admission.arrive(now, source(1)), Arrival::Reject(_)));
    admission.answer_handed_over(now, ids[0], false);
    let Arrival::Evict(id) = admission.arrive(now, source(1)) else { panic!("one is evictable") };
    assert_eq!(id, ids[0]);
    admission.closed(now, id);
    assert!(matches!(admission.arrive(now, source(1)), Arrival::Admitted(_)));
    // Admitting a client ends the time in which clients are rejected without a wait.
    let next = admission.arrive(now, source(1));
    assert!(matches!(next, Arrival::Evict(_)), "the new connection has sent nothing yet: {next:?}");
}

#[test]
fn a_source_does_not_take_the_slots_of_others() {
    let mut now = Time(1_000_000_000);
    let mut admission = Admission::new(bounds(), now);
    // Ten connections of a small source are idle for longer than all others.
    let small: Vec<_> = (0..10).map(|_| admit(&mut admission, now, 2)).collect();
    small.iter().for_each(|id| assert!(send_request(&mut admission, now, *id)));
    now = now.plus(Span(50 * MS));
    for _ in 0..1000 {
        now = now.plus(Span(MS));
        admit(&mut admission, now, 1);
    }
    // The large source evicted only its own connections.
    for id in &small {
        admission.bytes_read(now, *id);
        admission.request_complete(now, *id);
    }
    // A third source gets slots of the large source, not of the small one.
    small.iter().for_each(|id| admission.answer_handed_over(now, *id, false));
    for _ in 0..20 {
        let Arrival::Evict(id) = admission.arrive(now, source(3)) else { panic!("full") };
        assert!(!small.contains(&id));
        admission.closed(now, id);
        assert!(matches!(admission.arrive(now, source(3)), Arrival::Admitted(_)));
    }
}

#[test]
fn a_lack_of_descriptors_lowers_the_limit_for_a_while() {
    let mut now = Time(1_000_000_000);
    let mut admission = Admission::new(bounds(), now);
    for _ in 0..100 {
        admit(&mut admission, now, 1);
    }
    let shed = admission.out_of_descriptors(now);
    assert_eq!(admission.limit(), 94);
    assert_eq!(shed.len(), 6);
    shed.iter().for_each(|r| admission.closed(now, r.id));
    assert!(matches!(admission.arrive(now, source(1)), Arrival::Evict(_)));
    for _ in 0..(SLOTS - 94) {
        now = now.plus(TICK_INTERVAL);
        admission.tick(now).iter().for_each(|r| admission.closed(now, r.id));
    }
    assert_eq!(admission.limit(), SLOTS);
}

/// Guards against closing a connection that was just opened: a closing connection holds its descriptor until it is
/// closed, and the lack of descriptors lasts as long.
#[test]
fn during_a_lasting_lack_of_descriptors_a_new_connection_is_not_closed_within_its_grace() {
    let mut now = Time(1_000_000_000);
    let mut admission = Admission::new(bounds(), now);
    let idle: Vec<_> = (0..28).map(|_| admit(&mut admission, now, 1)).collect();
    assert!(idle.iter().all(|id| send_request(&mut admission, now, *id)));
    now = now.plus(Span(200 * MS));
    let fresh = admit(&mut admission, now, 2);
    let mut closed = Vec::new();
    for _ in 0..49 {
        now = now.plus(Span(10 * MS));
        closed.extend(admission.out_of_descriptors(now).into_iter().map(|release| release.id));
    }
    assert!(!closed.is_empty() && !closed.contains(&fresh), "{closed:?}");
    assert!(closed.iter().all(|id| idle.contains(id)));
    // A new connection is closed once its grace has passed, or at once if no other connection is closing.
    now = now.plus(Span(20 * MS));
    closed.extend(admission.out_of_descriptors(now).into_iter().map(|release| release.id));
    assert!(closed.contains(&fresh));
    let mut admission = Admission::new(bounds(), now);
    let all: Vec<_> = (0..20).map(|_| admit(&mut admission, now, 1)).collect();
    let first = admission.out_of_descriptors(now);
    assert!(first.iter().all(|release| all.contains(&release.id)) && first.len() == 1);
}

#[test]
fn timeouts_are_reported_once_they_are_exceeded_and_not_before() {
    let start = Time(1_000_000_000);
    let mut admission = Admission::new(bounds(), start);
    let silent = admit(&mut admission, start, 1);
    let idle = admit(&mut admission, start, 1);
    assert!(send_request(&mut admission, start, idle));
    let busy = admit(&mut admission, start, 1);
    admission.bytes_read(start, busy);
    admission.request_complete(start, busy);
    let blocked = admit(&mut admission, start, 1);
    admission.bytes_read(start, blocked);
    admission.request_complete(start, blocked);
    admission.write_blocked(start, blocked);
    let at = |ms| start.plus(Span(ms * MS));
    assert_eq!(admission.tick(at(2400)), []);
    assert_eq!(
        admission.tick(at(2401)),
        [Release { id: silent, reason: ReleaseReason::RequestTimeout }]
    );
    admission.closed(at(2401), silent);
    assert_eq!(
        admission.tick(at(2501)),
        [Release { id: idle, reason: ReleaseReason::IdleTimeout }]
    );
    admission.closed(at(2501), idle);
    // A complete request has no timeout in admission, but a client that accepts none of its answer has one.
    assert_eq!(
        admission.tick(at(3001)),
        [Release { id: blocked, reason: ReleaseReason::WriteTimeout }]
    );
    admission.write_resumed(blocked);
    assert_eq!(admission.tick(at(9000)), []);
    admission.answer_handed_over(at(9000), blocked, false);
    // A pipelined request has its own timeout.
    admission.pipelined_request(at(9000), blocked);
    assert_eq!(admission.tick(at(11_400)), []);
    assert_eq!(
        admission.tick(at(11_401)),
        [Release { id: blocked, reason: ReleaseReason::RequestTimeout }]
    );
}

#[test]
fn a_request_that_arrives_on_a_connection_chosen_for_closing_is_not_cut_off() {
    let now = Time(1_000_000_000);
    let mut admission = Admission::new(Bounds { max_client_connections: 7, ..bounds() }, now);
    let ids: Vec<_> = (0..7).map(|_| admit(&mut admission, now, 1)).collect();
    let kept = ids.iter().filter(|id| send_request(&mut admission, now, **id)).count();
    assert!(kept < 7, "not all may be idle");
    let later = now.plus(Span(300 * MS));
    let releases = admission.tick(later);
    for release in &releases {
        admission.bytes_read(later, release.id);
        admission.request_complete(later, release.id);
    }
    assert!(
        admission
            .out_of_descriptors(later)
            .iter()
            .all(|r| !releases.iter().any(|release| release.id == r.id))
    );
}

#[test]
fn a_close_that_was_cancelled_leaves_the_connection_idle_until_its_timeout() {
    let now = Time(1_000_000_000);
    let mut admission = Admission::new(Bounds { max_client_connections: 2, ..bounds() }, now);
    let (first, second) = (admit(&mut admission, now, 1), admit(&mut admission, now, 1));
    assert!(send_request(&mut admission, now, first));
    admission.bytes_read(now, second);
    admission.request_complete(now, second);
    let later = now.plus(Span(5 * MS));
    assert_eq!(admission.before_answer(later, second), KeepAlive::CloseOther(first));
    // The socket of the first connection shows that its answer is still being written, so that it is not closed.
    admission.write_blocked(later, first);
    admission.write_resumed(first);
    admission.answer_handed_over(later, second, true);
    admission.closed(later, second);
    assert_eq!(admission.phase(first), Some(Phase::Idle));
    let end = later.plus(Span(2501 * MS));
    assert_eq!(admission.tick(end), [Release { id: first, reason: ReleaseReason::IdleTimeout }]);
}
