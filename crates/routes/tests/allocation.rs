//! A match allocates nothing, whatever it meets on its way.

use sableloom_routes::*;

#[test]
fn a_match_allocates_nothing() {
    let rules = (0..1000).map(|n| Rule {
        hosts: vec![Host::Under("example".into()), Host::Exact(format!("h{n}.example"))],
        paths: vec![Path::Prefix(format!("/a/{n}")), Path::Suffix(format!("{n}.png"))],
        methods: vec!["GET".into()],
        headers: vec![Header { name: "x".into(), value: Some("1".into()) }],
        classes: vec![0],
    });
    let table = Table::compile(rules.collect()).expect("rules");
    let find = |host: &str, path: &str, method: &str| {
        let head = Head {
            host: host.as_bytes(),
            path: path.as_bytes(),
            method: method.as_bytes(),
            class: 0,
            header: &|name, value| name == "x" && value == Some("1"),
        };
        table.find(&head)
    };
    let mut found = [None; 4];
    let seen = allocation_counter::measure(|| {
        found = [
            find("H7.EXAMPLE:80", "/a/77/x/999.png", "GET"),
            find("a.b.example.", "/z/999.png", "GET"),
            find("a.example", "/a/77", "POST"),
            find("nowhere", "/a/77", "GET"),
        ];
    });
    assert_eq!(found, [Some(7), Some(9), None, None]);
    assert_eq!(seen.count_total, 0);
}
