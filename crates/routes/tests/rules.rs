//! Conditions on hosts, paths, methods, classes and headers, alone and combined, and the order of rules.

use sableloom_routes::{
    HeaderCondition, HostPattern, Mismatch, PathPattern, RequestHead, RouteTable, RouteTableError,
    Rule,
};

fn head<'a>(host: &'a str, path: &'a str) -> RequestHead<'a> {
    let (host, path) = (host.as_bytes(), path.as_bytes());
    RequestHead { host, path, method: b"GET", class: 0, has_header: &|_, _| false }
}

fn compile(rules: &[Rule]) -> RouteTable {
    RouteTable::compile(rules.to_vec()).expect("the rules compile")
}

fn host_rule(pattern: HostPattern) -> Rule {
    Rule { hosts: vec![pattern], ..Rule::default() }
}

fn path_rule(pattern: PathPattern) -> Rule {
    Rule { paths: vec![pattern], ..Rule::default() }
}

#[test]
fn an_empty_table_matches_no_request_and_an_empty_rule_matches_every_request() {
    assert_eq!(compile(&[]).find(&head("h", "/")), None);
    let match_all = compile(&[Rule::default()]);
    for (host, path) in [("", ""), ("h", "/"), ("h:80", "*"), (&"h".repeat(9000), "/x")] {
        assert_eq!(match_all.find(&head(host, path)), Some(0), "{host} {path}");
    }
}

#[test]
fn exact_hosts_match_regardless_of_case_port_and_trailing_dot() {
    let table = compile(&[host_rule(HostPattern::Exact("Shop.Example".into()))]);
    for name in ["shop.example", "SHOP.example:8080", "shop.example.", "shop.example.:80"] {
        assert_eq!(table.find(&head(name, "/")), Some(0), "{name}");
    }
    for name in ["", "example", "a.shop.example", "shop.examples", "xshop.example", ".", ":"] {
        assert_eq!(table.find(&head(name, "/")), None, "{name}");
    }
    let ipv6 = compile(&[host_rule(HostPattern::Exact("[::1]".into()))]);
    assert_eq!(ipv6.find(&head("[::1]:8080", "/")), Some(0));
    assert_eq!(ipv6.find(&head("[::2]:8080", "/")), None);
    assert_eq!(ipv6.find(&head("[::1", "/")), None);
}

#[test]
fn a_subdomain_pattern_matches_at_any_depth_but_not_the_parent_domain() {
    let table = compile(&[host_rule(HostPattern::Subdomains("shop.example".into()))]);
    for name in ["a.shop.example", "A.B.shop.EXAMPLE:1", "..shop.example"] {
        assert_eq!(table.find(&head(name, "/")), Some(0), "{name}");
    }
    for name in ["shop.example", ".shop.example", "ashop.example", "example"] {
        assert_eq!(table.find(&head(name, "/")), None, "{name}");
    }
}

#[test]
fn paths_are_compared_byte_by_byte_without_decoding() {
    let table = compile(&[
        path_rule(PathPattern::Exact("/a".into())),
        path_rule(PathPattern::Prefix("/a/".into())),
        path_rule(PathPattern::Suffix(".png".into())),
        path_rule(PathPattern::Prefix("/".into())),
    ]);
    for (text, rule) in [
        ("/a", Some(0)),
        ("/a/", Some(1)),
        ("/a/b.png", Some(1)),
        ("/b.png", Some(2)),
        ("/A", Some(3)),
        ("/%61", Some(3)),
        ("/", Some(3)),
        ("", None),
        ("*", None),
    ] {
        assert_eq!(table.find(&head("h", text)), rule, "{text}");
    }
}

#[test]
fn an_earlier_rule_is_found_before_a_more_specific_later_rule() {
    let table = compile(&[
        path_rule(PathPattern::Prefix("/a".into())),
        path_rule(PathPattern::Exact("/a/b".into())),
        Rule { hosts: vec![HostPattern::Exact("h".into())], ..Rule::default() },
    ]);
    assert_eq!(table.find(&head("h", "/a/b")), Some(0));
    assert_eq!(table.find(&head("h", "/b")), Some(2));
    assert_eq!(table.find(&head("g", "/b")), None);
}

#[test]
fn a_rule_matches_only_if_method_class_and_all_headers_match() {
    let table = compile(&[Rule {
        methods: vec!["POST".into(), "PUT".into()],
        classes: vec![1, 2],
        headers: vec![
            HeaderCondition { name: "x-beta".into(), value: None },
            HeaderCondition { name: "x-tenant".into(), value: Some("gold".into()) },
        ],
        ..Rule::default()
    }]);
    let has_both = |name: &str, value: Option<&str>| match name {
        "x-beta" => value.is_none(),
        _ => name == "x-tenant" && value == Some("gold"),
    };
    let matching =
        RequestHead { method: b"PUT", class: 2, has_header: &has_both, ..head("h", "/") };
    assert_eq!(table.find(&matching), Some(0));
    assert_eq!(table.mismatch(0, &matching), None);
    let has_none = |_: &str, _: Option<&str>| false;
    let has_only_beta = |name: &str, _: Option<&str>| name == "x-beta";
    for (head, expected) in [
        (RequestHead { method: b"put", ..matching }, Mismatch::Method),
        (RequestHead { method: b"GET", ..matching }, Mismatch::Method),
        (RequestHead { class: 0, ..matching }, Mismatch::Class),
        (
            RequestHead { has_header: &has_none, ..matching },
            Mismatch::Header(&table.rules()[0].headers[0]),
        ),
        (
            RequestHead { has_header: &has_only_beta, ..matching },
            Mismatch::Header(&table.rules()[0].headers[1]),
        ),
    ] {
        assert_eq!(table.find(&head), None);
        assert_eq!(table.mismatch(0, &head), Some(expected));
    }
}

#[test]
fn exact_prefix_and_suffix_patterns_of_the_same_text_match_independently() {
    let table = compile(&[
        path_rule(PathPattern::Exact("/a".into())),
        path_rule(PathPattern::Suffix("/a".into())),
        path_rule(PathPattern::Prefix("/a".into())),
        path_rule(PathPattern::Exact("/a".into())),
    ]);
    assert_eq!(table.find(&head("h", "/a")), Some(0));
    assert_eq!(table.find(&head("h", "/b/a")), Some(1));
    assert_eq!(table.find(&head("h", "/ab")), Some(2));
    assert_eq!(table.mismatch(3, &head("h", "/ab")), Some(Mismatch::Path));
}

#[test]
fn rules_with_more_pattern_pairs_than_the_maximum_are_rejected() {
    let paths: Vec<PathPattern> = (0..3000).map(|i| PathPattern::Exact(format!("/{i}"))).collect();
    let hosts: Vec<HostPattern> = (0..3000).map(|i| HostPattern::Exact(format!("h{i}"))).collect();
    let rule = Rule { hosts, paths, ..Rule::default() };
    assert!(matches!(
        RouteTable::compile(vec![rule]),
        Err(RouteTableError::TooManyPairs(9_000_000))
    ));
}
