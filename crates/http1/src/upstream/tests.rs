//! The length that is reckoned of a request beside what hyper writes. Whether its last byte has left rests on
//! it: one byte too few, and an unsafe request that ran would be sent again; one too many, and none ever is.

use proptest::prelude::*;
use sableloom_exchange::Fields;
use sableloom_types::Idempotency;
use tokio::io::AsyncReadExt;

use super::*;

#[derive(Clone, Debug)]
struct RequestContext {
    verb: &'static str,
    target: String,
    fields: Vec<(String, String)>,
    body: Vec<u8>,
    left: u64,
}

fn any_request() -> impl Strategy<Value = RequestContext> {
    let verb =
        prop::sample::select(vec!["GET", "POST", "PUT", "DELETE", "HEAD", "PATCH", "OPTIONS"]);
    let target = "/[a-z0-9/%._~-]{0,40}([?][a-z=&%0-9]{0,30})?";
    let names =
        vec!["host", "x-trace-id", "x-qos", "cookie", "accept", "x-a", "idempotency-key", "date"];
    let name = prop_oneof![
        prop::sample::select(names).prop_map(str::to_string),
        "x-[a-z][a-z0-9-]{0,20}",
        // What is no name of a field is left out on both sides.
        Just("no name".to_string()),
    ];
    let fields = prop::collection::vec((name, "[ -~]{0,60}"), 0..12);
    let body = prop::collection::vec(any::<u8>(), 0..600);
    (verb, target, fields, body, 0u64..100_000).prop_map(|(verb, target, fields, body, left)| {
        let body = if matches!(verb, "GET" | "HEAD") { Vec::new() } else { body };
        RequestContext { verb, target, fields, body, left }
    })
}

/// What hyper writes of it.
async fn written(request: Request<Whole>) -> Vec<u8> {
    let (here, mut there) = tokio::io::duplex(1 << 20);
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(here)).await.expect("a connection");
    {
        let mut sent = std::pin::pin!(sender.send_request(request));
        let mut connection = std::pin::pin!(connection);
        std::future::poll_fn(|cx| {
            // Each twice: one wakes the other. What is written then is all, as there is room for it.
            for _ in 0..4 {
                assert!(sent.as_mut().poll(cx).is_pending(), "nobody answers");
                assert!(connection.as_mut().poll(cx).is_pending(), "nobody closes");
            }
            std::task::Poll::Ready(())
        })
        .await;
    }
    drop(sender);
    let mut bytes = Vec::new();
    there.read_to_end(&mut bytes).await.expect("a pipe");
    bytes
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_reckoned_length_is_that_which_is_written(asked in any_request()) {
        let message = Message {
            id: Bytes::new(),
            idempotency: Idempotency::NonIdempotent,
            method: Bytes::from_static(asked.verb.as_bytes()),
            target: Bytes::from(asked.target.clone()),
            fields: Fields::collect(|| {
                asked.fields.iter().map(|(name, value)| (name.as_bytes(), value.as_bytes()))
            }),
            body: Bytes::from(asked.body.clone()),
            attachment: None,
            client: None,
        };
        let (request, bytes) = request(&message, Duration::from_millis(asked.left)).expect("a request");
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let came = runtime.block_on(written(request));
        prop_assert_eq!(came.len() as u64, bytes, "{}", String::from_utf8_lossy(&came));
        prop_assert!(came.ends_with(&asked.body));
    }
}
