//! A client's request as the policy sees it, and whether it may be executed more than once.

use serde::Deserialize;

use crate::Time;

/// The caller's handle for a request. The caller does not reuse it while the request or one of its attempts is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Whether a request may be executed more than once. The settings JSON has `retryable`, `dedup` and `fragile` for the
/// variants.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be executed any number of times.
    #[serde(rename = "retryable")]
    Idempotent,
    /// The request carries an idempotency key, by which the servers within one [`DedupScope`] drop repeats for a while.
    #[serde(rename = "dedup")]
    Keyed,
    /// The request must not be executed twice.
    #[serde(rename = "fragile")]
    NonIdempotent,
}

/// The servers that drop repeats of each other's keyed requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum DedupScope {
    /// All servers.
    #[default]
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A request that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The caller's handle for the request.
    pub id: RequestId,
    /// The class, by index in the settings.
    pub class: usize,
    /// The tenant, by index in the settings.
    pub tenant: usize,
    /// A hash of the routing key, if the request has one.
    pub key: Option<u64>,
    /// When the client stops waiting for the answer.
    pub deadline: Time,
}
