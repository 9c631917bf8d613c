//! Tenants in change files: what they may say, their problems by line and field, and their bodies.

use sableloom_distribution::{
    Change, LogEntry, ResourceKind, ResourceName, ServiceName, Store, StoreLimits,
};
use sableloom_resources::{Body, BodyError, MAX_TENANTS, TenantLimit, read_change};

const FIRST: &str = r#"[[pool]]
service = "points"
[[tenant]]
service = "points"
name = "customer-17"
requests_per_second = 20.5
[[tenant]]
service = "points"
name = "customer-18"
requests_per_second = 0.25
burst = 40
"#;

fn file(number: u64, tables: &str) -> String {
    let changes = tables.lines().filter(|line| line.starts_with("[[")).count();
    format!("number = {number}\nepoch = 1\n{tables}[end]\nchanges = {changes}\n")
}

fn entry(number: u64, tables: &str, store: &Store) -> Result<LogEntry, Vec<String>> {
    let as_text = |problems: Vec<sableloom_toml_diagnostics::Problem>| {
        problems.iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    let text = file(number, tables);
    read_change("1.toml", text.as_bytes()).map_err(as_text)?.resolve(store).map_err(as_text)
}

fn store() -> Store {
    let mut store = Store::new(StoreLimits::default());
    let first = entry(1, FIRST, &store).expect("a valid change");
    store.append(first).expect("it follows");
    store
}

fn limit(store: &Store, name: &str) -> Option<TenantLimit> {
    let service = ServiceName::try_from("points").expect("a name");
    let name = ResourceName::tenant(service.clone(), name);
    let resource = store.resources(&service).find(|resource| resource.name == name)?;
    match Body::decode(ResourceKind::Tenant, resource.body.as_slice()) {
        Ok(Body::Tenant(limit)) => Some(limit),
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_default_burst_of_a_tenant_is_the_requests_of_one_second() {
    let store = store();
    let expected = TenantLimit { requests_per_second: 20.5, burst: 21 };
    assert_eq!(limit(&store, "customer-17"), Some(expected));
    let expected = TenantLimit { requests_per_second: 0.25, burst: 40 };
    assert_eq!(limit(&store, "customer-18"), Some(expected));
    let slow = "[[tenant]]\nservice = \"points\"\nname = \"s\"\nrequests_per_second = 0.001\n";
    let change = entry(2, slow, &store).expect("a valid change");
    let Change::Set(resource) = &change.changes[0] else { panic!("{change:?}") };
    let expected = Body::Tenant(TenantLimit { requests_per_second: 0.001, burst: 1 });
    assert_eq!(Body::decode(ResourceKind::Tenant, resource.body.as_slice()), Ok(expected));
}

#[test]
fn all_problems_of_tenants_are_reported_at_once_with_line_and_field() {
    let text = r#"[[tenant]]
service = "points"
name = "two words"
requests_per_second = 0
[[tenant]]
service = "points"
name = "b"
requests_per_second = 2
burst = 0
[[tenant]]
service = "points"
name = "c"
[[tenant]]
service = "points"
name = "d"
requests_per_second = 1000001
burst = 1.5
[[tenant]]
service = "points"
name = "e"
requests_per_second = inf
rate = 3
[[tenant]]
service = "points"
name = "f"
requests_per_second = 1
[[tenant]]
service = "points"
name = "f"
requests_per_second = 2
[[tenant]]
service = "points"
requests_per_second = "many"
[[remove]]
service = "points"
tenant = "a"
server = "b"
"#;
    let problems_found = entry(1, text, &store()).expect_err("an invalid change");
    for (line, field, what) in [
        (5, "tenant[0].name", "visible ASCII"),
        (6, "tenant[0].requests_per_second", "expected 0.001 to 1000000"),
        (11, "tenant[1].burst", "expected"),
        (12, "tenant[2].requests_per_second", "missing"),
        (18, "tenant[3].requests_per_second", "found 1000001"),
        (19, "tenant[3].burst", "expected"),
        (23, "tenant[4].requests_per_second", "expected"),
        (24, "tenant[4].rate", "unknown field"),
        (29, "tenant[6]", "names the same"),
        (33, "tenant[7].name", "missing"),
        (35, "tenant[7].requests_per_second", "expected a number"),
        (36, "remove[0]", "not several"),
    ] {
        let found = problems_found.iter().any(|problem| {
            problem.starts_with(&format!("1.toml:{line}:"))
                && problem.contains(&format!("`{field}"))
                && problem.contains(what)
        });
        assert!(found, "line {line}, {field}: {what} in {problems_found:#?}");
    }
}

#[test]
fn tenants_are_checked_against_the_existing_resources() {
    let other =
        FIRST.replace("points", "partners").replace("[[pool]]\nservice = \"partners\"\n", "");
    let removed = "[[remove]]\nservice = \"points\"\ntenant = \"customer-19\"\n";
    let problems_found = entry(2, &(other + removed), &store()).expect_err("an invalid change");
    assert!(
        problems_found[0].contains("service \"partners\" has no [[pool]]"),
        "{problems_found:?}"
    );
    assert!(
        problems_found[1].contains("has no tenant \"customer-19\"; did you mean"),
        "{problems_found:?}"
    );
    let many: String = (0..MAX_TENANTS)
        .map(|n| {
            format!("[[tenant]]\nservice = \"points\"\nname = \"{n}\"\nrequests_per_second = 1\n")
        })
        .collect();
    let problems_found = entry(2, &many, &store()).expect_err("an invalid change");
    assert!(
        problems_found[0].contains("16386 tenants of a service are more than 16384"),
        "{problems_found:?}"
    );
    // Without the two that exist they are exactly as many as a service may have.
    let replacement = "[[remove]]\nservice = \"points\"\n[[pool]]\nservice = \"points\"\n";
    let change = entry(2, &(many + replacement), &store()).expect("a valid change");
    let mut store = store();
    store.append(change).expect("it follows");
    assert_eq!(store.tenant_count(), MAX_TENANTS);
}

#[test]
fn a_tenant_is_removed_alone_and_with_its_service() {
    let mut store = store();
    let removed = "[[remove]]\nservice = \"points\"\ntenant = \"customer-17\"\n";
    store.append(entry(2, removed, &store).expect("a valid change")).expect("it follows");
    assert_eq!(limit(&store, "customer-17"), None);
    assert_eq!(store.tenant_count(), 1);
    let replacement = "[[remove]]\nservice = \"points\"\n";
    store.append(entry(3, replacement, &store).expect("a valid change")).expect("it follows");
    assert_eq!((store.tenant_count(), store.resource_count()), (0, 0));
}

#[test]
fn a_body_encodes_to_the_expected_bytes_and_only_these_decode() {
    let limit = TenantLimit { requests_per_second: 0.5, burst: 300 };
    let bytes = Body::Tenant(limit).encode();
    assert_eq!(bytes, [1, 0, 0, 0, 0, 0, 0, 0xe0, 0x3f, 0xac, 2]);
    assert_eq!(Body::decode(ResourceKind::Tenant, &bytes), Ok(Body::Tenant(limit)));
    for cut in 0..bytes.len() {
        assert!(Body::decode(ResourceKind::Tenant, &bytes[..cut]).is_err(), "cut at {cut}");
    }
    let longer = [&bytes[..], &[0]].concat();
    assert_eq!(Body::decode(ResourceKind::Tenant, &longer), Err(BodyError::Trailing(1)));
    let later = [&[2], &bytes[1..]].concat();
    assert_eq!(Body::decode(ResourceKind::Tenant, &later), Err(BodyError::Version(2)));
}

#[test]
fn a_limit_out_of_range_is_rejected_with_its_field() {
    let of = |requests_per_second, burst| TenantLimit { requests_per_second, burst };
    assert_eq!(of(1.0, 1).check(), Ok(()));
    for rate in [0.0, -1.0, f64::NAN, f64::INFINITY, 1e-9] {
        let error = of(rate, 1).check().expect_err("no rate");
        assert_eq!(error.field, "requests_per_second");
    }
    for burst in [0, u32::MAX] {
        assert_eq!(of(1.0, burst).check().expect_err("no burst").field, "burst");
    }
}
