use proptest::prelude::*;

use super::*;
use crate::message::{MemberState, Page, key_of};

fn message(updates: usize) -> Message {
    let update = Update {
        member: u32::MAX,
        process_incarnation: u32::MAX,
        incarnation: u32::MAX,
        state: MemberState::Left,
        reported_by: u32::MAX,
    };
    Message {
        fleet: u32::MAX,
        sender: u32::MAX,
        process_incarnation: u32::MAX,
        incarnation: u32::MAX,
        nonce: u32::MAX,
        receiver_nonce: u32::MAX,
        view_digest: u32::MAX,
        list_length: u16::MAX,
        endpoints_digest: u32::MAX,
        body: Body::IndirectAck { seq: u32::MAX, target: u32::MAX },
        updates: vec![update; updates],
    }
}

/// Keys are part of the wire format, so that the hash function must never change.
#[test]
fn keys_are_fnv_1a_hashes_of_names() {
    // The test vectors of FNV-1a are from draft-eastlake-fnv, section 8.
    assert_eq!(
        (key_of(""), key_of("a"), key_of("foobar")),
        (0x811c_9dc5, 0xe40c_292c, 0xbf9c_f968)
    );
}

#[test]
fn a_message_carries_as_many_updates_as_fit() {
    for updates in 0..40 {
        let (bytes, kept) = encode(&message(updates));
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
        let decoded = decode(&bytes).expect("a valid datagram").updates.len();
        assert!(decoded == kept && (decoded == updates || decoded >= 8), "{decoded} of {updates}");
    }
}

#[test]
fn other_versions_and_too_long_datagrams_are_dropped_with_their_reason() {
    let (mut bytes, _) = encode(&message(1));
    bytes[0] = 1;
    assert_eq!(decode(&bytes), Err(DropReason::OtherVersion));
    assert_eq!(decode(&[VERSION; MAX_PAGE_BYTES + 1]), Err(DropReason::TooLong));
    // Only datagrams with pages may exceed the limit of all others.
    let long_message = |body| Message { body, ..message(12) };
    let encode_unbounded = |message: &Message| {
        let mut bytes = vec![VERSION];
        bytes.extend(postcard::to_allocvec(message).expect("a message"));
        assert!(bytes.len() > MAX_DATAGRAM_BYTES && bytes.len() < MAX_PAGE_BYTES);
        bytes
    };
    assert_eq!(decode(&encode_unbounded(&long_message(Body::Leave))), Err(DropReason::TooLong));
    let page = Page { seq: 1, last_key: 2, base_incarnation: 3, entries: vec![4; 100] };
    assert!(decode(&encode_unbounded(&long_message(Body::Page(page)))).is_ok());
    assert_eq!(decode(&[]), Err(DropReason::Malformed));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..Default::default() })]

    /// A datagram that was cut, extended or altered is rejected or decodes to a message; decoding never panics.
    #[test]
    fn damaged_datagrams_decode_or_are_rejected_without_panic(
        cut in 0usize..300,
        bit_flips in prop::collection::vec((0usize..256, any::<u8>()), 0..4),
        appended in prop::collection::vec(any::<u8>(), 0..3),
        noise in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let _ = decode(&noise);
        let (encoded, _) = encode(&message(5));
        let mut bytes = encoded.clone();
        bytes.truncate(cut);
        if cut < encoded.len() {
            prop_assert!(decode(&bytes).is_err(), "cut to {}", cut);
        }
        bytes.extend(&appended);
        for (at, bits) in bit_flips {
            if let Some(byte) = bytes.get_mut(at) {
                *byte ^= bits;
            }
        }
        if let Ok(decoded) = decode(&bytes) {
            prop_assert!(encode(&decoded).0.len() <= MAX_DATAGRAM_BYTES);
        }
    }
}
