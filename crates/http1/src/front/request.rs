//! One request: read whole, handed to the exchange, answered.

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
use hyper::{Request, Response, StatusCode};
use sableloom_admission::Admission;
use sableloom_exchange::{
    Answer as UpstreamAnswer, Client, Message, Reply, RequestContext, RequestRejection,
};
use tokio::time::timeout_at;

use super::Frontend;
use super::body::{Content, read_body};
use super::connection::Connection;
use super::head::RequestHead;
use crate::fields;
use crate::wire::Wire;

/// From its first byte, and on a new connection from the accept, a request has so long to be whole.
/// Guards against heads and bodies that don't end, trickle, or never begin; an honest client on a
/// line slower than that would be turned away, but its request's time would be over as well.
const TAKE: Duration = Duration::from_millis(2200);

/// A panic while one request is handled must not leave it unanswered.
pub(super) async fn respond(
    client: Rc<Connection>,
    request: Request<Incoming>,
) -> Response<Content> {
    let frontend = &client.frontend;
    client.handling.set(true);
    let answer = {
        let mut work = pin!(handle(frontend, &client, request));
        std::future::poll_fn(|cx| {
            let polled = std::panic::catch_unwind(AssertUnwindSafe(|| work.as_mut().poll(cx)));
            polled.unwrap_or_else(|_| {
                eprintln!("sableloom: a request's handling panicked; it has failed");
                Poll::Ready(plain(StatusCode::INTERNAL_SERVER_ERROR).closing())
            })
        })
        .await
    };
    client.handling.set(false);
    let Answer { mut response, close } = answer;
    let ends = client.answering(close || frontend.draining.get());
    if ends {
        let value = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, value);
    }
    response.map(|data| Content { data: Full::new(data), client, ends })
}

/// An answer, and whether its connection ends with it.
struct Answer {
    response: Response<Bytes>,
    close: bool,
}

impl Answer {
    fn closing(mut self) -> Self {
        self.close = true;
        self
    }
}

fn plain(status: StatusCode) -> Answer {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    Answer { response, close: false }
}

fn served(answer: UpstreamAnswer) -> Answer {
    let mut response = Response::new(answer.body);
    *response.headers_mut() = fields::headers(&answer.fields);
    Answer { response, close: false }
}

async fn handle(frontend: &Frontend, client: &Connection, request: Request<Incoming>) -> Answer {
    // One that came with the request before it has a time limit of its own.
    client.tell(Admission::pipelined_request);
    let begun =
        frontend.admission.borrow().request_started(client.id).unwrap_or_else(|| frontend.now());
    let until = frontend.clock.instant_of(begun) + TAKE;
    let (mut head, body) = request.into_parts();
    // A target in absolute form names the host, whatever the field says (RFC 9112, section 3.2.2).
    if let Some(host) = head.uri.authority().and_then(|a| HeaderValue::from_str(a.as_str()).ok()) {
        head.headers.insert(header::HOST, host);
    }
    if head.uri.path() == "/up" {
        return plain(match frontend.draining.get() {
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::OK,
        });
    }
    let wanted = match RequestHead::read(frontend, &head.method, &head.uri, &head.headers) {
        Ok(wanted) => wanted,
        // What follows on this connection may be out of step with it.
        Err(status) => return plain(status).closing(),
    };
    if head.headers.contains_key(header::TRANSFER_ENCODING) && client.lengths.seen.get() {
        return plain(StatusCode::BAD_REQUEST).closing();
    }
    let mut budget = None;
    let whole = timeout_at(until, read_body(&frontend.bodies, body, &mut budget));
    let whole = tokio::select! {
        biased;
        whole = whole => whole,
        () = client.refused.notified() => return plain(StatusCode::SERVICE_UNAVAILABLE).closing(),
    };
    let body = match whole {
        Ok(Ok(body)) => body,
        Ok(Err(status)) => return plain(status).closing(),
        Err(_) => return plain(StatusCode::REQUEST_TIMEOUT).closing(),
    };
    // It counts from its last byte, also where that came behind another request.
    let arrived = frontend.clock.time_of(client.wire.read_at.get());
    client.tell(Admission::request_complete);
    let RequestHead { id, class, tenant, key, expires, target } = wanted;
    let asked = RequestContext { class, tenant, key, deadline: arrived.plus(expires) };
    let message = Message {
        id,
        idempotency: frontend.settings.services[class].idempotency,
        method: Bytes::copy_from_slice(head.method.as_str().as_bytes()),
        target,
        fields: fields::end_to_end(head.headers),
        body,
        attachment: budget.map(|budget| Box::new(budget) as Box<dyn Any>),
        client: Some(Rc::<Wire>::downgrade(&client.wire) as Weak<dyn Client>),
    };
    let reply = match frontend.service.clone().call(asked, message) {
        Ok(reply) => reply,
        Err(RequestRejection::TooManyOpen) => return plain(StatusCode::SERVICE_UNAVAILABLE),
        Err(RequestRejection::DuplicateId) => return plain(StatusCode::CONFLICT).closing(),
        Err(RequestRejection::NoRoute(status)) => {
            return plain(StatusCode::from_u16(status).unwrap_or(StatusCode::NOT_FOUND));
        }
        Err(RequestRejection::OverTenantLimit(after)) => return over_limit(after),
    };
    match reply.await {
        Reply::Served(answer) => served(answer),
        Reply::Rejected(advice) => {
            let mut answer = plain(StatusCode::SERVICE_UNAVAILABLE);
            if let Some(advice) = advice {
                let seconds = format!("{:.3}", advice.as_secs_f64());
                if let Ok(value) = seconds.parse() {
                    answer.response.headers_mut().insert(header::RETRY_AFTER, value);
                }
            }
            answer
        }
        Reply::Failed => plain(StatusCode::BAD_GATEWAY),
    }
}

/// The answer to a request over its tenant's limit (RFC 6585, section 4). The time is in whole seconds (RFC 9110,
/// section 10.2.3), rounded up: a client that comes sooner would be refused again.
fn over_limit(after: Duration) -> Answer {
    let mut answer = plain(StatusCode::TOO_MANY_REQUESTS);
    let seconds = after.as_micros().div_ceil(1_000_000).max(1) as u64;
    answer.response.headers_mut().insert(header::RETRY_AFTER, seconds.into());
    answer
}
