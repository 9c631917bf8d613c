//! The length that is computed for a request against what hyper writes of it. Whether the last byte was written is
//! concluded from it: with one byte too few a request that is not idempotent and was executed would be forwarded again;
//! with one too many none ever would be.

use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use proptest::prelude::*;
use sableloom_exchange::Fields;
use sableloom_types::Idempotency;
use tokio::io::AsyncReadExt;

use super::*;

#[derive(Clone, Debug)]
struct AnyRequest {
    method: &'static str,
    target: String,
    fields: Vec<(String, String)>,
    body: Vec<u8>,
    time_left_ms: u64,
}

fn any_request() -> impl Strategy<Value = AnyRequest> {
    let method =
        prop::sample::select(vec!["GET", "POST", "PUT", "DELETE", "HEAD", "PATCH", "OPTIONS"]);
    let target = "/[a-z0-9/%._~-]{0,40}([?][a-z=&%0-9]{0,30})?";
    let names =
        vec!["host", "x-trace-id", "x-qos", "cookie", "accept", "x-a", "idempotency-key", "date"];
    let name = prop_oneof![
        prop::sample::select(names).prop_map(str::to_string),
        "x-[a-z][a-z0-9-]{0,20}",
        // An invalid field name is left out on both sides.
        Just("no name".to_string()),
    ];
    let fields = prop::collection::vec((name, "[ -~]{0,60}"), 0..12);
    let body = prop::collection::vec(any::<u8>(), 0..600);
    (method, target, fields, body, 0u64..100_000).prop_map(
        |(method, target, fields, body, time_left_ms)| {
            let body = if matches!(method, "GET" | "HEAD") { Vec::new() } else { body };
            AnyRequest { method, target, fields, body, time_left_ms }
        },
    )
}

/// What hyper writes of a request.
async fn written(request: Request<Full<Bytes>>) -> Vec<u8> {
    let (here, mut there) = tokio::io::duplex(1 << 20);
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(here)).await.expect("a connection");
    {
        let mut sent = std::pin::pin!(sender.send_request(request));
        let mut connection = std::pin::pin!(connection);
        std::future::poll_fn(|cx| {
            // Several times, as one wakes the other. Then all is written, as there is room for it.
            for _ in 0..4 {
                assert!(sent.as_mut().poll(cx).is_pending(), "there is no answer");
                assert!(connection.as_mut().poll(cx).is_pending(), "the connection stays open");
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
    fn the_computed_length_is_the_length_that_hyper_writes(generated in any_request()) {
        let message = Message {
            id: Bytes::new(),
            idempotency: Idempotency::NonIdempotent,
            method: Bytes::from_static(generated.method.as_bytes()),
            target: Bytes::from(generated.target.clone()),
            fields: Fields::collect(|| {
                generated.fields.iter().map(|(name, value)| (name.as_bytes(), value.as_bytes()))
            }),
            body: Bytes::from(generated.body.clone()),
            attachment: None,
            client: None,
        };
        let time_left = Duration::from_millis(generated.time_left_ms);
        let OutgoingRequest { request, bytes } = OutgoingRequest::new(&message, time_left).expect("a request");
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let written = runtime.block_on(written(request));
        prop_assert_eq!(written.len() as u64, bytes, "{}", String::from_utf8_lossy(&written));
        prop_assert!(written.ends_with(&generated.body));
    }
}
