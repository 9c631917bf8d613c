//! Scripts as operators write them: what is shipped loads, and what is wrong is told with its place.

use std::path::Path;

use sableloom_rehearsal::{EventAction, MS, Role, Script, read};

const GOOD: &str = r#"name = "s"
seconds = 20
[fleet]
balancers = 6
zones = ["east", "west"]
[nodes]
count = 4
per_second = 100
[[class]]
name = "balance"
share = 1.0
work_ms = 40
aim_ms = 300
deadline_ms = 600
effect = "safe"
[load]
per_second = 100
"#;

fn script(more: &str) -> Script {
    let text = format!("{GOOD}{more}");
    read("s.toml", text.as_bytes()).unwrap_or_else(|wrong| panic!("{wrong:#?}"))
}

/// What is told of a script with this added, its line counted from the first one added.
fn wrong(more: &str) -> Vec<String> {
    let text = format!("{GOOD}{more}");
    let first = GOOD.lines().count();
    let told = read("s.toml", text.as_bytes()).err().unwrap_or_default();
    let tell = |p: sableloom_toml_diagnostics::Problem| {
        let help = p.help.map(|h| format!("; {h}")).unwrap_or_default();
        format!("{}: {}: {}{help}", p.line as i64 - first as i64, p.field, p.message)
    };
    told.into_iter().map(tell).collect()
}

#[test]
fn every_shipped_script_loads_and_has_its_place_in_the_operators_page() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/rehearsals");
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operate/rehearsal.md");
    let page = std::fs::read_to_string(page).expect("the page");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("the folder") {
        let path = entry.expect("an entry").path();
        let text = std::fs::read(&path).expect("a file");
        let name = path.file_name().expect("a name").to_string_lossy().into_owned();
        let script = read(&name, &text).unwrap_or_else(|wrong| panic!("{wrong:#?}"));
        assert_eq!(format!("{}.toml", script.name), name);
        assert!(page.contains(&format!("`{}`", script.name)), "{name} is not on the page");
        assert!(!script.about.is_empty(), "{name}");
        count += 1;
    }
    assert!(count >= 10, "{count} scripts");
}

#[test]
fn groups_are_of_one_side_and_single_members_have_names() {
    let s = script(
        r#"
        [[group]]
        name = "third"
        of = "balancers"
        share = 0.34
        [[group]]
        name = "east"
        of = "nodes"
        zone = "east"
        [[event]]
        at_ms = 2000
        do = "kill"
        who = "third"
        [[event]]
        at_ms = 3000
        do = "link"
        who = "b2"
        to = "east"
        how = "silent"
        for_ms = 100
        "#,
    );
    let t = sableloom_rehearsal::timeline(&s, 1);
    assert_eq!(t.groups[s.events[0].group], [0, 1]);
    let EventAction::Link { to, .. } = s.events[1].action else { panic!("a link") };
    assert_eq!((s.groups[to].role, &t.groups[to][..]), (Role::Node, &[0, 2][..]));
    assert_eq!(t.groups[s.events[1].group], [1]);
    assert_eq!(t.steps.iter().filter(|step| step.at == 3100 * MS).count(), 2, "{t}");
}

/// Each text that is added to a good script, and the one problem that it makes.
fn check_problems(cases: impl IntoIterator<Item = (String, &'static str)>) {
    for (more, expected) in cases {
        let told = wrong(&more);
        assert_eq!(told, [expected], "{more}");
    }
}

/// Each fault of a script, with the line, the field, and what may help.
#[test]
fn a_problem_of_an_event_names_its_line_and_field() {
    let event = |more: &str| format!("[[event]]\nat_ms = 2000\n{more}\n");
    check_problems([
        (
            "speed = 1\n".to_string(),
            "1: load.speed: unknown field; known are: per_second, keys, uneven",
        ),
        (
            event("do = \"kil\"\nwho = \"all\""),
            "3: event[0].do: \"kil\" is none of the words known here; did you mean `kill`?",
        ),
        (
            event("do = \"kill\""),
            "1: event[0].who: missing; expected a group of balancers, `all`, or one of them as `b1`",
        ),
        (
            event("do = \"kill\"\nwho = \"b7\""),
            "4: event[0].who: no group \"b7\"; expected a group of balancers, `all`, or one of them as `b1`; there is none",
        ),
        (
            event("do = \"freeze\"\nwho = \"b1\""),
            "1: event[0].for_ms: missing; expected 0 to 3600000 ms",
        ),
        (
            event("do = \"kill\"\nwho = \"b1\"\nfor_ms = 3"),
            "5: event[0].for_ms: unknown field; known are: at_ms, every_ms, times, spread_ms, when, until, do, back, who",
        ),
        (
            event("do = \"kill\"\nwho = \"b1\"\nevery_ms = 3"),
            "1: event[0].times: missing; expected it goes with `every_ms`",
        ),
        (
            event("do = \"node-fault\"\nwho = \"n1\"\nfailing = 0.7\ncut = 0.7"),
            "1: event[0]: the shares add up to more than 1",
        ),
        (
            event("do = \"node-fault\"\nwho = \"n1\"\nclass = \"balanse\"\ncut = 0.1"),
            "5: event[0].class: no class \"balanse\"; did you mean `balance`?",
        ),
        (
            event("do = \"node-pause\"\nwho = \"n1\"\nfor_ms = 9\nwhen = \"effect-out\""),
            "6: event[0].when: only what is done to a single balancer can wait for this",
        ),
        (
            event("do = \"freeze\"\nwho = \"b1\"\nfor_ms = 9\nuntil = \"refused\""),
            "6: event[0].until: only a file that is spoilt can be refused",
        ),
        (
            event("do = \"link\"\nwho = \"all\"\nto = \"all\""),
            "1: event[0]: the link is as ever; expected `how`, `delay_ms`, `jitter_ms`, `loss`, `doubled`, `reordered`, `breaks` or `bytes_per_s`",
        ),
        (
            event("do = \"shift\"\nzone = \"eest\"\nfactor = 2"),
            "4: event[0].zone: no zone \"eest\"; did you mean `east`?",
        ),
        (
            "[[event]]\nat_ms = 21000\ndo = \"kill\"\nwho = \"b1\"\n".to_string(),
            "2: event[0].at_ms: no request arrives after 20 s",
        ),
    ]);
}

/// As above, for groups, phases and clients.
#[test]
fn a_problem_of_another_section_names_its_line_and_field() {
    check_problems([
        (
            "[[group]]\nname = \"g\"\nof = \"nodes\"\nshare = 0.5\ncount = 2\n".to_string(),
            "1: group[0]: expected exactly one of `share`, `count`, `zone` and `members`",
        ),
        (
            "[[group]]\nname = \"n2\"\nof = \"nodes\"\ncount = 2\n".to_string(),
            "2: group[0].name: \"n2\" is the name of one of them",
        ),
        (
            "[[group]]\nname = \"g\"\nof = \"nodes\"\nmembers = [\"n1\", \"n5\"]\n".to_string(),
            "4: group[0].members[1]: no \"n5\" among them; they are n1 to n4",
        ),
        (
            "[[phase]]\nname = \"p\"\nfrom_ms = 5\nto_ms = 5\n".to_string(),
            "3: phase[0].from_ms: it is not before `to_ms`",
        ),
        (
            "[[phase]]\nname = \"p\"\nfrom_ms = 5\nto_ms = 20001\n".to_string(),
            "4: phase[0].to_ms: no request arrives after 20 s",
        ),
        (
            "[clients]\nleave = 0.5\n".to_string(),
            "1: clients.leave_after_ms: missing; expected when those leave, in milliseconds",
        ),
        (
            "[clients]\nafter = { least_ms = 9, most_ms = 3 }\n".to_string(),
            "2: clients.after: `least_ms` is over `most_ms`",
        ),
    ]);
}

/// An expectation that nothing in the script can meet or miss is a slip of the hand.
#[test]
fn expectations_that_can_t_be_checked_are_refused() {
    let kill = "[[event]]\nat_ms = 5000\ndo = \"kill\"\nwho = \"b1\"\nback = { least_ms = 0, most_ms = 2000 }\n";
    let early = "[[event]]\nat_ms = 500\ndo = \"kill\"\nwho = \"b1\"\n";
    for (before, expect, says) in [
        ("", "back_within_ms = 100", "the script has no event"),
        (early, "back_within_ms = 100", "the first event comes before one second of service"),
        (kill, "back_within_ms = 12100", "the last event ends at 7 s"),
        (kill, "cold_peak_most = 3", "no node of the script is ever cold"),
    ] {
        let told = wrong(&format!("{before}[expect]\n{expect}\n"));
        assert!(
            told.len() == 1 && told[0].contains("can't be checked") && told[0].contains(says),
            "{told:?}"
        );
    }
    assert_eq!(wrong(&format!("{kill}[expect]\nback_within_ms = 12000\n")), Vec::<String>::new());
    let told = wrong(&format!("{kill}[expect]\nback_to = 0.5\n"));
    assert!(told.len() == 1 && told[0].contains("back_within_ms"), "{told:?}");
}

#[test]
fn a_script_that_is_too_large_or_lacks_its_parts_is_refused() {
    let told = wrong("[[event]]\nat_ms = 1\ndo = \"load\"\nper_second = 100000\n");
    assert_eq!(told, Vec::<String>::new(), "two million requests are borne");
    let text = GOOD
        .replace("seconds = 20", "seconds = 3600")
        .replace("per_second = 100\n[[", "per_second = 9\n[[");
    let text = text.replace("[load]\nper_second = 100", "[load]\nper_second = 2000");
    let told = read("s.toml", text.as_bytes()).expect_err("too many");
    assert!(told[0].message.contains("7200000 requests"), "{told:?}");
    let told = read("s.toml", b"name = \"s\"\n").expect_err("nothing is there");
    assert!(told.iter().any(|p| p.field == "fleet"), "{told:?}");
    for (from, to, says) in [
        ("balancers = 6", "balancers = 2049", "expected 1 to 2048, found 2049"),
        ("balancers = 6", "balancers = 2.5", "expected a whole number"),
        ("share = 1.0", "share = 0", "the classes' shares are all 0"),
        ("aim_ms = 300", "aim_ms = 700", "it is over `deadline_ms`"),
        ("name = \"balance\"", "name = \"a/b\"", "expected a name without /, \" and \\"),
        (
            "per_second = 100\n[[",
            "kinds = true\nper_second = 100\n[[",
            "kinds have capacities of their own",
        ),
        ("per_second = 100\n[[", "[[", "what a node can serve in a second"),
    ] {
        assert!(GOOD.contains(from), "{from}");
        let text = GOOD.replacen(from, to, 1);
        let told = read("s.toml", text.as_bytes()).expect_err(to);
        assert!(told.iter().any(|p| p.message.contains(says)), "{to}: {told:?}");
    }
}
