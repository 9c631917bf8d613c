use std::sync::Arc;

use sableloom_distribution::{
    LogStatus, MachineStatus, Origin, PublisherStatus, Rejection, ResourceName, ServiceName,
    ServiceVersion, SubscriberName,
};

use super::*;

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).expect("a name")
}

fn place(epoch: u32, number: u64, chain: u64) -> Position {
    Position { epoch, number, chain }
}

/// A status in which no two numbers are the same.
fn report() -> StatusReport {
    StatusReport {
        status: PublisherStatus {
            position: place(1, 2, 3),
            services: 4,
            resources: 5,
            tenants: 6,
            log_entries: 7,
            log_bytes: 8,
            sessions: 9,
            lagging: 10,
            rejecting: 11,
            snapshots: 12,
            waiting_for_snapshot: 13,
            waiting_for_bandwidth: 14,
            transactions: 15,
            bytes: 16,
            acks: 17,
            rejections: 18,
            mismatches: 19,
            closed: 20,
        },
        machine: MachineStatus {
            log: LogStatus {
                next: 21,
                latest: 22,
                blocked_reason: "00000021.toml: missing".into(),
            },
            refused: 23,
            stalled: 24,
            unacknowledged: 25,
            silent: 26,
            violations: 27,
        },
        sessions: vec![session()],
        services: vec![ServiceVersion { service: service("points"), version: 28, digest: 29 }],
    }
}

fn session() -> SessionStatus {
    let problem = Rejection {
        resource: ResourceName::server(service("points"), "points-1"),
        origin: Origin { file: "00000030.toml".into(), line: 31 },
        field: Arc::from("zone"),
        problem: Arc::from("no such zone"),
    };
    SessionStatus {
        session: 32,
        subscriber: SubscriberName::try_from("balancer-17").expect("a name"),
        services: 33,
        current: place(34, 35, 36),
        queued_bytes: 37,
        silent_ms: 38,
        lagging: 39,
        lags: vec![LagStatus {
            service: service("orders"),
            applied_version: 40,
            latest_version: 41,
            behind_ms: 42,
        }],
        rejecting: 43,
        rejections: vec![
            RejectionStatus {
                service: service("points"),
                applied_version: 44,
                rejected_version: 45,
                behind_ms: 46,
                problem: Some(problem),
            },
            RejectionStatus {
                service: service("partners"),
                applied_version: 47,
                rejected_version: 48,
                behind_ms: 49,
                problem: None,
            },
        ],
    }
}

/// The session of [`report`] as JSON.
fn expected_session() -> Value {
    json!({
        "session": 32,
        "balancer": "balancer-17",
        "services": 33,
        "has": { "epoch": 34, "number": 35, "chain": "0000000000000024" },
        "queued_bytes": 37,
        "silent_ms": 38,
        "lagging": 39,
        "lags": [{ "service": "orders", "has": 40, "wants": 41, "behind_ms": 42 }],
        "rejecting": 43,
        "rejections": [
            {
                "service": "points",
                "has": 44,
                "refused": 45,
                "behind_ms": 46,
                "problem": {
                    "file": "00000030.toml",
                    "line": 31,
                    "resource": "server points-1 of points",
                    "field": "zone",
                    "problem": "no such zone",
                },
            },
            {
                "service": "partners",
                "has": 47,
                "refused": 48,
                "behind_ms": 49,
                "problem": null,
            },
        ],
    })
}

#[test]
fn the_json_of_a_status_has_exactly_these_keys_and_values() {
    let expected = json!({
        "position": { "epoch": 1, "number": 2, "chain": "0000000000000003" },
        "services": [{ "service": "points", "version": 28, "digest": "000000000000001d" }],
        "resources": 5,
        "tenants": 6,
        "log": { "changes": 7, "bytes": 8 },
        "next": 21,
        "latest": 22,
        "waits_for": "00000021.toml: missing",
        "sessions": [expected_session()],
        "lagging": 10,
        "rejecting": 11,
        "snapshots": 12,
        "waiting_for_snapshot": 13,
        "waiting_for_bandwidth": 14,
        "transactions": 15,
        "bytes": 16,
        "acks": 17,
        "rejections": 18,
        "mismatches": 19,
        "closed": {
            "all": 20,
            "refused": 23,
            "stalled": 24,
            "unacknowledged": 25,
            "silent": 26,
            "violations": 27,
        },
    });
    assert_eq!(as_json(&report()), expected);
}
