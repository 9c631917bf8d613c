//! What a request's head asks for, and what is expected of it.

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use sableloom_types::Idempotency;
use sableloom_types::Span;
use sableloom_types::settings::{DeploymentSettings, key_hash};

use super::Frontend;

/// The longest that a client may wait, an hour: more is no deadline.
const EXPIRES_MAX_MS: i64 = 3_600_000;

/// What is expected of requests.
#[derive(Clone, Debug)]
pub enum Dialect {
    /// The platform's: each has an id and a time, and the effect of its class fixes its method.
    Platform,
    /// Any client's: what a request does not say is made up here. For each class, the methods that
    /// its requests may have.
    Open(Vec<Vec<Method>>),
}

/// The class of a request: the one that it names in `X-Qos`, or in the first part of its path;
/// where any client may come, else the first that has its method.
pub fn class_of(
    settings: &DeploymentSettings,
    dialect: &Dialect,
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
) -> Result<usize, StatusCode> {
    let bad = StatusCode::BAD_REQUEST;
    let named = headers.get("x-qos").map(|v| v.to_str().map_err(|_| bad)).transpose()?;
    let in_path = uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let known = |name: &str| settings.services.iter().position(|s| s.name == name);
    let keyed = headers.contains_key("idempotency-key");
    match dialect {
        Dialect::Platform => {
            let class = known(named.unwrap_or(in_path)).ok_or(bad)?;
            let idempotency = settings.services[class].idempotency;
            let fits = match idempotency {
                Idempotency::Idempotent => *method == Method::GET,
                Idempotency::Keyed => *method == Method::POST && keyed,
                Idempotency::NonIdempotent => *method == Method::POST,
            };
            match idempotency {
                _ if fits => Ok(class),
                Idempotency::Keyed if *method == Method::POST => Err(bad),
                _ => Err(StatusCode::METHOD_NOT_ALLOWED),
            }
        }
        Dialect::Open(methods) => {
            let has = |class: &usize| methods[*class].contains(method);
            let not_allowed = StatusCode::METHOD_NOT_ALLOWED;
            let class = match named {
                Some(name) => known(name).ok_or(bad)?,
                None => match known(in_path) {
                    Some(class) => class,
                    None => (0..methods.len()).find(has).ok_or(not_allowed)?,
                },
            };
            match settings.services[class].idempotency {
                _ if !has(&class) => Err(not_allowed),
                Idempotency::Keyed if !keyed => Err(bad),
                _ => Ok(class),
            }
        }
    }
}

/// What a request's head asks for.
pub(super) struct RequestHead {
    pub(super) id: Bytes,
    pub(super) class: usize,
    pub(super) tenant: usize,
    pub(super) key: Option<u64>,
    pub(super) expires: Span,
    pub(super) target: Bytes,
}

impl RequestHead {
    pub(super) fn read(
        frontend: &Frontend,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
    ) -> Result<Self, StatusCode> {
        let (settings, dialect) = (&frontend.settings, &frontend.dialect);
        let bad = StatusCode::BAD_REQUEST;
        let text = |name: &str| headers.get(name).map(|v| v.to_str().map_err(|_| bad)).transpose();
        let id = match (text("x-trace-id")?.filter(|id| !id.is_empty()), dialect) {
            (Some(id), _) => Bytes::copy_from_slice(id.as_bytes()),
            (None, Dialect::Platform) => return Err(bad),
            // It is for this balancer alone: no other one's requests are told apart by it.
            (None, Dialect::Open(_)) => {
                frontend.named.set(frontend.named.get() + 1);
                Bytes::from(format!(" {}", frontend.named.get()))
            }
        };
        let class = class_of(settings, dialect, method, uri, headers)?;
        let tenants = &settings.tenants;
        let tenant = match text("x-customer")? {
            Some(name) if !tenants.is_empty() => {
                tenants.iter().position(|t| t.name == name).ok_or(bad)?
            }
            _ => 0,
        };
        let expires: i64 = match (text("x-expires-in-ms")?, dialect) {
            (Some(text), _) => text.parse().map_err(|_| bad)?,
            (None, Dialect::Platform) => return Err(bad),
            (None, Dialect::Open(_)) => settings.services[class].deadline as i64,
        };
        if !(1..=EXPIRES_MAX_MS).contains(&expires) {
            return Err(bad);
        }
        let key = text("x-object")?.map(key_hash);
        // Servers get the origin form, whatever form the client chose.
        let target = uri.path_and_query().map_or("/", |p| p.as_str());
        let target = Bytes::copy_from_slice(target.as_bytes());
        Ok(Self { id, class, tenant, key, expires: Span(expires * 1000), target })
    }
}
