//! The sections `[[shadow]]`.

use sableloom_shadow::{CopyLimits, SampleBy};
use sableloom_site_config::Target;
use sableloom_types::Span;

use crate::support::{good, problems};

const SITE: &str = r#"
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
effect = "unsafe"
methods = "POST"

[[pool]]
name = "next"
files = "next.toml"

[[pool]]
name = "points"
files = "points.toml"

[[pool]]
name = "old"
files = "old.toml"

[[pool]]
name = "partners"
files = "partners.toml"

[[route]]
name = "all"
path.prefix = "/p/"
pool = "partners"

[otherwise]
pool = "points"

[[shadow]]
name = "trial"
of = "points"
to = "next"
"#;

#[test]
fn a_shadow_without_settings_has_the_documented_defaults() {
    let site = good(SITE);
    let shadow = &site.shadows[0];
    let limits = CopyLimits {
        classes: vec![true, false],
        sample_share: 0.1,
        sample_by: SampleBy::Key,
        max_per_second: 50.0,
        max_in_flight: 16,
        max_held_bytes: 1 << 20,
        max_pair_bytes: 64 << 10,
        quiet_time: Span(100_000),
        max_live_open: 0,
        breaker_threshold: 8,
        breaker_open_time: Span(1_000_000),
        max_breaker_open_time: Span(60_000_000),
        sample_seed: 0,
        jitter_seed: 0,
    };
    assert_eq!(shadow.limits, limits);
    assert_eq!(
        (shadow.timeout_ms, shadow.settle_ms, shadow.records_values),
        (500.0, 1000.0, false)
    );
    assert_eq!(shadow.dropped_headers, ["authorization", "proxy-authorization", "cookie"]);
    assert_eq!(shadow.rules.headers, ["content-type"]);
    assert_eq!(shadow.record_file, "shadow-trial.json");
}

/// No route leads to a pool that gets copies, wherever it is written.
#[test]
fn pools_of_shadows_are_taken_out_and_the_others_keep_their_order() {
    let text = format!("{SITE}control = \"old\"\n");
    let site = good(&text);
    let names: Vec<_> = site.pools.iter().map(|pool| pool.name.as_str()).collect();
    assert_eq!(names, ["points", "partners"]);
    let shadow = &site.shadows[0];
    assert_eq!((shadow.live_pool, shadow.candidate.name.as_str()), (0, "next"));
    assert_eq!(shadow.control_group.as_ref().map(|pool| pool.name.as_str()), Some("old"));
    assert_eq!((site.routes[0].target, site.fallback), (Target::Pool(1), Target::Pool(0)));
    assert_eq!(site.every_pool().count(), 4);
}

#[test]
fn every_problem_of_a_shadow_names_its_field() {
    let end = SITE.lines().count();
    // A line of the shadow, or another text in place of one; what is said of it.
    let cases: [(&str, &str, String); 22] = [
        ("+", "classes = \"redeem\"", format!("s.toml:{}:11: field `shadow[0].classes`: \"redeem\" is not safe, and no such request is ever copied", end + 1)),
        ("+", "classes = [\"balnce\"]", "no class \"balnce\"; did you mean `balance`?".into()),
        ("+", "share = 1.5", "`shadow[0].share`: expected 0 to 1".into()),
        ("+", "by = \"keys\"", "did you mean `key`?".into()),
        ("+", "in_flight = 0", "`shadow[0].in_flight`: expected 1 to 10000".into()),
        ("+", "per_second = 0", "`shadow[0].per_second`".into()),
        ("+", "time_ms = 99", "99 ms is under 150 ms, the longest aim of its classes and T_QoS".into()),
        ("+", "rest_ms = 500\nrest_most_ms = 400", "`shadow[0].rest_most_ms`: 400 ms is under the first rest of 500 ms".into()),
        ("+", "record = \"\"", "a file has a name".into()),
        ("+", "drop = [\"x y\"]", "\"x y\" is no header's name".into()),
        ("+", "compare.ignore = [\"at\"]", "`shadow[0].compare.ignore[0]`: \"at\" is no pointer into an answer: it begins with \"/\"".into()),
        ("+", "compare.unordered = \"/a~2\"", "RFC 6901".into()),
        ("+", "compare.ignored = \"/a\"", "unknown field; did you mean `ignore`?".into()),
        ("+", "inflight = 3", "unknown field; did you mean `in_flight`?".into()),
        ("+", "control = \"next\"", "pool \"next\" is `shadow[0].to` already".into()),
        ("+", "control = \"lod\"", "no pool \"lod\"; did you mean `old`?".into()),
        ("+", "[[shadow]]\nname = \"trial\"\nof = \"partners\"\nto = \"old\"", "\"trial\" is named twice".into()),
        ("+", "[[shadow]]\nname = \"b\"\nof = \"points\"\nto = \"old\"", "pool \"points\" is `shadow[0].of` already".into()),
        ("+", "[[shadow]]\nname = \"b\"\nof = \"partners\"\nto = \"old\"\nrecord = \"shadow-trial.json\"", "`shadow[1].record`: \"shadow-trial.json\" is another shadow's".into()),
        ("name = \"trial\"", "name = \"a/b\"", "has no \"/\"".into()),
        ("to = \"next\"", "", "`shadow[0].to`: missing; expected a pool's name".into()),
        ("pool = \"partners\"", "pool = \"next\"", "`route[0].pool`: pool \"next\" gets copies of a shadow, and no requests".into()),
    ];
    for (instead_of, line, says) in cases {
        let text = match instead_of {
            "+" => format!("{SITE}{line}\n"),
            old => SITE.replace(old, line),
        };
        let wrong = problems(&text);
        assert!(wrong.iter().any(|w| w.contains(&says)), "{line}: {says:?} is not in {wrong:#?}");
    }
    let unsafe_only = SITE.replace("effect = \"safe\"", "effect = \"unsafe\"");
    let wrong = problems(&unsafe_only);
    assert!(wrong[0].contains("field `shadow[0]`: no class is safe"), "{wrong:#?}");
}
