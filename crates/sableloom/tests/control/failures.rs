//! Control machines and subscribers that are killed, frozen, or restored from an old copy.

use sableloom_testkit::eventually;

use crate::machine::{Folder, pool, route, server};
use crate::{applied, follow, heavy, points};

/// So little that what is heavy takes minutes.
const SLOW: &str = "bytes_per_second = 2048\nburst_bytes = 2048";

#[test]
fn after_a_machine_is_killed_in_a_snapshot_nothing_of_it_is_applied_and_another_sends_all_of_it() {
    let (slow, fast) = (Folder::new(), Folder::new());
    let tables = [vec![pool("points")], heavy("points", 200)].concat();
    slow.change(1, 1, &tables);
    fast.change(1, 1, &tables);
    // The one that is to be killed alone at first, so that the subscriber begins there.
    let first = slow.start(SLOW);
    let reserve = fast.start("");
    let second = reserve.address;
    reserve.kill();
    let balancer = follow(&[first.address, second], &["points"]);
    let before = balancer.lines_to(&["received "]);
    assert!(!before.iter().any(|line| line.starts_with("applied")), "{before:#?}");
    first.kill();
    let second = fast.start_at(second, "");
    let expected = applied(&second, "snapshot", "points", 201);
    let lines = balancer.lines_to(&["applied"]);
    assert_eq!(lines.last(), Some(&expected), "{lines:#?}");
    balancer.says(&["current 1/1 "]);
}

#[test]
fn after_a_machine_is_killed_in_a_delta_the_previous_version_stays_and_another_continues_from_it() {
    let (slow, fast) = (Folder::new(), Folder::new());
    for folder in [&slow, &fast] {
        // A delta that is as large as the whole would be sent as a snapshot.
        folder.change(1, 1, &[points(0..1), heavy("points", 20)].concat());
    }
    let first = slow.start(SLOW);
    let reserve = fast.start("");
    let second = reserve.address;
    reserve.kill();
    let balancer = follow(&[first.address, second], &["points"]);
    balancer.says(&["current 1/1 "]);
    let more: Vec<_> = (0..200).map(|i| route("points", &format!("s{i}"), 1024)).collect();
    for folder in [&slow, &fast] {
        folder.change(2, 1, &more);
    }
    let before = balancer.lines_to(&["received "]);
    assert!(!before.iter().any(|line| line.starts_with("applied")), "{before:#?}");
    first.kill();
    let second = fast.start_at(second, "");
    let expected = applied(&second, "delta", "points", 222);
    let lines = balancer.lines_to(&["applied"]);
    assert_eq!(lines.last(), Some(&expected), "{lines:#?}");
    balancer.says(&["current 1/2 "]);
}

#[test]
fn a_subscriber_frozen_past_the_end_of_the_log_gets_a_snapshot_of_changed_services_only() {
    let folder = Folder::new();
    folder.change(1, 1, &[points(0..3), vec![pool("partners")]].concat());
    let machine = folder.start("log_changes = 4\nsilence_ms = 2000");
    let balancer = follow(&[machine.address], &["points", "partners"]);
    balancer.says(&["current 1/1 "]);
    balancer.signal("-STOP");
    eventually("it is cut", || machine.status()["sessions"].as_array().is_some_and(Vec::is_empty));
    for number in 2..=20 {
        folder.change(number, 1, &[server("points", "points-9", 9100 + number as u16)]);
    }
    eventually("the log is read", || machine.status()["position"]["number"] == 20);
    assert_eq!(machine.status()["log"]["changes"], 4);
    balancer.signal("-CONT");
    let lines = balancer.lines_to(&["current 1/20 "]);
    let applied_lines: Vec<_> = lines.iter().filter(|line| line.starts_with("applied")).collect();
    assert_eq!(applied_lines, [&applied(&machine, "snapshot", "points", 5)], "{lines:#?}");
}

#[test]
fn of_two_machines_with_different_histories_a_subscriber_follows_the_first_that_it_saw() {
    let folders = [Folder::new(), Folder::new()];
    for (i, folder) in folders.iter().enumerate() {
        folder.change(1, 1, &points(0..1));
        folder.change(2, 1, &[server("points", "points-7", 9100 + i as u16)]);
    }
    let mut machines = folders.each_ref().map(|folder| Some(folder.start("")));
    let addresses = machines.each_ref().map(|machine| machine.as_ref().expect("it runs").address);
    let balancer = follow(&addresses, &["points"]);
    let line = balancer.says(&["connected "]);
    let first = usize::from(!line.starts_with("connected 0 "));
    let line = balancer.says(&["applied snapshot points 2 "]);
    let digest = line.split(' ').nth(4).expect("a digest").to_string();
    assert_eq!(digest, machines[first].as_ref().expect("it runs").held("points").1);
    balancer.says(&["current 1/2 "]);

    machines[first].take().expect("it runs").kill();
    let lines = balancer.lines_to(&[&format!("diverged {} 1/2 ", 1 - first)]);
    assert!(!lines.iter().any(|line| line.starts_with("applied")), "{lines:#?}");
    let again = folders[first].start_at(addresses[first], "");
    let lines = balancer.lines_to(&["current 1/2 "]);
    assert!(!lines.iter().any(|line| line.starts_with("applied")), "{lines:#?}");
    assert_eq!(again.held("points"), (2, digest));
}

#[test]
fn an_old_copy_is_not_followed_until_its_epoch_is_raised() {
    let folder = Folder::new();
    folder.change(1, 1, &points(0..1));
    folder.change(2, 1, &[server("points", "points-2", 9102)]);
    folder.change(3, 1, &[server("points", "points-3", 9103)]);
    let machine = folder.start("");
    let address = machine.address;
    let balancer = follow(&[address], &["points", "partners"]);
    balancer.says(&["current 1/3 "]);
    machine.kill();

    let copy = Folder::new();
    copy.change(1, 1, &points(0..1));
    copy.change(2, 1, &[server("points", "points-2", 9102)]);
    let machine = copy.start_at(address, "");
    let lines = balancer.lines_to(&["disconnected 0 ", "ehind"]);
    assert!(!lines.iter().any(|line| line.starts_with("applied")), "{lines:#?}");

    copy.change(3, 2, &[server("points", "points-4", 9104)]);
    let lines = balancer.lines_to(&["current 2/3 "]);
    let last = lines.iter().rfind(|line| line.starts_with("applied")).expect("a transaction");
    assert_eq!(last, &applied(&machine, "snapshot", "points", 4), "{lines:#?}");
}
