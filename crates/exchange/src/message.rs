//! Requests and answers in a protocol-independent form.

use std::any::Any;
use std::rc::Weak;
use std::time::Duration;

use bytes::Bytes;
use sableloom_types::{Idempotency, Time};
use thiserror::Error;

use crate::fields::Fields;

/// The client that waits for the answer to a request.
pub trait Client {
    /// Whether the client has closed its connection or cancelled its request by now, as the operating system reports
    /// it, even if the front end has not read that far yet.
    fn is_gone(&self) -> bool;
}

/// A complete request as it is forwarded to servers.
pub struct Message {
    /// The id that the client gave to the request.
    pub id: Bytes,
    /// Whether the request may be executed more than once.
    pub idempotency: Idempotency,
    /// The method, by its HTTP name.
    pub method: Bytes,
    /// The target, in the form of a path with its query.
    pub target: Bytes,
    /// The end-to-end header fields of the request, including the one that carries the id.
    pub fields: Fields,
    /// The body.
    pub body: Bytes,
    /// A value that is dropped with the message: the permit for the body's share of a memory budget.
    pub attachment: Option<Box<dyn Any>>,
    /// The client, or `None` for one that can't disconnect. The reference is weak because attempts outlive client
    /// connections.
    pub client: Option<Weak<dyn Client>>,
}

impl Message {
    /// Whether the client of the request has disconnected.
    pub fn client_is_gone(&self) -> bool {
        let gone = |client: &Weak<dyn Client>| client.upgrade().is_none_or(|c| c.is_gone());
        self.client.as_ref().is_some_and(gone)
    }
}

/// The properties of a request that are passed to the policy.
#[derive(Clone, Copy, Debug)]
pub struct RequestContext {
    /// The index of the request's class.
    pub class: usize,
    /// The index of the request's tenant.
    pub tenant: usize,
    /// The hash of the request's affinity key, if it has one.
    pub key: Option<u64>,
    /// When the client stops waiting for the answer.
    pub deadline: Time,
}

/// A complete answer of a server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The header fields.
    pub fields: Fields,
    /// The body.
    pub body: Bytes,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The answer of a server.
    Served(Answer),
    /// The request was not executed and may be sent again, after this time (Retry-After) if one is given.
    Rejected(Option<Duration>),
    /// The request failed and may have been executed.
    Failed,
}

/// Why a request is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestRejection {
    /// Too many requests are open.
    #[error("too many requests are open")]
    TooManyOpen,
    /// Another open request has the same id.
    #[error("another open request has the same id")]
    DuplicateId,
    /// No route leads to a pool. The value is the HTTP status code to answer with.
    #[error("no route leads to a pool (status {0})")]
    NoRoute(u16),
    /// The tenant is over its limit. After this time a request of the tenant is within the limit again.
    #[error("the tenant is over its limit for {0:?}")]
    OverTenantLimit(Duration),
}
