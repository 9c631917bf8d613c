//! `sableloom check` and `sableloom route`, on the examples that are shipped and on what is wrong.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use sableloom_testkit::{Site, program};

fn run(arguments: &[&str]) -> Output {
    Command::new(program()).args(arguments).env_remove("ROUTER_CONFIG").output().expect("it runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn example() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/site.example.toml")
}

/// The shipped example and its files in a folder of its own.
fn copied() -> Site {
    let read = |name: &str| std::fs::read_to_string(example().with_file_name(name)).expect(name);
    let site = Site::new(&read("site.example.toml"));
    for name in ["points.example.toml", "partners.example.toml"] {
        site.write(name, &read(name));
    }
    site
}

fn check(site: &Site) -> (Option<i32>, String) {
    let output = run(&["check", site.path("site.toml").to_str().expect("a path")]);
    (output.status.code(), text(&output.stdout) + &text(&output.stderr))
}

#[test]
fn the_shipped_examples_pass_the_check() {
    let output = run(&["check", example().to_str().expect("a path")]);
    let said = text(&output.stdout);
    assert!(output.status.success(), "{said}{}", text(&output.stderr));
    assert!(said.contains("1 listeners, 2 classes, 2 pools with 4 servers, 3 routes"), "{said}");
    let shadow = example().with_file_name("shadow.example.toml");
    let output = run(&["check", shadow.to_str().expect("a path")]);
    let said = text(&output.stdout);
    assert!(output.status.success(), "{said}{}", text(&output.stderr));
    assert!(said.contains("3 pools with 5 servers, 0 routes, 1 shadows"), "{said}");
    let fleet = example().with_file_name("fleet.example.toml");
    let output = run(&["check", fleet.to_str().expect("a path")]);
    let said = text(&output.stdout);
    assert!(output.status.success(), "{said}{}", text(&output.stderr));
    assert!(said.contains("fleet points: till-2 of 3 members, at 127.0.0.1:7002"), "{said}");
    let subscriber = example().with_file_name("control").join("balancer.toml");
    let output = run(&["check", subscriber.to_str().expect("a path")]);
    let said = text(&output.stdout);
    assert!(output.status.success(), "{said}{}", text(&output.stderr));
    let control = "control: subscriber balancer-17, 2 control machines, 2 services";
    assert!(said.contains(control) && said.contains("0 pools"), "{said}");
    let output = run(&["route", subscriber.to_str().expect("a path"), "--request", "GET /"]);
    assert!(text(&output.stderr).contains("its routes come from control machines"));
}

#[test]
fn all_problems_are_reported_at_once_with_their_place() {
    let site = copied();
    let good = std::fs::read_to_string(site.path("site.toml")).expect("a file");
    let bad = good
        .replace("zone = \"east\"", "zone = \"esat\"")
        .replace("aim_ms = 300", "aim_ms = 3000")
        .replace("effect = \"safe\" ", "efect = \"safe\" ")
        .replace("path.exact = \"/v1/statement\"", "path.exact = \"v1/statement\"")
        .replace("class = [\"balance\", \"redeem\"]", "class = [\"balnce\", \"redeem\"]")
        .replace("pool = \"partners\"", "pool = \"partner\"")
        .replace("refuse = \"not-found\"", "refuse = \"notfound\"");
    site.write("site.toml", &bad);
    let (code, said) = check(&site);
    assert_eq!(code, Some(1));
    let place = |part: &str| {
        let at = bad.find(part).expect(part);
        let line = bad[..at].matches('\n').count() + 1;
        let start = bad[..at].rfind('\n').map_or(0, |n| n + 1);
        format!("site.toml:{line}:{}: ", at - start + 1)
    };
    for (part, says) in [
        ("\"esat\"", "field `locality.zone`: no zone \"esat\"; did you mean `east`?"),
        ("efect", "field `class[0].efect`: unknown field; did you mean `effect`?"),
        (
            "1500\neffect = \"unsafe\"",
            "field `class[1].deadline_ms`: 1500 ms is under the aim of 3000 ms",
        ),
        ("\"partner\"", "field `route[0].pool`: no pool \"partner\"; did you mean `partners`?"),
        ("\"v1/statement\"", "field `route[1].path.exact`: \"v1/statement\" is no path"),
        ("\"balnce\"", "field `route[2].class[0]`: no class \"balnce\""),
        ("\"notfound\"", "field `otherwise.refuse`: \"notfound\" is none of the words"),
    ] {
        // The report breaks long lines.
        let flat = said.split_whitespace().filter(|w| *w != "│").collect::<Vec<_>>().join(" ");
        let line = place(part);
        let first = says.split(';').next().expect("a part");
        let head = format!("{line}{first}").split_whitespace().collect::<Vec<_>>().join(" ");
        let found = flat.replace("- ", "-").contains(&head.replace("- ", "-"));
        assert!(found, "{head:?} is not said in\n{said}");
        if let Some(help) = says.split("; ").nth(1) {
            assert!(flat.contains(help), "{help:?} is not said in\n{said}");
        }
    }
}

#[test]
fn files_of_servers_are_checked_as_well() {
    let site = copied();
    let points = std::fs::read_to_string(site.path("points.example.toml")).expect("a file");
    site.write("points.example.toml", &points.replace("127.0.0.1:9002", "127.0.0.1:9001"));
    std::fs::remove_file(site.path("partners.example.toml")).expect("removed");
    let (code, said) = check(&site);
    assert_eq!(code, Some(1));
    assert!(said.contains("points.example.toml:13:11: field `server[1].address`"), "{said}");
    assert!(said.contains("partners.example.toml:1:1: it can't be read"), "{said}");
    assert!(said.contains("2 problems"), "{said}");
    site.write("site.toml", "");
    let (_, said) = check(&site);
    for field in ["listener", "class", "pool"] {
        assert!(said.contains(&format!("field `{field}`: missing")), "{said}");
    }
}

#[test]
fn route_shows_the_route_pool_and_servers_of_a_request() {
    let file = example();
    let file = file.to_str().expect("a path");
    let follow = |request: &str, more: &[&str]| {
        let mut arguments = vec!["route", file, "--request", request];
        arguments.extend(more);
        let output = run(&arguments);
        (output.status.code(), text(&output.stdout) + &text(&output.stderr))
    };
    let (code, said) = follow("GET /balance/7", &["-H", "Host: shop.example"]);
    assert_eq!(code, Some(0), "{said}");
    for part in [
        "request: GET shop.example/balance/7, class balance",
        "not:     `partners`, line 62: another host",
        "not:     `retired`, line 67: another path",
        "route:   `points`, line 72",
        "pool:    points",
        "servers: 2 of 3 serve",
        "points-1 at 127.0.0.1:9001, weight 1",
        "points-2 at 127.0.0.1:9002, weight 2",
    ] {
        assert!(said.contains(part), "{part:?} is not said in\n{said}");
    }
    assert!(!said.contains("points-3"), "{said}");
    let (_, said) = follow("POST /redeem/7 HTTP/1.1\\r\\nHost: a.partners.example:80\\r\\n", &[]);
    assert!(said.contains("route:   `partners`") && said.contains("partner-1"), "{said}");
    let (_, said) = follow("GET /v1/statement?x=1", &[]);
    assert!(said.contains("route:   `retired`") && said.contains("refused: 410"), "{said}");
    let (_, said) = follow("GET /nowhere", &[]);
    assert!(said.contains("none fits") && said.contains("refused: 404"), "{said}");
    for (request, says) in [
        ("GET", "--request: expected a method and a target"),
        ("GET / HTML", "\"HTML\" is no version of HTTP"),
        ("DELETE /balance/7", "405"),
        ("GET /\nbroken", "no colon"),
    ] {
        let (code, said) = follow(request, &[]);
        assert_eq!(code, Some(1), "{request}");
        assert!(said.contains(says), "{request}: {said}");
    }
}
