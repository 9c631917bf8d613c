//! Tests of the codec: the expected bytes of frames, fragmented streams, and malformed input.

use proptest::prelude::*;
use sableloom_distribution::{
    Base, Change, CodecError, FrameReader, MAX_BUFFERED_BYTES, MAX_FRAME_BYTES, NackReason, Origin,
    PROTOCOL_VERSION, Position, PublisherMessage, Rejection, Resource, ResourceName, ServiceBase,
    ServiceName, ServiceVersion, SubscriberMessage, SubscriberName, encode,
};

fn service(name: &str) -> ServiceName {
    ServiceName::try_from(name).expect("a valid name")
}

fn resource() -> Resource {
    Resource {
        name: ResourceName::server(service("points"), "p-1"),
        version: 300,
        origin: Origin { file: "f".into(), line: 2 },
        body: vec![9, 8].into(),
    }
}

/// Messages of a publisher, with the frame that each encodes to. The first four bytes are a placeholder: the test
/// replaces them by the length of the rest.
fn publisher_frames() -> Vec<(PublisherMessage, Vec<u8>)> {
    let position = Position { epoch: 1, number: 300, chain: 5 };
    let committed = ServiceVersion { service: service("ab"), version: 300, digest: 7 };
    vec![
        (PublisherMessage::Welcome { position }, vec![0, 0, 0, 6, 2, 0, 1, 0xac, 2, 5]),
        (
            PublisherMessage::Begin {
                transaction: 1,
                generation: 2,
                services: vec![
                    ServiceBase { service: service("ab"), base: Base::Delta { from: 4 } },
                    ServiceBase { service: service("c"), base: Base::Snapshot },
                ],
            },
            vec![0, 0, 0, 13, 2, 2, 1, 2, 2, 2, b'a', b'b', 0, 4, 1, b'c', 1],
        ),
        (
            PublisherMessage::Changes {
                transaction: 1,
                changes: vec![
                    Change::Set(resource()),
                    Change::Remove { name: ResourceName::pool(service("c")), version: 1 },
                ],
            },
            vec![
                0, 0, 0, 32, 2, 3, 1, 2, 0, 6, b'p', b'o', b'i', b'n', b't', b's', 1, 3, b'p',
                b'-', b'1', 0xac, 2, 1, b'f', 2, 2, 9, 8, 1, 1, b'c', 0, 0, 1,
            ],
        ),
        (
            PublisherMessage::Commit { transaction: 1, position, services: vec![committed] },
            vec![0, 0, 0, 14, 2, 4, 1, 1, 0xac, 2, 5, 1, 2, b'a', b'b', 0xac, 2, 7],
        ),
        (
            PublisherMessage::Current { position, generation: 3, digest: 1 },
            vec![0, 0, 0, 8, 2, 5, 1, 0xac, 2, 5, 3, 1],
        ),
        (PublisherMessage::Pong { sequence: 7 }, vec![0, 0, 0, 3, 2, 6, 7]),
    ]
}

#[test]
fn messages_encode_to_the_expected_bytes_and_decode_back() {
    for (message, mut frame) in publisher_frames() {
        // Only the length is computed; the expected bytes of the rest are listed in `publisher_frames`.
        let length = (frame.len() - 4) as u32;
        frame[..4].copy_from_slice(&length.to_be_bytes());
        assert_eq!(encode(&message), frame, "{message:?}");
        let mut reader = FrameReader::new();
        reader.push(&frame);
        assert_eq!(reader.next_message(), Ok(Some(message)));
        assert_eq!(reader.next_message::<PublisherMessage>(), Ok(None));
    }
    let hello = SubscriberMessage::Hello {
        subscriber: SubscriberName::try_from("b").expect("a valid name"),
        position: Position { epoch: 1, number: 2, chain: 3 },
    };
    assert_eq!(encode(&hello), [0, 0, 0, 7, 2, 0, 1, b'b', 1, 2, 3]);
    assert_eq!(encode(&SubscriberMessage::Ping { sequence: 7 }), [0, 0, 0, 3, 2, 4, 7]);
    let scope = SubscriberMessage::Scope {
        generation: 1,
        add: vec![ServiceVersion { service: service("a"), version: 1, digest: 2 }],
        remove: vec![],
        rejected: vec![],
        last: true,
    };
    assert_eq!(encode(&scope), [0, 0, 0, 11, 2, 1, 1, 1, 1, b'a', 1, 2, 0, 0, 1]);
}

#[test]
fn a_text_over_the_limit_is_truncated_at_a_character_boundary() {
    let rejection = Rejection {
        resource: resource().name,
        origin: resource().origin,
        field: "f".into(),
        problem: "ä".repeat(400).as_str().into(),
    };
    let nack =
        SubscriberMessage::Nack { transaction: 1, reason: NackReason::Rejected(vec![rejection]) };
    let mut reader = FrameReader::new();
    reader.push(&encode(&nack));
    let Ok(Some(SubscriberMessage::Nack { reason: NackReason::Rejected(read), .. })) =
        reader.next_message()
    else {
        panic!("the frame does not decode to a rejection");
    };
    assert_eq!(&*read[0].problem, "ä".repeat(256));
}

#[test]
fn a_tenant_encodes_to_the_expected_bytes_and_an_unknown_kind_is_malformed() {
    let name = ResourceName::tenant(service("c"), "t");
    let message = PublisherMessage::Changes {
        transaction: 1,
        changes: vec![Change::Remove { name, version: 1 }],
    };
    let mut frame = vec![0, 0, 0, 10, 2, 3, 1, 1, 1, 1, b'c', 3, 1, b't', 1];
    frame[3] = frame.len() as u8 - 4;
    assert_eq!(encode(&message), frame);
    // 4 is the first number that stands for no kind of resource.
    frame[11] = 4;
    let mut reader = FrameReader::new();
    reader.push(&frame);
    assert_eq!(reader.next_message::<PublisherMessage>(), Err(CodecError::Malformed));
}

#[test]
fn no_message_is_read_after_a_malformed_frame() {
    let first_result = |bytes: &[u8]| {
        let mut reader = FrameReader::new();
        reader.push(bytes);
        let first = reader.next_message::<SubscriberMessage>();
        // A well-formed frame after the malformed one is not read.
        reader.push(&encode(&SubscriberMessage::Ping { sequence: 1 }));
        if first != Ok(None) {
            assert_eq!(reader.next_message::<SubscriberMessage>(), first);
        }
        assert_eq!(
            reader.buffered_bytes(),
            if first.is_err() { 0 } else { reader.buffered_bytes() }
        );
        first
    };
    assert_eq!(first_result(&[0, 0, 0, 0]), Err(CodecError::Empty));
    let too_long = MAX_FRAME_BYTES as u32 + 1;
    assert_eq!(
        first_result(&too_long.to_be_bytes()),
        Err(CodecError::TooLong(MAX_FRAME_BYTES + 1))
    );
    // Programs of earlier and of later versions send these versions.
    for other in [0, 1, PROTOCOL_VERSION + 1] {
        let version = first_result(&[0, 0, 0, 9, other]);
        assert_eq!(
            version,
            Err(CodecError::UnsupportedVersion(other)),
            "the version is reported before the frame is complete"
        );
    }
    assert_eq!(first_result(&[0, 0, 0, 2, 2, 99]), Err(CodecError::Malformed));
    assert_eq!(
        first_result(&[0, 0, 0, 4, 2, 4, 7, 0]),
        Err(CodecError::Malformed),
        "a byte after the message"
    );
    assert_eq!(
        first_result(&[0, 0, 0, 5, 2, 1, 1, 1, 0]),
        Err(CodecError::Malformed),
        "an empty name"
    );
    assert_eq!(first_result(&[0, 0, 0, 3, 2, 4]), Ok(None), "an incomplete frame");
}

#[test]
fn a_message_that_claims_absent_elements_allocates_at_most_one_mebibyte() {
    // The frame begins a transaction that claims 2^60 - 1 services and has none.
    let mut frame = vec![0, 0, 0, 13, 2, 2, 1, 1];
    frame.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x0f]);
    let mut reader = FrameReader::new();
    reader.push(&frame);
    let allocated = allocation_counter::measure(|| {
        assert_eq!(reader.next_message::<PublisherMessage>(), Err(CodecError::Malformed));
    });
    assert!(allocated.bytes_max <= 1 << 20, "{} bytes", allocated.bytes_max);
}

#[test]
fn a_reader_buffers_at_most_its_limit_and_then_reports_an_overflow() {
    let mut reader = FrameReader::new();
    let frame = encode(&SubscriberMessage::Ping { sequence: 1 });
    for _ in 0..MAX_BUFFERED_BYTES {
        reader.push(&frame);
        assert!(reader.buffered_bytes() <= MAX_BUFFERED_BYTES);
    }
    assert_eq!(reader.next_message::<SubscriberMessage>(), Err(CodecError::Overflow));
}

fn read_all(reader: &mut FrameReader) -> Vec<PublisherMessage> {
    std::iter::from_fn(|| reader.next_message().ok().flatten()).collect()
}

proptest! {
    #[test]
    fn random_bytes_never_panic(fragments in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..300), 0..8)) {
        let mut from_subscriber = FrameReader::new();
        let mut from_publisher = FrameReader::new();
        for fragment in fragments {
            from_subscriber.push(&fragment);
            from_publisher.push(&fragment);
            while let Ok(Some(_)) = from_subscriber.next_message::<SubscriberMessage>() {}
            while let Ok(Some(_)) = from_publisher.next_message::<PublisherMessage>() {}
        }
    }

    #[test]
    fn an_altered_message_never_panics(index in 0usize..6, at in any::<prop::sample::Index>(), byte: u8) {
        let mut frame = encode(&publisher_frames()[index].0);
        let at = 4 + at.index(frame.len() - 4);
        frame[at] = byte;
        let mut reader = FrameReader::new();
        reader.push(&frame);
        while let Ok(Some(message)) = reader.next_message::<PublisherMessage>() {
            // Each message that decodes can be encoded, within the maximum size of a frame.
            prop_assert!(encode(&message).len() <= MAX_FRAME_BYTES + 4);
        }
    }

    #[test]
    fn any_fragmentation_of_the_stream_decodes_to_the_same_messages(cuts in proptest::collection::vec(1usize..9, 1..60)) {
        let messages: Vec<PublisherMessage> = publisher_frames().into_iter().map(|(message, _)| message).collect();
        let stream: Vec<u8> = messages.iter().flat_map(encode).collect();
        let mut reader = FrameReader::new();
        let mut read = Vec::new();
        let mut rest = &stream[..];
        for length in cuts.iter().cycle() {
            let (fragment, remaining) = rest.split_at((*length).min(rest.len()));
            reader.push(fragment);
            read.extend(read_all(&mut reader));
            rest = remaining;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(read, messages);
        prop_assert_eq!(reader.buffered_bytes(), 0);
    }
}
