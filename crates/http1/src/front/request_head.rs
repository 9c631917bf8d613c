//! What the head of a request says.

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;
use sableloom_types::Span;
use sableloom_types::settings::key_hash;

use super::context::FrontContext;
use super::dialect::{Dialect, class_of};

/// The longest that a client may wait, an hour: more is no deadline.
const MAX_EXPIRES_MS: i64 = 3_600_000;

/// What the head of a request says.
pub(super) struct RequestHead {
    pub(super) id: Bytes,
    pub(super) class: usize,
    pub(super) tenant: usize,
    pub(super) key: Option<u64>,
    /// How long its client waits for the answer.
    pub(super) expires: Span,
    pub(super) target: Bytes,
}

impl RequestHead {
    /// Parses the head, or returns the status that rejects it.
    pub(super) fn parse(context: &FrontContext, parts: &Parts) -> Result<Self, StatusCode> {
        let Parts { method, uri, headers, .. } = parts;
        let id = parse_id(context, headers)?;
        let class = class_of(&context.settings, &context.dialect, method, uri, headers)?;
        let tenant = parse_tenant(context, headers)?;
        let expires = parse_expires(context, class, headers)?;
        let key = text(headers, "x-object")?.map(key_hash);
        // Servers get the origin form, whatever form the client chose.
        let target = uri.path_and_query().map_or("/", |target| target.as_str());
        let target = Bytes::copy_from_slice(target.as_bytes());
        Ok(Self { id, class, tenant, key, expires, target })
    }
}

fn text<'h>(headers: &'h HeaderMap, name: &str) -> Result<Option<&'h str>, StatusCode> {
    let value = headers.get(name).map(|value| value.to_str()).transpose();
    value.map_err(|_| StatusCode::BAD_REQUEST)
}

fn parse_id(context: &FrontContext, headers: &HeaderMap) -> Result<Bytes, StatusCode> {
    match (text(headers, "x-trace-id")?.filter(|id| !id.is_empty()), &context.dialect) {
        (Some(id), _) => Ok(Bytes::copy_from_slice(id.as_bytes())),
        (None, Dialect::Platform) => Err(StatusCode::BAD_REQUEST),
        // It is unique at this balancer only, where alone it is used.
        (None, Dialect::Open(_)) => Ok(Bytes::from(format!(" {}", context.next_generated_id()))),
    }
}

fn parse_tenant(context: &FrontContext, headers: &HeaderMap) -> Result<usize, StatusCode> {
    let tenants = &context.settings.tenants;
    match text(headers, "x-customer")? {
        Some(name) if !tenants.is_empty() => {
            let index = tenants.iter().position(|tenant| tenant.name == name);
            index.ok_or(StatusCode::BAD_REQUEST)
        }
        _ => Ok(0),
    }
}

fn parse_expires(
    context: &FrontContext,
    class: usize,
    headers: &HeaderMap,
) -> Result<Span, StatusCode> {
    let bad = StatusCode::BAD_REQUEST;
    let expires_ms: i64 = match (text(headers, "x-expires-in-ms")?, &context.dialect) {
        (Some(text), _) => text.parse().map_err(|_| bad)?,
        (None, Dialect::Platform) => return Err(bad),
        (None, Dialect::Open(_)) => context.settings.classes[class].deadline as i64,
    };
    if !(1..=MAX_EXPIRES_MS).contains(&expires_ms) {
        return Err(bad);
    }
    Ok(Span(expires_ms * 1000))
}
