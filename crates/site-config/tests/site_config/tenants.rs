//! The section `[tenants]`.

use crate::support::{good, problems, restart_changes};

const TOP: &str = r#"
[[listener]]
address = "127.0.0.1:0"

[[class]]
name = "read"
aim_ms = 300
deadline_ms = 900
effect = "safe"
methods = ["GET"]
"#;

const CONTROL: &str = r#"
[control]
own = "balancer-17"
machines = ["127.0.0.1:9501"]
services = ["points"]
"#;

fn text(section: &str) -> String {
    format!("{TOP}{CONTROL}{section}")
}

#[test]
fn the_header_of_tenants_changes_without_a_restart() {
    let site = |section: &str| good(&text(section));
    let (none, some) = (site(""), site("[tenants]\nheader = \"X-Customer\"\n"));
    assert_eq!(none.tenants, None);
    assert_eq!(some.tenants.as_ref().expect("a section").header, "x-customer");
    assert!(restart_changes(&none, &some).is_empty());
    assert!(restart_changes(&some, &none).is_empty());
}

#[test]
fn every_problem_names_its_line_and_field() {
    for (section, says) in [
        ("[tenants]\n", "s.toml:16:1: field `tenants.header`: missing"),
        (
            "[tenants]\nheader = \"two words\"\n",
            "17:10: field `tenants.header`: \"two words\" is no",
        ),
        ("[tenants]\nheader = \"TE\"\n", "field `tenants.header`: \"te\" concerns a connection"),
        (
            "[tenants]\nheaders = \"X\"\n",
            "`tenants.headers`: unknown field; did you mean `header`?",
        ),
    ] {
        let told = problems(&text(section));
        assert!(told.iter().any(|told| told.contains(says)), "{says} in {told:#?}");
    }
    let alone = format!("{TOP}[tenants]\nheader = \"X-Customer\"\n");
    let told = problems(&alone);
    assert!(told.iter().any(|told| told.contains("no limits without [control]")), "{told:?}");
}
