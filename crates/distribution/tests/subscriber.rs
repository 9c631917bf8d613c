//! The balancer's side, one case each.

use std::collections::BTreeMap;

use sableloom_distribution::{
    Base, Change, ConnectionState, DisconnectReason, NackReason, Origin, Position,
    PublisherMessage, Refusal, Rejection, Resource, ResourceName, SavedState, ServiceBase,
    ServiceName, ServiceVersion, Subscriber, SubscriberEvent, SubscriberMessage, SubscriberName,
    SubscriberOptions, SubscriberOutput, Transaction, resource_digest,
};
use sableloom_types::Time;

const SECOND: i64 = 1_000_000;

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).expect("a name")
}

fn server(of: &str, id: &str, version: u64, body: &[u8]) -> Resource {
    let origin = Origin { file: "change.toml".into(), line: 1 };
    Resource { name: ResourceName::server(service(of), id), version, origin, body: body.into() }
}

fn at(number: u64) -> Position {
    Position { epoch: 1, number, chain: number * 7 }
}

fn options(machines: usize, scope: &[&str], seed: u64) -> SubscriberOptions {
    let name = SubscriberName::try_from("balancer").expect("a name");
    SubscriberOptions::new(name, machines, scope.iter().map(|name| service(name)).collect(), seed)
}

/// A subscriber, and what it has ordered.
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

    /// Lets time pass up to the next connection, with all that is due on the way.
    fn connects(&mut self) -> usize {
        loop {
            for output in std::mem::take(&mut self.out) {
                if let SubscriberOutput::Connect { control } = output {
                    return control;
                }
            }
            let Some(Time(due)) = self.subscriber.due() else {
                panic!("nothing is due");
            };
            self.now = self.now.max(due);
            self.subscriber.tick(Time(self.now), &mut self.out);
        }
    }

    fn connected(&mut self) -> Vec<SubscriberMessage> {
        self.subscriber.connected(Time(self.now), &mut self.out);
        self.sent()
    }

    fn lost(&mut self) {
        self.subscriber.disconnected(
            Time(self.now),
            DisconnectReason::Lost("reset".into()),
            &mut self.out,
        );
    }

    fn hear(&mut self, message: PublisherMessage) {
        self.subscriber.message(Time(self.now), message, &mut self.out);
    }

    fn greet(&mut self, position: Position) -> Vec<SubscriberMessage> {
        self.connects();
        let sent = self.connected();
        self.hear(PublisherMessage::Welcome { position });
        sent
    }

    /// A transaction over one service, as a control machine sends it.
    fn transfer(
        &mut self,
        transfer: u64,
        position: Position,
        base: Base,
        changes: Vec<Change>,
        held: ServiceVersion,
    ) {
        let services = vec![ServiceBase { service: held.service.clone(), base }];
        self.hear(PublisherMessage::Begin { transfer, generation: 1, services });
        self.hear(PublisherMessage::Changes { transfer, changes });
        self.hear(PublisherMessage::Commit { transfer, position, services: vec![held] });
    }

    /// A snapshot of one server, applied.
    fn has(&mut self, of: &str, version: u64) -> Resource {
        let resource = server(of, "a", version, b"body");
        let held =
            ServiceVersion { service: service(of), version, digest: resource_digest(&resource) };
        self.transfer(
            version,
            at(version),
            Base::Snapshot,
            vec![Change::Set(resource.clone())],
            held,
        );
        self.subscriber.apply_finished(Time(self.now), version, Ok(()), &mut self.out);
        assert_eq!(self.sent(), [SubscriberMessage::Ack { transfer: version }]);
        resource
    }

    fn sent(&mut self) -> Vec<SubscriberMessage> {
        let sent = self.take(|output| match output {
            SubscriberOutput::Send(message) => Ok(message),
            output => Err(output),
        });
        sent.into_iter()
            .filter(|message| !matches!(message, SubscriberMessage::Ping { .. }))
            .collect()
    }

    fn applies(&mut self) -> Vec<Transaction> {
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

    fn closed(&mut self) -> Option<DisconnectReason> {
        let closed = self.take(|output| match output {
            SubscriberOutput::Close { reason } => Ok(reason),
            output => Err(output),
        });
        closed.into_iter().next()
    }

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
fn a_new_scope_comes_by_hello_and_what_is_held_is_told_after_a_loss() {
    let mut balancer = Balancer::new(options(2, &["points", "partners"], 1));
    let sent = balancer.greet(at(3));
    let nothing = |of| ServiceVersion { service: service(of), version: 0, digest: 0 };
    assert!(
        matches!(&sent[0], SubscriberMessage::Hello { position, .. } if *position == Position::default())
    );
    let SubscriberMessage::Scope { add, last: true, .. } = &sent[1] else { panic!("{sent:?}") };
    assert_eq!(*add, [nothing("partners"), nothing("points")]);
    let resource = balancer.has("points", 3);
    balancer.lost();
    balancer.connects();
    let sent = balancer.connected();
    assert!(matches!(&sent[0], SubscriberMessage::Hello { position, .. } if *position == at(3)));
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
fn a_transaction_with_a_wrong_digest_reaches_no_shell() {
    let mut balancer = Balancer::new(options(1, &["points"], 1));
    balancer.greet(at(3));
    let resource = balancer.has("points", 3);
    let held = ServiceVersion {
        service: service("points"),
        version: 3,
        digest: resource_digest(&resource),
    };
    let change = Change::Set(server("points", "b", 4, b"x"));
    let wrong = ServiceVersion { version: 4, digest: 1, ..held.clone() };
    balancer.applies();
    balancer.transfer(9, at(4), Base::Delta { from: 3 }, vec![change.clone()], wrong);
    assert_eq!(
        balancer.sent(),
        [SubscriberMessage::Nack { transfer: 9, reason: NackReason::Mismatch(vec![held.clone()]) }]
    );
    // Right, but on the ground of what is not there.
    let digest = held.digest.wrapping_add(resource_digest(&server("points", "b", 4, b"x")));
    let right = ServiceVersion { version: 4, digest, ..held.clone() };
    balancer.transfer(10, at(4), Base::Delta { from: 2 }, vec![change.clone()], right.clone());
    assert_eq!(
        balancer.sent(),
        [SubscriberMessage::Nack { transfer: 10, reason: NackReason::Mismatch(vec![held]) }]
    );
    assert_eq!(balancer.applies(), []);
    balancer.transfer(11, at(4), Base::Delta { from: 3 }, vec![change], right);
    assert_eq!(balancer.applies().len(), 1);
}

#[test]
fn what_the_shell_refuses_leaves_the_last_good_and_is_told_with_its_line() {
    let mut balancer = Balancer::new(options(1, &["points"], 1));
    balancer.greet(at(3));
    let resource = balancer.has("points", 3);
    let new = server("points", "a", 4, b"bad");
    let held =
        ServiceVersion { service: service("points"), version: 4, digest: resource_digest(&new) };
    balancer.transfer(
        9,
        at(4),
        Base::Delta { from: 3 },
        vec![Change::Set(new.clone())],
        held.clone(),
    );
    let problem = Rejection {
        resource: new.name.clone(),
        origin: Origin { file: "change.toml".into(), line: 12 },
        field: "address".into(),
        problem: "no address".into(),
    };
    balancer.subscriber.apply_finished(Time(0), 9, Err(vec![problem.clone()]), &mut balancer.out);
    let reason = NackReason::Rejected(vec![problem]);
    assert_eq!(balancer.sent(), [SubscriberMessage::Nack { transfer: 9, reason }]);
    assert!(balancer.subscriber.resources(&service("points")).eq([&resource]));
    assert_eq!(balancer.subscriber.status(Time(0)).rejected, [service("points")]);
    // The next control machine is told as well.
    balancer.lost();
    balancer.connects();
    let SubscriberMessage::Scope { rejected, .. } = &balancer.connected()[1] else {
        panic!("no scope")
    };
    assert_eq!(*rejected, [held]);
}

#[test]
fn half_a_transaction_is_dropped_with_its_connection() {
    let mut balancer = Balancer::new(options(2, &["points"], 1));
    balancer.greet(at(3));
    let resource = balancer.has("points", 3);
    let services = vec![ServiceBase { service: service("points"), base: Base::Snapshot }];
    balancer.hear(PublisherMessage::Begin { transfer: 9, generation: 1, services });
    balancer.hear(PublisherMessage::Changes {
        transfer: 9,
        changes: vec![Change::Set(server("points", "z", 4, b"z"))],
    });
    assert!(balancer.subscriber.buffered_bytes() > 0);
    balancer.lost();
    assert_eq!(balancer.subscriber.buffered_bytes(), 0);
    assert!(balancer.subscriber.resources(&service("points")).eq([&resource]));
    // And no end of it is taken on the next.
    balancer.greet(at(4));
    balancer.hear(PublisherMessage::Commit { transfer: 9, position: at(4), services: vec![] });
    assert!(matches!(balancer.closed(), Some(DisconnectReason::Violation(_))));
}

#[test]
fn a_transaction_beyond_the_buffer_ends_the_connection() {
    let mut balancer = Balancer::new(SubscriberOptions {
        max_transaction_bytes: 2_000,
        ..options(2, &["points"], 1)
    });
    balancer.greet(at(3));
    let services = vec![ServiceBase { service: service("points"), base: Base::Snapshot }];
    balancer.hear(PublisherMessage::Begin { transfer: 9, generation: 1, services });
    for id in 0..30 {
        let change = Change::Set(server("points", &id.to_string(), 3, &[0; 100]));
        balancer.hear(PublisherMessage::Changes { transfer: 9, changes: vec![change] });
        assert!(balancer.subscriber.buffered_bytes() <= 2_200);
    }
    assert_eq!(balancer.closed(), Some(DisconnectReason::TooLarge));
}

#[test]
fn hello_waits_for_the_shell_to_answer_what_it_has_of_an_earlier_connection() {
    let mut balancer = Balancer::new(options(2, &["points"], 1));
    balancer.greet(at(3));
    let resource = server("points", "a", 3, b"body");
    let held = ServiceVersion {
        service: service("points"),
        version: 3,
        digest: resource_digest(&resource),
    };
    balancer.transfer(9, at(3), Base::Snapshot, vec![Change::Set(resource)], held.clone());
    balancer.lost();
    balancer.connects();
    assert_eq!(balancer.connected(), []);
    balancer.subscriber.apply_finished(Time(balancer.now), 9, Ok(()), &mut balancer.out);
    let sent = balancer.sent();
    let [SubscriberMessage::Hello { .. }, SubscriberMessage::Scope { add, .. }] = &sent[..] else {
        panic!("{sent:?}")
    };
    assert_eq!(*add, [held], "and no answer to the earlier connection's transaction");
}

#[test]
fn no_control_machine_that_is_behind_or_diverged_is_followed() {
    let mut balancer = Balancer::new(options(3, &["points"], 1));
    balancer.greet(at(5));
    balancer.lost();
    let behind = balancer.connects();
    balancer.connected();
    balancer.hear(PublisherMessage::Welcome { position: at(4) });
    assert_eq!(balancer.closed(), Some(DisconnectReason::Behind(at(4))));
    let diverged = balancer.connects();
    assert_ne!(diverged, behind);
    balancer.connected();
    let other = Position { chain: 1, ..at(5) };
    balancer.hear(PublisherMessage::Welcome { position: other });
    assert_eq!(balancer.closed(), Some(DisconnectReason::Diverged(other)));
    let named = SubscriberEvent::Diverged { control: diverged, seen: at(5), other };
    assert!(balancer.events().contains(&named));
    // Told by the control machine, it is the same.
    balancer.connects();
    balancer.connected();
    balancer.hear(PublisherMessage::Refused(Refusal::Diverged { position: other }));
    assert_eq!(balancer.closed(), Some(DisconnectReason::Diverged(other)));
    // A raised epoch is taken though its number is lower; the old one never again.
    balancer.greet(Position { epoch: 2, number: 1, chain: 3 });
    assert_eq!(balancer.closed(), None);
    balancer.lost();
    balancer.greet(at(99));
    assert_eq!(balancer.closed(), Some(DisconnectReason::Behind(at(99))));
}

#[test]
fn drift_is_found_by_counting_anew_and_the_service_is_named_again() {
    let mut balancer = Balancer::new(options(1, &["points", "partners"], 1));
    balancer.greet(at(3));
    balancer.has("points", 3);
    balancer.events();
    balancer.subscriber.corrupt(&service("points"), 0, b"flip".as_slice().into());
    let digest = resource_digest(
        balancer.subscriber.resources(&service("points")).next().expect("a server"),
    );
    for _ in 0..3 {
        balancer.hear(PublisherMessage::Pong { sequence: 0 });
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
fn a_bookmark_that_does_not_fit_has_the_whole_scope_named_anew_once() {
    let mut balancer = Balancer::new(options(1, &["points"], 1));
    balancer.greet(at(3));
    let bookmark =
        |generation| PublisherMessage::Current { position: at(3), generation, digest: 1 };
    balancer.hear(bookmark(0));
    assert_eq!(balancer.sent(), [], "a bookmark of an earlier scope says nothing");
    balancer.hear(bookmark(1));
    assert_eq!(balancer.sent().len(), 1);
    balancer.hear(bookmark(2));
    assert!(matches!(balancer.closed(), Some(DisconnectReason::Violation(_))));
}

#[test]
fn a_service_that_has_left_the_scope_and_come_back_takes_nothing_of_before() {
    let mut balancer = Balancer::new(options(1, &["points", "partners"], 1));
    balancer.greet(at(3));
    balancer.has("points", 3);
    balancer.applies();
    let new = server("points", "b", 4, b"x");
    let services = vec![ServiceBase { service: service("points"), base: Base::Delta { from: 3 } }];
    balancer.hear(PublisherMessage::Begin { transfer: 9, generation: 1, services });
    balancer.subscriber.set_scope(Time(0), vec![service("partners")], &mut balancer.out);
    balancer.subscriber.set_scope(
        Time(0),
        vec![service("partners"), service("points")],
        &mut balancer.out,
    );
    let sent = balancer.sent();
    let [
        SubscriberMessage::Scope { remove, .. },
        SubscriberMessage::Scope { add, generation: 3, .. },
    ] = &sent[..]
    else {
        panic!("{sent:?}")
    };
    assert_eq!((remove.len(), add[0].version), (1, 0));
    balancer.hear(PublisherMessage::Changes { transfer: 9, changes: vec![Change::Set(new)] });
    let held = ServiceVersion { service: service("points"), version: 4, digest: 1 };
    balancer.hear(PublisherMessage::Commit { transfer: 9, position: at(4), services: vec![held] });
    assert_eq!(balancer.applies(), []);
    assert_eq!(balancer.sent(), [SubscriberMessage::Ack { transfer: 9 }]);
    assert_eq!(balancer.subscriber.resources(&service("points")).count(), 0);
}

#[test]
fn what_the_shell_answers_after_its_service_has_left_and_come_back_is_not_put_in_force() {
    let mut balancer = Balancer::new(options(1, &["points"], 1));
    balancer.greet(at(3));
    let resource = server("points", "a", 3, b"body");
    let held = ServiceVersion {
        service: service("points"),
        version: 3,
        digest: resource_digest(&resource),
    };
    balancer.transfer(9, at(3), Base::Snapshot, vec![Change::Set(resource)], held);
    balancer.subscriber.set_scope(Time(0), vec![], &mut balancer.out);
    balancer.subscriber.set_scope(Time(0), vec![service("points")], &mut balancer.out);
    balancer.subscriber.apply_finished(Time(0), 9, Ok(()), &mut balancer.out);
    assert_eq!(
        balancer.subscriber.service_versions().map(|held| held.version).collect::<Vec<_>>(),
        [0]
    );
}

#[test]
fn without_any_control_machine_the_last_good_stays_and_that_is_said_once_with_its_age() {
    let mut balancer = Balancer::new(options(57, &["points"], 1));
    balancer.greet(at(3));
    let resource = balancer.has("points", 3);
    balancer.lost();
    let heard = balancer.now;
    let mut unreachable = 0;
    let mut connects = 0;
    while balancer.now < heard + 3_600 * SECOND {
        unreachable += balancer
            .events()
            .iter()
            .filter(|event| **event == SubscriberEvent::Unreachable)
            .count();
        balancer.connects();
        connects += 1;
        balancer.subscriber.disconnected(
            Time(balancer.now),
            DisconnectReason::ConnectFailed("refused".into()),
            &mut balancer.out,
        );
    }
    assert_eq!(unreachable, 1);
    // A backoff of 2 s in the mean: 1,800 in an hour.
    assert!((900..4_500).contains(&connects), "{connects} in an hour");
    let status = balancer.subscriber.status(Time(balancer.now));
    assert_eq!(status.last_contact_age.map(|age| age.0), Some(balancer.now - heard));
    assert!(matches!(status.connection, ConnectionState::Waiting { .. }));
    assert!(balancer.subscriber.resources(&service("points")).eq([&resource]));
}

#[test]
fn the_subscribers_of_a_dead_control_machine_spread_over_the_others_and_over_time() {
    let mut by_machine: BTreeMap<usize, u32> = BTreeMap::new();
    let mut by_tenth: BTreeMap<i64, u32> = BTreeMap::new();
    for seed in 0..133 {
        let mut balancer = Balancer::new(options(57, &["points"], seed));
        let first = balancer.connects();
        balancer.connected();
        balancer.hear(PublisherMessage::Welcome { position: at(1) });
        let died = balancer.now;
        balancer.lost();
        let next = balancer.connects();
        assert_ne!(next, first);
        *by_machine.entry(next).or_default() += 1;
        *by_tenth.entry((balancer.now - died) / 100_000).or_default() += 1;
    }
    assert!(by_machine.values().all(|count| *count <= 10), "{by_machine:?}");
    assert!(by_tenth.len() == 10 && by_tenth.values().all(|count| *count <= 30), "{by_tenth:?}");
}

#[test]
fn the_saved_state_is_where_the_next_start_begins_and_a_damaged_service_is_left_out() {
    let mut balancer = Balancer::new(options(1, &["points", "partners"], 1));
    balancer.greet(at(3));
    balancer.has("points", 3);
    balancer.has("partners", 4);
    let mut saved = balancer.subscriber.saved_state();
    assert_eq!(saved.position, at(4));
    let restored = |saved: &SavedState, scope: &[&str]| {
        Balancer::new(SubscriberOptions { restored: Some(saved.clone()), ..options(1, scope, 2) })
    };
    let again = restored(&saved, &["points", "partners"]);
    assert!(again.subscriber.service_versions().eq(balancer.subscriber.service_versions()));
    assert_eq!(again.subscriber.saved_state(), saved);
    assert_eq!(restored(&saved, &["points"]).subscriber.status(Time(0)).services_applied, 1);
    saved.services[1].resources[0].body = b"flip".as_slice().into();
    let mut damaged = restored(&saved, &["points", "partners"]);
    assert_eq!(
        damaged.events(),
        [SubscriberEvent::SavedStateDamaged { service: service("points") }]
    );
    assert_eq!(damaged.subscriber.resources(&service("points")).count(), 0);
    // What comes after a bookmark that fits is worth a line once.
    let digest = balancer.subscriber.service_versions().fold(0u64, |sum, held| {
        sum.wrapping_add(sableloom_distribution::scope_digest_term(
            &held.service,
            held.version,
            held.digest,
        ))
    });
    balancer.events();
    balancer.hear(PublisherMessage::Current { position: at(4), generation: 1, digest });
    balancer.hear(PublisherMessage::Current { position: at(5), generation: 1, digest });
    assert_eq!(balancer.events(), [SubscriberEvent::Current { position: at(4) }]);
}
