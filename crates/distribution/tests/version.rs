//! Tests of the answer to a subscriber that uses another version of the protocol.

use sableloom_distribution::{
    CloseReason, CodecError, FrameReader, PROTOCOL_VERSION, Publisher, PublisherMessage,
    PublisherOptions, PublisherOutput, Refusal, SessionId, Store, StoreLimits,
};
use sableloom_types::Time;

#[test]
fn a_subscriber_of_another_protocol_version_is_refused_with_the_version_before_it_is_closed() {
    let store = Store::new(StoreLimits::default());
    let mut publisher = Publisher::new(store, PublisherOptions::default());
    for (number, other) in [(1, 1), (2, PROTOCOL_VERSION + 1)] {
        let (session, error, mut out) =
            (SessionId(number), CodecError::UnsupportedVersion(other), Vec::new());
        publisher.connected(Time(0), session);
        publisher.malformed(Time(0), session, error, &mut out);
        let [PublisherOutput::Send { frame, .. }, closed] = &out[..] else {
            panic!("expected an answer and then a close: {out:?}");
        };
        // The version is in the header, before any byte that depends on the version of the protocol.
        assert_eq!(frame[4], PROTOCOL_VERSION);
        let mut reader = FrameReader::new();
        reader.push(frame);
        let refusal = Refusal::Version { expected: PROTOCOL_VERSION };
        assert_eq!(reader.next_message(), Ok(Some(PublisherMessage::Refused(refusal))));
        let reason = CloseReason::Malformed(error);
        assert_eq!(*closed, PublisherOutput::Close { session, reason });
    }
}
