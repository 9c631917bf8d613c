//! Without a control machine a balancer serves on, and starts again, with its last good state.

use sableloom_testkit::control::{
    Control, remove, served_by, server, service, signal, site, status,
};
use sableloom_testkit::{Balancer, Process, Site, eventually, named};

fn one_service() -> (sableloom_testkit::Peer, Control, Site) {
    let peer = named("a");
    let control = Control::start(&[service("points", "h") + &server("points", "a", &peer, "")]);
    let folder = Site::new(&site(control.address, "one", &["points"], ""));
    (peer, control, folder)
}

/// A balancer that has no address to be asked at yet.
fn start(folder: &Site) -> Process {
    Process::start(&["serve", "--config", folder.path("site.toml").to_str().expect("a path")])
}

#[test]
fn a_change_and_its_reversal_while_disconnected_have_no_effect() {
    let (a, mut control, folder) = one_service();
    let (b, balancer) = (named("b"), Balancer::serving(&folder));
    control.kill();
    balancer.says(&["no control machine can be reached; serving on"]);
    assert_eq!(served_by(&balancer, "cut", "h"), "a");
    control.publish(2, &(server("points", "b", &b, "") + &remove("points", "a")));
    control.publish(3, &(server("points", "a", &a, "") + &remove("points", "b")));
    control.restart();
    balancer.says(&["all is in force up to 1/3"]);
    assert_eq!(served_by(&balancer, "after", "h"), "a");
    let shown = status(&balancer);
    assert_eq!(shown["control"]["number"], 3, "{shown}");
    assert_eq!(shown["subscribed"]["servers"], 1, "{shown}");
}

#[test]
fn a_balancer_frozen_past_the_end_of_the_log_gets_a_snapshot() {
    let (a, b) = (named("a"), named("b"));
    let first = service("points", "h") + &server("points", "a", &a, "");
    let other = service("partners", "p") + &server("partners", "a", &a, "");
    let limits = "[limits]\nlog_changes = 2\nsilence_ms = 3000\nacknowledge_ms = 3000\n";
    let control = Control::with_limits(&[first, other], limits);
    let folder = Site::new(&site(control.address, "one", &["points", "partners"], ""));
    let balancer = Balancer::serving(&folder);
    let before = status(&balancer)["control"]["snapshots"].as_u64().expect("a count");
    signal(&balancer, "-STOP");
    control.says(&["session", "closed"]);
    // The log holds the last two: the removal of the server is in none of them.
    control.publish(3, &(server("points", "b", &b, "") + &remove("points", "a")));
    for number in 4..10 {
        control.publish(number, &server("partners", "a", &a, &format!("weight = {number}")));
    }
    let position = |status: String| status.contains("1/9");
    eventually("all changes are read", || position(control.status()));
    signal(&balancer, "-CONT");
    balancer.says(&["all is in force up to 1/9"]);
    (0..20).for_each(|n| assert_eq!(served_by(&balancer, &n.to_string(), "h"), "b"));
    let shown = status(&balancer);
    assert!(shown["control"]["snapshots"].as_u64() > Some(before), "{shown}");
    assert_eq!(shown["subscribed"]["rejected"], 0, "{shown}");
}

#[test]
fn a_restart_while_disconnected_begins_from_the_state_file() {
    let (_peer, mut control, folder) = one_service();
    let mut balancer = Balancer::serving(&folder);
    let file = folder.path("last-good.bin");
    eventually("the state is in the file", || file.exists());
    control.kill();
    balancer.terminate();
    assert_eq!(balancer.await_exit(), Some(0));
    let mut balancer = Balancer::serving(&folder);
    assert_eq!(served_by(&balancer, "restarted", "h"), "a");
    assert_eq!(status(&balancer)["control"]["from"], "file");
    // Once it is back, the subscription goes on from there: nothing is sent again.
    control.restart();
    balancer.says(&["all is in force up to 1/1"]);
    assert_eq!(status(&balancer)["control"]["snapshots"], 0);
    balancer.terminate();
    balancer.await_exit();
    control.kill();
    // A modified file, a truncated one and one of another subscriber are logged with the reason and not used.
    let good = std::fs::read(&file).expect("a state");
    let mut modified = good.clone();
    modified[good.len() / 2] ^= 1;
    let truncated = &good[..good.len() - 1];
    for (bytes, reason) in [
        (&modified[..], "the checksum does not match the contents of the file"),
        (truncated, "its header gives a length of"),
    ] {
        std::fs::write(&file, bytes).expect("a file");
        let waiting = start(&folder);
        waiting.says(&["last-good.bin: not used: ", reason]);
        waiting.says(&["no state yet; listening once a control machine has given it"]);
    }
    std::fs::write(&file, good).expect("a file");
    folder.replace("site.toml", &site(control.address, "other", &["points"], ""));
    let waiting = start(&folder);
    waiting.says(&["not used: the file holds the state of subscriber \"one\""]);
    // It listens as soon as a control machine is there.
    control.restart();
    waiting.says(&["serving with the state from a control machine"]);
    waiting.says(&["listening on"]);
}

#[test]
fn a_state_file_that_can_not_be_written_is_logged_and_serving_continues() {
    let (_peer, control, folder) = one_service();
    let text =
        site(control.address, "one", &["points"], "").replace("last-good", "missing/last-good");
    folder.replace("site.toml", &text);
    let balancer = Balancer::serving(&folder);
    balancer.says(&["missing/last-good.bin: not written"]);
    assert_eq!(served_by(&balancer, "1", "h"), "a");
    assert!(status(&balancer)["control"]["save_error"].is_string());
}
