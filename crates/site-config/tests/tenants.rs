//! The section `[tenants]`.

use sableloom_site_config::{read, unchangeable};

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
fn a_header_names_the_tenant_and_may_change_while_it_runs() {
    let site = |section: &str| read("site.toml", text(section).as_bytes()).expect("good");
    let (none, some) = (site(""), site("[tenants]\nheader = \"X-Customer\"\n"));
    assert_eq!(none.tenants, None);
    assert_eq!(some.tenants.as_ref().expect("a section").header, "x-customer");
    assert!(unchangeable("site.toml", &none, &some).is_empty());
    assert!(unchangeable("site.toml", &some, &none).is_empty());
}

#[test]
fn what_is_wrong_is_said_with_its_line_and_field() {
    for (section, says) in [
        ("[tenants]\n", "site.toml:16:1: field `tenants.header`: missing"),
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
        let problems = read("site.toml", text(section).as_bytes()).expect_err(section);
        let told: Vec<String> = problems.iter().map(ToString::to_string).collect();
        assert!(told.iter().any(|told| told.contains(says)), "{says} in {told:#?}");
    }
    let alone = format!("{TOP}[tenants]\nheader = \"X-Customer\"\n");
    let told = read("site.toml", alone.as_bytes()).expect_err("no control");
    let told: Vec<String> = told.iter().map(ToString::to_string).collect();
    assert!(told.iter().any(|told| told.contains("no limits without [control]")), "{told:?}");
}
