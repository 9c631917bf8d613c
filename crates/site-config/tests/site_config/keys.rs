//! Every key of an operator's file arrives in its field: a renamed field must not change its key, and a key that
//! is silently lost would leave a default in force.

use sableloom_routes::{HeaderCondition, HostPattern, PathPattern};
use sableloom_shadow::{CopyLimits, SampleBy};
use sableloom_site_config::{Limits, Protocol, Site, Target};
use sableloom_types::settings::LoadReportSource;
use sableloom_types::{Idempotency, Span};

use crate::support::good;

fn every_key() -> Site {
    good(include_str!("data/every-key.toml"))
}

fn texts(texts: &[&str]) -> Vec<String> {
    texts.iter().map(ToString::to_string).collect()
}

#[test]
fn keys_of_the_process_and_its_locality_arrive() {
    let site = every_key();
    assert_eq!(site.limits, Limits { sockets: 2048, memory_mb: 512 });
    let locality = &site.locality;
    assert_eq!(locality.zones, ["east", "west"]);
    assert_eq!((locality.zone, locality.cross_zone_cost, locality.balancers), (1, 0.25, 7));
    assert_eq!(site.listeners.len(), 1);
    assert_eq!(site.listeners[0].address.to_string(), "127.0.0.1:8080");
    assert_eq!(site.listeners[0].protocol, Protocol::Http1);
    assert_eq!(site.fallback, Target::Pool(0));
}

#[test]
fn keys_of_the_fleet_arrive() {
    let fleet = every_key().fleet.expect("a section [fleet]");
    assert_eq!((fleet.name.as_str(), fleet.own_name.as_str()), ("points", "b2"));
    assert_eq!(fleet.operator.map(|address| address.port()), Some(7100));
    assert_eq!(
        (fleet.probe_interval_ms, fleet.probe_timeout_ms, fleet.lease_ms),
        (300.0, 90.0, 4000.0)
    );
    let members: Vec<_> =
        fleet.members.iter().map(|m| (m.name.as_str(), m.address.port())).collect();
    assert_eq!(members, [("b1", 7001), ("b2", 7002)]);
    assert_eq!(fleet.members_file, None);
}

#[test]
fn keys_of_the_classes_arrive() {
    let site = every_key();
    let [balance, redeem, transfer] = site.classes.as_slice() else { panic!("three classes") };
    assert_eq!(balance.name, "balance");
    assert_eq!(
        (balance.latency_objective_ms, balance.deadline_ms, balance.dedup_window_ms),
        (110.0, 550.0, 0.0)
    );
    assert_eq!(balance.idempotency, Idempotency::Idempotent);
    assert_eq!(balance.methods, ["GET", "OPTIONS"]);
    assert_eq!((balance.priority_weight, balance.late_priority_weight), (3.5, 0.75));
    assert_eq!(redeem.name, "redeem");
    assert_eq!(
        (redeem.latency_objective_ms, redeem.deadline_ms, redeem.dedup_window_ms),
        (210.0, 900.0, 61_000.0)
    );
    assert_eq!(redeem.idempotency, Idempotency::Keyed);
    assert_eq!(redeem.methods, ["POST"]);
    assert_eq!((redeem.priority_weight, redeem.late_priority_weight), (2.5, 0.5));
    assert_eq!(transfer.idempotency, Idempotency::NonIdempotent);
}

#[test]
fn keys_of_a_pool_arrive() {
    let site = every_key();
    assert_eq!(site.pools.len(), 1, "the other two are a shadow's");
    let pool = &site.pools[0];
    assert_eq!((pool.name.as_str(), pool.protocol), ("points", Protocol::Http1));
    let upstream = &pool.upstream;
    assert_eq!(pool.files, ["points-1.toml", "points-2.toml"]);
    assert_eq!(
        (pool.t_qos_ms, upstream.connect_timeout_ms, upstream.keepalive_ms),
        (120.0, 251.0, 16_000.0)
    );
    assert_eq!(
        (upstream.max_open, upstream.max_attempts, upstream.retry_after_ms),
        (1001, 5, 1100.0)
    );
    assert_eq!(
        (pool.max_removed_share, pool.drain_ms, pool.reread_interval_ms),
        (0.4, 2100.0, 5100.0)
    );
    let names = texts(&["inflight", "queue", "util", "latency_ms"]);
    let reports = &upstream.load_reports;
    assert_eq!((reports.source, &reports.values), (LoadReportSource::Pull, &names));
    let slow_start = &upstream.slow_start;
    assert_eq!(
        (
            slow_start.initial_share,
            slow_start.duration_ms,
            slow_start.overload_factor,
            slow_start.overload_window_ms
        ),
        (0.3, 31_000.0, 2.5, 1600.0)
    );
}

#[test]
fn settings_of_a_pool_reach_the_decision_module() {
    let site = every_key();
    let settings = site.deployment_settings(&site.pools[0]);
    assert_eq!((settings.balancers, settings.zone), (2, 1), "the fleet's members are counted");
    assert_eq!(settings.zones, ["east", "west"]);
    assert_eq!(settings.prices.cross_zone, 0.25);
    assert_eq!(settings.t_qos, Some(120.0));
    let limits = &settings.policy_limits;
    assert_eq!((limits.max_attempts, limits.max_open), (5, 1001));
    assert_eq!((limits.connect_timeout, limits.keepalive), (251.0, 16_000.0));
    assert_eq!((limits.retry_after, limits.max_retry_after), (true, 1100.0));
    assert!(limits.health_checks && limits.cancelling && !limits.hedging);
    let safety = &settings.safety;
    assert_eq!((safety.slow_start, safety.slow_start_initial_share), (31_000.0, 0.3));
    assert_eq!((safety.overload_factor, safety.overload_window), (2.5, 1600.0));
    assert_eq!(settings.load_reports.source, LoadReportSource::Pull);
    assert_eq!(settings.load_reports.values, texts(&["inflight", "queue", "util", "latency_ms"]));
    let redeem = &settings.classes[1];
    assert_eq!(redeem.name, "redeem");
    assert_eq!((redeem.latency_objective, redeem.deadline), (210.0, 900.0));
    assert_eq!(redeem.idempotency, Idempotency::Keyed);
    assert_eq!(redeem.dedup_window, 61_000.0);
    assert_eq!((redeem.priority_weight, redeem.late_priority_weight), (2.5, 0.5));
}

#[test]
fn keys_of_the_routes_arrive() {
    let site = every_key();
    let [shop, closed] = site.routes.as_slice() else { panic!("two routes") };
    assert_eq!((shop.name.as_str(), shop.target), ("shop", Target::Pool(0)));
    let rule = &shop.rule;
    assert_eq!(
        rule.hosts,
        [HostPattern::Exact("shop.example".into()), HostPattern::Subdomains("shop.example".into())]
    );
    assert_eq!(
        rule.paths,
        [
            PathPattern::Exact("/exact".into()),
            PathPattern::Prefix("/prefix/".into()),
            PathPattern::Suffix(".suffix".into())
        ]
    );
    assert_eq!(rule.methods, ["GET", "POST"]);
    let mut headers = rule.headers.clone();
    headers.sort_by(|a, b| a.name.cmp(&b.name));
    assert_eq!(
        headers,
        [
            HeaderCondition { name: "x-any".into(), value: None },
            HeaderCondition { name: "x-tenant".into(), value: Some("gold".into()) }
        ]
    );
    assert_eq!(rule.classes, [1, 0]);
    assert_eq!((closed.name.as_str(), closed.target), ("closed", Target::Reject(410)));
}

#[test]
fn keys_of_a_shadow_arrive() {
    let site = every_key();
    assert_eq!(site.shadows.len(), 1);
    let shadow = &site.shadows[0];
    assert_eq!((shadow.name.as_str(), shadow.live_pool), ("trial", 0));
    assert_eq!(shadow.candidate.name, "next");
    assert_eq!(shadow.control_group.as_ref().map(|pool| pool.name.as_str()), Some("same"));
    let limits = CopyLimits {
        classes: vec![true, false, false],
        sample_share: 0.2,
        sample_by: SampleBy::Request,
        max_per_second: 51.0,
        max_in_flight: 17,
        max_held_bytes: 1025 << 10,
        max_pair_bytes: 65 << 10,
        quiet_time: Span(101_000),
        max_live_open: 9,
        breaker_threshold: 10,
        breaker_open_time: Span(1_001_000),
        max_breaker_open_time: Span(60_001_000),
        sample_seed: 0,
        jitter_seed: 0,
    };
    assert_eq!(shadow.limits, limits);
    assert_eq!((shadow.timeout_ms, shadow.settle_ms), (560.0, 1002.0));
    assert_eq!(shadow.dropped_headers, ["x-secret", "cookie"]);
    assert!(shadow.records_values);
    assert_eq!((shadow.record_file.as_str(), shadow.record_interval_ms), ("trial.json", 10_001.0));
    assert_eq!(shadow.rules.headers, ["content-type", "etag"]);
    assert_eq!(
        shadow.rules.ignore,
        [
            "/at".parse().expect("a pointer into an answer"),
            "/by".parse().expect("a pointer into an answer")
        ]
    );
    assert_eq!(shadow.rules.unordered, ["/list".parse().expect("a pointer into an answer")]);
}

#[test]
fn keys_of_control_tenants_and_a_file_of_members_arrive() {
    let site = good(include_str!("data/every-control-key.toml"));
    let fleet = site.fleet.as_ref().expect("a section [fleet]");
    assert_eq!(fleet.members_file.as_deref(), Some("members.toml"));
    let control = site.control.as_ref().expect("a section [control]");
    assert_eq!(control.subscriber.as_str(), "balancer-17");
    let ports: Vec<_> = control.machines.iter().map(|machine| machine.port()).collect();
    assert_eq!(ports, [9501, 9502]);
    let services: Vec<_> = control.services.iter().map(|service| service.as_str()).collect();
    assert_eq!(services, ["points", "partners"]);
    assert_eq!(control.state_file.as_deref(), Some("last-good.bin"));
    assert_eq!(site.tenants.as_ref().expect("a section [tenants]").header, "x-customer");
}
