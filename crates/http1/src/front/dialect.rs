//! What is expected of a request, and its class.

use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use sableloom_types::Idempotency;
use sableloom_types::settings::DeploymentSettings;

/// What is expected of requests.
#[derive(Clone, Debug)]
pub enum Dialect {
    /// The platform's: each request has an id and a time, and the idempotency of its class determines its method.
    Platform,
    /// Any client's: what a request does not state gets a default. For each class, the methods that its requests may
    /// have.
    Open(Vec<Vec<Method>>),
}

/// The class of a request: the one that it names in `X-Qos`, or in the first part of its path; where any client may come,
/// else the first that has its method.
///
/// # Errors
///
/// The status of the answer if the request has no class, or its method or fields don't fit its class.
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
    let known = |name: &str| settings.classes.iter().position(|class| class.name == name);
    let has_key = headers.contains_key("idempotency-key");
    match dialect {
        Dialect::Platform => {
            let class = known(named.unwrap_or(in_path)).ok_or(bad)?;
            let idempotency = settings.classes[class].idempotency;
            let fits = match idempotency {
                Idempotency::Idempotent => *method == Method::GET,
                Idempotency::Keyed => *method == Method::POST && has_key,
                Idempotency::NonIdempotent => *method == Method::POST,
            };
            match idempotency {
                _ if fits => Ok(class),
                Idempotency::Keyed if *method == Method::POST => Err(bad),
                _ => Err(StatusCode::METHOD_NOT_ALLOWED),
            }
        }
        Dialect::Open(methods) => {
            let allows = |class: &usize| methods[*class].contains(method);
            let not_allowed = StatusCode::METHOD_NOT_ALLOWED;
            let class = match named {
                Some(name) => known(name).ok_or(bad)?,
                None => match known(in_path) {
                    Some(class) => class,
                    None => (0..methods.len()).find(allows).ok_or(not_allowed)?,
                },
            };
            match settings.classes[class].idempotency {
                _ if !allows(&class) => Err(not_allowed),
                Idempotency::Keyed if !has_key => Err(bad),
                _ => Ok(class),
            }
        }
    }
}
