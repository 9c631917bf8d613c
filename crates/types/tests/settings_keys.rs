//! Each key of the settings JSON sets its field. The tests give every key a value other than the default, since a key
//! that a renamed field no longer accepts is ignored without an error if the field has a default.

use sableloom_types::settings::{DeploymentSettings, EndpointListDelivery, LoadReportSource};
use sableloom_types::{DedupScope, Idempotency, Span};
use serde_json::json;

fn every_key() -> DeploymentSettings {
    let settings = json!({
        "Balancers": 7,
        "Position": 3,
        "Zone": 1,
        "Zones": ["east", "west"],
        "MachineTypes": ["small", "large"],
        "Tick": 2.5,
        "RegistryMode": "subscribe",
        "Services": [
            {"Name": "balance", "Aim": 101.0, "Deadline": 402.0, "Effect": "retryable", "Group": "zone",
             "Importance": 3.5, "LateValue": 0.25, "Window": 5001.0},
            {"Name": "redeem", "Aim": 103.0, "Deadline": 404.0, "Effect": "dedup", "Group": "cell",
             "Importance": 4.5, "LateValue": 0.5, "Window": 5002.0},
            {"Name": "transfer", "Aim": 105.0, "Deadline": 406.0, "Effect": "fragile", "Group": "all",
             "Importance": 5.5, "LateValue": 0.75, "Window": 5003.0},
        ],
        "Tenants": [{"Name": "tills", "QuotaRps": 11.5}],
        "PolicyLimits": {
            "MaxAttempts": 5, "MaxOpen": 1234, "ConnectTimeout": 251.0, "Keepalive": 15_001.0,
            "SecondCopies": true, "Cancelling": true, "Probes": true, "RetryAfter": true,
            "MaxRetryAfter": 1001.0,
        },
        "Safety": {
            "AskEvery": 10_001.0, "DrainGrace": 1002.0, "Cold": 15_003.0, "ColdFrom": 0.35,
            "FallMultiple": 2.5, "TipAfter": 2004.0,
        },
        "Prices": {"CrossZone": 0.02},
        "Stats": {"How": "pull", "Names": ["inflight", "latency_ms"]},
        "FamilyInfo": {"WarmKeys": true},
    });
    serde_json::from_value(settings).expect("settings")
}

#[test]
fn every_key_of_the_deployment_arrives_in_its_field() {
    let settings = every_key();
    assert_eq!((settings.balancers, settings.balancer_index, settings.zone), (7, 3, 1));
    assert_eq!(settings.zones, ["east", "west"]);
    assert_eq!(settings.machine_types, ["small", "large"]);
    assert_eq!(settings.tick, 2.5);
    assert_eq!(settings.endpoint_list_delivery, EndpointListDelivery::Poll);
}

#[test]
fn every_key_of_a_class_arrives_in_its_field() {
    let settings = every_key();
    let [balance, redeem, transfer] = &settings.classes[..] else { panic!("three classes") };
    assert_eq!(
        (&balance.name[..], &redeem.name[..], &transfer.name[..]),
        ("balance", "redeem", "transfer")
    );
    assert_eq!(
        (balance.latency_objective, redeem.latency_objective, transfer.latency_objective),
        (101.0, 103.0, 105.0)
    );
    assert_eq!((balance.deadline, redeem.deadline, transfer.deadline), (402.0, 404.0, 406.0));
    assert_eq!(
        (balance.idempotency, redeem.idempotency, transfer.idempotency),
        (Idempotency::Idempotent, Idempotency::Keyed, Idempotency::NonIdempotent)
    );
    assert!(matches!(
        (balance.dedup_scope, redeem.dedup_scope, transfer.dedup_scope),
        (DedupScope::Zone, DedupScope::Cell, DedupScope::All)
    ));
    assert_eq!(
        (balance.priority_weight, redeem.priority_weight, transfer.priority_weight),
        (3.5, 4.5, 5.5)
    );
    assert_eq!(
        (balance.late_priority_weight, redeem.late_priority_weight, transfer.late_priority_weight),
        (0.25, 0.5, 0.75)
    );
    assert_eq!(
        (balance.dedup_window, redeem.dedup_window, transfer.dedup_window),
        (5001.0, 5002.0, 5003.0)
    );
}

#[test]
fn every_key_of_the_limits_and_rules_arrives_in_its_field() {
    let settings = every_key();
    let [tenant] = &settings.tenants[..] else { panic!("one tenant") };
    assert_eq!((&tenant.name[..], tenant.quota_rps), ("tills", 11.5));
    let limits = &settings.policy_limits;
    assert_eq!((limits.max_attempts, limits.max_open), (5, 1234));
    assert_eq!((limits.connect_timeout, limits.keepalive), (251.0, 15_001.0));
    assert!(limits.hedging && limits.cancelling && limits.health_checks && limits.retry_after);
    assert_eq!(limits.max_retry_after, 1001.0);
    let safety = &settings.safety;
    assert_eq!((safety.poll_interval, safety.drain_grace), (10_001.0, 1002.0));
    assert_eq!((safety.slow_start, safety.slow_start_initial_share), (15_003.0, 0.35));
    assert_eq!((safety.overload_factor, safety.overload_window), (2.5, 2004.0));
    assert_eq!(settings.prices.cross_zone, 0.02);
    assert_eq!(settings.load_reports.source, LoadReportSource::Pull);
    assert_eq!(settings.load_reports.values, ["inflight", "latency_ms"]);
    assert!(settings.service_properties.key_affinity);
}

#[test]
fn every_key_that_the_policy_needs_reaches_its_settings() {
    let settings = every_key().policy_settings();
    assert_eq!((settings.balancers, settings.zone, settings.tick), (7, 1, Span(2500)));
    assert!(settings.polls_endpoint_list);
    let [balance, redeem, transfer] = &settings.classes[..] else { panic!("three classes") };
    assert_eq!(
        (balance.latency_objective, redeem.latency_objective, transfer.latency_objective),
        (Span(101_000), Span(103_000), Span(105_000))
    );
    assert_eq!(
        (balance.deadline, redeem.deadline, transfer.deadline),
        (Span(402_000), Span(404_000), Span(406_000))
    );
    assert_eq!(
        (balance.priority_weight, redeem.priority_weight, transfer.priority_weight),
        (3.5, 4.5, 5.5)
    );
    assert_eq!(
        (balance.late_priority_weight, redeem.late_priority_weight, transfer.late_priority_weight),
        (0.25, 0.5, 0.75)
    );
    assert_eq!(
        (balance.idempotency, redeem.idempotency, transfer.idempotency),
        (Idempotency::Idempotent, Idempotency::Keyed, Idempotency::NonIdempotent)
    );
    assert_eq!(
        (balance.dedup_scope, redeem.dedup_scope, transfer.dedup_scope),
        (DedupScope::Zone, DedupScope::Cell, DedupScope::All)
    );
    assert_eq!(
        (balance.dedup_window, redeem.dedup_window, transfer.dedup_window),
        (Span(5_001_000), Span(5_002_000), Span(5_003_000))
    );
    assert_eq!(settings.tenants.len(), 1);
    assert_eq!(settings.tenants[0].quota_rps, 11.5);
    let limits = &settings.limits;
    assert_eq!(limits.max_attempts, 5);
    assert!(limits.hedging && limits.cancel && limits.health_checks && limits.retry_after);
    assert_eq!(limits.max_retry_after, Span(1_001_000));
    let rules = &settings.safety_rules;
    assert_eq!((rules.slow_start_initial_share, rules.slow_start), (0.35, Span(15_003_000)));
    assert_eq!((rules.overload_factor, rules.overload_window), (2.5, Span(2_004_000)));
    assert_eq!(rules.poll_interval, Span(10_001_000));
    assert_eq!(settings.cross_zone_price, 0.02);
    assert!(settings.key_affinity);
    assert_eq!(settings.t_qos, None);
}
