//! What a site says, what can be wrong with it, and what a running balancer takes over.

use sableloom_routes::{Host, Path};
use sableloom_site_config::*;
use sableloom_toml_diagnostics::Problem;
use sableloom_types::Idempotency;
use sableloom_types::Span;

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

fn good(text: &str) -> Site {
    read("s.toml", text.as_bytes()).unwrap_or_else(|wrong| panic!("{wrong:#?}"))
}

fn wrong(text: &str) -> Vec<String> {
    read("s.toml", text.as_bytes()).expect_err(text).iter().map(Problem::to_string).collect()
}

#[test]
fn what_is_not_said_has_stated_values() {
    let site = good(GOOD);
    assert_eq!(site.limits, Limits { sockets: 1024, memory_mb: 256 });
    assert_eq!(site.otherwise, Target::Refuse(404));
    let pool = &site.pools[0];
    // T_QoS is the mean of the aims, and a drain as long as any client waits, but a second at least.
    assert_eq!((pool.t_qos_ms, pool.drain_ms, pool.out_at_most), (150.0, 1000.0, 0.5));
    assert_eq!(site.classes[1].idempotency, Idempotency::Keyed);
    let rule = &site.routes[0].rule;
    let exact = |name: &str| Host::Exact(name.into());
    assert_eq!(
        rule.hosts,
        [exact("shop.example"), Host::Under("shop.example".into()), exact("[::1]")]
    );
    let paths = [
        Path::Exact("/b".into()),
        Path::Exact("/c".into()),
        Path::Prefix("/a/".into()),
        Path::Suffix(".x".into()),
    ];
    assert_eq!(rule.paths, paths);
    let settings = site.deployment_settings(pool).policy_settings();
    assert_eq!(settings.t_qos, Some(Span(150_000)));
    assert_eq!((settings.classes.len(), settings.polls), (2, false));
    assert_eq!(site.hash, good(GOOD).hash);
    assert_ne!(site.hash, good(&format!("{GOOD}#")).hash);
}

#[test]
fn each_thing_that_is_wrong_is_named() {
    for (from, to, says) in [
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
    ] {
        let text = GOOD.replacen(from, to, 1);
        assert_ne!(text, GOOD, "{from}");
        let told = wrong(&text);
        assert!(told.iter().any(|line| line.contains(says)), "{says:?} is not told:\n{told:#?}");
    }
    let bad = GOOD.replace("aim_ms = 100", "aim_ms = 0").replace("\"points.toml\"", "7");
    assert!(wrong(&bad).len() >= 2, "all at once");
    let twice = format!("{GOOD}\n[[listener]]\naddress = \"127.0.0.1:8080\"\n");
    assert!(wrong(&twice)[0].contains("another listener's"));
}

#[test]
fn what_needs_a_restart_is_named_and_the_rest_is_not() {
    let old = good(GOOD);
    let changed = |from: &str, to: &str| {
        let new = good(&GOOD.replacen(from, to, 1));
        let told = unchangeable("s.toml", &old, &new);
        told.iter().map(|p| format!("{}:{} {}", p.file, p.line, p.field)).collect::<Vec<_>>()
    };
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
        // T_QoS follows the aims where it is not stated.
        let told = changed(from, to);
        assert_eq!(told[0], field, "{to}");
        assert!(told.len() == 1 || told[1].ends_with("t_qos_ms"), "{told:?}");
    }
}
