//! The program's command line: the demo, help, and what is said of what is wrong.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::process::{Command, Output};

use sableloom_testkit::{Site, program};

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(program());
    command.args(arguments).env_remove("ROUTER_CONFIG").output().expect("the program runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// The figures of each row of the demo's table, by the row's name.
fn rows(output: &str) -> BTreeMap<String, Vec<usize>> {
    let table = output.split("p99 ms\n").nth(1).expect("a table");
    let row = |line: &str| {
        let mut words = line.split_whitespace();
        let name = words.next()?.to_string();
        let figures: Vec<usize> = words.by_ref().take(5).map_while(|w| w.parse().ok()).collect();
        (figures.len() == 5).then_some((name, figures))
    };
    table.lines().map_while(row).collect()
}

#[test]
fn the_demo_answers_every_request_once_and_tells_by_class_and_server() {
    let output = run(&["demo", "--requests", "300"]);
    let said = text(&output.stdout);
    assert!(output.status.success(), "{said}\n{}", text(&output.stderr));
    let rows = rows(&said);
    let all = &rows["all"];
    assert_eq!(all[0], 300);
    assert_eq!(all[1] + all[2] + all[3], 300, "{said}");
    assert!(all[1] > 0, "some are served: {said}");
    let sum = |names: &[&str], column: usize| -> usize {
        names.iter().filter_map(|name| rows.get(*name)).map(|row| row[column]).sum()
    };
    assert_eq!(sum(&["balance", "redeem"], 0), 300);
    assert!(rows["balance"][0] > 0 && rows["redeem"][0] > 0, "{said}");
    assert_eq!(sum(&["node-1", "node-2", "node-3"], 1), all[1], "each answer is some node's");
    assert!(said.contains("more than once 0"), "{said}");
}

#[test]
fn the_demo_reports_that_its_port_is_in_use() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = taken.local_addr().expect("an address").to_string();
    let output = run(&["demo", "--listen", &at]);
    let said = text(&output.stderr);
    assert_eq!(output.status.code(), Some(1), "{said}");
    assert!(said.contains("--listen") && said.contains(&at) && said.contains("in use"), "{said}");
}

#[test]
fn without_a_command_or_a_configuration_it_prints_help_and_exits_with_2() {
    let output = run(&[]);
    assert_eq!(output.status.code(), Some(2));
    let said = text(&output.stdout);
    assert!(said.contains("Usage") && said.contains("demo") && said.contains("ROUTER_CONFIG"));
}

#[test]
fn a_wrong_argument_is_reported_by_name() {
    for (arguments, name) in [
        (&["demo", "--request", "5"][..], "--request"),
        (&["demo", "--requests", "many"], "--requests"),
        (&["demo", "--requests", "0"], "--requests"),
        (&["demo", "--listen", "8080"], "--listen"),
        (&["demo", "--listen", "192.0.2.1:80"], "--listen"),
        (&["dance"], "dance"),
    ] {
        let output = run(arguments);
        let said = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {said}");
        assert!(said.contains(name), "{arguments:?}: {said}");
    }
}

#[test]
fn a_command_that_fails_prints_exactly_its_error_and_exits_with_1() {
    const UNREADABLE: &str = "it can't be read: No such file or directory (os error 2)\n";
    let folder = Site::new("[limits]\n");
    folder.write("control.toml", "listen = \"127.0.0.1:0\"\n");
    std::fs::create_dir(folder.path("changes")).expect("a folder");
    folder.write("changes/00000001.toml", "number = 2\nepoch = 1\n[end]\nchanges = 0\n");
    let missing = format!("1 problems\n  × missing.toml:1:1: {UNREADABLE}");
    let cases: [(&[&str], &str); 10] = [
        (&["check", "missing.toml"], &missing),
        (&["route", "missing.toml", "--request", "GET /"], &missing),
        (&["serve", "--config", "missing.toml"], &format!("missing.toml:1:1: {UNREADABLE}")),
        (
            &["fleet", "members", "--config", "missing.toml"],
            &format!("missing.toml:1:1: {UNREADABLE}"),
        ),
        (&["control", "--config", "missing.toml"], &format!("missing.toml: {UNREADABLE}")),
        (
            &["control", "check", "missing.toml"],
            "1 problems\n  × missing.toml:1:1: it is not there\n",
        ),
        (
            &["control", "--config", "control.toml"],
            "1 problems\n  × control.toml:1:1: field `changes`: missing; expected the folder of change files\n",
        ),
        (
            &["control", "check", "changes"],
            "1 problems\n  × 00000001.toml:1:1: field `number`: 2 is not the number of its name, 1\n  \
             help: a change keeps the number that it was first given\n",
        ),
        (
            &["control", "status", "--at", "127.0.0.1:1"],
            "127.0.0.1:1: Connection refused (os error 111)\n",
        ),
        (
            &["serve", "--config", "site.toml"],
            "site.toml:1:1: field `listener`: missing; expected at least one [[listener]] with an address\n\
             site.toml:1:1: field `class`: missing; expected at least one [[class]]\n\
             site.toml:1:1: field `pool`: missing; expected at least one [[pool]]\n",
        ),
    ];
    for (arguments, error) in cases {
        let mut command = Command::new(program());
        command.args(arguments).current_dir(folder.path("")).env_remove("ROUTER_CONFIG");
        let output = command.output().expect("the program runs");
        assert_eq!(text(&output.stderr), format!("sableloom: {error}"), "{arguments:?}");
        assert_eq!(output.status.code(), Some(1), "{arguments:?}");
    }
}
