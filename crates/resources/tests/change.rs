//! Change files: what they may say, and that all problems are reported at once, with line and field.

use std::collections::BTreeMap;

use sableloom_distribution::{Change, LogEntry, Resource, ResourceKind, ResourceName, ServiceName};
use sableloom_resources::{
    Body, BodyError, EmptyInventory, FORMAT_VERSION, Inventory, ListedServer, ServerState,
    is_complete, listing, read_change,
};
use sableloom_site_config::{Class, ClassDefaults, Pool};

const FIRST: &str = r#"number = 1
epoch = 1
[[pool]]
service = "points"
t_qos_ms = 200
[pool.reports]
how = "answers"
names = ["inflight"]
[[server]]
service = "points"
id = "points-1"
address = "127.0.0.1:9001"
zone = "east"
started = 2026-12-01T08:30:00Z
[[server]]
service = "points"
id = "points-2"
address = "127.0.0.1:9002"
weight = 2
state = "draining"
[[route]]
service = "points"
name = "balance"
rank = 100
path.prefix = ["/balance/"]
class = ["balance"]
[[route]]
service = "points"
name = "retired"
rank = 90
path.exact = "/v1/statement"
refuse = "gone"
[end]
changes = 5
"#;

/// The resources that a sequence of changes leads to.
#[derive(Default)]
struct Resources(BTreeMap<ResourceName, Resource>);

impl Resources {
    fn with(text: &str) -> Self {
        let mut resources = Resources::default();
        resources.apply(entry(text, &EmptyInventory).expect("a valid change"));
        resources
    }

    fn apply(&mut self, entry: LogEntry) {
        for change in entry.changes {
            match change {
                Change::Set(resource) => _ = self.0.insert(resource.name.clone(), resource),
                Change::Remove { name, .. } => _ = self.0.remove(&name),
                Change::RemoveService { service, .. } => {
                    self.0.retain(|name, _| name.service != service);
                }
            }
        }
    }

    fn names(&self) -> Vec<String> {
        self.0.keys().map(ToString::to_string).collect()
    }
}

impl Inventory for Resources {
    fn visit(&self, service: &ServiceName, visit: &mut dyn FnMut(&Resource)) {
        self.0.values().filter(|resource| resource.name.service == *service).for_each(visit);
    }
}

fn entry(text: &str, inventory: &dyn Inventory) -> Result<LogEntry, Vec<String>> {
    let as_text = |problems: Vec<sableloom_toml_diagnostics::Problem>| {
        problems.iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    let change = read_change("00000001.toml", text.as_bytes()).map_err(as_text)?;
    change.resolve(inventory).map_err(as_text)
}

fn problems(text: &str, inventory: &dyn Inventory) -> Vec<String> {
    entry(text, inventory).expect_err("an invalid change")
}

fn body(entry: &LogEntry, kind: ResourceKind, key: &str) -> (Resource, Body) {
    let resource = entry.changes.iter().find_map(|change| match change {
        Change::Set(resource) if resource.name.kind == kind && &*resource.name.key == key => {
            Some(resource.clone())
        }
        _ => None,
    });
    let resource = resource.expect("the resource is set");
    let body = Body::decode(kind, resource.body.as_slice()).expect("a body");
    (resource, body)
}

#[test]
fn a_change_becomes_the_settings_of_an_equal_site_file() {
    let entry = entry(FIRST, &EmptyInventory).expect("a valid change");
    assert_eq!((entry.number, entry.epoch, entry.changes.len()), (1, 1, 5));

    let (pool, Body::Pool(settings)) = body(&entry, ResourceKind::Pool, "") else {
        panic!("a pool")
    };
    assert_eq!((pool.version, pool.origin.line, &*pool.origin.file), (1, 3, "00000001.toml"));
    let site = br#"
listener = [{ address = "127.0.0.1:0" }]
class = [{ name = "balance", aim_ms = 150, deadline_ms = 2600, effect = "safe", methods = ["GET"] }]
[[pool]]
name = "points"
files = ["points.toml"]
t_qos_ms = 200
[pool.reports]
how = "answers"
names = ["inflight"]
"#;
    let site = sableloom_site_config::read("site.toml", site).expect("a good site");
    let mut expected = site.pools[0].clone();
    (expected.files, expected.max_removed_share, expected.reread_interval_ms) =
        (Vec::new(), 1.0, 0.0);
    let classes: Vec<Class> = site.classes.clone();
    assert_eq!(Pool::new("points", settings, &ClassDefaults::of(&classes)), expected);

    let (_, Body::Server(server)) = body(&entry, ResourceKind::Server, "points-2") else {
        panic!("a server")
    };
    assert_eq!((server.weight, server.state), (2.0, ServerState::Draining));
    let list = listing(&[ListedServer { id: "points-2", entry: &server, line: 15 }]);
    assert_eq!(list.servers[0].id, "points-2");
    assert!(!list.servers[0].serves());

    let (_, Body::Route(route)) = body(&entry, ResourceKind::Route, "balance") else {
        panic!("a route")
    };
    assert_eq!(route.to_rule(&["redeem", "balance"]).expect("a rule").classes, [1]);
    let unknown = route.to_rule(&["redeem"]).expect_err("no such class");
    assert_eq!(unknown.to_string(), "no class \"balance\"");
    let (_, Body::Route(route)) = body(&entry, ResourceKind::Route, "retired") else {
        panic!("a route")
    };
    assert_eq!((route.rank, route.refusal_status), (90, Some(410)));
}

#[test]
fn all_problems_of_a_change_are_reported_at_once_with_line_and_field() {
    let text = r#"number = 2
epoch = 0
[[pool]]
service = "Points"
t_qos_ms = "fast"
[[server]]
service = "points"
id = "points-1"
address = "points.example:80"
[[route]]
service = "points"
name = "balance"
path.prefix = ["balance"]
colour = "red"
[[remove]]
service = "points"
server = "points-3"
route = "balance"
[end]
changes = 5
"#;
    let problems_found = problems(text, &EmptyInventory);
    for (line, field, what) in [
        (2, "epoch", "expected 1 to"),
        (4, "pool[0].service", "expected 1 to 128"),
        (5, "pool[0].t_qos_ms", "expected a number"),
        (9, "server[0].address", "names are not looked up"),
        (10, "route[0].rank", "missing"),
        (13, "route[0].path.prefix", "no path"),
        (14, "route[0].colour", "unknown field"),
        (15, "remove[0]", "not several"),
        (20, "end.changes", "4 changes are here"),
    ] {
        let found = problems_found.iter().any(|problem| {
            problem.starts_with(&format!("00000001.toml:{line}:"))
                && problem.contains(&format!("`{field}"))
                && problem.contains(what)
        });
        assert!(found, "line {line}, {field}: {what} in {problems_found:#?}");
    }
}

#[test]
fn a_change_is_checked_against_the_existing_resources() {
    let resources = Resources::with(FIRST);
    let text = r#"number = 2
epoch = 1
[[server]]
service = "points"
id = "points-3"
address = "127.0.0.1:9001"
[[server]]
service = "partners"
id = "partners-1"
address = "127.0.0.1:9100"
[[remove]]
service = "points"
route = "balanced"
[[remove]]
service = "shop"
[end]
changes = 4
"#;
    assert_eq!(
        problems(text, &resources),
        [
            "00000001.toml:3:1: field `server[0]`: 127.0.0.1:9001 is the address of \"points-1\" as well",
            "00000001.toml:7:1: field `server[1]`: service \"partners\" has no [[pool]]; set it in this change \
             or in one before",
            "00000001.toml:11:1: field `remove[0]`: service \"points\" has no route \"balanced\"; did you mean \
             `balance`?",
            "00000001.toml:14:1: field `remove[1]`: no service \"shop\"",
        ]
    );
}

#[test]
fn an_address_may_move_from_one_server_to_another_in_one_change() {
    let mut resources = Resources::with(FIRST);
    let text = r#"number = 2
epoch = 1
[[remove]]
service = "points"
server = "points-1"
[[server]]
service = "points"
id = "points-3"
address = "127.0.0.1:9001"
[end]
changes = 2
"#;
    resources.apply(entry(text, &resources).expect("a valid change"));
    assert!(
        resources.names().contains(&"server points-3 of points".to_string()),
        "{:?}",
        resources.names()
    );
    assert!(
        !resources.names().contains(&"server points-1 of points".to_string()),
        "{:?}",
        resources.names()
    );
}

#[test]
fn a_service_that_is_removed_and_set_in_one_change_is_replaced() {
    let mut resources = Resources::with(FIRST);
    let text = r#"number = 2
epoch = 1
[[remove]]
service = "points"
[[pool]]
service = "points"
[end]
changes = 2
"#;
    resources.apply(entry(text, &resources).expect("a valid change"));
    assert_eq!(resources.names(), ["pool points"]);
}

#[test]
fn a_change_that_names_a_resource_twice_or_leaves_only_weights_of_0_is_rejected() {
    let text = r#"number = 1
epoch = 1
[[pool]]
service = "points"
[[server]]
service = "points"
id = "points-1"
address = "127.0.0.1:9001"
[[server]]
service = "points"
id = "points-1"
address = "127.0.0.1:9002"
[end]
changes = 3
"#;
    let problems_found = problems(text, &EmptyInventory);
    assert!(
        problems_found[0].contains(":9:1: field `server[1]`: server[0] names the same"),
        "{problems_found:?}"
    );
    let text = text.replace(
        "id = \"points-1\"\naddress = \"127.0.0.1:9002\"",
        "id = \"points-2\"\naddress = \"127.0.0.1:9002\"\nweight = 0",
    );
    let text =
        text.replace("address = \"127.0.0.1:9001\"", "address = \"127.0.0.1:9001\"\nweight = 0");
    let problems_found = problems(&text, &EmptyInventory);
    assert!(
        problems_found[0].contains("every server of the service has weight 0"),
        "{problems_found:?}"
    );
}

#[test]
fn a_file_truncated_anywhere_is_not_complete() {
    assert!(is_complete(FIRST.as_bytes()));
    assert!(is_complete(format!("{FIRST}\n# a last remark\n\n").as_bytes()));
    for cut in 0..FIRST.len() {
        assert!(!is_complete(&FIRST.as_bytes()[..cut]), "cut at {cut}");
    }
    assert!(!is_complete(format!("{FIRST}[[remove]]\nservice = \"points\"\n").as_bytes()));
}

#[test]
fn a_body_of_another_version_or_length_is_not_decoded() {
    let entry = entry(FIRST, &EmptyInventory).expect("a valid change");
    for change in &entry.changes {
        let Change::Set(resource) = change else { continue };
        let (kind, bytes) = (resource.name.kind, resource.body.as_slice());
        assert!(Body::decode(kind, bytes).is_ok());
        for cut in 0..bytes.len() {
            assert!(Body::decode(kind, &bytes[..cut]).is_err(), "{} cut at {cut}", resource.name);
        }
        let longer = [bytes, &[7]].concat();
        assert_eq!(Body::decode(kind, &longer), Err(BodyError::Trailing(1)));
        let mut foreign = bytes.to_vec();
        foreign[0] = FORMAT_VERSION + 1;
        assert_eq!(Body::decode(kind, &foreign), Err(BodyError::Version(FORMAT_VERSION + 1)));
    }
}
