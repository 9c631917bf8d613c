//! The values whose bytes are recorded: at least one message of each kind, with all variants of its fields.

use sableloom_distribution::{
    Base, Change, LagStatus, LogStatus, MachineStatus, NackReason, Origin, Position,
    PublisherMessage, PublisherStatus, Refusal, Rejection, RejectionStatus, Resource, ResourceName,
    SavedService, SavedState, ServiceBase, ServiceName, ServiceVersion, SessionStatus, StatusPage,
    StatusQuery, StatusRows, SubscriberMessage, SubscriberName,
};

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).expect("a valid name")
}

fn subscriber(name: &str) -> SubscriberName {
    SubscriberName::try_from(name).expect("a valid name")
}

fn position() -> Position {
    Position { epoch: 3, number: 70_001, chain: 0x0123_4567_89ab_cdef }
}

/// Returns the version of a service, with a digest that differs between versions and has the longest encoding.
fn version(name: &str, version: u64) -> ServiceVersion {
    ServiceVersion { service: service(name), version, digest: 0xfedc_ba98_7654_3210 ^ version }
}

fn origin(line: u32) -> Origin {
    Origin { file: "00000042.toml".into(), line }
}

fn resources() -> Vec<Resource> {
    let points = || service("points");
    let names = [
        ResourceName::pool(points()),
        ResourceName::server(points(), "points-1"),
        ResourceName::route(points(), "balance"),
        ResourceName::tenant(points(), "gold"),
    ];
    let resource = |(index, name)| Resource {
        name,
        version: 300 + index as u64,
        origin: origin(index as u32 + 1),
        body: vec![index as u8; 2 + index].into(),
    };
    names.into_iter().enumerate().map(resource).collect()
}

fn rejection(field: &str) -> Rejection {
    Rejection {
        resource: ResourceName::server(service("points"), "points-1"),
        origin: origin(17),
        field: field.into(),
        problem: "expected an address, found \"x\"".into(),
    }
}

/// Returns the messages from a subscriber to a control machine, by the names under which their frames are recorded.
pub(crate) fn subscriber_messages() -> Vec<(&'static str, SubscriberMessage)> {
    let hello = SubscriberMessage::Hello { subscriber: subscriber("east-7"), position: position() };
    let scope = SubscriberMessage::Scope {
        generation: 300,
        add: vec![version("points", 12), version("partners", 0)],
        remove: vec![service("statements")],
        rejected: vec![version("points", 13)],
        last: false,
    };
    let last_scope = SubscriberMessage::Scope {
        generation: 301,
        add: Vec::new(),
        remove: Vec::new(),
        rejected: Vec::new(),
        last: true,
    };
    let rejected = NackReason::Rejected(vec![rejection("address"), rejection("")]);
    let mismatch = NackReason::Mismatch(vec![version("points", 11)]);
    let status = SubscriberMessage::StatusRequest;
    vec![
        ("hello", hello),
        ("scope", scope),
        ("scope-last", last_scope),
        ("ack", SubscriberMessage::Ack { transaction: 128 }),
        ("nack-rejected", SubscriberMessage::Nack { transaction: 129, reason: rejected }),
        ("nack-mismatch", SubscriberMessage::Nack { transaction: 130, reason: mismatch }),
        ("ping", SubscriberMessage::Ping { sequence: 0xffff_fffe }),
        ("status-sessions", status(StatusQuery::Sessions { from: 500 })),
        ("status-services", status(StatusQuery::Services { after: Some(service("points")) })),
        ("status-services-first", status(StatusQuery::Services { after: None })),
        ("status-machine", status(StatusQuery::Machine)),
    ]
}

/// Returns the messages from a control machine to a subscriber, by the names under which their frames are recorded.
pub(crate) fn publisher_messages() -> Vec<(&'static str, PublisherMessage)> {
    let refused = PublisherMessage::Refused;
    let mut changes: Vec<Change> = resources().into_iter().map(Change::Set).collect();
    for resource in resources() {
        changes.push(Change::Remove { name: resource.name, version: 400 });
    }
    changes.push(Change::RemoveService { service: service("points"), version: 401 });
    let begin = PublisherMessage::Begin {
        transaction: 128,
        generation: 300,
        services: vec![
            ServiceBase { service: service("points"), base: Base::Delta { from: 12 } },
            ServiceBase { service: service("partners"), base: Base::Snapshot },
        ],
    };
    let commit = PublisherMessage::Commit {
        transaction: 128,
        position: position(),
        services: vec![version("points", 401), version("partners", 399)],
    };
    let current = PublisherMessage::Current { position: position(), generation: 300, digest: 99 };
    vec![
        ("welcome", PublisherMessage::Welcome { position: position() }),
        ("refused-behind", refused(Refusal::Behind { position: position() })),
        ("refused-diverged", refused(Refusal::Diverged { position: position() })),
        ("refused-full", refused(Refusal::Full)),
        ("refused-scope-too-large", refused(Refusal::ScopeTooLarge { max: 4_096 })),
        ("refused-version", refused(Refusal::Version { expected: 2 })),
        ("begin", begin),
        ("changes", PublisherMessage::Changes { transaction: 128, changes }),
        ("commit", commit),
        ("current", current),
        ("pong", PublisherMessage::Pong { sequence: 0xffff_fffe }),
        ("status-of-sessions", status(session_rows())),
        ("status-of-services", status(service_rows())),
        ("status-of-machine", status(machine_rows())),
    ]
}

/// Returns the saved state whose bytes are recorded.
pub(crate) fn saved_state() -> SavedState {
    let saved = SavedService {
        service: service("points"),
        epoch: 3,
        version: 303,
        digest: 0xfedc_ba98_7654_3210,
        resources: resources(),
    };
    SavedState { position: position(), services: vec![saved] }
}

fn status(rows: StatusRows) -> PublisherMessage {
    // Each field has a different number, so that the test detects two fields that have changed places.
    let status = PublisherStatus {
        position: position(),
        services: 201,
        resources: 202,
        tenants: 203,
        log_entries: 204,
        log_bytes: 205,
        sessions: 206,
        lagging: 207,
        rejecting: 208,
        snapshots: 209,
        waiting_for_snapshot: 210,
        waiting_for_bandwidth: 211,
        transactions: 212,
        bytes: 213,
        acks: 214,
        rejections: 215,
        mismatches: 216,
        closed: 217,
    };
    PublisherMessage::Status(StatusPage { status, rows })
}

fn session_rows() -> StatusRows {
    let lag = LagStatus {
        service: service("points"),
        applied_version: 301,
        latest_version: 302,
        behind_ms: 303,
    };
    let rejected = |problem| RejectionStatus {
        service: service("points"),
        applied_version: 304,
        rejected_version: 305,
        behind_ms: 306,
        problem,
    };
    let session = SessionStatus {
        session: 307,
        subscriber: subscriber("east-7"),
        services: 308,
        current: position(),
        queued_bytes: 309,
        silent_ms: 310,
        lagging: 311,
        lags: vec![lag],
        rejecting: 312,
        rejections: vec![rejected(Some(rejection("address"))), rejected(None)],
    };
    StatusRows::Sessions { sessions: vec![session], next: Some(313) }
}

fn service_rows() -> StatusRows {
    let services = vec![version("partners", 401), version("points", 402)];
    StatusRows::Services { services, next: Some(service("points")) }
}

fn machine_rows() -> StatusRows {
    StatusRows::Machine(MachineStatus {
        log: LogStatus { next: 501, latest: 502, blocked_reason: "00000501.toml is cut".into() },
        refused: 503,
        stalled: 504,
        unacknowledged: 505,
        silent: 506,
        violations: 507,
    })
}
