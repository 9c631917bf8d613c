//! A client's request as the policy sees it, and what a repeat of it may do.

use serde::Deserialize;

use crate::Time;

/// The caller's handle for a request; never reused while the request or one of its attempts is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Whether a request may be executed more than once. The names in the settings JSON are `retryable`, `dedup`
/// and `fragile`.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
pub enum Idempotency {
    /// May be repeated freely.
    #[serde(rename = "retryable")]
    Idempotent,
    /// Carries an idempotency key: the servers within one [`DedupScope`] drop repeats for a while.
    #[serde(rename = "dedup")]
    Keyed,
    /// Must never be executed twice.
    #[serde(rename = "fragile")]
    NonIdempotent,
}

/// Which servers recognise each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum DedupScope {
    /// All of them.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A request that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// The caller's handle.
    pub id: RequestId,
    /// Its class, by index in the settings.
    pub class: usize,
    /// Its tenant, by index in the settings.
    pub tenant: usize,
    /// Hash of its routing key, if it has one.
    pub key: Option<u64>,
    /// When the client stops waiting for the answer.
    pub deadline: Time,
}
