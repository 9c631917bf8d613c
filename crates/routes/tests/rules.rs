//! Each condition by itself and with others, in order.

use sableloom_routes::*;

fn head<'a>(host: &'a str, path: &'a str) -> Head<'a> {
    let (host, path) = (host.as_bytes(), path.as_bytes());
    Head { host, path, method: b"GET", class: 0, header: &|_, _| false }
}

fn table(rules: &[Rule]) -> Table {
    Table::compile(rules.to_vec()).expect("rules")
}

fn host(pattern: Host) -> Rule {
    Rule { hosts: vec![pattern], ..Rule::default() }
}

fn path(pattern: Path) -> Rule {
    Rule { paths: vec![pattern], ..Rule::default() }
}

#[test]
fn an_empty_table_has_no_route_and_an_empty_rule_takes_all() {
    assert_eq!(table(&[]).find(&head("h", "/")), None);
    let all = table(&[Rule::default()]);
    for (host, path) in [("", ""), ("h", "/"), ("h:80", "*"), (&"h".repeat(9000), "/x")] {
        assert_eq!(all.find(&head(host, path)), Some(0), "{host} {path}");
    }
}

#[test]
fn hosts_are_met_whatever_their_case_port_or_last_dot() {
    let t = table(&[host(Host::Exact("Shop.Example".into()))]);
    for name in ["shop.example", "SHOP.example:8080", "shop.example.", "shop.example.:80"] {
        assert_eq!(t.find(&head(name, "/")), Some(0), "{name}");
    }
    for name in ["", "example", "a.shop.example", "shop.examples", "xshop.example", ".", ":"] {
        assert_eq!(t.find(&head(name, "/")), None, "{name}");
    }
    let six = table(&[host(Host::Exact("[::1]".into()))]);
    assert_eq!(six.find(&head("[::1]:8080", "/")), Some(0));
    assert_eq!(six.find(&head("[::2]:8080", "/")), None);
    assert_eq!(six.find(&head("[::1", "/")), None);
}

#[test]
fn what_lies_under_a_host_is_met_at_any_depth_and_itself_is_not() {
    let t = table(&[host(Host::Under("shop.example".into()))]);
    for name in ["a.shop.example", "A.B.shop.EXAMPLE:1", "..shop.example"] {
        assert_eq!(t.find(&head(name, "/")), Some(0), "{name}");
    }
    for name in ["shop.example", ".shop.example", "ashop.example", "example"] {
        assert_eq!(t.find(&head(name, "/")), None, "{name}");
    }
}

#[test]
fn paths_are_met_byte_by_byte() {
    let t = table(&[
        path(Path::Exact("/a".into())),
        path(Path::Prefix("/a/".into())),
        path(Path::Suffix(".png".into())),
        path(Path::Prefix("/".into())),
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
fn the_first_in_order_wins_whatever_is_more_exact() {
    let t = table(&[
        path(Path::Prefix("/a".into())),
        path(Path::Exact("/a/b".into())),
        Rule { hosts: vec![Host::Exact("h".into())], ..Rule::default() },
    ]);
    assert_eq!(t.find(&head("h", "/a/b")), Some(0));
    assert_eq!(t.find(&head("h", "/b")), Some(2));
    assert_eq!(t.find(&head("g", "/b")), None);
}

#[test]
fn methods_classes_and_headers_are_all_asked() {
    let t = table(&[Rule {
        methods: vec!["POST".into(), "PUT".into()],
        classes: vec![1, 2],
        headers: vec![
            Header { name: "x-beta".into(), value: None },
            Header { name: "x-tenant".into(), value: Some("gold".into()) },
        ],
        ..Rule::default()
    }]);
    let has = |name: &str, value: Option<&str>| match name {
        "x-beta" => value.is_none(),
        _ => name == "x-tenant" && value == Some("gold"),
    };
    let good = Head { method: b"PUT", class: 2, header: &has, ..head("h", "/") };
    assert_eq!(t.find(&good), Some(0));
    assert_eq!(t.why_not(0, &good), None);
    let bare = |_: &str, _: Option<&str>| false;
    let beta = |name: &str, _: Option<&str>| name == "x-beta";
    for (other, why) in [
        (Head { method: b"put", ..good }, Why::Method),
        (Head { method: b"GET", ..good }, Why::Method),
        (Head { class: 0, ..good }, Why::Class),
        (Head { header: &bare, ..good }, Why::Header(&t.rules()[0].headers[0])),
        (Head { header: &beta, ..good }, Why::Header(&t.rules()[0].headers[1])),
    ] {
        assert_eq!(t.find(&other), None);
        assert_eq!(t.why_not(0, &other), Some(why));
    }
}

#[test]
fn one_pattern_in_several_ways_is_kept_apart() {
    let t = table(&[
        path(Path::Exact("/a".into())),
        path(Path::Suffix("/a".into())),
        path(Path::Prefix("/a".into())),
        path(Path::Exact("/a".into())),
    ]);
    assert_eq!(t.find(&head("h", "/a")), Some(0));
    assert_eq!(t.find(&head("h", "/b/a")), Some(1));
    assert_eq!(t.find(&head("h", "/ab")), Some(2));
    assert_eq!(t.why_not(3, &head("h", "/ab")), Some(Why::Path));
}

#[test]
fn more_than_the_table_holds_is_refused() {
    let many: Vec<Path> = (0..3000).map(|i| Path::Exact(format!("/{i}"))).collect();
    let hosts: Vec<Host> = (0..3000).map(|i| Host::Exact(format!("h{i}"))).collect();
    let rule = Rule { hosts, paths: many, ..Rule::default() };
    assert!(matches!(Table::compile(vec![rule]), Err(TableError::TooMany(9_000_000))));
}
