//! The scale run at its smallest: 200 hollow balancers, 2 real ones, 2 control machines. Counts and bytes are
//! asserted, never times.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use sableloom_scale_test::data_path::{self, DataPathOptions};
use sableloom_scale_test::distribution::{self, DistributionOptions};
use sableloom_scale_test::membership::{self, MembershipOptions};
use sableloom_scale_test::report::RunReport;
use sableloom_scale_test::source::{ROUTES_EACH, SERVERS_EACH, Source};
use sableloom_testkit::program;

/// Hollow balancers.
const HOLLOW: usize = 200;
/// Services that each of them subscribes to.
const SCOPE: usize = 5;
/// Services at the source: each in the scope of 20 hollow balancers.
const SERVICES: usize = 50;
/// The longest datagram among members.
const MAX_DATAGRAM_BYTES: f64 = 256.0;
/// A resource on its way, with its name, version and place in the operator's file.
const MAX_RESOURCE_BYTES: f64 = 160.0;
/// What a change may cost at each balancer that has its service in scope, the acknowledgement with it.
const MAX_CHANGE_BYTES: f64 = 600.0;

/// Balancers that restart.
const RESTARTS: usize = 4;
/// What a balancer may cost that comes back with all that it needs: a hello with its scope, and a welcome.
const MAX_RESUME_BYTES: f64 = 1000.0;
/// No step is left out for the time.
const LONG: Duration = Duration::from_secs(3600);

fn worker() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_sableloom-scale"))
}

/// The program under test.
fn sableloom() -> PathBuf {
    let sableloom = program();
    assert!(sableloom.exists(), "{}: build package sableloom first", sableloom.display());
    sableloom
}

fn value(report: &RunReport, what: &str) -> f64 {
    let found = report.measurements.iter().find(|measurement| measurement.what == what);
    found.unwrap_or_else(|| panic!("no {what:?} in {}", report.table())).value
}

#[test]
fn members_agree_after_deaths_and_returns() {
    let options = MembershipOptions {
        members: HOLLOW,
        workers: 4,
        spread: Duration::from_secs(1),
        rest: Duration::from_secs(1),
        patience: Duration::from_secs(120),
        ends_by: Instant::now() + LONG,
    };
    let mut report = RunReport::default();
    membership::run(worker(), &options, &mut report, &|_| {}).expect("workers that answer");
    let of = |what: &str| value(&report, &format!("membership: {what}, members that agree"));
    let table = report.table();
    // One is kept back until the end; a quarter of the others dies.
    let running = HOLLOW - 1;
    assert_eq!(of("first start"), running as f64, "{table}");
    assert_eq!(of("a quarter dies"), (running - running / 4) as f64, "{table}");
    assert_eq!(of("a quarter returns"), running as f64, "{table}");
    assert_eq!(of("one starts"), HOLLOW as f64, "{table}");
    // It is the deaths that they agree on, and not the view from before.
    let probes = value(&report, "membership: a quarter dies, probes of absence a member");
    assert!(probes >= 1.0, "{table}");
    let bytes = value(&report, "membership: at rest, bytes a datagram");
    assert!(bytes > 0.0 && bytes <= MAX_DATAGRAM_BYTES, "{table}");
    for what in ["first start", "at rest", "a quarter dies", "a quarter returns", "one starts"] {
        for whose in ["a member", "of the most loaded member"] {
            let of = |unit: &str| {
                value(&report, &format!("membership: {what}, {unit} {whose} in its worst second"))
            };
            let headers = of("bytes with headers") - of("bytes");
            assert!((headers - 28.0 * of("datagrams")).abs() < 1e-6, "{what}, {whose}: {table}");
        }
    }
}

#[test]
fn the_data_path_is_measured_without_hollow_balancers() {
    let options = DataPathOptions { real: 2, real_scope: SCOPE, time: Duration::from_secs(1) };
    let mut report = RunReport::default();
    data_path::run(&sableloom(), &options, &mut report, &|_| {}).expect("balancers that start");
    let of = |what: &str| value(&report, &format!("data path alone: {what}"));
    assert!(of("requests/s answered through a balancer") > 0.0, "{}", report.table());
    // What fails depends on the machine; that both ways are counted does not.
    of("requests failed, through");
    of("requests failed, directly");
    of("requests, ms added, p99");
}

#[test]
fn changes_reach_only_who_needs_them_and_cost_what_they_touch() {
    let sableloom = sableloom();
    let options = DistributionOptions {
        size_name: "balancers".to_string(),
        size: HOLLOW as f64,
        subscribers: HOLLOW,
        workers: 2,
        source: Source::of(SERVICES),
        scope: SCOPE,
        machines: 2,
        rest: Duration::from_secs(1),
        single_changes: 10,
        burst_changes: 100,
        real: 2,
        real_scope: SCOPE,
        marker_changes: 3,
        missed_changes: 50,
        restarts: RESTARTS,
        restarts_within: Duration::from_secs(1),
        steps_begin_by: Instant::now() + LONG,
    };
    let mut report = RunReport::default();
    distribution::run(worker(), &sableloom, &options, &mut report, &|_| {})
        .expect("workers that answer");
    let of = |what: &str| value(&report, &format!("configuration: {what}"));
    let table = report.table();
    // Each service is a pool with its servers, routes and tenants.
    let tenants = options.source.tenants_each;
    let scope = (SCOPE * (1 + SERVERS_EACH + ROUTES_EACH + tenants)) as f64;
    assert_eq!(of("resources that a balancer holds"), scope, "{table}");
    assert_eq!(of("all start at once, snapshots a balancer"), SCOPE as f64, "{table}");
    let bytes = of("all start at once, bytes a balancer in all");
    assert!(bytes > scope && bytes < scope * MAX_RESOURCE_BYTES, "{table}");
    for what in ["single changes", "burst within 1 s", "real balancers"] {
        assert_eq!(of(&format!("{what}, never in force")), 0.0, "{table}");
    }
    let subscribers = (HOLLOW * SCOPE / SERVICES) as f64;
    let bytes = of("burst within 1 s, bytes a change, all balancers");
    assert!(bytes > 0.0 && bytes < subscribers * MAX_CHANGE_BYTES, "{table}");
    assert_eq!(of("a control machine dies, snapshots sent"), 0.0, "{table}");
    assert!(of("a control machine dies, sessions that moved") <= HOLLOW as f64, "{table}");
    assert_eq!(of("all return after an hour's changes, snapshots a balancer"), 0.0, "{table}");
    let returned = of("all return after an hour's changes, bytes a balancer in all");
    assert!(returned < of("all start at once, bytes a balancer in all"), "{table}");
    assert_eq!(report.not_reached, [""; 0], "{table}");
    losses_cost_what_they_touch(&report);
    // Who has its last good state is sent none of it.
    let of = |what: &str| value(&report, &format!("configuration: restart {what}"));
    assert_eq!(of("with its last good state, snapshots"), 0.0, "{table}");
    assert_eq!(of("from nothing, snapshots"), SCOPE as f64, "{table}");
    let with_state = of("with its last good state, bytes both ways");
    assert!(with_state > 0.0 && with_state < MAX_RESUME_BYTES, "{table}");
    assert!(of("from nothing, bytes both ways") > scope, "{table}");
}

/// Of the release of a service, and the loss and the return of a rack and a zone.
fn losses_cost_what_they_touch(report: &RunReport) {
    let of = |what: &str| value(report, &format!("configuration: {what}"));
    let table = report.table();
    // Nobody misses a change. Those that run are sent deltas, and only those that have died snapshots: one
    // balancer of the rack, a tenth in the zone.
    let zone = (HOLLOW / 10 * SCOPE) as f64;
    let start = of("all start at once, bytes a balancer in all");
    for (what, snapshots) in [
        ("release of a service", 0.0),
        ("a rack lost", 0.0),
        ("a rack returns", SCOPE as f64),
        ("a zone lost", 0.0),
        ("a zone returns", zone),
    ] {
        assert_eq!(of(&format!("{what}, never in force")), 0.0, "{table}");
        assert_eq!(of(&format!("{what}, snapshots in all")), snapshots, "{what}: {table}");
        let most = of(&format!("{what}, bytes of the most loaded balancer in its worst second"));
        assert!(most > 0.0, "{what}: {table}");
        // Nothing of a start, which the step before may have ended with, is in the seconds of a loss.
        let is_loss = snapshots == 0.0;
        assert!(!is_loss || most < start / 2.0, "{what}: {table}");
    }
    let subscribers = (HOLLOW * SCOPE / SERVICES) as f64;
    for what in ["release of a service", "a zone lost"] {
        let bytes = of(&format!("{what}, bytes a change, all balancers"));
        assert!(bytes > 0.0 && bytes < subscribers * MAX_CHANGE_BYTES, "{what}: {table}");
    }
}
