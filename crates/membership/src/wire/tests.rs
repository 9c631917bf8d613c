use proptest::prelude::*;

use super::*;

fn message(news: usize) -> Message {
    let one = Update {
        of: u32::MAX,
        life: u32::MAX,
        incarnation: u32::MAX,
        state: MemberState::Left,
        by: u32::MAX,
    };
    Message {
        fleet: u32::MAX,
        from: u32::MAX,
        life: u32::MAX,
        incarnation: u32::MAX,
        nonce: u32::MAX,
        echo: u32::MAX,
        digest: u32::MAX,
        listed: u16::MAX,
        servers: u32::MAX,
        body: Body::Answered { seq: u32::MAX, of: u32::MAX },
        news: vec![one; news],
    }
}

/// Keys are part of the wire: they must never change.
#[test]
fn keys_are_the_published_ones() {
    // FNV-1a test vectors, draft-eastlake-fnv, section 8.
    assert_eq!(
        (key_of(""), key_of("a"), key_of("foobar")),
        (0x811c_9dc5, 0xe40c_292c, 0xbf9c_f968)
    );
}

#[test]
fn a_message_fits_with_as_much_news_as_there_is_room_for() {
    for news in 0..40 {
        let (bytes, kept) = encode(&message(news));
        assert!(bytes.len() <= MOST, "{}", bytes.len());
        let held = decode(&bytes).expect("its own").news.len();
        assert!(held == kept && (held == news || held >= 8), "{held} of {news}");
    }
}

#[test]
fn another_version_and_what_is_too_long_are_told_apart() {
    let (mut bytes, _) = encode(&message(1));
    bytes[0] = 1;
    assert_eq!(decode(&bytes), Err(Refused::Version));
    assert_eq!(decode(&[VERSION; MAX_PAGE + 1]), Err(Refused::TooLong));
    // Only pages may be longer than the rest.
    let long = |body| Message { body, ..message(12) };
    let written = |message: &Message| {
        let mut bytes = vec![VERSION];
        bytes.extend(postcard::to_allocvec(message).expect("a message"));
        assert!(bytes.len() > MOST && bytes.len() < MAX_PAGE);
        bytes
    };
    assert_eq!(decode(&written(&long(Body::Leave))), Err(Refused::TooLong));
    let page = Page { seq: 1, until: 2, base: 3, entries: vec![4; 100] };
    assert!(decode(&written(&long(Body::Page(page)))).is_ok());
    assert_eq!(decode(&[]), Err(Refused::Malformed));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..Default::default() })]

    /// A datagram that was cut, lengthened or changed is dropped or is a message; it never panics.
    #[test]
    fn whatever_comes_is_read_or_dropped(
        cut in 0usize..300,
        flip in prop::collection::vec((0usize..256, any::<u8>()), 0..4),
        more in prop::collection::vec(any::<u8>(), 0..3),
        noise in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let _ = decode(&noise);
        let (whole, _) = encode(&message(5));
        let mut bytes = whole.clone();
        bytes.truncate(cut);
        if cut < whole.len() {
            prop_assert!(decode(&bytes).is_err(), "cut to {}", cut);
        }
        bytes.extend(&more);
        for (at, bits) in flip {
            if let Some(byte) = bytes.get_mut(at) {
                *byte ^= bits;
            }
        }
        if let Ok(read) = decode(&bytes) {
            prop_assert!(encode(&read).0.len() <= MOST);
        }
    }
}
