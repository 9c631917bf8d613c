//! Changes on their way from the folder to the subscribers.

use sableloom_testkit::eventually;

use crate::machine::{Folder, change, control, pool, server};
use crate::subscriber::{self, Options, REJECTED_ID};
use crate::{applied, follow, points};

#[test]
fn a_change_reaches_its_subscribers_and_the_machine_exits_cleanly() {
    let folder = Folder::new();
    folder.change(1, 1, &[points(0..3), vec![pool("partners")]].concat());
    let mut machine = folder.start("");
    let balancer = follow(&[machine.address], &["points"]);
    balancer.says(&[&applied(&machine, "snapshot", "points", 4)]);
    balancer.says(&["current 1/1 "]);
    folder.change(2, 1, &[server("partners", "partners-1", 9100)]);
    folder.change(3, 1, &[server("points", "points-7", 9007)]);
    let lines = balancer.lines_to(&["applied delta points 3 "]);
    assert!(!lines.iter().any(|line| line.contains("partners")), "{lines:#?}");
    balancer.says(&["current 1/3 "]);
    machine.process.signal("-TERM");
    assert_eq!(machine.process.exit_code(), Some(0));
}

#[test]
fn a_thousand_changes_at_once_are_all_in_force_in_their_order() {
    let folder = Folder::new();
    folder.change(1, 1, &points(0..20));
    let machine = folder.start("");
    let balancers = [(); 3].map(|()| follow(&[machine.address], &["points"]));
    balancers.iter().for_each(|balancer| _ = balancer.says(&["current 1/1 "]));
    for number in 2..=1000_u64 {
        let i = number as u16 % 20;
        folder.change(
            number,
            1,
            &[server("points", &format!("points-{i}"), 10_000 + number as u16)],
        );
    }
    for balancer in &balancers {
        let lines = balancer.lines_to(&["current 1/1000 "]);
        let last = lines.iter().rfind(|line| line.starts_with("applied")).expect("a transaction");
        let (version, digest) = machine.held("points");
        assert_eq!(last, &format!("applied delta points {version} {digest} 21"));
        let versions: Vec<u64> = lines
            .iter()
            .filter_map(|line| line.strip_prefix("applied delta points "))
            .map(|rest| rest.split(' ').next().and_then(|v| v.parse().ok()).expect("a version"))
            .collect();
        assert!(versions.is_sorted_by(|a, b| a < b), "{versions:?}");
    }
}

#[test]
fn a_wrong_change_blocks_later_ones_and_what_is_in_force_is_still_served() {
    let folder = Folder::new();
    folder.change(1, 1, &points(0..1));
    let machine = folder.start("");
    let balancer = follow(&[machine.address], &["points"]);
    balancer.says(&["current 1/1 "]);

    let good = change(2, 1, &[server("points", "points-2", 9102)]);
    folder.write(2, &good.replace("9102", "99102"));
    machine.process.says(&["00000002.toml:6:11: field `server[0].address`", "no port from 0 to"]);
    folder.change(3, 1, &[server("points", "points-3", 9103)]);
    let status = machine.status();
    assert_eq!((&status["position"]["number"], &status["next"]), (&1.into(), &2.into()));
    assert!(status["waits_for"].as_str().is_some_and(|why| why.contains("server[0].address")));
    let late = follow(&[machine.address], &["points"]);
    late.says(&["current 1/1 "]);

    folder.write(2, &good);
    balancer.says(&["applied delta points 3 "]);
    late.says(&["current 1/3 "]);
}

#[test]
fn a_folder_that_is_replaced_by_a_copy_is_still_followed() {
    let folder = Folder::new();
    folder.change(1, 1, &points(0..1));
    let machine = folder.start("");
    let balancer = follow(&[machine.address], &["points"]);
    balancer.says(&["current 1/1 "]);
    folder.replaced_by_copy();
    folder.change(3, 1, &[server("points", "points-3", 9103)]);
    machine.process.says(&["00000002.toml: missing, and 00000003.toml is there"]);
    folder.change(2, 1, &[server("points", "points-2", 9102)]);
    balancer.says(&["applied delta points 3 "]);
}

#[test]
fn a_rejection_by_one_balancer_is_shown_with_file_line_and_field() {
    let folder = Folder::new();
    folder.change(1, 1, &[points(0..1), vec![pool("partners")]].concat());
    let machine = folder.start("");
    let services = ["points", "partners"];
    let strict = Options { machines: &[machine.address], services: &services, rejects: true };
    let strict = subscriber::start(&strict);
    strict.says(&["current 1/1 "]);
    folder.change(2, 1, &[server("points", REJECTED_ID, 9102)]);
    strict.says(&["Rejected"]);
    let easy = follow(&[machine.address], &services);
    easy.says(&["current 1/2 "]);
    // What it refused holds back nothing else.
    folder.change(3, 1, &[server("partners", "partners-1", 9200)]);
    strict.says(&["applied delta partners 3 "]);
    easy.says(&["applied delta partners 3 "]);

    eventually("the refusal alone is left", || machine.status()["lagging"] == 1);
    let status = machine.status();
    assert_eq!(status["rejecting"], 1);
    let at = machine.address.to_string();
    let output = control(&["status", "--at", &at]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("balancer-1 refused points 2 "), "{text}");
    let problem =
        "ago and keeps 1: 00000002.toml:3: server refused of points, zone: no such zone here";
    assert!(text.contains(problem), "{text}");
    assert!(text.contains("2 balancers, 1 lag, 1 have refused something"), "{text}");
}
