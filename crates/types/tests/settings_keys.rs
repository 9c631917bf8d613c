//! Every key of the settings JSON, each with a value that is not its default, arrives in the field that it
//! names. Guards against a renamed field whose key changes with it: a key with a default is then lost silently.

use sableloom_types::settings::{Effect, Facts, Group, RegistryMode, Reports};
use sableloom_types::{Effect as PolicyEffect, Group as PolicyGroup, Span};
use serde_json::json;

fn every_key() -> Facts {
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
fn every_key_of_the_settings_json_arrives_in_its_field() {
    let facts = every_key();
    assert_eq!((facts.balancers, facts.position, facts.zone), (7, 3, 1));
    assert_eq!(facts.zones, ["east", "west"]);
    assert_eq!(facts.machine_types, ["small", "large"]);
    assert_eq!(facts.tick, 2.5);
    assert_eq!(facts.registry_mode, RegistryMode::Subscribe);
    let [balance, redeem, transfer] = &facts.services[..] else { panic!("three classes") };
    assert_eq!(
        (&balance.name[..], &redeem.name[..], &transfer.name[..]),
        ("balance", "redeem", "transfer")
    );
    assert_eq!((balance.aim, redeem.aim, transfer.aim), (101.0, 103.0, 105.0));
    assert_eq!((balance.deadline, redeem.deadline, transfer.deadline), (402.0, 404.0, 406.0));
    assert_eq!(
        (balance.effect, redeem.effect, transfer.effect),
        (Effect::Retryable, Effect::Dedup, Effect::Fragile)
    );
    assert!(matches!(
        (balance.group, redeem.group, transfer.group),
        (Group::Zone, Group::Cell, Group::All)
    ));
    assert_eq!((balance.importance, redeem.importance, transfer.importance), (3.5, 4.5, 5.5));
    assert_eq!((balance.late_value, redeem.late_value, transfer.late_value), (0.25, 0.5, 0.75));
    assert_eq!((balance.window, redeem.window, transfer.window), (5001.0, 5002.0, 5003.0));
    let [tenant] = &facts.tenants[..] else { panic!("one tenant") };
    assert_eq!((&tenant.name[..], tenant.quota_rps), ("tills", 11.5));
    let limits = &facts.policy_limits;
    assert_eq!((limits.max_attempts, limits.max_open), (5, 1234));
    assert_eq!((limits.connect_timeout, limits.keepalive), (251.0, 15_001.0));
    assert!(limits.second_copies && limits.cancelling && limits.probes && limits.retry_after);
    assert_eq!(limits.max_retry_after, 1001.0);
    let safety = &facts.safety;
    assert_eq!((safety.ask_every, safety.drain_grace), (10_001.0, 1002.0));
    assert_eq!((safety.cold, safety.cold_from), (15_003.0, 0.35));
    assert_eq!((safety.fall_multiple, safety.tip_after), (2.5, 2004.0));
    assert_eq!(facts.prices.cross_zone, 0.02);
    assert_eq!(facts.stats.how, Reports::Pull);
    assert_eq!(facts.stats.names, ["inflight", "latency_ms"]);
    assert!(facts.family_info.warm_keys);
}

#[test]
fn every_key_that_the_policy_needs_reaches_its_settings() {
    let settings = every_key().settings();
    assert_eq!((settings.balancers, settings.zone, settings.tick), (7, 1, Span(2500)));
    assert!(settings.must_ask);
    let [balance, redeem, transfer] = &settings.classes[..] else { panic!("three classes") };
    assert_eq!(
        (balance.aim, redeem.aim, transfer.aim),
        (Span(101_000), Span(103_000), Span(105_000))
    );
    assert_eq!(
        (balance.deadline, redeem.deadline, transfer.deadline),
        (Span(402_000), Span(404_000), Span(406_000))
    );
    assert_eq!((balance.worth, redeem.worth, transfer.worth), (3.5, 4.5, 5.5));
    assert_eq!((balance.late_worth, redeem.late_worth, transfer.late_worth), (0.25, 0.5, 0.75));
    assert_eq!(
        (balance.effect, redeem.effect, transfer.effect),
        (PolicyEffect::Safe, PolicyEffect::Keyed, PolicyEffect::Unsafe)
    );
    assert_eq!(
        (balance.group, redeem.group, transfer.group),
        (PolicyGroup::Zone, PolicyGroup::Cell, PolicyGroup::All)
    );
    assert_eq!(
        (balance.window, redeem.window, transfer.window),
        (Span(5_001_000), Span(5_002_000), Span(5_003_000))
    );
    assert_eq!(settings.tenants.len(), 1);
    assert_eq!(settings.tenants[0].quota_rps, 11.5);
    let limits = &settings.limits;
    assert_eq!(limits.max_attempts, 5);
    assert!(limits.second_copies && limits.cancel && limits.probes && limits.retry_after);
    assert_eq!(limits.max_retry_after, Span(1_001_000));
    let rules = &settings.rules;
    assert_eq!((rules.cold_from, rules.cold), (0.35, Span(15_003_000)));
    assert_eq!((rules.fall_multiple, rules.tip_after), (2.5, Span(2_004_000)));
    assert_eq!(rules.ask_every, Span(10_001_000));
    assert_eq!(settings.cross_zone_price, 0.02);
    assert!(settings.warm_keys);
    assert_eq!(settings.t_qos, None);
}
