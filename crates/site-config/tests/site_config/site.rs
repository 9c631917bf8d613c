//! Listeners, classes, pools and routes.

use sableloom_routes::{HostPattern, PathPattern};
use sableloom_site_config::{Limits, Target};
use sableloom_types::{Idempotency, Span};

use crate::support::{good, problems, restart_changes};

const GOOD: &str = r#"
[[listener]]
address = "127.0.0.1:8080"

[[class]]
name = "balance"
aim_ms = 100
deadline_ms = 500
effect = "safe"
methods = "GET"

[[class]]
name = "redeem"
aim_ms = 200
deadline_ms = 900
effect = "keyed"
window_ms = 60000
methods = ["POST", "PUT"]

[[pool]]
name = "points"
files = "points.toml"

[[route]]
name = "all"
host = ["Shop.Example", "*.shop.example", "[::1]"]
path = { prefix = "/a/", exact = ["/b", "/c"], suffix = ".x" }
pool = "points"
"#;

#[test]
fn fields_that_are_not_set_have_the_documented_defaults() {
    let site = good(GOOD);
    assert_eq!(site.limits, Limits { sockets: 1024, memory_mb: 256 });
    assert_eq!(site.fallback, Target::Reject(404));
    let pool = &site.pools[0];
    // T_QoS is the mean latency objective, and a drain is as long as the longest deadline, but at least a second.
    assert_eq!((pool.t_qos_ms, pool.drain_ms, pool.max_removed_share), (150.0, 1000.0, 0.5));
    assert_eq!(site.classes[1].idempotency, Idempotency::Keyed);
    let rule = &site.routes[0].rule;
    let exact = |name: &str| HostPattern::Exact(name.into());
    assert_eq!(
        rule.hosts,
        [exact("shop.example"), HostPattern::Subdomains("shop.example".into()), exact("[::1]")]
    );
    let paths = [
        PathPattern::Exact("/b".into()),
        PathPattern::Exact("/c".into()),
        PathPattern::Prefix("/a/".into()),
        PathPattern::Suffix(".x".into()),
    ];
    assert_eq!(rule.paths, paths);
    let settings = site.deployment_settings(pool).policy_settings();
    assert_eq!(settings.t_qos, Some(Span(150_000)));
    assert_eq!((settings.classes.len(), settings.polls_endpoint_list), (2, false));
    assert_eq!(site.hash, good(GOOD).hash);
    assert_ne!(site.hash, good(&format!("{GOOD}#")).hash);
}

/// Each replacement in a good site, and what the problems say then.
fn check_problems<'c>(cases: impl IntoIterator<Item = (&'c str, &'c str, &'c str)>) {
    for (from, to, says) in cases {
        let text = GOOD.replacen(from, to, 1);
        assert_ne!(text, GOOD, "{from}");
        let told = problems(&text);
        assert!(told.iter().any(|line| line.contains(says)), "{says:?} is not told:\n{told:#?}");
    }
}

#[test]
fn every_problem_of_a_listener_class_or_pool_names_its_field() {
    check_problems([
        ("127.0.0.1:8080", "localhost:8080", "s.toml:3:11: field `listener[0].address`"),
        ("\"GET\"", "\"HEAD\"", "field `class[0].methods`: \"HEAD\" is not carried"),
        ("\"GET\"", "\"get\"", "did you mean `GET`?"),
        ("methods = \"GET\"", "", "field `class[0].methods`: missing"),
        ("window_ms = 60000", "", "field `class[1].window_ms`: missing"),
        ("effect = \"safe\"", "effect = \"safe\"\nwindow_ms = 5", "only a keyed class has it"),
        ("\"redeem\"", "\"balance\"", "field `class[1].name`: \"balance\" is named twice"),
        ("aim_ms = 100", "aim_ms = 0", "expected 1 to 3600000 ms, found 0"),
        ("aim_ms = 100", "", "field `class[0].aim_ms`: missing"),
        ("deadline_ms = 500", "deadline_ms = 50", "50 ms is under the aim of 100 ms"),
        ("files = \"points.toml\"", "", "field `pool[0].files`: expected at least one file"),
        ("\"points.toml\"", "[\"a\", \"a\"]", "field `pool[0].files[1]`: \"a\" is named twice"),
        ("\"points.toml\"", "\"a\"\nprotocol = \"http/1.0\"", "did you mean `http/1.1`?"),
        (
            "\"points.toml\"",
            "\"a\"\nreports = { how = \"answers\" }",
            "field `pool[0].reports.names`: missing",
        ),
        (
            "\"points.toml\"",
            "\"a\"\nreports = { how = \"answers\", names = [\"utl\"] }",
            "did you mean `util`?",
        ),
        (
            "\"points.toml\"",
            "\"a\"\ncold = { from = 0 }",
            "field `pool[0].cold.from`: expected 0.01 to 1",
        ),
    ]);
    let bad = GOOD.replace("aim_ms = 100", "aim_ms = 0").replace("\"points.toml\"", "7");
    assert!(problems(&bad).len() >= 2, "all at once");
    let twice = format!("{GOOD}\n[[listener]]\naddress = \"127.0.0.1:8080\"\n");
    assert!(problems(&twice)[0].contains("another listener's"));
}

#[test]
fn every_problem_of_a_route_or_of_the_process_names_its_field() {
    check_problems([
        ("\"*.shop.example\"", "\"*shop\"", "field `route[0].host[1]`: \"*shop\" is no host name"),
        ("\"*.shop.example\"", "\"shop:80\"", "without a port"),
        ("\"/a/\"", "\"/a?b\"", "field `route[0].path.prefix`"),
        ("\"/a/\"", "\"a\"", "is no path as clients send it"),
        (
            "pool = \"points\"",
            "pool = \"pionts\"",
            "s.toml:28:8: field `route[0].pool`: no pool \"pionts\"; did you mean `points`?",
        ),
        ("pool = \"points\"", "", "field `route[0].pool`: missing"),
        ("pool = \"points\"", "pool = \"points\"\nrefuse = \"gone\"", "not both"),
        ("pool = \"points\"", "pool = \"points\"\nheader = { \"a b\" = true }", "no header's name"),
        ("pool = \"points\"", "pool = \"points\"\nheader = { a = 1 }", "or true for any"),
        (
            "pool = \"points\"",
            "pool = \"points\"\n[locality]\nzones = [\"a\"]",
            "field `locality.zone`: missing",
        ),
        (
            "pool = \"points\"",
            "pool = \"points\"\n[limits]\nsockets = 10",
            "64 to 1000000 descriptors, found 10",
        ),
        ("pool = \"points\"", "pool = \"points\"\n[limits]\nsockets = 100.5", "a whole number"),
    ]);
}

#[test]
fn only_changes_that_need_a_restart_are_named() {
    let old = good(GOOD);
    let changed = |from: &str, to: &str| restart_changes(&old, &good(&GOOD.replacen(from, to, 1)));
    for (from, to) in [
        ("[[listener]]", "# moved down by a comment\n\n[[listener]]"),
        ("\"points.toml\"", "[\"a\", \"b\"]\nout_at_most = 0.1\ndrain_ms = 5\nreread_ms = 50"),
        ("name = \"all\"", "name = \"some\"\nmethods = \"GET\""),
        ("[[route]]", "[[pool]]\nname = \"new\"\nfiles = \"n\"\n[[route]]"),
    ] {
        assert_eq!(changed(from, to), Vec::<String>::new(), "{to}");
    }
    for (from, to, field) in [
        ("8080", "8081", "s.toml:2 listener[0]"),
        ("[[pool]]", "[[listener]]\naddress = \"127.0.0.1:1\"\n[[pool]]", "s.toml:20 listener[1]"),
        ("aim_ms = 200", "aim_ms = 201\nworth = 2", "s.toml:12 class[1]"),
        ("\"points.toml\"", "\"a\"\nt_qos_ms = 7", "s.toml:20 pool[0].t_qos_ms"),
        ("\"points.toml\"", "\"a\"\ncold = { from = 0.5 }", "s.toml:20 pool[0].cold"),
        ("[[route]]", "[limits]\nmemory_mb = 32\n[[route]]", "s.toml:1 limits"),
        ("[[route]]", "[locality]\nbalancers = 3\n[[route]]", "s.toml:1 locality"),
    ] {
        // T_QoS follows the latency objectives where it is not set.
        let told = changed(from, to);
        assert_eq!(told[0], field, "{to}");
        assert!(told.len() == 1 || told[1].ends_with("t_qos_ms"), "{told:?}");
    }
}
