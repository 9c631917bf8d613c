//! One request: read completely, handed to the service, answered.

use std::any::Any;
use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::rc::{Rc, Weak};
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use sableloom_admission::Admission;
use sableloom_exchange::{
    Answer, Client, Fields, Message, Reply, RequestContext, RequestRejection,
};
use tokio::task::yield_now;
use tokio::time::{Instant, timeout_at};

use super::body::{AnswerBody, read_body};
use super::client_handle::ClientHandle;
use super::context::FrontContext;
use super::request_head::RequestHead;
use crate::fields;
use crate::tracked_stream::TrackedStream;

/// A request must be complete this long after its first byte, and on a new connection after the accept. Guards against
/// heads and bodies that don't end, trickle, or never begin; an honest client on a line slower than that would be
/// rejected, but the deadline of its request would have passed as well.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2200);
/// The path of the front's own health check.
const HEALTH_CHECK_PATH: &str = "/up";

/// Answers a request. A panic while it is handled must not leave it unanswered.
pub(super) async fn respond(
    context: Rc<FrontContext>,
    client: Rc<ClientHandle>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    client.handling.set(true);
    let answer = {
        let mut handling = pin!(handle(&context, &client, request));
        std::future::poll_fn(|cx| {
            let poll = AssertUnwindSafe(|| handling.as_mut().poll(cx));
            std::panic::catch_unwind(poll).unwrap_or_else(|_| {
                eprintln!("sableloom: panic while a request was handled; the request has failed");
                Poll::Ready(FrontAnswer::closing(StatusCode::INTERNAL_SERVER_ERROR))
            })
        })
        .await
    };
    client.handling.set(false);
    let FrontAnswer { mut response, closes } = answer;
    let may_stay_open = context
        .charge_answer(&client, fields::header_bytes(response.headers()) + response.body().len());
    let closes = closes || !may_stay_open;
    let closes = context.closes_with_answer(&client, closes || context.draining.get());
    if closes {
        let value = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, value);
    }
    response.map(|data| AnswerBody { data: Full::new(data), context, client, closes })
}

/// An answer, and whether its connection must be closed with it.
struct FrontAnswer {
    response: Response<Bytes>,
    closes: bool,
}

impl FrontAnswer {
    /// An answer without a body.
    fn status(status: StatusCode) -> Self {
        let mut response = Response::new(Bytes::new());
        *response.status_mut() = status;
        Self { response, closes: false }
    }

    /// An answer without a body that closes its connection.
    fn closing(status: StatusCode) -> Self {
        Self { closes: true, ..Self::status(status) }
    }

    fn with_retry_after(mut self, value: HeaderValue) -> Self {
        self.response.headers_mut().insert(header::RETRY_AFTER, value);
        self
    }
}

impl From<Answer> for FrontAnswer {
    fn from(answer: Answer) -> Self {
        let mut response = Response::new(answer.body);
        *response.headers_mut() = fields::to_headers(&answer.fields);
        Self { response, closes: false }
    }
}

impl From<Reply> for FrontAnswer {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Served(answer) => answer.into(),
            Reply::Rejected(retry_after) => {
                let answer = Self::status(StatusCode::SERVICE_UNAVAILABLE);
                let seconds = retry_after.map(|time| format!("{:.3}", time.as_secs_f64()));
                match seconds.and_then(|seconds| seconds.parse().ok()) {
                    Some(value) => answer.with_retry_after(value),
                    None => answer,
                }
            }
            Reply::Failed => Self::status(StatusCode::BAD_GATEWAY),
        }
    }
}

impl From<RequestRejection> for FrontAnswer {
    fn from(rejection: RequestRejection) -> Self {
        match rejection {
            RequestRejection::TooManyOpen => Self::status(StatusCode::SERVICE_UNAVAILABLE),
            RequestRejection::DuplicateId => Self::closing(StatusCode::CONFLICT),
            RequestRejection::NoRoute(status) => {
                Self::status(StatusCode::from_u16(status).unwrap_or(StatusCode::NOT_FOUND))
            }
            RequestRejection::OverTenantLimit(after) => over_tenant_limit(after),
        }
    }
}

/// The answer to a request over its tenant's limit (RFC 6585, section 4). The time is in whole seconds (RFC 9110, section
/// 10.2.3), rounded up: a client that comes sooner would be rejected again.
fn over_tenant_limit(after: Duration) -> FrontAnswer {
    let seconds = after.as_micros().div_ceil(1_000_000).max(1) as u64;
    FrontAnswer::status(StatusCode::TOO_MANY_REQUESTS).with_retry_after(seconds.into())
}

async fn handle(
    context: &FrontContext,
    client: &ClientHandle,
    request: Request<Incoming>,
) -> FrontAnswer {
    // A pipelined request has a timeout of its own.
    context.notify_admission(client, Admission::pipelined_request);
    // Requests that came in one read take turns with other connections.
    if !client.has_read.replace(false) {
        yield_now().await;
    }
    let started = context.admission.borrow().request_started(client.id);
    let started = started.unwrap_or_else(|| context.now());
    let complete_by = context.clock.instant_of(started) + REQUEST_TIMEOUT;
    let (mut parts, body) = request.into_parts();
    set_host_of_absolute_target(&mut parts);
    if parts.uri.path() == HEALTH_CHECK_PATH {
        return FrontAnswer::status(match context.draining.get() {
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::OK,
        });
    }
    let head = match RequestHead::parse(context, &parts) {
        Ok(head) => head,
        // What follows on this connection may be out of step with the request.
        Err(status) => return FrontAnswer::closing(status),
    };
    if parts.headers.contains_key(header::TRANSFER_ENCODING) && client.length_scan.found() {
        return FrontAnswer::closing(StatusCode::BAD_REQUEST);
    }
    client.memory.head_complete();
    // While the body is read only what is forwarded of the head is kept.
    let (method, fields) = method_and_fields(parts);
    let head_bytes = head.target.len() + fields::head_bytes(&fields);
    match read_body_by(complete_by, context, client, head_bytes, body).await {
        Ok(body) => forward(context, client, ReceivedRequest { head, method, fields, body }).await,
        Err(status) => FrontAnswer::closing(status),
    }
}

/// A target in absolute form names the host, whatever the field says (RFC 9112, section 3.2.2).
fn set_host_of_absolute_target(parts: &mut Parts) {
    let authority =
        parts.uri.authority().map(|authority| HeaderValue::from_str(authority.as_str()));
    if let Some(Ok(host)) = authority {
        parts.headers.insert(header::HOST, host);
    }
}

/// The parts of a head that are forwarded as they are. Drops the rest, and with it the buffer that the head came in.
fn method_and_fields(parts: Parts) -> (Bytes, Fields) {
    let method = Bytes::copy_from_slice(parts.method.as_str().as_bytes());
    (method, fields::end_to_end(parts.headers))
}

/// Reads a complete body in time, unless the wait for it is ended.
async fn read_body_by(
    complete_by: Instant,
    context: &FrontContext,
    client: &ClientHandle,
    head_bytes: usize,
    body: Incoming,
) -> Result<Bytes, StatusCode> {
    let body = timeout_at(complete_by, read_body(context, client, head_bytes, body));
    tokio::select! {
        biased;
        body = body => body.unwrap_or(Err(StatusCode::REQUEST_TIMEOUT)),
        () = client.reject_signal.notified() => Err(StatusCode::SERVICE_UNAVAILABLE),
    }
}

/// A request that was read completely.
struct ReceivedRequest {
    head: RequestHead,
    method: Bytes,
    fields: Fields,
    body: Bytes,
}

/// Hands a complete request to the service, and waits for its final answer.
async fn forward(
    context: &FrontContext,
    client: &ClientHandle,
    request: ReceivedRequest,
) -> FrontAnswer {
    let ReceivedRequest { head, method, fields, body } = request;
    // Its deadline counts from its last byte, also where that came behind another request or waited for memory.
    let arrived = context.clock.time_of(client.stream.last_read_at());
    client.stream.end_deferral();
    context.notify_admission(client, Admission::request_complete);
    let RequestHead { id, class, tenant, key, expires, target } = head;
    let request = RequestContext { class, tenant, key, deadline: arrived.plus(expires) };
    let message = Message {
        id,
        idempotency: context.settings.classes[class].idempotency,
        method,
        target,
        fields,
        body,
        attachment: Some(Box::new(context.take_request_charge(client)) as Box<dyn Any>),
        client: Some(Rc::<TrackedStream>::downgrade(&client.stream) as Weak<dyn Client>),
    };
    match context.service.clone().call(request, message) {
        Ok(reply) => reply.await.into(),
        Err(rejection) => rejection.into(),
    }
}
