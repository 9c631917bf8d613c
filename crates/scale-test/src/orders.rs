//! What the coordinator and its workers say to each other: one JSON value a line.

use serde::{Deserialize, Serialize};

use crate::lateness::Lateness;
use crate::members::{MemberSet, MembersReport};
use crate::subscribers::{SubscriberSet, SubscribersReport};
use crate::usage::Usage;

/// What a worker is to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Start these members of a fleet.
    StartMembers(MemberSet),
    /// Say what its members have sent and know.
    Members,
    /// Start these subscribers.
    StartSubscribers(SubscriberSet),
    /// Say what its subscribers have received and hold.
    Subscribers,
    /// Begin a stretch of time: what was counted before is in no second of it.
    BeginStretch,
}

/// What a worker answers to an order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// It has begun.
    Begun,
    /// What its members have sent and know.
    Members(MembersReport),
    /// What its subscribers have received and hold.
    Subscribers(SubscribersReport),
    /// It could not.
    Failed(String),
}

/// A line of a worker: its answer, and how it fares.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The answer.
    pub reply: Reply,
    /// What its process has used since its start.
    pub usage: Usage,
    /// How late its loop was since the last report.
    pub lateness: Lateness,
}
