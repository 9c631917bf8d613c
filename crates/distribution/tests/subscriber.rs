//! Tests of the subscriber against scripted messages of control machines.

use std::collections::BTreeMap;

use sableloom_distribution::{
    Base, Change, ConnectionState, DisconnectReason, NackReason, Origin, Position,
    PublisherMessage, Refusal, Rejection, Resource, ResourceName, SavedState, ServiceBase,
    ServiceName, ServiceVersion, Subscriber, SubscriberEvent, SubscriberMessage, SubscriberName,
    SubscriberOptions, SubscriberOutput, Transaction, resource_digest,
};
use sableloom_types::Time;

/// One second in the unit of [`Time`], microseconds.
const SECOND: i64 = 1_000_000;

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).expect("a valid name")
}

fn server(service_name: &str, id: &str, version: u64, body: &[u8]) -> Resource {
    let origin = Origin { file: "change.toml".into(), line: 1 };
    Resource {
        name: ResourceName::server(service(service_name), id),
        version,
        origin,
        body: body.into(),
    }
}

fn log_position(number: u64) -> Position {
    Position { epoch: 1, number, chain: number * 7 }
}

fn options(machines: usize, scope: &[&str], seed: u64) -> SubscriberOptions {
    let name = SubscriberName::try_from("balancer").expect("a valid name");
    SubscriberOptions::new(name, machines, scope.iter().map(|name| service(name)).collect(), seed)
}

/// A subscriber, the current time in microseconds, and the outputs that a test has not read.
struct Balancer {
    subscriber: Subscriber,
    now: i64,
    out: Vec<SubscriberOutput>,
}

impl Balancer {
    fn new(options: SubscriberOptions) -> Balancer {
        let mut balancer =
            Balancer { subscriber: Subscriber::new(options), now: 0, out: Vec::new() };
        balancer.subscriber.start(Time(0), &mut balancer.out);
        balancer
    }

    /// Runs all timers until the subscriber connects, and returns the number of the control machine.
    fn next_connect(&mut self) -> usize {
        loop {
            for output in std::mem::take(&mut self.out) {
                if let SubscriberOutput::Connect { control_machine } = output {
                    return control_machine;
                }
            }
            let Some(Time(due)) = self.subscriber.due() else {
                panic!("no timer is running");
            };
            self.now = self.now.max(due);
            self.subscriber.tick(Time(self.now), &mut self.out);
        }
    }

    fn connected(&mut self) -> Vec<SubscriberMessage> {
        self.subscriber.connected(Time(self.now), &mut self.out);
        self.sent()
    }

    fn lose_connection(&mut self) {
        self.subscriber.disconnected(
            Time(self.now),
            DisconnectReason::Lost("reset".into()),
            &mut self.out,
        );
    }

    fn receive(&mut self, message: PublisherMessage) {
        self.subscriber.message(Time(self.now), message, &mut self.out);
    }

    fn open_session(&mut self, position: Position) -> Vec<SubscriberMessage> {
        self.next_connect();
        let sent = self.connected();
        self.receive(PublisherMessage::Welcome { position });
        sent
    }

    /// Delivers a transaction of one service.
    fn receive_transaction(
        &mut self,
        transaction: u64,
        position: Position,
        base: Base,
        changes: Vec<Change>,
        applied: ServiceVersion,
    ) {
        let services = vec![ServiceBase { service: applied.service.clone(), base }];
        self.receive(PublisherMessage::Begin { transaction, generation: 1, services });
        self.receive(PublisherMessage::Changes { transaction, changes });
        self.receive(PublisherMessage::Commit { transaction, position, services: vec![applied] });
    }

    /// Delivers a snapshot of a service with one server, and reports it as applied.
    fn apply_server(&mut self, service_name: &str, version: u64) -> Resource {
        let resource = server(service_name, "a", version, b"body");
        let applied = ServiceVersion {
            service: service(service_name),
            version,
            digest: resource_digest(&resource),
        };
        self.receive_transaction(
            version,
            log_position(version),
            Base::Snapshot,
            vec![Change::Set(resource.clone())],
            applied,
        );
        self.subscriber.apply_finished(version, Ok(()), &mut self.out);
        assert_eq!(self.sent(), [SubscriberMessage::Ack { transaction: version }]);
        resource
    }

    /// Returns the messages that were sent since the last call, without pings.
    fn sent(&mut self) -> Vec<SubscriberMessage> {
        let sent = self.take(|output| match output {
            SubscriberOutput::Send(message) => Ok(message),
            output => Err(output),
        });
        sent.into_iter()
            .filter(|message| !matches!(message, SubscriberMessage::Ping { .. }))
            .collect()
    }

    /// Returns the transactions that were handed out since the last call.
    fn transactions(&mut self) -> Vec<Transaction> {
        self.take(|output| match output {
            SubscriberOutput::Apply(transaction) => Ok(transaction),
            output => Err(output),
        })
    }

    fn events(&mut self) -> Vec<SubscriberEvent> {
        self.take(|output| match output {
            SubscriberOutput::Event(event) => Ok(event),
            output => Err(output),
        })
    }

    /// Returns the reason for which the subscriber has closed the connection since the last call.
    fn closed(&mut self) -> Option<DisconnectReason> {
        let closed = self.take(|output| match output {
            SubscriberOutput::Close { reason } => Ok(reason),
            output => Err(output),
        });
        closed.into_iter().next()
    }

    /// Removes the outputs that `pick` selects, and returns their values.
    fn take<T>(
        &mut self,
        pick: impl Fn(SubscriberOutput) -> Result<T, SubscriberOutput>,
    ) -> Vec<T> {
        let mut taken = Vec::new();
        for output in std::mem::take(&mut self.out) {
            match pick(output) {
                Ok(value) => taken.push(value),
                Err(output) => self.out.push(output),
            }
        }
        taken
    }
}

#[test]
fn the_scope_follows_the_hello_and_reports_the_applied_versions_after_a_lost_connection() {
    let mut balancer = Balancer::new(options(2, &["points", "partners"], 1));
    let sent = balancer.open_session(log_position(3));
    let not_applied =
        |service_name| ServiceVersion { service: service(service_name), version: 0, digest: 0 };
    assert!(
        matches!(&sent[0], SubscriberMessage::Hello { position, .. } if *position == Position::default())
    );
    let SubscriberMessage::Scope { add, last: true, .. } = &sent[1] else { panic!("{sent:?}") };
    assert_eq!(*add, [not_applied("partners"), not_applied("points")]);
    let resource = balancer.apply_server("points", 3);
    balancer.lose_connection();
    balancer.next_connect();
    let sent = balancer.connected();
    assert!(
        matches!(&sent[0], SubscriberMessage::Hello { position, .. } if *position == log_position(3))
    );
    let SubscriberMessage::Scope { add, .. } = &sent[1] else { panic!("{sent:?}") };
    assert_eq!(
        add[1],
        ServiceVersion {
            service: service("points"),
            version: 3,
            digest: resource_digest(&resource)
        }
    );
}

#[test]
fn a_transaction_with_a_wrong_digest_or_base_is_reported_as_a_mismatch_and_not_applied() {
    let mut balancer = Balancer::new(options(1, &["points"], 1));
    balancer.open_session(log_position(3));
    let resource = balancer.apply_server("points", 3);
    let applied = ServiceVersion {
        service: service("points"),
        version: 3,
        digest: resource_digest(&resource),
    };
    let change = Change::Set(server("points", "b", 4, b"x"));
    let wrong = ServiceVersion { version: 4, digest: 1, ..applied.clone() };
    balancer.transactions();
    balancer.receive_transaction(
        9,
        log_position(4),
        Base::Delta { from: 3 },
        vec![change.clone()],
        wrong,
    );
    assert_eq!(
        balancer.sent(),
        [SubscriberMessage::Nack {
            transaction: 9,
            reason: NackReason::Mismatch(vec![applied.clone()])
        }]
    );
    // The digest is correct, but the base is not the applied version.
    let digest = applied.digest.wrapping_add(resource_digest(&server("points", "b", 4, b"x")));
    let right = ServiceVersion { version: 4, digest, ..applied.clone() };
    balancer.receive_transaction(
        10,
        log_position(4),
        Base::Delta { from: 2 },
        vec![change.clone()],
        right.clone(),
    );
    assert_eq!(
        balancer.sent(),
        [SubscriberMessage::Nack { transaction: 10, reason: NackReason::Mismatch(vec![applied]) }]
    );
    assert_eq!(balancer.transactions(), []);
    balancer.receive_transaction(11, log_position(4), Base::Delta { from: 3 }, vec![change], right);
    assert_eq!(balancer.transactions().len(), 1);
}

#[test]
fn a_rejected_transaction_leaves_the_last_good_state_and_is_reported_with_its_origin() {
    let mut balancer = Balancer::new(options(1, &["points"], 1));
    balancer.open_session(log_position(3));
    let resource = balancer.apply_server("points", 3);
    let new = server("points", "a", 4, b"bad");
    let applied =
        ServiceVersion { service: service("points"), version: 4, digest: resource_digest(&new) };
    balancer.receive_transaction(
        9,
        log_position(4),
        Base::Delta { from: 3 },
        vec![Change::Set(new.clone())],
        applied.clone(),
    );
    let problem = Rejection {
        resource: new.name.clone(),
        origin: Origin { file: "change.toml".into(), line: 12 },
        field: "address".into(),
        problem: "no address".into(),
    };
    balancer.subscriber.apply_finished(9, Err(vec![problem.clone()]), &mut balancer.out);
    let reason = NackReason::Rejected(vec![problem]);
    assert_eq!(balancer.sent(), [SubscriberMessage::Nack { transaction: 9, reason }]);
    assert!(balancer.subscriber.resources(&service("points")).eq([&resource]));
    assert_eq!(balancer.subscriber.status(Time(0)).rejected, [service("points")]);
    // The next control machine gets a report of the rejection as well.
    balancer.lose_connection();
    balancer.next_connect();
    let SubscriberMessage::Scope { rejected, .. } = &balancer.connected()[1] else {
        panic!("no scope message was sent")
    };
    assert_eq!(*rejected, [applied]);
}

#[test]
fn an_incomplete_transaction_is_dropped_with_its_connection() {
    let mut balancer = Balancer::new(options(2, &["points"], 1));
    balancer.open_session(log_position(3));
    let resource = balancer.apply_server("points", 3);
    let services = vec![ServiceBase { service: service("points"), base: Base::Snapshot }];
    balancer.receive(PublisherMessage::Begin { transaction: 9, generation: 1, services });
    balancer.receive(PublisherMessage::Changes {
        transaction: 9,
        changes: vec![Change::Set(server("points", "z", 4, b"z"))],
    });
    assert!(balancer.subscriber.buffered_bytes() > 0);
    balancer.lose_connection();
    assert_eq!(balancer.subscriber.buffered_bytes(), 0);
    assert!(balancer.subscriber.resources(&service("points")).eq([&resource]));
    // On the next connection, the commit of the dropped transaction violates the protocol.
    balancer.open_session(log_position(4));
    balancer.receive(PublisherMessage::Commit {
        transaction: 9,
        position: log_position(4),
        services: vec![],
    });
    assert!(matches!(balancer.closed(), Some(DisconnectReason::Violation(_))));
}

#[test]
fn a_transaction_over_the_buffer_limit_closes_the_connection() {
    let mut balancer = Balancer::new(SubscriberOptions {
        max_transaction_bytes: 2_000,
        ..options(2, &["points"], 1)
    });
    balancer.open_session(log_position(3));
    let services = vec![ServiceBase { service: service("points"), base: Base::Snapshot }];
    balancer.receive(PublisherMessage::Begin { transaction: 9, generation: 1, services });
    for id in 0..30 {
        let change = Change::Set(server("points", &id.to_string(), 3, &[0; 100]));
        balancer.receive(PublisherMessage::Changes { transaction: 9, changes: vec![change] });
        assert!(balancer.subscriber.buffered_bytes() <= 2_200);
    }
    assert_eq!(balancer.closed(), Some(DisconnectReason::TransactionTooLarge));
}

#[test]
fn the_hello_waits_for_the_answers_to_transactions_of_an_earlier_connection() {
    let mut balancer = Balancer::new(options(2, &["points"], 1));
    balancer.open_session(log_position(3));
    let resource = server("points", "a", 3, b"body");
    let applied = ServiceVersion {
        service: service("points"),
        version: 3,
        digest: resource_digest(&resource),
    };
    balancer.receive_transaction(
        9,
        log_position(3),
        Base::Snapshot,
        vec![Change::Set(resource)],
        applied.clone(),
    );
    balancer.lose_connection();
    balancer.next_connect();
    assert_eq!(balancer.connected(), []);
    balancer.subscriber.apply_finished(9, Ok(()), &mut balancer.out);
    let sent = balancer.sent();
    let [SubscriberMessage::Hello { .. }, SubscriberMessage::Scope { add, .. }] = &sent[..] else {
        panic!("{sent:?}")
    };
    assert_eq!(
        *add,
        [applied],
        "the scope reports the applied version, and no acknowledgement is sent"
    );
}

#[test]
fn a_control_machine_that_is_behind_or_diverged_is_not_followed() {
    let mut balancer = Balancer::new(options(3, &["points"], 1));
    balancer.open_session(log_position(5));
    balancer.lose_connection();
    let behind = balancer.next_connect();
    balancer.connected();
    balancer.receive(PublisherMessage::Welcome { position: log_position(4) });
    assert_eq!(balancer.closed(), Some(DisconnectReason::Behind(log_position(4))));
    let diverged = balancer.next_connect();
    assert_ne!(diverged, behind);
    balancer.connected();
    let other = Position { chain: 1, ..log_position(5) };
    balancer.receive(PublisherMessage::Welcome { position: other });
    assert_eq!(balancer.closed(), Some(DisconnectReason::Diverged(other)));
    let diverged_event = SubscriberEvent::Diverged {
        control_machine: diverged,
        latest_position: log_position(5),
        machine_position: other,
    };
    assert!(balancer.events().contains(&diverged_event));
    // A refusal by the control machine has the same effect as a diverged position in its welcome.
    balancer.next_connect();
    balancer.connected();
    balancer.receive(PublisherMessage::Refused(Refusal::Diverged { position: other }));
    assert_eq!(balancer.closed(), Some(DisconnectReason::Diverged(other)));
    // A higher epoch is accepted although its number is lower, and the lower epoch is not accepted after it.
    balancer.open_session(Position { epoch: 2, number: 1, chain: 3 });
    assert_eq!(balancer.closed(), None);
    balancer.lose_connection();
    balancer.open_session(log_position(99));
    assert_eq!(balancer.closed(), Some(DisconnectReason::Behind(log_position(99))));
}

#[test]
fn drift_is_detected_by_recomputing_the_digest_and_the_service_is_requested_again() {
    let mut balancer = Balancer::new(options(1, &["points", "partners"], 1));
    balancer.open_session(log_position(3));
    balancer.apply_server("points", 3);
    balancer.events();
    balancer.subscriber.corrupt(&service("points"), 0, b"flip".as_slice().into());
    let digest = resource_digest(
        balancer.subscriber.resources(&service("points")).next().expect("the service has a server"),
    );
    for _ in 0..3 {
        balancer.receive(PublisherMessage::Pong { sequence: 0 });
        balancer.now += SECOND;
        balancer.subscriber.tick(Time(balancer.now), &mut balancer.out);
    }
    assert_eq!(balancer.events(), [SubscriberEvent::Drift { service: service("points") }]);
    let sent = balancer.sent();
    let [SubscriberMessage::Scope { generation: 2, add, .. }] = &sent[..] else {
        panic!("{sent:?}")
    };
    assert_eq!(*add, [ServiceVersion { service: service("points"), version: 3, digest }]);
}

#[test]
fn the_first_mismatched_bookmark_resends_the_scope_and_the_second_closes_the_connection() {
    let mut balancer = Balancer::new(options(1, &["points"], 1));
    balancer.open_session(log_position(3));
    let bookmark =
        |generation| PublisherMessage::Current { position: log_position(3), generation, digest: 1 };
    balancer.receive(bookmark(0));
    assert_eq!(balancer.sent(), [], "a bookmark of an earlier scope is ignored");
    balancer.receive(bookmark(1));
    assert_eq!(balancer.sent().len(), 1);
    balancer.receive(bookmark(2));
    assert!(matches!(balancer.closed(), Some(DisconnectReason::Violation(_))));
}

#[test]
fn a_service_that_is_removed_and_added_again_ignores_earlier_transactions() {
    let mut balancer = Balancer::new(options(1, &["points", "partners"], 1));
    balancer.open_session(log_position(3));
    balancer.apply_server("points", 3);
    balancer.transactions();
    let new = server("points", "b", 4, b"x");
    let services = vec![ServiceBase { service: service("points"), base: Base::Delta { from: 3 } }];
    balancer.receive(PublisherMessage::Begin { transaction: 9, generation: 1, services });
    balancer.subscriber.set_scope(vec![service("partners")], &mut balancer.out);
    balancer.subscriber.set_scope(vec![service("partners"), service("points")], &mut balancer.out);
    let sent = balancer.sent();
    let [
        SubscriberMessage::Scope { remove, .. },
        SubscriberMessage::Scope { add, generation: 3, .. },
    ] = &sent[..]
    else {
        panic!("{sent:?}")
    };
    assert_eq!((remove.len(), add[0].version), (1, 0));
    balancer.receive(PublisherMessage::Changes { transaction: 9, changes: vec![Change::Set(new)] });
    let applied = ServiceVersion { service: service("points"), version: 4, digest: 1 };
    balancer.receive(PublisherMessage::Commit {
        transaction: 9,
        position: log_position(4),
        services: vec![applied],
    });
    assert_eq!(balancer.transactions(), []);
    assert_eq!(balancer.sent(), [SubscriberMessage::Ack { transaction: 9 }]);
    assert_eq!(balancer.subscriber.resources(&service("points")).count(), 0);
}

#[test]
fn an_apply_that_finishes_after_its_service_was_removed_and_added_again_has_no_effect() {
    let mut balancer = Balancer::new(options(1, &["points"], 1));
    balancer.open_session(log_position(3));
    let resource = server("points", "a", 3, b"body");
    let applied = ServiceVersion {
        service: service("points"),
        version: 3,
        digest: resource_digest(&resource),
    };
    balancer.receive_transaction(
        9,
        log_position(3),
        Base::Snapshot,
        vec![Change::Set(resource)],
        applied,
    );
    balancer.subscriber.set_scope(vec![], &mut balancer.out);
    balancer.subscriber.set_scope(vec![service("points")], &mut balancer.out);
    balancer.subscriber.apply_finished(9, Ok(()), &mut balancer.out);
    assert_eq!(
        balancer.subscriber.service_versions().map(|applied| applied.version).collect::<Vec<_>>(),
        [0]
    );
}

#[test]
fn without_any_control_machine_the_last_good_state_stays_and_unreachable_is_reported_once() {
    let mut balancer = Balancer::new(options(57, &["points"], 1));
    balancer.open_session(log_position(3));
    let resource = balancer.apply_server("points", 3);
    balancer.lose_connection();
    let last_contact = balancer.now;
    let mut unreachable = 0;
    let mut connects = 0;
    while balancer.now < last_contact + 3_600 * SECOND {
        unreachable += balancer
            .events()
            .iter()
            .filter(|event| **event == SubscriberEvent::Unreachable)
            .count();
        balancer.next_connect();
        connects += 1;
        balancer.subscriber.disconnected(
            Time(balancer.now),
            DisconnectReason::ConnectFailed("refused".into()),
            &mut balancer.out,
        );
    }
    assert_eq!(unreachable, 1);
    // The mean backoff is 2 s, which gives 1,800 attempts in an hour.
    assert!((900..4_500).contains(&connects), "{connects} in an hour");
    let status = balancer.subscriber.status(Time(balancer.now));
    assert_eq!(status.last_contact_age.map(|age| age.0), Some(balancer.now - last_contact));
    assert!(matches!(status.connection, ConnectionState::Waiting { .. }));
    assert!(balancer.subscriber.resources(&service("points")).eq([&resource]));
}

#[test]
fn the_subscribers_of_a_failed_control_machine_spread_over_the_others_and_over_time() {
    let mut by_machine: BTreeMap<usize, u32> = BTreeMap::new();
    let mut by_tenth_of_second: BTreeMap<i64, u32> = BTreeMap::new();
    // With 57 control machines, one of them has 133 of 7,600 subscribers.
    for seed in 0..133 {
        let mut balancer = Balancer::new(options(57, &["points"], seed));
        let first = balancer.next_connect();
        balancer.connected();
        balancer.receive(PublisherMessage::Welcome { position: log_position(1) });
        let lost_at = balancer.now;
        balancer.lose_connection();
        let next = balancer.next_connect();
        assert_ne!(next, first);
        *by_machine.entry(next).or_default() += 1;
        *by_tenth_of_second.entry((balancer.now - lost_at) / 100_000).or_default() += 1;
    }
    // The mean is 2.4 subscribers for each of the 56 other machines, and 13.3 for each tenth of a second of the first
    // backoff, which is 1 s at most.
    assert!(by_machine.values().all(|count| *count <= 10), "{by_machine:?}");
    assert!(
        by_tenth_of_second.len() == 10 && by_tenth_of_second.values().all(|count| *count <= 30),
        "{by_tenth_of_second:?}"
    );
}

#[test]
fn a_restart_restores_the_saved_state_except_for_damaged_services() {
    let mut balancer = Balancer::new(options(1, &["points", "partners"], 1));
    balancer.open_session(log_position(3));
    balancer.apply_server("points", 3);
    balancer.apply_server("partners", 4);
    let mut saved = balancer.subscriber.saved_state();
    assert_eq!(saved.position, log_position(4));
    let restored = |saved: &SavedState, scope: &[&str]| {
        Balancer::new(SubscriberOptions {
            saved_state: Some(saved.clone()),
            ..options(1, scope, 2)
        })
    };
    let second = restored(&saved, &["points", "partners"]);
    assert!(second.subscriber.service_versions().eq(balancer.subscriber.service_versions()));
    assert_eq!(second.subscriber.saved_state(), saved);
    assert_eq!(restored(&saved, &["points"]).subscriber.status(Time(0)).services_applied, 1);
    saved.services[1].resources[0].body = b"flip".as_slice().into();
    let mut damaged = restored(&saved, &["points", "partners"]);
    assert_eq!(
        damaged.events(),
        [SubscriberEvent::SavedStateDamaged { service: service("points") }]
    );
    assert_eq!(damaged.subscriber.resources(&service("points")).count(), 0);
    // Only the first of several bookmarks that match is reported.
    let digest = balancer.subscriber.service_versions().fold(0u64, |sum, applied| {
        sum.wrapping_add(sableloom_distribution::scope_digest_term(
            &applied.service,
            applied.version,
            applied.digest,
        ))
    });
    balancer.events();
    balancer.receive(PublisherMessage::Current {
        position: log_position(4),
        generation: 1,
        digest,
    });
    balancer.receive(PublisherMessage::Current {
        position: log_position(5),
        generation: 1,
        digest,
    });
    assert_eq!(balancer.events(), [SubscriberEvent::Current { position: log_position(4) }]);
}
