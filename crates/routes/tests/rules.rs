//! Each condition by itself and with others, in order.

use sableloom_routes::{
    HeaderCondition, HostPattern, Mismatch, PathPattern, RequestHead, RouteTable, RouteTableError,
    Rule,
};

fn head<'a>(host: &'a str, path: &'a str) -> RequestHead<'a> {
    let (host, path) = (host.as_bytes(), path.as_bytes());
    RequestHead { host, path, method: b"GET", class: 0, has_header: &|_, _| false }
}

fn table(rules: &[Rule]) -> RouteTable {
    RouteTable::compile(rules.to_vec()).expect("rules")
}

fn host(pattern: HostPattern) -> Rule {
    Rule { hosts: vec![pattern], ..Rule::default() }
}

fn path(pattern: PathPattern) -> Rule {
    Rule { paths: vec![pattern], ..Rule::default() }
}

#[test]
fn an_empty_table_matches_nothing_and_an_empty_rule_matches_all() {
    assert_eq!(table(&[]).find(&head("h", "/")), None);
    let all = table(&[Rule::default()]);
    for (host, path) in [("", ""), ("h", "/"), ("h:80", "*"), (&"h".repeat(9000), "/x")] {
        assert_eq!(all.find(&head(host, path)), Some(0), "{host} {path}");
    }
}

#[test]
fn hosts_match_whatever_their_case_port_or_last_dot() {
    let t = table(&[host(HostPattern::Exact("Shop.Example".into()))]);
    for name in ["shop.example", "SHOP.example:8080", "shop.example.", "shop.example.:80"] {
        assert_eq!(t.find(&head(name, "/")), Some(0), "{name}");
    }
    for name in ["", "example", "a.shop.example", "shop.examples", "xshop.example", ".", ":"] {
        assert_eq!(t.find(&head(name, "/")), None, "{name}");
    }
    let six = table(&[host(HostPattern::Exact("[::1]".into()))]);
    assert_eq!(six.find(&head("[::1]:8080", "/")), Some(0));
    assert_eq!(six.find(&head("[::2]:8080", "/")), None);
    assert_eq!(six.find(&head("[::1", "/")), None);
}

#[test]
fn subdomains_match_at_any_depth_and_the_parent_does_not() {
    let t = table(&[host(HostPattern::Subdomains("shop.example".into()))]);
    for name in ["a.shop.example", "A.B.shop.EXAMPLE:1", "..shop.example"] {
        assert_eq!(t.find(&head(name, "/")), Some(0), "{name}");
    }
    for name in ["shop.example", ".shop.example", "ashop.example", "example"] {
        assert_eq!(t.find(&head(name, "/")), None, "{name}");
    }
}

#[test]
fn paths_match_byte_by_byte() {
    let t = table(&[
        path(PathPattern::Exact("/a".into())),
        path(PathPattern::Prefix("/a/".into())),
        path(PathPattern::Suffix(".png".into())),
        path(PathPattern::Prefix("/".into())),
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
        assert_eq!(t.find(&head("h", text)), rule, "{text}");
    }
}

#[test]
fn the_first_rule_in_order_wins_over_a_more_exact_one() {
    let t = table(&[
        path(PathPattern::Prefix("/a".into())),
        path(PathPattern::Exact("/a/b".into())),
        Rule { hosts: vec![HostPattern::Exact("h".into())], ..Rule::default() },
    ]);
    assert_eq!(t.find(&head("h", "/a/b")), Some(0));
    assert_eq!(t.find(&head("h", "/b")), Some(2));
    assert_eq!(t.find(&head("g", "/b")), None);
}

#[test]
fn methods_classes_and_headers_must_all_match() {
    let t = table(&[Rule {
        methods: vec!["POST".into(), "PUT".into()],
        classes: vec![1, 2],
        headers: vec![
            HeaderCondition { name: "x-beta".into(), value: None },
            HeaderCondition { name: "x-tenant".into(), value: Some("gold".into()) },
        ],
        ..Rule::default()
    }]);
    let has = |name: &str, value: Option<&str>| match name {
        "x-beta" => value.is_none(),
        _ => name == "x-tenant" && value == Some("gold"),
    };
    let good = RequestHead { method: b"PUT", class: 2, has_header: &has, ..head("h", "/") };
    assert_eq!(t.find(&good), Some(0));
    assert_eq!(t.mismatch(0, &good), None);
    let bare = |_: &str, _: Option<&str>| false;
    let beta = |name: &str, _: Option<&str>| name == "x-beta";
    for (other, why) in [
        (RequestHead { method: b"put", ..good }, Mismatch::Method),
        (RequestHead { method: b"GET", ..good }, Mismatch::Method),
        (RequestHead { class: 0, ..good }, Mismatch::Class),
        (RequestHead { has_header: &bare, ..good }, Mismatch::Header(&t.rules()[0].headers[0])),
        (RequestHead { has_header: &beta, ..good }, Mismatch::Header(&t.rules()[0].headers[1])),
    ] {
        assert_eq!(t.find(&other), None);
        assert_eq!(t.mismatch(0, &other), Some(why));
    }
}

#[test]
fn the_same_text_as_an_exact_prefix_and_suffix_pattern_is_kept_apart() {
    let t = table(&[
        path(PathPattern::Exact("/a".into())),
        path(PathPattern::Suffix("/a".into())),
        path(PathPattern::Prefix("/a".into())),
        path(PathPattern::Exact("/a".into())),
    ]);
    assert_eq!(t.find(&head("h", "/a")), Some(0));
    assert_eq!(t.find(&head("h", "/b/a")), Some(1));
    assert_eq!(t.find(&head("h", "/ab")), Some(2));
    assert_eq!(t.mismatch(3, &head("h", "/ab")), Some(Mismatch::Path));
}

#[test]
fn more_pairs_than_a_table_holds_are_rejected() {
    let many: Vec<PathPattern> = (0..3000).map(|i| PathPattern::Exact(format!("/{i}"))).collect();
    let hosts: Vec<HostPattern> = (0..3000).map(|i| HostPattern::Exact(format!("h{i}"))).collect();
    let rule = Rule { hosts, paths: many, ..Rule::default() };
    assert!(matches!(
        RouteTable::compile(vec![rule]),
        Err(RouteTableError::TooManyPairs(9_000_000))
    ));
}
