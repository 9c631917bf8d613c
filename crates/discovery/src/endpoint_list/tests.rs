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
fn an_indented_list_is_parsed_and_invalid_entries_are_left_out() {
    let list: EndpointList = serde_json::from_str(ANSWER).expect("a list");
    assert!(list.is_list() && list.complete && list.revision == 7);
    assert_eq!(ids(&list.into_endpoints()), ["s-1", "s-2", "s-4"]);
}

#[test]
fn of_an_answer_that_is_cut_off_anywhere_only_leaving_servers_are_taken() {
    let mut max = 0;
    for end in 0..=ANSWER.len() {
        let found = leaving_endpoints(&ANSWER.as_bytes()[..end]);
        let found = ids(&found);
        assert!(["s-2", "s-4"].starts_with(&found), "{end}: {found:?}");
        assert!(found.len() >= max, "more bytes have as many servers or more");
        max = found.len();
    }
    assert_eq!(max, 2);
}

#[test]
fn a_complete_list_without_members_is_no_list() {
    let without_members: EndpointList =
        serde_json::from_str(r#"{"complete": true}"#).expect("JSON");
    assert!(!without_members.is_list());
    let empty: EndpointList =
        serde_json::from_str(r#"{"complete": true, "members": []}"#).expect("JSON");
    assert!(empty.is_list(), "an empty list is a list");
    let nothing: EndpointList = serde_json::from_str("{}").expect("JSON");
    assert!(nothing.is_list(), "no change");
    for invalid in [r#"{"revision": -1}"#, r#"{"revision": 99999999999999999999999}"#, "[]", ""] {
        assert!(serde_json::from_str::<EndpointList>(invalid).is_err(), "{invalid}");
    }
}
