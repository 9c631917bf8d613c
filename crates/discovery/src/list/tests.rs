use super::*;

const ANSWER: &str = r#" {
    "revision": 7, "complete": true, "members": [
        {"id": "s-1", "host_port": "10.0.0.1:1", "phase": "SERVING"},
        {"id": "s-2", "host_port": "10.0.0.2:1", "phase": "DRAINING"},
        {"id": 3, "host_port": "nowhere"},
        {"id": "s-4", "host_port": "10.0.0.4:1", "phase": "DELETED"}
    ] }"#;

fn ids(entries: &[ListedEndpoint]) -> Vec<&str> {
    entries.iter().map(|entry| &*entry.id).collect()
}

#[test]
fn an_indented_list_is_read_and_what_makes_no_sense_in_it_left_out() {
    let list: Snapshot = serde_json::from_str(ANSWER).expect("a list");
    assert!(list.is_list() && list.complete && list.revision == 7);
    assert_eq!(ids(&list.entries()), ["s-1", "s-2", "s-4"]);
}

#[test]
fn of_an_answer_cut_anywhere_only_what_leaves_is_taken() {
    let mut most = 0;
    for end in 0..=ANSWER.len() {
        let found = leaving(&ANSWER.as_bytes()[..end]);
        let found = ids(&found);
        assert!(["s-2", "s-4"].starts_with(&found), "{end}: {found:?}");
        assert!(found.len() >= most, "more bytes tell more");
        most = found.len();
    }
    assert_eq!(most, 2);
}

#[test]
fn a_whole_list_that_lacks_its_servers_is_none() {
    let lacks: Snapshot = serde_json::from_str(r#"{"complete": true}"#).expect("JSON");
    assert!(!lacks.is_list());
    let empty: Snapshot =
        serde_json::from_str(r#"{"complete": true, "members": []}"#).expect("JSON");
    assert!(empty.is_list(), "that there are none can be said");
    let nothing: Snapshot = serde_json::from_str("{}").expect("JSON");
    assert!(nothing.is_list(), "no news");
    for odd in [r#"{"revision": -1}"#, r#"{"revision": 99999999999999999999999}"#, "[]", ""] {
        assert!(serde_json::from_str::<Snapshot>(odd).is_err(), "{odd}");
    }
}
