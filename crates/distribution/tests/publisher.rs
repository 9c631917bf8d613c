//! Tests of the publisher, through its messages, outputs and status.

use sableloom_distribution::{
    Base, Change, CloseReason, CodecError, FrameReader, LogEntry, LogStatus, NackReason, Origin,
    Position, Publisher, PublisherMessage, PublisherOptions, PublisherOutput, Refusal, Rejection,
    Resource, ResourceName, ServiceName, ServiceVersion, SessionId, StatusQuery, StatusRows, Store,
    StoreLimits, SubscriberMessage, SubscriberName,
};
use sableloom_types::{Span, Time};

/// One second in microseconds.
const SECOND: i64 = 1_000_000;

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).expect("a valid name")
}

fn set(name: ResourceName, version: u64, body: &[u8]) -> Change {
    let origin = Origin { file: "change.toml".into(), line: 1 };
    Change::Set(Resource { name, version, origin, body: body.into() })
}

fn server(service_name: &str, id: &str) -> ResourceName {
    ResourceName::server(service(service_name), id)
}

/// Returns the version of a service of which a subscriber has applied nothing.
fn not_applied(service_name: &str) -> ServiceVersion {
    ServiceVersion { service: service(service_name), version: 0, digest: 0 }
}

/// A publisher with a clock, and its outputs that no test has taken yet.
struct ControlMachine {
    publisher: Publisher,
    /// The time in microseconds.
    now: i64,
    out: Vec<PublisherOutput>,
    /// Whether the frames that a test takes are reported as written.
    writes_immediately: bool,
}

impl ControlMachine {
    fn new(limits: StoreLimits, options: PublisherOptions) -> ControlMachine {
        let publisher = Publisher::new(Store::new(limits), options);
        ControlMachine { publisher, now: 0, out: Vec::new(), writes_immediately: true }
    }

    /// Appends a change with the next number.
    fn append(&mut self, changes: Vec<Change>) {
        let number = self.publisher.store().position().number + 1;
        let entry = LogEntry { number, epoch: 1, changes, hash: number };
        self.publisher.append(Time(self.now), entry, &mut self.out).expect("a valid change");
    }

    /// Appends a change that sets one server.
    fn set_server(&mut self, service_name: &str, id: &str) {
        let number = self.publisher.store().position().number + 1;
        self.append(vec![set(server(service_name, id), number, b"body")]);
    }

    fn send(&mut self, session: u64, message: SubscriberMessage) {
        self.publisher.message(Time(self.now), SessionId(session), message, &mut self.out);
    }

    /// Connects a subscriber, and sends its hello and a complete scope.
    fn connect(&mut self, session: u64, position: Position, add: Vec<ServiceVersion>) {
        self.publisher.connected(Time(self.now), SessionId(session));
        let subscriber =
            SubscriberName::try_from(format!("balancer-{session}").as_str()).expect("a valid name");
        self.send(session, SubscriberMessage::Hello { subscriber, position });
        self.send(
            session,
            SubscriberMessage::Scope {
                generation: 1,
                add,
                remove: vec![],
                rejected: vec![],
                last: true,
            },
        );
    }

    /// Takes the messages that were sent to a session since the last call. If `writes_immediately` is set, their frames
    /// are reported as written, and the messages that are sent as a result are taken too.
    fn take_messages(&mut self, session: u64) -> Vec<PublisherMessage> {
        let mut messages = Vec::new();
        loop {
            let mut other_outputs = Vec::new();
            let mut written = 0;
            for output in std::mem::take(&mut self.out) {
                match output {
                    PublisherOutput::Send { session: SessionId(to), frame } if to == session => {
                        let mut reader = FrameReader::new();
                        reader.push(&frame);
                        messages.extend(reader.next_message().expect("a valid frame"));
                        written += frame.len();
                    }
                    output => other_outputs.push(output),
                }
            }
            self.out = other_outputs;
            if written == 0 || !self.writes_immediately {
                return messages;
            }
            self.publisher.written(Time(self.now), SessionId(session), written, &mut self.out);
        }
    }

    /// Advances the clock and calls [`Publisher::tick`].
    fn tick(&mut self, seconds: i64) {
        self.now += seconds * SECOND;
        self.publisher.tick(Time(self.now), &mut self.out);
    }

    /// Returns the reason of the [`PublisherOutput::Close`] of a session, or `None` if there is none in `out`.
    fn close_reason(&self, session: u64) -> Option<CloseReason> {
        self.out.iter().find_map(|output| match output {
            PublisherOutput::Close { session: SessionId(id), reason } if *id == session => {
                Some(*reason)
            }
            _ => None,
        })
    }

    fn latest_version(&self, service_name: &str) -> ServiceVersion {
        self.publisher.store().service_version(&service(service_name))
    }
}

fn machine() -> ControlMachine {
    ControlMachine::new(StoreLimits::default(), PublisherOptions::default())
}

/// Returns each service of the transactions that begin in these messages, with its base.
fn bases(messages: &[PublisherMessage]) -> Vec<(String, Base)> {
    let services = messages.iter().filter_map(|message| match message {
        PublisherMessage::Begin { services, .. } => Some(services),
        _ => None,
    });
    services
        .flatten()
        .map(|service_base| (service_base.service.to_string(), service_base.base))
        .collect()
}

/// Returns all changes in these messages.
fn changes(messages: &[PublisherMessage]) -> Vec<Change> {
    let changes = messages.iter().filter_map(|message| match message {
        PublisherMessage::Changes { changes, .. } => Some(changes.clone()),
        _ => None,
    });
    changes.flatten().collect()
}

/// Returns the ids of the transactions that are complete in these messages.
fn transaction_ids(messages: &[PublisherMessage]) -> Vec<u64> {
    let commits = messages.iter().filter_map(|message| match message {
        PublisherMessage::Commit { transaction, .. } => Some(*transaction),
        _ => None,
    });
    commits.collect()
}

#[test]
fn a_subscriber_with_the_latest_versions_gets_only_a_bookmark() {
    let mut machine = machine();
    machine.set_server("points", "a");
    machine.connect(
        1,
        machine.publisher.store().position(),
        vec![machine.latest_version("points"), not_applied("unknown")],
    );
    let received = machine.take_messages(1);
    assert!(
        matches!(
            received[..],
            [PublisherMessage::Welcome { .. }, PublisherMessage::Current { .. }]
        ),
        "{received:?}"
    );
    machine.set_server("other", "a");
    assert_eq!(machine.take_messages(1), [], "a change of a service outside the scope is not sent");
    machine.send(1, SubscriberMessage::Ping { sequence: 5 });
    let received = machine.take_messages(1);
    assert!(
        matches!(
            received[..],
            [PublisherMessage::Pong { sequence: 5 }, PublisherMessage::Current { .. }]
        ),
        "{received:?}"
    );
}

#[test]
fn a_version_within_the_log_gets_a_delta_and_any_other_a_snapshot_of_that_service_alone() {
    // After the nine changes, the log holds the last four, which touch `points`. The change of `old` has been dropped.
    let mut machine = ControlMachine::new(
        StoreLimits { log_entries: 4, ..StoreLimits::default() },
        PublisherOptions::default(),
    );
    for service_name in ["old", "points", "drifted", "same"] {
        machine.set_server(service_name, "a");
    }
    let applied = ["old", "points", "drifted", "same"]
        .map(|service_name| machine.latest_version(service_name));
    let position = machine.publisher.store().position();
    machine.set_server("old", "b");
    machine.set_server("points", "b");
    machine.set_server("points", "c");
    machine.set_server("points", "b");
    machine.set_server("points", "d");
    let mut applied = applied.to_vec();
    // The subscriber reports a digest of `drifted` that the service did not have.
    applied[2].digest ^= 1;
    machine.connect(1, position, applied);
    let received = machine.take_messages(1);
    let (points, old, drifted) = ("points".to_owned(), "old".to_owned(), "drifted".to_owned());
    let expected =
        [(points, Base::Delta { from: 2 }), (drifted, Base::Snapshot), (old, Base::Snapshot)];
    let mut found = bases(&received);
    found.sort_by_key(|(service, base)| (*base == Base::Snapshot, service.clone()));
    assert_eq!(found, expected);
    let points_changes =
        changes(&received).into_iter().filter(|change| change.service().as_str() == "points");
    let versions: Vec<u64> = points_changes.map(|change| change.version()).collect();
    assert_eq!(versions, [8, 7, 9], "b, c and d are sent once each, in their latest version");
}

#[test]
fn a_version_within_the_log_with_another_digest_gets_a_snapshot() {
    let mut machine = machine();
    for id in ["a", "b", "c", "d"] {
        machine.set_server("points", id);
    }
    let mut applied = machine.latest_version("points");
    machine.set_server("points", "a");
    machine.set_server("points", "b");
    let position = machine.publisher.store().position();
    machine.connect(1, position, vec![applied.clone()]);
    assert_eq!(bases(&machine.take_messages(1)), [("points".to_owned(), Base::Delta { from: 4 })]);
    applied.digest ^= 1;
    machine.connect(2, position, vec![applied]);
    assert_eq!(bases(&machine.take_messages(2)), [("points".to_owned(), Base::Snapshot)]);
}

#[test]
fn a_delta_contains_every_resource_that_a_reversed_change_touched() {
    let mut machine = machine();
    machine.append(["a", "b", "c", "d"].map(|id| set(server("points", id), 1, b"body")).to_vec());
    let (applied, position) =
        (machine.latest_version("points"), machine.publisher.store().position());
    machine.append(vec![
        set(server("points", "new"), 2, b"x"),
        Change::Remove { name: server("points", "a"), version: 2 },
    ]);
    machine.append(vec![
        Change::Remove { name: server("points", "new"), version: 3 },
        set(server("points", "a"), 3, b"body"),
    ]);
    machine.connect(1, position, vec![applied]);
    let received = machine.take_messages(1);
    let name = server("points", "new");
    assert_eq!(
        changes(&received),
        [set(server("points", "a"), 3, b"body"), Change::Remove { name, version: 3 }]
    );
}

#[test]
fn changes_collapse_for_a_subscriber_that_does_not_read_and_its_session_is_closed_as_stalled() {
    let mut machine = machine();
    machine.set_server("points", "a");
    machine.connect(1, Position::default(), vec![machine.latest_version("points")]);
    machine.take_messages(1);
    machine.writes_immediately = false;
    let mut frames = 0;
    for change in 0..1_000 {
        machine.set_server("points", &format!("s-{}", change % 40));
        machine.now += 1_000;
        frames += machine.take_messages(1).len();
    }
    // The frames are the three of a transaction with the first change. The other changes take no frame: the service is
    // pending.
    assert_eq!(frames, 3);
    let StatusRows::Sessions { sessions, .. } =
        machine.publisher.status_page(Time(machine.now), &StatusQuery::Sessions { from: 0 }).rows
    else {
        panic!("the page has no sessions");
    };
    assert_eq!(
        (
            sessions[0].lagging,
            sessions[0].lags[0].applied_version,
            sessions[0].lags[0].latest_version
        ),
        (1, 1, 1_001)
    );
    // Nothing but the three frames is queued.
    assert!(sessions[0].queued_bytes < 300, "{} bytes", sessions[0].queued_bytes);
    // One second has passed during the changes; the default stall timeout is 10 s.
    for _ in 0..9 {
        assert_eq!(machine.close_reason(1), None);
        machine.send(1, SubscriberMessage::Ping { sequence: 0 });
        machine.tick(1);
    }
    assert_eq!(machine.close_reason(1), Some(CloseReason::Stalled));
}

#[test]
fn a_subscriber_that_answers_late_gets_a_thousand_changes_in_one_transaction() {
    let mut machine = machine();
    machine.set_server("points", "a");
    machine.connect(1, Position::default(), vec![machine.latest_version("points")]);
    machine.take_messages(1);
    machine.set_server("points", "b");
    let first = machine.take_messages(1);
    for change in 0..1_000 {
        machine.set_server("points", &format!("s-{}", change % 40));
    }
    assert_eq!(machine.take_messages(1), [], "a service in flight is not sent again");
    machine.send(1, SubscriberMessage::Ack { transaction: transaction_ids(&first)[0] });
    let second = machine.take_messages(1);
    assert_eq!((transaction_ids(&second).len(), changes(&second).len()), (1, 40));
}

#[test]
fn a_rejected_transaction_is_not_sent_again_before_one_of_its_services_changes() {
    let mut machine = machine();
    // The store is still empty, so both sessions are refused.
    machine.connect(1, Position::default(), vec![not_applied("points"), not_applied("other")]);
    machine.connect(2, Position::default(), vec![not_applied("points")]);
    assert_eq!(
        machine.close_reason(1),
        Some(CloseReason::Refused),
        "an empty store refuses a subscriber"
    );
    machine.out.clear();
    machine.set_server("points", "a");
    machine.set_server("other", "a");
    let applied = vec![machine.latest_version("points"), machine.latest_version("other")];
    for session in [3, 4] {
        machine.connect(session, Position::default(), applied.clone());
        machine.take_messages(session);
    }
    machine
        .append(vec![set(server("points", "b"), 3, b"bad"), set(server("other", "b"), 3, b"good")]);
    let rejected = transaction_ids(&machine.take_messages(3));
    let accepted = transaction_ids(&machine.take_messages(4));
    assert_eq!((rejected.len(), accepted.len()), (1, 1), "both services are in one transaction");
    let rejection = Rejection {
        resource: server("points", "b"),
        origin: Origin { file: "change.toml".into(), line: 7 },
        field: "address".into(),
        problem: "no address".into(),
    };
    let reason = NackReason::Rejected(vec![rejection.clone()]);
    machine.send(3, SubscriberMessage::Nack { transaction: rejected[0], reason });
    machine.send(4, SubscriberMessage::Ack { transaction: accepted[0] });
    assert_eq!(transaction_ids(&machine.take_messages(3)), [0; 0]);
    let StatusRows::Sessions { sessions, .. } =
        machine.publisher.status_page(Time(0), &StatusQuery::Sessions { from: 0 }).rows
    else {
        panic!("the page has no sessions");
    };
    assert_eq!((sessions[0].rejecting, sessions[1].rejecting, sessions[1].lagging), (2, 0, 0));
    let reported = sessions[0]
        .rejections
        .iter()
        .find(|rejection| rejection.service == service("points"))
        .unwrap();
    assert_eq!(
        (reported.applied_version, reported.rejected_version, reported.problem.as_ref()),
        (1, 3, Some(&rejection))
    );
    // Only one of the two rejected services changes, but both are sent.
    machine.set_server("other", "c");
    let received = machine.take_messages(3);
    assert_eq!(
        (transaction_ids(&received).len(), bases(&received).len(), changes(&received).len()),
        (1, 2, 3)
    );
}

#[test]
fn a_rejected_version_reported_in_the_scope_is_not_sent_again() {
    let mut machine = machine();
    machine.set_server("points", "a");
    let (applied, position) =
        (machine.latest_version("points"), machine.publisher.store().position());
    machine.set_server("points", "b");
    machine.publisher.connected(Time(0), SessionId(1));
    let subscriber = SubscriberName::try_from("balancer-1").expect("a valid name");
    machine.send(1, SubscriberMessage::Hello { subscriber, position });
    let (add, rejected) = (vec![applied], vec![machine.latest_version("points")]);
    machine.send(
        1,
        SubscriberMessage::Scope { generation: 1, add, remove: vec![], rejected, last: true },
    );
    assert_eq!(bases(&machine.take_messages(1)), []);
    machine.set_server("points", "b");
    assert_eq!(bases(&machine.take_messages(1)).len(), 1);
}

#[test]
fn a_removal_while_a_snapshot_is_being_sent_is_added_to_its_transaction() {
    let options =
        PublisherOptions { max_queued_bytes: 100, chunk_bytes: 50, ..PublisherOptions::default() };
    let mut machine = ControlMachine::new(StoreLimits::default(), options);
    machine.append(
        (0..20).map(|id| set(server("points", &format!("s-{id:02}")), 1, b"body")).collect(),
    );
    machine.connect(1, Position::default(), vec![not_applied("points")]);
    machine.writes_immediately = false;
    let mut received = machine.take_messages(1);
    assert_eq!(transaction_ids(&received), [0; 0], "the snapshot is not complete yet");
    machine.append(vec![Change::Remove { name: server("points", "s-00"), version: 2 }]);
    machine.writes_immediately = true;
    machine.publisher.written(Time(0), SessionId(1), usize::MAX, &mut machine.out);
    received.extend(machine.take_messages(1));
    assert_eq!(transaction_ids(&received).len(), 1);
    let last = changes(&received).pop();
    assert_eq!(last, Some(Change::Remove { name: server("points", "s-00"), version: 2 }));
    assert!(
        matches!(received.last(), Some(PublisherMessage::Commit { services, .. }) if services[0] == machine.latest_version("points"))
    );
}

#[test]
fn snapshots_wait_for_slots_and_deltas_do_not() {
    let options = PublisherOptions { max_concurrent_snapshots: 1, ..PublisherOptions::default() };
    let mut machine = ControlMachine::new(StoreLimits::default(), options);
    machine.set_server("points", "a");
    machine.set_server("small", "a");
    let small = machine.latest_version("small");
    for session in 1..=3 {
        machine.connect(session, Position::default(), vec![not_applied("points"), small.clone()]);
    }
    let first = machine.take_messages(1);
    assert_eq!(bases(&first).len(), 1);
    assert_eq!(bases(&machine.take_messages(2)), []);
    let status = machine.publisher.status();
    assert_eq!((status.snapshots, status.waiting_for_snapshot), (1, 2));
    machine.set_server("small", "b");
    assert_eq!(bases(&machine.take_messages(2)), [("small".to_owned(), Base::Delta { from: 2 })]);
    // When the first session ends, its slot is granted to the second.
    machine.publisher.disconnected(Time(0), SessionId(1), &mut machine.out);
    assert_eq!(bases(&machine.take_messages(2)).len(), 1);
    assert_eq!(bases(&machine.take_messages(3)).len(), 1, "without a slot only the delta is sent");
}

#[test]
fn bandwidth_is_bounded_and_deltas_go_before_snapshots() {
    let options = PublisherOptions {
        bytes_per_second: 10_000,
        burst_bytes: 2_000,
        chunk_bytes: 500,
        max_concurrent_snapshots: 100,
        ..PublisherOptions::default()
    };
    let mut machine = ControlMachine::new(StoreLimits::default(), options);
    machine.append(
        (0..40).map(|id| set(server("points", &format!("s-{id}")), 1, &[0; 100])).collect(),
    );
    machine.set_server("small", "a");
    let small = machine.latest_version("small");
    for session in 1..=20 {
        machine.connect(session, Position::default(), vec![not_applied("points"), small.clone()]);
    }
    machine.connect(21, Position::default(), vec![small]);
    let mut sent = 0;
    let mut delta_step = None;
    for step in 0..400 {
        if step == 100 {
            machine.set_server("small", "b");
        }
        for output in std::mem::take(&mut machine.out) {
            let PublisherOutput::Send { session, frame } = output else {
                panic!("{output:?}");
            };
            sent += frame.len();
            machine.publisher.written(Time(machine.now), session, frame.len(), &mut machine.out);
            let mut reader = FrameReader::new();
            reader.push(&frame);
            let message: Option<PublisherMessage> = reader.next_message().expect("a valid frame");
            if bases(message.as_slice()).iter().any(|(service, _)| service == "small")
                && session.0 == 21
            {
                delta_step = delta_step.or(Some(step));
            }
        }
        // The burst, the bytes at the rate since the start, and 1,000 bytes by which frames may overdraw the bucket.
        let allowed = 2_000 + machine.now / 100 + 1_000;
        assert!(sent as i64 <= allowed, "{sent} bytes at {} us", machine.now);
        machine.now += 10_000;
        machine.publisher.tick(Time(machine.now), &mut machine.out);
    }
    // In the 4 s of 400 steps, the rate allows 40,000 bytes in addition to the burst.
    assert!(sent > 35_000, "{sent} bytes: not all of the bandwidth is used");
    // The snapshots use all bandwidth. The delta is sent before them, within 30 steps (300 ms) after its change.
    assert!(delta_step.is_some_and(|step| step < 130), "{delta_step:?}");
}

#[test]
fn a_mismatch_is_answered_by_a_snapshot_and_the_third_in_a_row_ends_the_session() {
    let mut machine = machine();
    machine.append(["a", "b", "c"].map(|id| set(server("points", id), 1, b"body")).to_vec());
    let applied = machine.latest_version("points");
    machine.connect(1, Position::default(), vec![applied.clone()]);
    machine.take_messages(1);
    machine.set_server("points", "a");
    let mut received = machine.take_messages(1);
    assert_eq!(bases(&received)[0].1, Base::Delta { from: 1 });
    for _ in 0..2 {
        let reason = NackReason::Mismatch(vec![applied.clone()]);
        machine.send(
            1,
            SubscriberMessage::Nack { transaction: transaction_ids(&received)[0], reason },
        );
        received = machine.take_messages(1);
        assert_eq!(bases(&received)[0].1, Base::Snapshot);
    }
    let reason = NackReason::Mismatch(vec![applied]);
    machine.send(1, SubscriberMessage::Nack { transaction: transaction_ids(&received)[0], reason });
    assert_eq!(machine.close_reason(1), Some(CloseReason::Mismatch));
}

#[test]
fn a_group_too_large_for_one_transaction_is_split_by_service() {
    for (max_transaction_bytes, services, transactions) in
        [(1_000, 10, 1), (100, 10, 2), (1_000, 1, 2)]
    {
        let options = PublisherOptions {
            max_transaction_bytes,
            max_transaction_services: services,
            ..PublisherOptions::default()
        };
        let mut machine = ControlMachine::new(StoreLimits::default(), options);
        machine.append(vec![set(server("points", "a"), 1, b""), set(server("other", "a"), 1, b"")]);
        let applied = vec![machine.latest_version("points"), machine.latest_version("other")];
        machine.connect(1, Position::default(), applied);
        machine.take_messages(1);
        machine.append(vec![
            set(server("points", "b"), 2, &[0; 40]),
            set(server("other", "b"), 2, &[0; 40]),
        ]);
        let mut received = machine.take_messages(1);
        // A second transaction may wait for the first, because unacknowledged bytes have the same limit.
        for transaction in transaction_ids(&received.clone()) {
            machine.send(1, SubscriberMessage::Ack { transaction });
            received.extend(machine.take_messages(1));
        }
        assert_eq!(
            (transaction_ids(&received).len(), bases(&received).len()),
            (transactions, 2),
            "at most {max_transaction_bytes} bytes and {services} services per transaction"
        );
    }
}

#[test]
fn one_tick_spends_all_available_bandwidth() {
    let options = PublisherOptions {
        bytes_per_second: 4_000,
        burst_bytes: 4_000,
        chunk_bytes: 100,
        ..PublisherOptions::default()
    };
    let mut machine = ControlMachine::new(StoreLimits::default(), options);
    machine.append(
        (0..200).map(|id| set(server("points", &format!("s-{id}")), 1, &[0; 50])).collect(),
    );
    for session in 1..=2 {
        machine.connect(session, Position::default(), vec![not_applied("points")]);
    }
    machine.take_messages(1);
    machine.take_messages(2);
    machine.tick(1);
    let sent = |output: &PublisherOutput| match output {
        PublisherOutput::Send { frame, .. } => frame.len(),
        PublisherOutput::Close { .. } => 0,
    };
    let bytes: usize = machine.out.iter().map(sent).sum();
    // One second at the rate, with up to 200 bytes by which frames miss or overdraw it.
    assert!((3_800..4_200).contains(&bytes), "{bytes} bytes");
}

#[test]
fn sessions_that_are_silent_or_do_not_answer_are_closed() {
    let options =
        PublisherOptions { silence_timeout: Span(5 * SECOND), ..PublisherOptions::default() };
    let mut machine = ControlMachine::new(StoreLimits::default(), options);
    machine.set_server("points", "a");
    machine.connect(1, Position::default(), vec![not_applied("points")]);
    machine.connect(2, Position::default(), vec![]);
    machine.take_messages(1);
    machine.take_messages(2);
    // Session 1 sends pings but no answer for the 30 s of the default acknowledge timeout.
    for _ in 0..30 {
        machine.send(1, SubscriberMessage::Ping { sequence: 0 });
        machine.take_messages(1);
        machine.tick(1);
    }
    assert_eq!(machine.close_reason(2), Some(CloseReason::Silent));
    assert_eq!(machine.close_reason(1), Some(CloseReason::Unacknowledged));
    assert_eq!(machine.publisher.due(), None, "nothing is due without a session");
}

#[test]
fn a_protocol_violation_ends_the_session_and_is_counted() {
    let hello = || SubscriberMessage::Hello {
        subscriber: SubscriberName::try_from("b").expect("a valid name"),
        position: Position::default(),
    };
    let scope = |generation, count: usize| SubscriberMessage::Scope {
        generation,
        add: (0..count).map(|index| not_applied(&format!("s-{index}"))).collect(),
        remove: vec![],
        rejected: vec![],
        last: true,
    };
    let cases = [
        // A scope or an answer before the hello.
        vec![scope(1, 1)],
        vec![SubscriberMessage::Ack { transaction: 1 }],
        // A second hello.
        vec![hello(), hello()],
        // A first scope message whose generation is not 1.
        vec![hello(), scope(2, 1)],
        // One service more than a message may name.
        vec![hello(), scope(1, 1_025)],
        // An answer to a transaction that does not exist.
        vec![hello(), scope(1, 1), SubscriberMessage::Ack { transaction: 9 }],
    ];
    for messages in cases {
        let mut machine = machine();
        machine.set_server("points", "a");
        machine.publisher.connected(Time(0), SessionId(1));
        for message in &messages {
            machine.send(1, message.clone());
        }
        assert!(matches!(machine.close_reason(1), Some(CloseReason::Violation(_))), "{messages:?}");
        assert_eq!(machine.publisher.counters().violations, 1);
    }
    let options = PublisherOptions { max_scope_services: 10, ..PublisherOptions::default() };
    let mut machine = ControlMachine::new(StoreLimits::default(), options);
    machine.set_server("points", "a");
    machine.connect(
        1,
        Position::default(),
        (0..11).map(|index| not_applied(&format!("s-{index}"))).collect(),
    );
    assert_eq!(machine.close_reason(1), Some(CloseReason::Refused));
    assert_eq!(
        machine.take_messages(1).pop(),
        Some(PublisherMessage::Refused(Refusal::ScopeTooLarge { max: 10 }))
    );
}

#[test]
fn the_status_reports_how_long_a_subscriber_has_lagged_and_why_the_log_is_blocked() {
    let mut machine = machine();
    machine.set_server("points", "a");
    machine.connect(1, Position::default(), vec![machine.latest_version("points")]);
    machine.take_messages(1);
    let lag_times_ms = |machine: &ControlMachine| {
        let query = StatusQuery::Sessions { from: 0 };
        let page = machine.publisher.status_page(Time(machine.now), &query);
        let StatusRows::Sessions { sessions, .. } = page.rows else {
            panic!("the page has no sessions")
        };
        sessions[0].lags.iter().map(|lag| lag.behind_ms).collect::<Vec<_>>()
    };
    assert_eq!(lag_times_ms(&machine), [0; 0]);
    machine.set_server("points", "b");
    let first = transaction_ids(&machine.take_messages(1));
    machine.now += 2 * SECOND;
    machine.set_server("points", "c");
    machine.now += SECOND;
    assert_eq!(
        lag_times_ms(&machine),
        [3_000],
        "the lag starts at the first change that is not applied"
    );
    machine.send(1, SubscriberMessage::Ack { transaction: first[0] });
    let second = transaction_ids(&machine.take_messages(1));
    assert_eq!(
        lag_times_ms(&machine),
        [3_000],
        "an acknowledgment of an earlier version does not end the lag"
    );
    machine.send(1, SubscriberMessage::Ack { transaction: second[0] });
    assert_eq!(lag_times_ms(&machine), [0; 0]);
    machine.set_server("points", "d");
    machine.now += SECOND;
    assert_eq!(lag_times_ms(&machine), [1_000], "a new lag starts at the change that caused it");

    let log = LogStatus { next: 4, latest: 6, blocked_reason: "00000004.toml: missing".into() };
    machine.publisher.set_log_status(log.clone());
    machine.publisher.malformed(
        Time(machine.now),
        SessionId(1),
        CodecError::Empty,
        &mut machine.out,
    );
    let page = machine.publisher.status_page(Time(machine.now), &StatusQuery::Machine);
    let StatusRows::Machine(machine_status) = page.rows else {
        panic!("the page is not of the machine")
    };
    assert_eq!((machine_status.log, machine_status.violations, machine_status.silent), (log, 1, 0));
}
