//! Requests and answers in a form that belongs to no protocol.

use std::any::Any;
use std::rc::Weak;
use std::time::Duration;

use bytes::Bytes;
use sableloom_types::{Idempotency, Time};
use thiserror::Error;

use crate::fields::Fields;

/// The client that waits for the answer to a request.
pub trait Client {
    /// Whether it has closed its connection or cancelled its request, as far as the system can tell now, also
    /// if the front has not read that far yet.
    fn is_gone(&self) -> bool;
}

/// A complete request as it is forwarded to servers.
pub struct Message {
    /// Its id, as the client named it.
    pub id: Bytes,
    /// Whether it may be executed more than once.
    pub idempotency: Idempotency,
    /// The method, named as HTTP names it.
    pub method: Bytes,
    /// Its target, in the form of a path with its query.
    pub target: Bytes,
    /// The other fields that the client sent, the id included.
    pub fields: Fields,
    /// Its body.
    pub body: Bytes,
    /// Lives as long as the message: the permit for its body's share of a memory budget.
    pub attachment: Option<Box<dyn Any>>,
    /// The client, or `None` for one that can't disconnect. A weak reference, as attempts outlive connections.
    pub client: Option<Weak<dyn Client>>,
}

impl Message {
    /// Whether its client has disconnected.
    pub fn client_is_gone(&self) -> bool {
        let gone = |client: &Weak<dyn Client>| client.upgrade().is_none_or(|c| c.is_gone());
        self.client.as_ref().is_some_and(gone)
    }
}

/// What the policy sees of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestContext {
    /// Its class, by index.
    pub class: usize,
    /// Its tenant, by index.
    pub tenant: usize,
    /// The hash of its affinity key, if it has one.
    pub key: Option<u64>,
    /// When its client stops waiting.
    pub deadline: Time,
}

/// A complete answer of a server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Its fields.
    pub fields: Fields,
    /// Its body.
    pub body: Bytes,
}

/// The final answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A server's answer.
    Served(Answer),
    /// It was not executed and may be sent again, after the time of Retry-After if there is one.
    Rejected(Option<Duration>),
    /// It failed, and may have been executed.
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
    /// No route leads to a pool; the status to answer with, numbered as HTTP numbers them.
    #[error("no route leads to a pool (status {0})")]
    NoRoute(u16),
    /// Its tenant is over its limit; after this time a request is within it again.
    #[error("the tenant is over its limit for {0:?}")]
    OverTenantLimit(Duration),
}
