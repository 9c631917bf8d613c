//! Each key of a change file, with a value that is not its default, arrives in the resource that it sets: the bodies
//! are compared with the bytes that an earlier program made of the same file.

use std::collections::BTreeMap;

use sableloom_distribution::ResourceName;
use sableloom_resources::{Body, Edit, read_change};

const EVERY_KEY: &str = include_str!("data/every-key.toml");
const EVERY_REMOVAL: &str = include_str!("data/every-removal.toml");

/// Lines of a kind and of the body's bytes in hexadecimal digits.
fn recorded_bodies() -> BTreeMap<&'static str, Vec<u8>> {
    let line = |line: &'static str| {
        let (kind, digits) = line.split_once(' ').expect("a kind and digits");
        let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect("two digits");
        (kind, (0..digits.len()).step_by(2).map(byte).collect())
    };
    include_str!("data/every-key.hex").lines().map(line).collect()
}

#[test]
fn every_key_of_a_change_file_arrives_in_the_recorded_bytes_of_its_body() {
    let change = read_change("00000041.toml", EVERY_KEY.as_bytes()).expect("a valid change");
    assert_eq!((change.number, change.epoch), (41, 5));
    let mut recorded = recorded_bodies();
    for entry in &change.entries {
        let Edit::Set { name, body } = &entry.edit else { panic!("{entry:?}") };
        let kind = entry.field.split('[').next().expect("a table's name");
        let bytes = recorded.remove(kind).expect("a recorded body");
        assert_eq!(body.encode(), bytes, "{kind} is encoded");
        assert_eq!(Body::decode(name.kind, &bytes).as_ref(), Ok(&**body), "{kind} is decoded");
    }
    assert!(recorded.is_empty(), "recorded and not set: {:?}", recorded.keys());
}

#[test]
fn every_removal_of_a_change_file_names_what_it_removes() {
    let change = read_change("00000042.toml", EVERY_REMOVAL.as_bytes()).expect("a valid change");
    let service = |name: &str| name.try_into().expect("a sound name");
    let edits: Vec<Edit> = change.entries.into_iter().map(|entry| entry.edit).collect();
    let expected = [
        Edit::Remove(ResourceName::server(service("points"), "points-1")),
        Edit::Remove(ResourceName::route(service("points"), "balance")),
        Edit::Remove(ResourceName::tenant(service("points"), "customer-17")),
        Edit::RemoveService(service("partners")),
    ];
    assert_eq!(edits, expected);
}
