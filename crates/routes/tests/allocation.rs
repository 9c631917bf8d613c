//! A lookup in a table or in an index allocates no memory, however many patterns match.

use sableloom_routes::{
    HeaderCondition, HostPattern, IndexedRoute, PathPattern, RequestHead, RouteIndex, RouteOrder,
    RouteTable, Rule,
};

fn overlapping_rules() -> impl Iterator<Item = Rule> {
    (0..1000).map(|n| Rule {
        hosts: vec![
            HostPattern::Subdomains("example".into()),
            HostPattern::Exact(format!("h{n}.example")),
        ],
        paths: vec![
            PathPattern::Prefix(format!("/a/{n}")),
            PathPattern::Suffix(format!("{n}.png")),
        ],
        methods: vec!["GET".into()],
        headers: vec![HeaderCondition { name: "x".into(), value: Some("1".into()) }],
        classes: vec![0],
    })
}

/// Checks that four lookups among overlapping patterns return the expected rules and allocate no memory.
fn check_lookups(find: impl Fn(&RequestHead<'_>) -> Option<usize>) {
    let find = |host: &str, path: &str, method: &str| {
        let head = RequestHead {
            host: host.as_bytes(),
            path: path.as_bytes(),
            method: method.as_bytes(),
            class: 0,
            has_header: &|name, value| name == "x" && value == Some("1"),
        };
        find(&head)
    };
    let mut found = [None; 4];
    let allocations = allocation_counter::measure(|| {
        found = [
            find("H7.EXAMPLE:80", "/a/77/x/999.png", "GET"),
            find("a.b.example.", "/z/999.png", "GET"),
            find("a.example", "/a/77", "POST"),
            find("nowhere", "/a/77", "GET"),
        ];
    });
    assert_eq!(found, [Some(7), Some(9), None, None]);
    assert_eq!(allocations.count_total, 0);
}

#[test]
fn a_lookup_in_a_table_allocates_no_memory() {
    let table = RouteTable::compile(overlapping_rules().collect()).expect("the rules compile");
    check_lookups(|head| table.find(head));
}

#[test]
fn a_lookup_in_an_index_allocates_no_memory() {
    let mut index = RouteIndex::default();
    for (n, rule) in overlapping_rules().enumerate() {
        let service = format!("service-{}", n % 10).into();
        let name = n.to_string().into();
        index.set(IndexedRoute {
            order: RouteOrder { rank: n as u32, service, name },
            rule,
            target: n,
        });
    }
    check_lookups(|head| index.find(head).map(|route| route.target));
}
