//! Helpers that the tests of this crate share: an endpoint source that reports nothing, requests and endpoints.

use std::net::SocketAddr;
use std::rc::{Rc, Weak};

use bytes::Bytes;
use sableloom_exchange::{
    Client, EndpointListener, EndpointSource, Fields, ListedEndpoint, Message,
};
use sableloom_types::{EndpointStatus, Idempotency};

/// An endpoint source that reports nothing; the test reports lists to the exchange itself.
pub(crate) struct SilentSource;

impl EndpointSource for SilentSource {
    fn subscribe(self: Rc<Self>, _: Rc<dyn EndpointListener>) {}
}

/// Returns a request without a body.
pub(crate) fn message(
    id: Bytes,
    idempotency: Idempotency,
    client: Option<Weak<dyn Client>>,
) -> Message {
    Message {
        id,
        idempotency,
        method: Bytes::from_static(b"GET"),
        target: Bytes::from_static(b"/x"),
        fields: Fields::default(),
        body: Bytes::new(),
        attachment: None,
        client,
    }
}

/// Returns the endpoint of the server with this number.
pub(crate) fn endpoint(
    number: u8,
    port: u16,
    status: EndpointStatus,
    up_since_ms: f64,
) -> ListedEndpoint {
    ListedEndpoint {
        id: format!("s-{number}").into(),
        address: SocketAddr::from(([127, 0, 0, 1 + number], port)),
        zone: "".into(),
        machine_type: "".into(),
        cell: 0,
        status,
        size: 1.0,
        up_since_ms,
    }
}
