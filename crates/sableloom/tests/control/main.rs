//! Control machines and subscribers as processes: what happens when either is killed, frozen, cut, flooded or
//! contradicted.

mod machine;
mod process;
mod subscriber;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use machine::{Folder, Machine, change, control, pool, route, server};
use process::{LONG, Process};
use sableloom_distribution::{
    MAX_FRAME_BYTES, PROTOCOL_VERSION, Position, ServiceName, ServiceVersion, SubscriberMessage,
    SubscriberName, encode,
};
use sableloom_testkit::{Site, eventually};
use subscriber::{Options, REFUSED_ID};

/// Not a test: what a subscriber's process runs.
#[test]
fn subscriber_process() {
    subscriber::run();
}

fn follow(machines: &[SocketAddr], services: &[&str]) -> Process {
    subscriber::start(&Options { machines, services, refuses: false })
}

/// The line of a subscriber that has a service as the control machine has it.
fn applied(machine: &Machine, how: &str, service: &str, resources: usize) -> String {
    let (version, digest) = machine.held(service);
    format!("applied {how} {service} {version} {digest} {resources}")
}

fn points(servers: std::ops::Range<u16>) -> Vec<String> {
    let servers = servers.map(|i| server("points", &format!("points-{i}"), 9000 + i));
    std::iter::once(pool("points")).chain(servers).collect()
}

/// Routes of a service that take so many KiB together.
fn heavy(service: &str, kib: usize) -> Vec<String> {
    (0..kib).map(|i| route(service, &format!("r{i}"), 1024)).collect()
}

/// So little that what is heavy takes minutes.
const SLOW: &str = "bytes_per_second = 2048\nburst_bytes = 2048";

#[test]
fn a_change_reaches_who_subscribes_and_the_machine_ends_cleanly() {
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
fn a_machine_killed_in_a_snapshot_leaves_nothing_of_it_and_another_gives_it_whole() {
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
fn a_machine_killed_in_a_delta_leaves_the_version_before_and_another_goes_on_from_it() {
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
fn a_subscriber_frozen_for_longer_than_the_log_holds_gets_a_snapshot_of_just_what_changed() {
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
fn a_subscriber_that_never_reads_is_cut_and_holds_nobody_up() {
    let folder = Folder::new();
    folder.change(1, 1, &[vec![pool("big")], heavy("big", 2500)].concat());
    folder.change(2, 1, &points(0..1));
    let machine = folder.start("stall_ms = 1000");
    let mut deaf = TcpStream::connect(machine.address).expect("a connection");
    deaf.write_all(&greeting("deaf", "big")).expect("it takes a greeting");
    let balancer = follow(&[machine.address], &["points"]);
    balancer.says(&["current 1/2 "]);
    machine.process.says(&["closed: does not read what is sent"]);
    folder.change(3, 1, &[server("points", "points-7", 9007)]);
    balancer.says(&["applied delta points 3 "]);
    assert!(machine.status()["closed"]["stalled"].as_u64() >= Some(1));
}

/// Hello and scope of a subscriber that has nothing.
fn greeting(name: &str, service: &str) -> Vec<u8> {
    let subscriber = SubscriberName::try_from(name).expect("a name");
    let service = ServiceName::try_from(service).expect("a name");
    let hello = SubscriberMessage::Hello { subscriber, position: Position::default() };
    let add = vec![ServiceVersion { service, version: 0, digest: 0 }];
    let scope = SubscriberMessage::Scope {
        generation: 1,
        add,
        remove: vec![],
        rejected: vec![],
        last: true,
    };
    [encode(&hello), encode(&scope)].concat()
}

#[test]
fn garbage_long_and_half_messages_are_counted_and_cut_and_harm_nobody() {
    let folder = Folder::new();
    folder.change(1, 1, &points(0..1));
    let machine = folder.start("silence_ms = 2000");
    let balancer = follow(&[machine.address], &["points"]);
    balancer.says(&["current 1/1 "]);
    let hello = greeting("half", "points");
    let too_long = (MAX_FRAME_BYTES as u32 + 1).to_be_bytes();
    let malformed: [(&str, &[u8], &str); 6] = [
        ("another protocol", b"GET / HTTP/1.1\r\nHost: control\r\n\r\n", "at most"),
        ("too long", &too_long, "at most"),
        ("empty", &[0; 64], "empty frame"),
        ("another version", &[0, 0, 0, 9, 99], "protocol version 99"),
        ("no message", &[0, 0, 0, 4, PROTOCOL_VERSION, 200, 200, 200], "no message"),
        ("garbage after a greeting", &[&hello[..], &[255; 4096]].concat(), "at most"),
    ];
    for (what, bytes, reason) in &malformed {
        let mut client = TcpStream::connect(machine.address).expect("a connection");
        client.write_all(bytes).expect("it takes bytes");
        machine.process.says(&["closed: ", reason]);
        client.set_read_timeout(Some(LONG)).expect("a time");
        let mut rest = Vec::new();
        client.read_to_end(&mut rest).unwrap_or_else(|e| panic!("{what}: it is closed: {e}"));
        if *what == "another version" {
            // It reads which version is spoken here, and nothing that it must understand for that.
            assert_eq!(rest.get(4), Some(&PROTOCOL_VERSION), "{rest:?}");
        }
    }
    // Half messages: one whose sender goes, one whose sender stays.
    let mut gone = TcpStream::connect(machine.address).expect("a connection");
    gone.write_all(&hello[..hello.len() / 2]).expect("it takes bytes");
    drop(gone);
    let mut stays = TcpStream::connect(machine.address).expect("a connection");
    stays.write_all(&hello[..3]).expect("it takes bytes");
    machine.process.says(&["closed: silent"]);
    let closed = &machine.status()["closed"];
    assert_eq!(closed["violations"], malformed.len());
    assert!(closed["silent"].as_u64() >= Some(1));
    folder.change(2, 1, &[server("points", "points-7", 9007)]);
    balancer.says(&["applied delta points 2 "]);
}

#[test]
fn who_asks_without_reading_the_answers_is_not_remembered_for_them() {
    let folder = Folder::new();
    folder.change(1, 1, &points(0..1));
    let machine = folder.start("stall_ms = 3600000\nsilence_ms = 3600000");
    let mut client = TcpStream::connect(machine.address).expect("a connection");
    client.write_all(&greeting("asks", "points")).expect("it takes a greeting");
    let before = machine.process.resident_kb();
    let ping = encode(&SubscriberMessage::Ping { sequence: 0 });
    let pings = ping.repeat((64 << 10) / ping.len());
    // More than the system holds for a connection on both sides: the rest was read, and answered in vain.
    for _ in 0..512 {
        client.write_all(&pings).expect("it is read on");
    }
    let balancer = follow(&[machine.address], &["points"]);
    balancer.says(&["current 1/1 "]);
    let grown = machine.process.resident_kb().saturating_sub(before);
    assert!(grown < 8 << 10, "{grown} kB for 32 MB of questions");
}

#[test]
fn connections_beyond_the_limit_are_closed_at_once() {
    let folder = Folder::new();
    folder.change(1, 1, &points(0..1));
    let machine = folder.start("sessions = 1\nsilence_ms = 3600000");
    let beside = sableloom_control::CONNECTIONS_BESIDE_SESSIONS;
    let connect = |_| TcpStream::connect(machine.address).expect("a connection");
    let held: Vec<_> = (0..1 + beside).map(connect).collect();
    // Connections are taken in their order.
    let mut further = connect(0);
    further.set_read_timeout(Some(LONG)).expect("a time");
    let ended = further.read(&mut [0; 1]);
    assert!(!matches!(&ended, Ok(1..)) && !timed_out(&ended), "{ended:?}");
    machine.process.says(&["65 connections are open; more are closed"]);
    drop(held);
    eventually("there is room again", || {
        control(&["status", "--at", &machine.address.to_string()]).status.success()
    });
}

fn timed_out(result: &std::io::Result<usize>) -> bool {
    let kind = result.as_ref().err().map(std::io::Error::kind);
    matches!(kind, Some(std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut))
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
fn of_two_machines_that_disagree_on_a_version_a_subscriber_follows_the_first_it_saw() {
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

#[test]
fn a_wrong_change_holds_the_order_back_and_what_is_good_goes_on() {
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
fn a_folder_that_another_is_put_in_place_of_goes_on_being_followed() {
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
fn a_refusal_by_one_balancer_is_shown_with_file_line_and_field() {
    let folder = Folder::new();
    folder.change(1, 1, &[points(0..1), vec![pool("partners")]].concat());
    let machine = folder.start("");
    let services = ["points", "partners"];
    let strict = Options { machines: &[machine.address], services: &services, refuses: true };
    let strict = subscriber::start(&strict);
    strict.says(&["current 1/1 "]);
    folder.change(2, 1, &[server("points", REFUSED_ID, 9102)]);
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

#[test]
fn check_names_all_that_is_wrong_with_a_folder_at_once() {
    let folder = Site::new("");
    let write = |number: u64, text: &str| folder.write(&format!("{number:08}.toml"), text);
    std::fs::remove_file(folder.path("site.toml")).expect("it was there");
    write(1, &change(1, 1, &points(0..2)));
    write(2, &change(2, 1, &[server("points", "points-5", 9000), pool("Shop")]));
    write(4, &change(5, 1, &[server("partners", "partners-1", 9200)]));
    let path = folder.path("").display().to_string();
    let output = control(&["check", &path]);
    assert_eq!(output.status.code(), Some(1));
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    for part in [
        "00000002.toml:8:11: field `pool[0].service`: expected 1 to 128",
        "00000003.toml: missing, and 00000004.toml is there",
        "00000004.toml:1:1: field `number`: 5 is not the number of its name, 4",
    ] {
        assert!(said.contains(part), "{part} in {said}");
    }
    write(2, &change(2, 1, &[server("points", "points-5", 9000)]));
    write(3, &change(3, 1, &[pool("partners")]));
    write(4, &change(4, 1, &[server("partners", "partners-1", 9200)]));
    let output = control(&["check", &path]);
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    let part = "00000002.toml:3:1: field `server[0]`: 127.0.0.1:9000 is the address of \"points-0\" as well";
    assert!(said.contains(part) && said.contains("1 problems"), "{said}");
    write(2, &change(2, 1, &[server("points", "points-5", 9005)]));
    let output = control(&["check", &path]);
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        said.contains("good; 4 changes to 1/4 ") && said.contains("6 resources, 0 of them tenants"),
        "{said}"
    );
}

#[test]
fn the_shipped_example_is_good_and_serves() {
    let deploy = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/control");
    let changes = deploy.join("changes").display().to_string();
    let output = control(&["check", &changes]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let settings = std::fs::read(deploy.join("control.toml")).expect("the example");
    let settings = sableloom_control::read_settings("control.toml", &settings).expect("it is good");
    let example = sableloom_control::check_folder(&deploy.join(&settings.changes), settings.first);
    let example = example.expect("it is good");
    assert_eq!((example.position.number, example.tenants), (4, 2));
}
