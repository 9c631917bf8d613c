//! The section `[control]`.

use crate::support;

const TOP: &str = r#"
[[listener]]
address = "127.0.0.1:0"

[[class]]
name = "read"
aim_ms = 300
deadline_ms = 900
effect = "safe"
methods = ["GET"]

[control]
"#;

const GOOD: &str = r#"
own = "balancer-17"
machines = ["127.0.0.1:9501", "127.0.0.1:9502"]
services = ["points", "partners"]
state = "last-good.bin"
"#;

/// All problems of a site with this section.
fn problems(section: &str) -> Vec<String> {
    support::problems(&format!("{TOP}{section}"))
}

#[test]
fn a_site_with_control_machines_has_no_pools_of_its_own() {
    let site = support::good(&format!("{TOP}{GOOD}"));
    let control = site.control.as_ref().expect("a section");
    assert_eq!(control.subscriber.as_str(), "balancer-17");
    assert_eq!((control.machines.len(), control.services.len()), (2, 2));
    assert!(site.pools.is_empty() && site.routes.is_empty());
    assert_eq!(site.client_settings().classes.len(), 1);
    let pool = "[[pool]]\nname = \"points\"\nfiles = [\"points.toml\"]\n";
    let said = problems(&format!("{GOOD}{pool}"));
    assert!(said.len() == 1 && said[0].contains("s.toml:18:1: field `pool[0]`"), "{said:?}");
    assert!(said[0].contains("not beside [control]"), "{said:?}");
}

#[test]
fn every_problem_names_its_field() {
    for (from, to, says) in [
        (
            "\"balancer-17\"",
            "\"Balancer 17\"",
            "field `control.own`: \"Balancer 17\": a name is made of",
        ),
        ("127.0.0.1:9502", "127.0.0.1", "field `control.machines[1]`: \"127.0.0.1\" is no address"),
        ("127.0.0.1:9502", "127.0.0.1:9501", "127.0.0.1:9501 is named twice"),
        ("127.0.0.1:9502", "127.0.0.1:0", "0 is none"),
        ("\"partners\"", "\"points\"", "field `control.services[1]`: \"points\" is named twice"),
        ("\"points\", \"partners\"", "", "field `control.services`: expected at least one service"),
        ("last-good.bin", "", "field `control.state`: a file has a name"),
        ("state =", "sate =", "field `control.sate`: unknown field; did you mean `state`?"),
    ] {
        let said = problems(&GOOD.replacen(from, to, 1));
        assert!(said.len() == 1 && said[0].contains(says), "{says:?} is not said in {said:?}");
    }
    let said = problems("services = [\"points\"]\n");
    assert!(said.iter().any(|line| line.contains("field `control.own`: missing")), "{said:?}");
    assert!(said.iter().any(|line| line.contains("field `control.machines`: missing")), "{said:?}");
}

#[test]
fn only_the_services_change_without_a_restart() {
    let site = |text: &str| support::good(&format!("{TOP}{text}"));
    let old = site(GOOD);
    let fewer = site(&GOOD.replace(", \"partners\"", ""));
    assert!(support::restart_changes(&old, &fewer).is_empty());
    for other in [GOOD.replace("17", "18"), GOOD.replace("9502", "9503"), GOOD.replace("last", "l")]
    {
        assert_eq!(support::restart_changes(&old, &site(&other)), ["s.toml:12 control"]);
    }
}
