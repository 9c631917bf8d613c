//! Lists from files: which contents are accepted or rejected, and what each change does to the endpoints.

use std::sync::Arc;

use sableloom_server_list::{
    FileLists, ListChange, ListSpec, MAX_SERVERS, OfferResult, ReadResult, read,
};
use sableloom_toml_diagnostics::Problem;
use sableloom_types::{EndpointStatus, ListedEndpoint, Span, Time};

const DRAIN_US: i64 = 3_000_000;
const START: Time = Time(1_764_576_000_000_000);

fn at(seconds: i64) -> Time {
    Time(START.0 + seconds * 1_000_000)
}

fn unix_ms(time: Time) -> f64 {
    time.0 as f64 / 1e3
}

fn spec(files: &[&str]) -> ListSpec {
    ListSpec {
        pool: "points".into(),
        files: files.iter().map(|f| f.to_string()).collect(),
        zones: vec!["east".into(), "west".into()],
        max_removed_share: 0.5,
        drain_time: Span(DRAIN_US),
    }
}

/// The contents of a file with these servers, each given as `id port fields`. Commas separate the fields.
fn file(top_level: &str, servers: &[&str]) -> String {
    let mut text = format!("{top_level}\n");
    for server in servers {
        let mut words = server.splitn(3, ' ');
        let (id, port) = (words.next().expect("an id"), words.next().expect("a port"));
        text += &format!("[[server]]\nid = \"{id}\"\naddress = \"127.0.0.1:{port}\"\n");
        text += &words.next().unwrap_or_default().replace(',', "\n");
        text += "\n";
    }
    text + &format!("[end]\nservers = {}\n", servers.len())
}

fn read_result(spec: &ListSpec, name: &str, text: &str) -> ReadResult {
    read(name, text.as_bytes(), spec).map(Arc::new)
}

fn offer(lists: &mut FileLists, now: Time, texts: &[&str]) -> OfferResult {
    let spec = lists.spec().clone();
    let readings: Vec<_> =
        spec.files.iter().zip(texts).map(|(name, text)| read_result(&spec, name, text)).collect();
    lists.offer(now, &readings)
}

/// Offers files, checks that they make a new list, and returns the changes.
fn expect_accepted(lists: &mut FileLists, now: Time, texts: &[&str]) -> Vec<String> {
    let offer = offer(lists, now, texts);
    assert_eq!(offer.problems, [], "the list has no problems");
    let applied = offer.applied.expect("the list is accepted");
    applied.changes.iter().map(ListChange::to_string).collect()
}

/// Offers files, checks that they are rejected and change no endpoint, and returns the problems.
fn expect_rejected(lists: &mut FileLists, texts: &[&str]) -> String {
    let before = lists.endpoints();
    let offer = offer(lists, at(1), texts);
    assert_eq!(offer.applied, None);
    assert_eq!(lists.endpoints(), before, "a rejected list changes no endpoint");
    let summary: Vec<_> = offer.problems.iter().map(Problem::to_string).collect();
    assert!(!summary.is_empty(), "a problem is reported");
    summary.join("\n")
}

/// Lists of the single file `a.toml`, with these servers in force.
fn lists_from(first: &[&str]) -> FileLists {
    let mut lists = FileLists::new(spec(&["a.toml"]));
    expect_accepted(&mut lists, at(0), &[&file("", first)]);
    lists
}

fn endpoint(lists: &FileLists, name: &str) -> ListedEndpoint {
    lists
        .endpoints()
        .into_iter()
        .find(|endpoint| &*endpoint.id == name)
        .unwrap_or_else(|| panic!("no endpoint {name}"))
}

#[test]
fn an_accepted_list_gets_a_revision_and_a_hash_and_unchanged_files_keep_them() {
    let mut lists = FileLists::new(spec(&["a.toml"]));
    assert!(!lists.in_force());
    let text = file(
        "pool = \"points\"",
        &["a 1 zone = \"east\"", "b 2 weight = 2.5", "c 3 state = \"draining\"", "d 4 weight = 0"],
    );
    let changes = expect_accepted(&mut lists, at(0), &[&text]);
    assert_eq!(changes, ["added a", "added b", "added c", "added d"]);
    let (revision, hash) = lists.revision_and_hash();
    assert_eq!((revision, hash.len()), (1, 12));
    let status: Vec<_> =
        lists.endpoints().iter().map(|e| (e.status, e.size, e.up_since_ms)).collect();
    let (live, draining) = (EndpointStatus::Live, EndpointStatus::Draining);
    // Servers of the first list count as started long ago, and a server of weight 0 is listed as draining.
    assert_eq!(
        status,
        [(live, 1.0, 0.0), (live, 2.5, 0.0), (draining, 1.0, 0.0), (draining, 1.0, 0.0)]
    );
    let before = lists.revision_and_hash().1.to_string();
    let unchanged = offer(&mut lists, at(1), &[&text]);
    assert_eq!(unchanged, OfferResult::default(), "unchanged files apply nothing");
    assert_eq!(lists.revision_and_hash(), (1, &*before));
}

#[test]
fn a_list_with_any_problem_is_rejected_as_a_whole() {
    let mut lists = lists_from(&["a 1", "b 2"]);
    for (text, expected) in [
        (String::new(), "a.toml:1:1: the file is empty"),
        (" \n\t\r\n".into(), "the file is empty"),
        ("[[server]]\nid = \"a\"\naddress = \"127.0.0.1:1\"\n".into(), "field `end`: missing"),
        (file("", &["a 1", "a 2"]), "field `server[1].id`: \"a\" is the id of server[0] as well"),
        (file("", &["a 1", "b 1"]), "127.0.0.1:1 is the address of server[0] as well"),
        (file("", &["a 1 weight = 0", "b 2 weight = 0.0"]), "every server has weight 0"),
        (
            file("", &["a 1 weight = -1", "b 2"]),
            "field `server[0].weight`: expected 0 to 1000, found -1",
        ),
        (file("", &["a 1 weight = 1e9", "b 2"]), "found 1000000000"),
        (file("", &["a 1 weight = nan", "b 2"]), "found NaN"),
        (file("", &["a 1 weight = \"1\"", "b 2"]), "expected a number, found a text"),
        (file("", &["a 1 wieght = 1", "b 2"]), "unknown field; did you mean `weight`?"),
        (file("", &["a 1 state = \"drainin\"", "b 2"]), "did you mean `draining`?"),
        (file("", &["a 1 zone = \"eats\"", "b 2"]), "did you mean `east`?"),
        (file("", &["a 1 started = 2026-12-01", "b 2"]), "a date and time with an offset"),
        (file("", &["a 1 started = 1969-12-01T00:00:00Z", "b 2"]), "expected a date after 1970"),
        (file("", &["a 1 started = 2999-12-01T00:00:00Z", "b 2"]), "an hour ahead"),
        (file("pool = \"pionts\"", &["a 1", "b 2"]), "the pool is `points`"),
        (file("", &["a 1", "b 2"]).replace("127.0.0.1:1", "points-1:1"), "names are not looked up"),
        (
            file("", &["a 1", "b 2"]).replace("servers = 2", "servers = 3"),
            "the file has 2 servers, not 3",
        ),
        (
            file("", &["a 1", "b 2"]) + "[[server]]\nid = \"c\"",
            "field `server[2].address`: missing",
        ),
        (file("", &["a 1", "b 2"]).replace("id = \"b\"", "id = b"), "a.toml:"),
    ] {
        let summary = expect_rejected(&mut lists, &[&text]);
        assert!(summary.contains(expected), "expected {expected:?} for\n{text}\nfound\n{summary}");
    }
    let unreadable = vec![Problem::of_file("a.toml", "Permission denied")];
    let offer = lists.offer(at(1), &[Err(unreadable.clone())]);
    assert_eq!((offer.applied, offer.problems), (None, unreadable));
    assert_eq!(lists.revision_and_hash().0, 1);
}

#[test]
fn removing_more_than_the_maximum_share_requires_the_exact_takes_out() {
    let mut lists = lists_from(&["a 1", "b 2", "c 3", "d 4"]);
    // At most half of the servers may be taken out without a statement.
    let summary = expect_rejected(&mut lists, &[&file("", &["a 1"])]);
    assert!(summary.contains("takes 3 of 4 serving servers out, over 50%"), "{summary}");
    assert!(summary.contains("write takes_out = 3"), "{summary}");
    for top_level in ["takes_out = 2", "takes_out = 4"] {
        expect_rejected(&mut lists, &[&file(top_level, &["a 1"])]);
    }
    // Servers that are left out, are draining or have weight 0 all count as taken out.
    let one_serving = ["a 1 weight = 0", "b 2 state = \"draining\"", "d 4"];
    assert!(expect_rejected(&mut lists, &[&file("", &one_serving)]).contains("takes 3 of 4"));
    let changes = expect_accepted(&mut lists, at(1), &[&file("takes_out = 3", &["a 1"])]);
    assert_eq!(changes, ["removed b", "removed c", "removed d"]);
    // A file that still states `takes_out = 3` does not permit the next change, which takes one server out.
    expect_rejected(&mut lists, &[&file("takes_out = 3", &[])]);
    let changes = expect_accepted(&mut lists, at(2), &[&file("takes_out = 1", &[])]);
    assert_eq!(changes, ["removed a"]);
    // The emptied pool accepts servers again, and a server that drains returns.
    assert!(lists.endpoints().iter().all(|e| e.status == EndpointStatus::Draining));
    let changes = expect_accepted(&mut lists, at(3), &[&file("", &["a 1", "e 5"])]);
    assert_eq!(changes, ["returned a", "added e"]);
    let mut halved = lists_from(&["a 1", "b 2", "c 3", "d 4"]);
    assert_eq!(
        expect_accepted(&mut halved, at(1), &[&file("", &["a 1", "b 2"])]),
        ["removed c", "removed d"]
    );
}

#[test]
fn a_server_left_out_drains_for_the_drain_time_and_is_then_removed() {
    let mut lists = lists_from(&["a 1", "b 2"]);
    expect_accepted(&mut lists, at(10), &[&file("", &["a 1"])]);
    assert_eq!(endpoint(&lists, "b").status, EndpointStatus::Draining);
    assert_eq!(lists.next_drain_end(), Some(Time(at(10).0 + DRAIN_US)));
    assert!(!lists.remove_drained(Time(at(10).0 + DRAIN_US - 1)));
    assert_eq!(lists.server_count(), 2);
    assert!(lists.remove_drained(Time(at(10).0 + DRAIN_US)));
    assert_eq!((lists.server_count(), lists.next_drain_end()), (1, None));
    // A server that is listed again after its drain time counts as new and starts cold.
    assert_eq!(expect_accepted(&mut lists, at(60), &[&file("", &["a 1", "b 2"])]), ["added b"]);
    assert_eq!(endpoint(&lists, "b").up_since_ms, unix_ms(at(60)));
}

#[test]
fn servers_added_later_start_cold_unless_a_start_time_is_stated() {
    let mut lists = lists_from(&["a 1"]);
    let stated = "started = 2025-11-30T12:00:00+02:00";
    expect_accepted(&mut lists, at(5), &[&file("", &["a 1", "b 2", &format!("c 3 {stated}")])]);
    assert_eq!(endpoint(&lists, "a").up_since_ms, 0.0);
    assert_eq!(endpoint(&lists, "b").up_since_ms, unix_ms(at(5)));
    assert_eq!(endpoint(&lists, "c").up_since_ms, unix_ms(at(-22 * 3600)));
}

#[test]
fn a_returning_server_starts_cold_only_if_id_address_or_start_time_differs() {
    for (returned, cold, expected) in [
        ("b 2", false, vec!["returned b"]),
        ("x 2", true, vec!["returned cold x", "renamed b to x"]),
        ("b 2 started = 2025-12-01T08:00:05Z", true, vec!["returned cold b"]),
        ("b 9", true, vec!["returned cold b", "moved b from 127.0.0.1:2 to 127.0.0.1:9"]),
    ] {
        let mut lists = lists_from(&["a 1", "b 2"]);
        expect_accepted(&mut lists, at(1), &[&file("", &["a 1"])]);
        let changes = expect_accepted(&mut lists, at(2), &[&file("", &["a 1", returned])]);
        assert_eq!(changes, expected, "{returned}");
        // The endpoint keeps its name, so that its requests in flight still count.
        let endpoint = endpoint(&lists, "b");
        assert_eq!(endpoint.status, EndpointStatus::Live);
        assert_eq!(endpoint.up_since_ms > 0.0, cold, "{returned}");
        assert_eq!(
            lists.server_count(),
            2,
            "{returned}: b has a single endpoint, so its limit counts once"
        );
    }
}

#[test]
fn a_renamed_server_keeps_its_endpoint_and_start_time() {
    let mut lists = lists_from(&["a 1", "b 2"]);
    let changes = expect_accepted(&mut lists, at(1), &[&file("", &["a 1", "c 2"])]);
    assert_eq!(changes, ["renamed b to c"]);
    assert_eq!((lists.server_count(), endpoint(&lists, "b").up_since_ms), (2, 0.0));
    // Another server may take the old id, and gets an endpoint of its own.
    let changes = expect_accepted(&mut lists, at(2), &[&file("", &["a 1", "c 2", "b 3"])]);
    assert_eq!(changes, ["added b"]);
    assert_eq!(endpoint(&lists, "b 2").address, "127.0.0.1:3".parse().expect("an address"));
    // Two servers that swap their ids keep their endpoints.
    let changes = expect_accepted(&mut lists, at(3), &[&file("", &["a 1", "b 2", "c 3"])]);
    assert_eq!(changes, ["renamed c to b", "renamed b to c"]);
    assert_eq!(lists.server_count(), 3);
}

#[test]
fn a_restarted_or_moved_server_is_reported_and_starts_cold() {
    let mut lists = lists_from(&["a 1 started = 2025-12-01T07:00:00Z", "b 2"]);
    let before = endpoint(&lists, "a").up_since_ms;
    let changes = expect_accepted(
        &mut lists,
        at(1),
        &[&file("", &["a 1 started = 2025-12-01T07:59:00Z", "b 7"])],
    );
    assert_eq!(changes, ["restarted a", "moved b from 127.0.0.1:2 to 127.0.0.1:7"]);
    assert_eq!(endpoint(&lists, "a").up_since_ms, before + 59.0 * 60_000.0);
    assert_eq!(endpoint(&lists, "b").up_since_ms, unix_ms(at(1)));
    // A start time that is no longer stated changes nothing.
    assert_eq!(
        expect_accepted(&mut lists, at(2), &[&file("", &["a 1", "b 7"])]),
        Vec::<String>::new()
    );
    assert_eq!(endpoint(&lists, "a").up_since_ms, before + 59.0 * 60_000.0);
}

#[test]
fn changes_of_weight_state_and_zone_are_reported_and_keep_the_start_time() {
    let mut lists = lists_from(&["a 1", "b 2 zone = \"east\""]);
    let changes = expect_accepted(
        &mut lists,
        at(1),
        &[&file("", &["a 1 weight = 3", "b 2 zone = \"west\",state = \"draining\""])],
    );
    assert_eq!(changes, ["weight of a from 1 to 3", "zone of b", "drained b"]);
    let changes = expect_accepted(&mut lists, at(2), &[&file("", &["a 1 weight = 3", "b 2"])]);
    assert_eq!(changes, ["zone of b", "resumed b"]);
    assert!(
        lists.endpoints().iter().all(|e| e.up_since_ms == 0.0),
        "no server is treated as restarted"
    );
}

#[test]
fn an_invalid_file_keeps_its_last_list_while_other_files_change() {
    let mut lists = FileLists::new(spec(&["a.toml", "b.toml"]));
    let bad = "[[server]";
    // The first list is accepted only if all files are valid.
    let first = offer(&mut lists, at(0), &[&file("", &["a 1"]), bad]);
    assert!(first.applied.is_none() && first.problems[0].file == "b.toml");
    expect_accepted(&mut lists, at(0), &[&file("", &["a 1", "b 2"]), &file("", &["c 3"])]);
    // A file that becomes invalid keeps its listing, and the change of the other file is applied.
    let mixed = offer(&mut lists, at(1), &[&file("", &["a 1", "b 2", "d 4"]), bad]);
    assert_eq!(mixed.problems.len(), 1);
    assert_eq!(
        mixed.applied.expect("a.toml is valid and changed").changes,
        [ListChange::Added("d".into())]
    );
    assert_eq!(lists.server_count(), 4);
    // Files that are valid alone and contradict each other are rejected together.
    let summary =
        expect_rejected(&mut lists, &[&file("", &["a 1", "b 2", "c 9"]), &file("", &["c 3"])]);
    assert!(
        summary.contains("b.toml") && summary.contains("\"c\" is in a.toml as well"),
        "{summary}"
    );
    let summary =
        expect_rejected(&mut lists, &[&file("", &["a 1", "b 2", "x 3"]), &file("", &["c 3"])]);
    assert!(summary.contains("127.0.0.1:3 is in a.toml as well"), "{summary}");
    // A server may move from one file to another if both files change in the same offer.
    let moved = [&file("", &["a 1", "b 2", "c 3"])[..], &file("", &["d 4"])];
    assert_eq!(expect_accepted(&mut lists, at(2), &moved), Vec::<String>::new());
}

#[test]
fn files_that_state_a_version_are_applied_only_when_all_versions_agree() {
    let mut lists = FileLists::new(spec(&["a.toml", "b.toml", "c.toml"]));
    let versioned = |n: u32, servers: &[&str]| file(&format!("version = \"{n}\""), servers);
    let unversioned = file("", &["f 9"]);
    expect_accepted(
        &mut lists,
        at(0),
        &[&versioned(1, &["a 1"]), &versioned(1, &["b 2"]), &unversioned],
    );
    // A file that states a new version before the other file does is not applied.
    let ahead = offer(
        &mut lists,
        at(1),
        &[&versioned(2, &["a 1", "a2 3"]), &versioned(1, &["b 2"]), &unversioned],
    );
    assert_eq!((ahead.applied, ahead.problems), (None, vec![]));
    let message = ahead.version_mismatch.expect("a message");
    assert_eq!(message, "versions differ: a.toml has `2`, b.toml has `1`");
    // A file that states no version is applied independently of the others.
    let changed_unversioned = file("", &["f 9", "g 10"]);
    let unversioned_change = offer(
        &mut lists,
        at(2),
        &[&versioned(2, &["a 1", "a2 3"]), &versioned(1, &["b 2"]), &changed_unversioned],
    );
    assert_eq!(
        unversioned_change.applied.expect("the unversioned file changed").changes,
        [ListChange::Added("g".into())]
    );
    // The new version is still not applied while the other file is invalid.
    let broken = offer(
        &mut lists,
        at(3),
        &[&versioned(2, &["a 1", "a2 3"]), "version = \"2", &changed_unversioned],
    );
    assert!(
        broken.applied.is_none() && broken.version_mismatch.is_some() && broken.problems.len() == 1
    );
    let changes = expect_accepted(
        &mut lists,
        at(4),
        &[&versioned(2, &["a 1", "a2 3"]), &versioned(2, &["b 2", "b2 4"]), &changed_unversioned],
    );
    assert_eq!(changes, ["added a2", "added b2"]);
}

#[test]
fn after_a_change_of_files_lists_of_files_in_both_specs_stay_in_force() {
    let mut lists = FileLists::new(spec(&["a.toml", "b.toml"]));
    expect_accepted(&mut lists, at(0), &[&file("", &["a 1", "b 2"]), &file("", &["c 3"])]);
    lists.set_spec(spec(&["a.toml"]));
    let a = file("", &["a 1", "b 2"]);
    assert_eq!(expect_accepted(&mut lists, at(1), &[&a]), ["removed c"]);
    lists.set_spec(spec(&["a.toml", "d.toml"]));
    // a.toml is invalid now and keeps its listing. d.toml is new and valid.
    let offered = offer(&mut lists, at(2), &["[", &file("", &["d 4"])]);
    assert_eq!(
        offered.applied.expect("d.toml is valid and new").changes,
        [ListChange::Added("d".into())]
    );
    assert_eq!(lists.endpoints().iter().filter(|e| e.status == EndpointStatus::Live).count(), 3);
    // The same settings and files again apply nothing.
    let revision = lists.revision_and_hash().0;
    lists.set_spec(spec(&["a.toml", "d.toml"]));
    assert_eq!(offer(&mut lists, at(3), &[&a, &file("", &["d 4"])]), OfferResult::default());
    assert_eq!(lists.revision_and_hash().0, revision);
}

#[test]
fn files_with_more_servers_together_than_the_maximum_are_rejected() {
    let mut lists = FileLists::new(spec(&["a.toml", "b.toml"]));
    let servers: Vec<String> = (0..MAX_SERVERS).map(|i| format!("s{i} {}", 10_000 + i)).collect();
    let servers: Vec<&str> = servers.iter().map(String::as_str).collect();
    let first = offer(&mut lists, at(0), &[&file("", &servers), &file("", &["x 1"])]);
    assert!(first.applied.is_none());
    assert!(
        first.problems[0].message.contains("20001 servers in all files"),
        "{:?}",
        first.problems
    );
}
