//! A record that an earlier version wrote stays readable, and is written back byte for byte.

use sableloom_shadow::Record;

/// Written by version 0.2.0 with a value that is not its default under every key.
const RECORD: &str = include_str!("data/record.json");

#[test]
fn a_stored_record_is_read_and_written_back_the_same() {
    let record: Record = serde_json::from_str(RECORD).expect("a stored record");
    let written = serde_json::to_string_pretty(&record).expect("a record can be written");
    assert_eq!(written, RECORD.trim_end());
}
