//! Tests that the wire format and the format of the saved state do not change: recorded bytes must decode to the
//! expected values, and the values must encode to the recorded bytes.

mod messages;

use std::collections::BTreeMap;
use std::fmt::Debug;

use messages::{publisher_messages, saved_state, subscriber_messages};
use sableloom_distribution::{FrameReader, Message, SavedState, encode};

/// Parses lines of a name and its recorded bytes in hexadecimal digits.
fn recorded(text: &'static str) -> BTreeMap<&'static str, Vec<u8>> {
    let line = |line: &'static str| {
        let (name, digits) = line.split_once(' ').expect("a name and digits");
        let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).expect("two digits");
        (name, (0..digits.len()).step_by(2).map(byte).collect())
    };
    text.lines().map(line).collect()
}

/// Checks that each message has a recorded frame, decodes from it and encodes to it, and that no recorded frame is
/// left.
fn check_frames<M: Message + PartialEq + Debug + Clone>(
    messages: Vec<(&'static str, M)>,
    mut recorded: BTreeMap<&'static str, Vec<u8>>,
) {
    for (name, message) in messages {
        let frame = recorded
            .remove(name)
            .unwrap_or_else(|| panic!("no frame is recorded under the name {name}"));
        let mut reader = FrameReader::new();
        reader.push(&frame);
        assert_eq!(reader.next_message(), Ok(Some(message.clone())), "{name} is decoded");
        assert_eq!(reader.buffered_bytes(), 0, "{name} is decoded to its end");
        assert_eq!(encode(&message), frame, "{name} is encoded");
    }
    assert!(recorded.is_empty(), "recorded frames without a message: {:?}", recorded.keys());
}

#[test]
fn recorded_frames_of_subscribers_decode_and_encode_to_the_same_bytes() {
    check_frames(subscriber_messages(), recorded(include_str!("../data/subscriber-frames.hex")));
}

#[test]
fn recorded_frames_of_publishers_decode_and_encode_to_the_same_bytes() {
    check_frames(publisher_messages(), recorded(include_str!("../data/publisher-frames.hex")));
}

#[test]
fn the_recorded_saved_state_decodes_and_encodes_to_the_same_bytes() {
    let recorded = recorded(include_str!("../data/saved-state.hex"));
    let bytes = &recorded["saved-state"];
    let decoded: SavedState =
        postcard::from_bytes(bytes).expect("the bytes decode to a saved state");
    assert_eq!(decoded, saved_state());
    assert_eq!(
        postcard::to_extend(&saved_state(), Vec::new()).expect("the saved state encodes"),
        *bytes
    );
}
