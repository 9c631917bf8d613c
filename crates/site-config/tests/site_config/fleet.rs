//! The section `[fleet]` and files of members.

use sableloom_site_config::{read, read_members};
use sableloom_toml_diagnostics::Problem;

use crate::support::{good, restart_changes};

const GOOD: &str = r#"
[[listener]]
address = "127.0.0.1:8080"
[[class]]
name = "balance"
aim_ms = 100
deadline_ms = 500
effect = "safe"
methods = "GET"
[[pool]]
name = "points"
files = "points.toml"
[otherwise]
pool = "points"
[locality]
balancers = 9
[fleet]
name = "points"
own = "b2"
operator = "127.0.0.1:7100"
[[fleet.member]]
name = "b1"
address = "127.0.0.1:7001"
[[fleet.member]]
name = "b2"
address = "127.0.0.1:7002"
"#;

/// Problems with their help, a line each.
fn with_help(problems: Vec<Problem>) -> String {
    problems.iter().map(|p| format!("{p} {}\n", p.help.clone().unwrap_or_default())).collect()
}

#[test]
fn the_members_of_a_fleet_are_counted_in_place_of_the_number_of_balancers() {
    let site = good(GOOD);
    let fleet = site.fleet.as_ref().expect("it is there");
    assert_eq!(fleet.address().map(|a| a.port()), Some(7002));
    assert_eq!(
        (fleet.probe_interval_ms, fleet.probe_timeout_ms, fleet.lease_ms),
        (200.0, 80.0, 2000.0)
    );
    assert_eq!(site.deployment_settings(&site.pools[0]).balancers, 2);
    let without = good(GOOD.split_once("[fleet]").expect("it is there").0);
    assert_eq!(
        (without.fleet.clone(), without.deployment_settings(&without.pools[0]).balancers),
        (None, 9)
    );
    let slow = good(&GOOD.replace("own =", "period_ms = 1000\nown ="));
    let fleet = slow.fleet.expect("it is there");
    assert_eq!((fleet.probe_timeout_ms, fleet.lease_ms), (400.0, 10_000.0));
}

#[test]
fn every_problem_names_its_line_and_field() {
    for (from, to, says) in [
        ("name = \"points\"\nown", "own", "s.toml:17:1: field `fleet.name`: missing"),
        ("own = \"b2\"", "", "field `fleet.own`: missing"),
        ("own = \"b2\"", "own = \"b22\"", "s.toml:19:7: field `fleet.own`: no member \"b22\""),
        ("own = \"b2\"", "own = \"b22\"", "did you mean `b2`?"),
        ("7001", "7002", "is \"b1\"'s"),
        ("\"b1\"", "\"b2\"", "field `fleet.member[1].name`: \"b2\" is named twice"),
        // Two words of the same FNV-1a, 32 bits.
        ("\"b1\"", "\"costarring\"", ""),
        ("7001", "0", "0 is none"),
        ("127.0.0.1:7001", "b1.example:7001", "names are not looked up"),
        ("7100", "7001", "field `fleet.operator`: 127.0.0.1:7001 is a member's"),
        ("7100", "0", "0 is none"),
        ("operator", "operater", "did you mean `operator`?"),
        ("own =", "period_ms = 5\nown =", "20 to 60000 ms"),
        ("own =", "answer_ms = 150\nown =", "over half of the period of 200 ms"),
        ("own =", "claim_ms = 900\nown =", "under five periods of 200 ms"),
        ("own =", "members_file = \"m\"\nown =", "here or in a file, not both"),
        ("own =", "member_file = \"m\"\nown =", "did you mean `members_file`?"),
    ] {
        let text = GOOD.replacen(from, to, 1);
        assert_ne!(text, GOOD, "{from}");
        match read("s.toml", text.as_bytes()) {
            Ok(_) => assert_eq!(says, "", "{to}"),
            Err(wrong) => {
                let told = with_help(wrong);
                assert!(!says.is_empty() && told.contains(says), "{says:?} is not told:\n{told}");
            }
        }
    }
    let clash = GOOD.replace("\"b1\"", "\"costarring\"").replace("\"b2\"", "\"liquid\"");
    let told = with_help(read("s.toml", clash.as_bytes()).expect_err("they share a hash"));
    assert!(told.contains("\"liquid\" and \"costarring\" have the same hash"), "{told}");
    assert!(told.contains("rename one"), "{told}");
}

#[test]
fn a_file_of_members_is_checked_like_the_site() {
    let start = GOOD.split_once("[[fleet.member]]").expect("it is there").0;
    let site = good(&format!("{start}members_file = \"m.toml\"\n"));
    let fleet = site.fleet.expect("it is there");
    assert_eq!((fleet.members.len(), fleet.members_file.as_deref()), (0, Some("m.toml")));
    let one = |name: &str, port: u16| {
        format!("[[member]]\nname = \"{name}\"\naddress = \"127.0.0.1:{port}\"\n")
    };
    let members = |text: &str| read_members("m.toml", text.as_bytes());
    let two = members(&(one("b1", 1) + &one("b2", 2))).expect("good");
    let whole = fleet.clone().with_members("m.toml", two).expect("it is named");
    assert_eq!(whole.address().map(|a| a.port()), Some(2));
    let others = members(&(one("b1", 1) + &one("b3", 2))).expect("good");
    let wrong = with_help(fleet.with_members("m.toml", others).expect_err("it is not named"));
    assert!(wrong.contains("m.toml") && wrong.contains("no member \"b2\""), "{wrong}");
    for (text, says) in [
        (String::new(), "m.toml:1:1: field `member`: missing"),
        (one("b1", 1) + &one("b1", 2), "m.toml:5:8: field `member[1].name`: \"b1\" is named twice"),
        (one("b1", 1) + "[other]\n", "field `other`: unknown field"),
        ("[[member]\n".to_string(), "m.toml:1"),
        ("member = []".to_string(), ""),
    ] {
        match members(&text) {
            Ok(members) => assert!(says.is_empty() && members.is_empty(), "{text}"),
            Err(wrong) => {
                let told = with_help(wrong);
                assert!(told.contains(says), "{says:?} is not told:\n{told}");
            }
        }
    }
    // As many as there are to be, and as many as may be.
    let many = |n: u16| (0..n).map(|i| one(&format!("m{i}"), 1000 + i)).collect::<String>();
    for n in [7600, 16_384] {
        assert_eq!(members(&many(n)).expect("good").len(), usize::from(n));
    }
    let wrong = with_help(members(&many(16_385)).expect_err("too many"));
    assert!(wrong.contains("16385 members; 16384 at most"), "{wrong}");
}

#[test]
fn members_change_without_a_restart_and_the_own_identity_does_not() {
    let old = good(GOOD);
    let changed = |from: &str, to: &str| restart_changes(&old, &good(&GOOD.replacen(from, to, 1)));
    let more = "[[fleet.member]]\nname = \"b3\"\naddress = \"127.0.0.1:7003\"\n[[fleet.member]]";
    assert_eq!(changed("[[fleet.member]]", more), Vec::<String>::new());
    assert_eq!(changed("7001", "7011"), Vec::<String>::new(), "another's address");
    for (from, to) in [
        ("7002", "7012"),
        ("own = \"b2\"", "own = \"b1\""),
        ("name = \"points\"\nown", "name = \"other\"\nown"),
        ("own =", "period_ms = 300\nown ="),
        ("7100", "7101"),
    ] {
        assert_eq!(changed(from, to), ["s.toml:17 fleet"], "{to}");
    }
    let without = good(GOOD.split_once("[fleet]").expect("it is there").0);
    assert_eq!(restart_changes(&old, &without), ["s.toml:1 fleet"]);
}
