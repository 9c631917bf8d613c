//! The control machine's side, one case each.

use sableloom_distribution::{
    Base, Change, CloseReason, CodecError, FrameReader, LogEntry, LogStatus, NackReason, Origin,
    Position, Publisher, PublisherMessage, PublisherOptions, PublisherOutput, Refusal, Rejection,
    Resource, ResourceName, ServiceName, ServiceVersion, SessionId, StatusQuery, StatusRows, Store,
    StoreLimits, SubscriberMessage, SubscriberName,
};
use sableloom_types::{Span, Time};

const SECOND: i64 = 1_000_000;

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).expect("a name")
}

fn set(name: ResourceName, version: u64, body: &[u8]) -> Change {
    let origin = Origin { file: "change.toml".into(), line: 1 };
    Change::Set(Resource { name, version, origin, body: body.into() })
}

fn server(of: &str, id: &str) -> ResourceName {
    ResourceName::server(service(of), id)
}

fn nothing(of: &str) -> ServiceVersion {
    ServiceVersion { service: service(of), version: 0, digest: 0 }
}

/// A publisher and what it has said so far.
struct Control {
    publisher: Publisher,
    now: i64,
    out: Vec<PublisherOutput>,
    /// Whether what is handed out counts as written at once.
    writes: bool,
}

impl Control {
    fn new(limits: StoreLimits, options: PublisherOptions) -> Control {
        let publisher = Publisher::new(Store::new(limits), options);
        Control { publisher, now: 0, out: Vec::new(), writes: true }
    }

    fn change(&mut self, changes: Vec<Change>) {
        let number = self.publisher.store().position().number + 1;
        let entry = LogEntry { number, epoch: 1, changes, hash: number };
        self.publisher.append(Time(self.now), entry, &mut self.out).expect("a change");
    }

    /// A change of one server, by its number.
    fn touch(&mut self, of: &str, id: &str) {
        let number = self.publisher.store().position().number + 1;
        self.change(vec![set(server(of, id), number, b"body")]);
    }

    fn say(&mut self, session: u64, message: SubscriberMessage) {
        self.publisher.message(Time(self.now), SessionId(session), message, &mut self.out);
    }

    fn connect(&mut self, session: u64, position: Position, add: Vec<ServiceVersion>) {
        self.publisher.connected(Time(self.now), SessionId(session));
        let subscriber =
            SubscriberName::try_from(format!("balancer-{session}").as_str()).expect("a name");
        self.say(session, SubscriberMessage::Hello { subscriber, position });
        self.say(
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

    /// What has been said to a session since the last time, all written if that is so.
    fn said(&mut self, session: u64) -> Vec<PublisherMessage> {
        let mut messages = Vec::new();
        loop {
            let mut kept = Vec::new();
            let mut written = 0;
            for output in std::mem::take(&mut self.out) {
                match output {
                    PublisherOutput::Send { session: SessionId(to), frame } if to == session => {
                        let mut reader = FrameReader::new();
                        reader.push(&frame);
                        messages.extend(reader.next().expect("a message"));
                        written += frame.len();
                    }
                    output => kept.push(output),
                }
            }
            self.out = kept;
            if written == 0 || !self.writes {
                return messages;
            }
            self.publisher.written(Time(self.now), SessionId(session), written, &mut self.out);
        }
    }

    fn tick(&mut self, seconds: i64) {
        self.now += seconds * SECOND;
        self.publisher.tick(Time(self.now), &mut self.out);
    }

    fn closed(&self, session: u64) -> Option<CloseReason> {
        self.out.iter().find_map(|output| match output {
            PublisherOutput::Close { session: SessionId(id), reason } if *id == session => {
                Some(*reason)
            }
            _ => None,
        })
    }

    fn held(&self, of: &str) -> ServiceVersion {
        self.publisher.store().service_version(&service(of))
    }
}

fn control() -> Control {
    Control::new(StoreLimits::default(), PublisherOptions::default())
}

fn bases(messages: &[PublisherMessage]) -> Vec<(String, Base)> {
    let services = messages.iter().filter_map(|message| match message {
        PublisherMessage::Begin { services, .. } => Some(services),
        _ => None,
    });
    services.flatten().map(|part| (part.service.to_string(), part.base)).collect()
}

fn changes(messages: &[PublisherMessage]) -> Vec<Change> {
    let changes = messages.iter().filter_map(|message| match message {
        PublisherMessage::Changes { changes, .. } => Some(changes.clone()),
        _ => None,
    });
    changes.flatten().collect()
}

fn transfers(messages: &[PublisherMessage]) -> Vec<u64> {
    let commits = messages.iter().filter_map(|message| match message {
        PublisherMessage::Commit { transfer, .. } => Some(*transfer),
        _ => None,
    });
    commits.collect()
}

#[test]
fn who_has_all_gets_a_bookmark_and_nothing_else() {
    let mut control = control();
    control.touch("points", "a");
    control.connect(
        1,
        control.publisher.store().position(),
        vec![control.held("points"), nothing("unknown")],
    );
    let said = control.said(1);
    assert!(
        matches!(said[..], [PublisherMessage::Welcome { .. }, PublisherMessage::Current { .. }]),
        "{said:?}"
    );
    control.touch("other", "a");
    assert_eq!(control.said(1), [], "a change of what is not subscribed to");
    control.say(1, SubscriberMessage::Ping { sequence: 5 });
    let said = control.said(1);
    assert!(
        matches!(
            said[..],
            [PublisherMessage::Pong { sequence: 5 }, PublisherMessage::Current { .. }]
        ),
        "{said:?}"
    );
}

#[test]
fn a_version_within_the_log_gets_a_delta_and_any_other_a_snapshot_of_just_that_service() {
    let mut control = Control::new(
        StoreLimits { log_entries: 4, ..StoreLimits::default() },
        PublisherOptions::default(),
    );
    for of in ["old", "points", "drifted", "same"] {
        control.touch(of, "a");
    }
    let helds = ["old", "points", "drifted", "same"].map(|of| control.held(of));
    let position = control.publisher.store().position();
    control.touch("old", "b");
    control.touch("points", "b");
    control.touch("points", "c");
    control.touch("points", "b");
    control.touch("points", "d");
    let mut held = helds.to_vec();
    held[2].digest ^= 1;
    control.connect(1, position, held);
    let said = control.said(1);
    let (points, old, drifted) = ("points".to_owned(), "old".to_owned(), "drifted".to_owned());
    let expected =
        [(points, Base::Delta { from: 2 }), (drifted, Base::Snapshot), (old, Base::Snapshot)];
    let mut found = bases(&said);
    found.sort_by_key(|(service, base)| (*base == Base::Snapshot, service.clone()));
    assert_eq!(found, expected);
    let of_points =
        changes(&said).into_iter().filter(|change| change.service().as_str() == "points");
    let versions: Vec<u64> = of_points.map(|change| change.version()).collect();
    assert_eq!(versions, [8, 7, 9], "b, c and d, each once as it is now");
}

#[test]
fn a_version_that_the_log_knows_with_another_digest_gets_a_snapshot() {
    let mut control = control();
    for id in ["a", "b", "c", "d"] {
        control.touch("points", id);
    }
    let mut held = control.held("points");
    control.touch("points", "a");
    control.touch("points", "b");
    let position = control.publisher.store().position();
    control.connect(1, position, vec![held.clone()]);
    assert_eq!(bases(&control.said(1)), [("points".to_owned(), Base::Delta { from: 4 })]);
    held.digest ^= 1;
    control.connect(2, position, vec![held]);
    assert_eq!(bases(&control.said(2)), [("points".to_owned(), Base::Snapshot)]);
}

#[test]
fn a_change_and_its_reversal_while_away_say_what_was_removed_and_what_came_back() {
    let mut control = control();
    control.change(["a", "b", "c", "d"].map(|id| set(server("points", id), 1, b"body")).to_vec());
    let (held, position) = (control.held("points"), control.publisher.store().position());
    control.change(vec![
        set(server("points", "new"), 2, b"x"),
        Change::Remove { name: server("points", "a"), version: 2 },
    ]);
    control.change(vec![
        Change::Remove { name: server("points", "new"), version: 3 },
        set(server("points", "a"), 3, b"body"),
    ]);
    control.connect(1, position, vec![held]);
    let said = control.said(1);
    let name = server("points", "new");
    assert_eq!(
        changes(&said),
        [set(server("points", "a"), 3, b"body"), Change::Remove { name, version: 3 }]
    );
}

#[test]
fn a_thousand_changes_in_a_second_collapse_for_who_reads_nothing_and_then_it_is_cut() {
    let mut control = control();
    control.touch("points", "a");
    control.connect(1, Position::default(), vec![control.held("points")]);
    control.said(1);
    control.writes = false;
    let mut frames = 0;
    for change in 0..1_000 {
        control.touch("points", &format!("s-{}", change % 40));
        control.now += 1_000;
        frames += control.said(1).len();
    }
    // The first change is on its way; all others wait as one service.
    assert_eq!(frames, 3);
    let StatusRows::Sessions { sessions, .. } =
        control.publisher.status_page(Time(control.now), &StatusQuery::Sessions { from: 0 }).rows
    else {
        panic!("no sessions");
    };
    assert_eq!(
        (
            sessions[0].lagging,
            sessions[0].lags[0].applied_version,
            sessions[0].lags[0].latest_version
        ),
        (1, 1, 1_001)
    );
    assert!(sessions[0].queued_bytes < 300, "{} bytes", sessions[0].queued_bytes);
    for _ in 0..9 {
        assert_eq!(control.closed(1), None);
        control.say(1, SubscriberMessage::Ping { sequence: 0 });
        control.tick(1);
    }
    assert_eq!(control.closed(1), Some(CloseReason::Stalled));
}

#[test]
fn who_reads_and_answers_late_gets_a_thousand_changes_as_one() {
    let mut control = control();
    control.touch("points", "a");
    control.connect(1, Position::default(), vec![control.held("points")]);
    control.said(1);
    control.touch("points", "b");
    let first = control.said(1);
    for change in 0..1_000 {
        control.touch("points", &format!("s-{}", change % 40));
    }
    assert_eq!(control.said(1), [], "one transaction of a service at one time");
    control.say(1, SubscriberMessage::Ack { transfer: transfers(&first)[0] });
    let second = control.said(1);
    assert_eq!((transfers(&second).len(), changes(&second).len()), (1, 40));
}

#[test]
fn what_one_refuses_is_not_sent_to_it_again_before_something_in_it_changes() {
    let mut control = control();
    control.connect(1, Position::default(), vec![nothing("points"), nothing("other")]);
    control.connect(2, Position::default(), vec![nothing("points")]);
    assert_eq!(control.closed(1), Some(CloseReason::Refused), "nothing has been read yet");
    control.out.clear();
    control.touch("points", "a");
    control.touch("other", "a");
    let helds = vec![control.held("points"), control.held("other")];
    for session in [3, 4] {
        control.connect(session, Position::default(), helds.clone());
        control.said(session);
    }
    control
        .change(vec![set(server("points", "b"), 3, b"bad"), set(server("other", "b"), 3, b"good")]);
    let refused = transfers(&control.said(3));
    let taken = transfers(&control.said(4));
    assert_eq!((refused.len(), taken.len()), (1, 1), "both services in one transaction");
    let rejection = Rejection {
        resource: server("points", "b"),
        origin: Origin { file: "change.toml".into(), line: 7 },
        field: "address".into(),
        problem: "no address".into(),
    };
    let reason = NackReason::Rejected(vec![rejection.clone()]);
    control.say(3, SubscriberMessage::Nack { transfer: refused[0], reason });
    control.say(4, SubscriberMessage::Ack { transfer: taken[0] });
    assert_eq!(transfers(&control.said(3)), [0; 0]);
    let StatusRows::Sessions { sessions, .. } =
        control.publisher.status_page(Time(0), &StatusQuery::Sessions { from: 0 }).rows
    else {
        panic!("no sessions");
    };
    assert_eq!((sessions[0].rejecting, sessions[1].rejecting, sessions[1].lagging), (2, 0, 0));
    let told = sessions[0]
        .rejections
        .iter()
        .find(|rejection| rejection.service == service("points"))
        .unwrap();
    assert_eq!(
        (told.applied_version, told.rejected_version, told.problem.as_ref()),
        (1, 3, Some(&rejection))
    );
    // Only one of the two changes, and both come.
    control.touch("other", "c");
    let said = control.said(3);
    assert_eq!((transfers(&said).len(), bases(&said).len(), changes(&said).len()), (1, 2, 3));
}

#[test]
fn a_refusal_told_at_the_resume_is_not_sent_again() {
    let mut control = control();
    control.touch("points", "a");
    let (held, position) = (control.held("points"), control.publisher.store().position());
    control.touch("points", "b");
    control.publisher.connected(Time(0), SessionId(1));
    let subscriber = SubscriberName::try_from("balancer-1").expect("a name");
    control.say(1, SubscriberMessage::Hello { subscriber, position });
    let (add, rejected) = (vec![held], vec![control.held("points")]);
    control.say(
        1,
        SubscriberMessage::Scope { generation: 1, add, remove: vec![], rejected, last: true },
    );
    assert_eq!(bases(&control.said(1)), []);
    control.touch("points", "b");
    assert_eq!(bases(&control.said(1)).len(), 1);
}

#[test]
fn a_server_removed_while_the_snapshot_is_under_way_is_removed_within_it() {
    let options =
        PublisherOptions { max_queued_bytes: 100, chunk_bytes: 50, ..PublisherOptions::default() };
    let mut control = Control::new(StoreLimits::default(), options);
    control.change(
        (0..20).map(|id| set(server("points", &format!("s-{id:02}")), 1, b"body")).collect(),
    );
    control.connect(1, Position::default(), vec![nothing("points")]);
    control.writes = false;
    let mut said = control.said(1);
    assert_eq!(transfers(&said), [0; 0], "not yet whole");
    control.change(vec![Change::Remove { name: server("points", "s-00"), version: 2 }]);
    control.writes = true;
    control.publisher.written(Time(0), SessionId(1), usize::MAX, &mut control.out);
    said.extend(control.said(1));
    assert_eq!(transfers(&said).len(), 1);
    let last = changes(&said).pop();
    assert_eq!(last, Some(Change::Remove { name: server("points", "s-00"), version: 2 }));
    assert!(
        matches!(said.last(), Some(PublisherMessage::Commit { services, .. }) if services[0] == control.held("points"))
    );
}

#[test]
fn snapshots_have_turns_and_changes_do_not_wait_for_them() {
    let options = PublisherOptions { max_snapshots: 1, ..PublisherOptions::default() };
    let mut control = Control::new(StoreLimits::default(), options);
    control.touch("points", "a");
    control.touch("small", "a");
    let small = control.held("small");
    for session in 1..=3 {
        control.connect(session, Position::default(), vec![nothing("points"), small.clone()]);
    }
    let first = control.said(1);
    assert_eq!(bases(&first).len(), 1);
    assert_eq!(bases(&control.said(2)), []);
    let status = control.publisher.status();
    assert_eq!((status.snapshots, status.waiting_for_snapshot), (1, 2));
    control.touch("small", "b");
    assert_eq!(bases(&control.said(2)), [("small".to_owned(), Base::Delta { from: 2 })]);
    // The first goes, and the next has its turn.
    control.publisher.disconnected(Time(0), SessionId(1), &mut control.out);
    assert_eq!(bases(&control.said(2)).len(), 1);
    assert_eq!(bases(&control.said(3)).len(), 1, "the change alone");
}

#[test]
fn bytes_a_second_are_bounded_and_changes_go_before_snapshots() {
    let options = PublisherOptions {
        bytes_per_second: 10_000,
        burst_bytes: 2_000,
        chunk_bytes: 500,
        max_snapshots: 100,
        ..PublisherOptions::default()
    };
    let mut control = Control::new(StoreLimits::default(), options);
    control.change(
        (0..40).map(|id| set(server("points", &format!("s-{id}")), 1, &[0; 100])).collect(),
    );
    control.touch("small", "a");
    let small = control.held("small");
    for session in 1..=20 {
        control.connect(session, Position::default(), vec![nothing("points"), small.clone()]);
    }
    control.connect(21, Position::default(), vec![small]);
    let mut sent = 0;
    let mut change_seen = None;
    for step in 0..400 {
        if step == 100 {
            control.touch("small", "b");
        }
        for output in std::mem::take(&mut control.out) {
            let PublisherOutput::Send { session, frame } = output else {
                panic!("{output:?}");
            };
            sent += frame.len();
            control.publisher.written(Time(control.now), session, frame.len(), &mut control.out);
            let mut reader = FrameReader::new();
            reader.push(&frame);
            let message: Option<PublisherMessage> = reader.next().expect("a message");
            if bases(message.as_slice()).iter().any(|(service, _)| service == "small")
                && session.0 == 21
            {
                change_seen = change_seen.or(Some(step));
            }
        }
        let allowed = 2_000 + control.now / 100 + 1_000;
        assert!(sent as i64 <= allowed, "{sent} bytes at {} us", control.now);
        control.now += 10_000;
        control.publisher.tick(Time(control.now), &mut control.out);
    }
    assert!(sent > 35_000, "{sent} bytes: what may be sent is sent");
    // The snapshots take all the time there is; the change comes before them.
    assert!(change_seen.is_some_and(|step| step < 130), "{change_seen:?}");
}

#[test]
fn what_did_not_fit_comes_again_as_a_snapshot_and_the_third_time_ends_the_session() {
    let mut control = control();
    control.change(["a", "b", "c"].map(|id| set(server("points", id), 1, b"body")).to_vec());
    let held = control.held("points");
    control.connect(1, Position::default(), vec![held.clone()]);
    control.said(1);
    control.touch("points", "a");
    let mut said = control.said(1);
    assert_eq!(bases(&said)[0].1, Base::Delta { from: 1 });
    for _ in 0..2 {
        let reason = NackReason::Mismatch(vec![held.clone()]);
        control.say(1, SubscriberMessage::Nack { transfer: transfers(&said)[0], reason });
        said = control.said(1);
        assert_eq!(bases(&said)[0].1, Base::Snapshot);
    }
    let reason = NackReason::Mismatch(vec![held]);
    control.say(1, SubscriberMessage::Nack { transfer: transfers(&said)[0], reason });
    assert_eq!(control.closed(1), Some(CloseReason::Mismatch));
}

#[test]
fn what_is_too_large_for_one_transaction_comes_by_service() {
    for (max_transaction_bytes, services, transactions) in
        [(1_000, 10, 1), (100, 10, 2), (1_000, 1, 2)]
    {
        let options = PublisherOptions {
            max_transaction_bytes,
            max_transaction_services: services,
            ..PublisherOptions::default()
        };
        let mut control = Control::new(StoreLimits::default(), options);
        control.change(vec![set(server("points", "a"), 1, b""), set(server("other", "a"), 1, b"")]);
        let helds = vec![control.held("points"), control.held("other")];
        control.connect(1, Position::default(), helds);
        control.said(1);
        control.change(vec![
            set(server("points", "b"), 2, &[0; 40]),
            set(server("other", "b"), 2, &[0; 40]),
        ]);
        let mut said = control.said(1);
        // The second may wait for the first, for the bytes on the way have the same bound.
        for transfer in transfers(&said.clone()) {
            control.say(1, SubscriberMessage::Ack { transfer });
            said.extend(control.said(1));
        }
        assert_eq!(
            (transfers(&said).len(), bases(&said).len()),
            (transactions, 2),
            "{max_transaction_bytes}"
        );
    }
}

#[test]
fn one_tick_spends_all_that_may_be_spent() {
    let options = PublisherOptions {
        bytes_per_second: 4_000,
        burst_bytes: 4_000,
        chunk_bytes: 100,
        ..PublisherOptions::default()
    };
    let mut control = Control::new(StoreLimits::default(), options);
    control.change(
        (0..200).map(|id| set(server("points", &format!("s-{id}")), 1, &[0; 50])).collect(),
    );
    for session in 1..=2 {
        control.connect(session, Position::default(), vec![nothing("points")]);
    }
    control.said(1);
    control.said(2);
    control.tick(1);
    let sent = |output: &PublisherOutput| match output {
        PublisherOutput::Send { frame, .. } => frame.len(),
        PublisherOutput::Close { .. } => 0,
    };
    let bytes: usize = control.out.iter().map(sent).sum();
    assert!((3_800..4_200).contains(&bytes), "{bytes} bytes");
}

#[test]
fn silent_and_unanswering_sessions_are_closed() {
    let options =
        PublisherOptions { silence_timeout: Span(5 * SECOND), ..PublisherOptions::default() };
    let mut control = Control::new(StoreLimits::default(), options);
    control.touch("points", "a");
    control.connect(1, Position::default(), vec![nothing("points")]);
    control.connect(2, Position::default(), vec![]);
    control.said(1);
    control.said(2);
    for _ in 0..30 {
        control.say(1, SubscriberMessage::Ping { sequence: 0 });
        control.said(1);
        control.tick(1);
    }
    assert_eq!(control.closed(2), Some(CloseReason::Silent));
    assert_eq!(control.closed(1), Some(CloseReason::Unacknowledged));
    assert_eq!(control.publisher.due(), None, "no session, nothing to do");
}

#[test]
fn what_may_not_be_said_ends_the_session_and_is_counted() {
    let hello = || SubscriberMessage::Hello {
        subscriber: SubscriberName::try_from("b").expect("a name"),
        position: Position::default(),
    };
    let scope = |generation, count: usize| SubscriberMessage::Scope {
        generation,
        add: (0..count).map(|index| nothing(&format!("s-{index}"))).collect(),
        remove: vec![],
        rejected: vec![],
        last: true,
    };
    let cases = [
        vec![scope(1, 1)],
        vec![SubscriberMessage::Ack { transfer: 1 }],
        vec![hello(), hello()],
        vec![hello(), scope(2, 1)],
        vec![hello(), scope(1, 1_025)],
        vec![hello(), scope(1, 1), SubscriberMessage::Ack { transfer: 9 }],
    ];
    for messages in cases {
        let mut control = control();
        control.touch("points", "a");
        control.publisher.connected(Time(0), SessionId(1));
        for message in &messages {
            control.say(1, message.clone());
        }
        assert!(matches!(control.closed(1), Some(CloseReason::Violation(_))), "{messages:?}");
        assert_eq!(control.publisher.counters().violations, 1);
    }
    let options = PublisherOptions { max_scope_services: 10, ..PublisherOptions::default() };
    let mut control = Control::new(StoreLimits::default(), options);
    control.touch("points", "a");
    control.connect(
        1,
        Position::default(),
        (0..11).map(|index| nothing(&format!("s-{index}"))).collect(),
    );
    assert_eq!(control.closed(1), Some(CloseReason::Refused));
    assert_eq!(
        control.said(1).pop(),
        Some(PublisherMessage::Refused(Refusal::ScopeTooLarge { max: 10 }))
    );
}

#[test]
fn the_status_says_since_when_a_subscriber_lags_and_what_the_log_waits_for() {
    let mut control = control();
    control.touch("points", "a");
    control.connect(1, Position::default(), vec![control.held("points")]);
    control.said(1);
    let behind = |control: &Control| {
        let query = StatusQuery::Sessions { from: 0 };
        let page = control.publisher.status_page(Time(control.now), &query);
        let StatusRows::Sessions { sessions, .. } = page.rows else { panic!("no sessions") };
        sessions[0].lags.iter().map(|lag| lag.behind_ms).collect::<Vec<_>>()
    };
    assert_eq!(behind(&control), [0; 0]);
    control.touch("points", "b");
    let first = transfers(&control.said(1));
    control.now += 2 * SECOND;
    control.touch("points", "c");
    control.now += SECOND;
    assert_eq!(behind(&control), [3_000], "since the first that it has not");
    control.say(1, SubscriberMessage::Ack { transfer: first[0] });
    let second = transfers(&control.said(1));
    assert_eq!(behind(&control), [3_000], "it has caught up in part");
    control.say(1, SubscriberMessage::Ack { transfer: second[0] });
    assert_eq!(behind(&control), [0; 0]);
    control.touch("points", "d");
    control.now += SECOND;
    assert_eq!(behind(&control), [1_000], "since it fell behind anew");

    let log = LogStatus { next: 4, latest: 6, blocked_reason: "00000004.toml: missing".into() };
    control.publisher.set_log_status(log.clone());
    control.publisher.malformed(
        Time(control.now),
        SessionId(1),
        CodecError::Empty,
        &mut control.out,
    );
    let page = control.publisher.status_page(Time(control.now), &StatusQuery::Machine);
    let StatusRows::Machine(machine) = page.rows else { panic!("no machine") };
    assert_eq!((machine.log, machine.violations, machine.silent), (log, 1, 0));
}
