//! The messages of the simulator's wire, borrowed from the input line. Types and fields are named as on the wire; times
//! are in milliseconds.

use std::borrow::Cow;

use arrayvec::ArrayVec;
use sableloom_types::settings::DeploymentSettings;
use serde::{Deserialize, Serialize};

/// A text that is copied only if it contains escapes.
pub(crate) type Text<'a> = Cow<'a, str>;

/// Messages that were delivered at one time.
#[derive(Deserialize)]
pub(crate) struct Batch<'a> {
    #[serde(rename = "Ts")]
    pub(crate) ts: f64,
    pub(crate) batch: u64,
    #[serde(borrow)]
    pub(crate) msgs: Vec<Event<'a>>,
}

/// Only the number of a batch that could not be read whole.
#[derive(Deserialize)]
pub(crate) struct BatchNumber {
    pub(crate) batch: u64,
}

/// A message to an instance.
#[derive(Deserialize)]
pub(crate) enum Event<'a> {
    #[serde(borrow)]
    Order(Order<'a>),
    #[serde(borrow)]
    Result(Outcome<'a>),
    TimeoutFired(TimeoutFired),
    #[serde(borrow)]
    Left(Left<'a>),
    #[serde(borrow)]
    Membership(Membership<'a>),
    #[serde(borrow)]
    Sampled(Sampled<'a>),
    #[serde(borrow)]
    Established(Established<'a>),
    Memo(Memo),
    Init(Box<Init>),
    Down(Down),
}

impl Event<'_> {
    /// The number of the instance that the message goes to; `None` for one that starts or ends an instance.
    pub(crate) fn instance(&self) -> Option<u64> {
        match self {
            Event::Order(message) => Some(message.who),
            Event::Result(message) => Some(message.who),
            Event::TimeoutFired(message) => Some(message.who),
            Event::Left(message) => Some(message.who),
            Event::Membership(message) => Some(message.who),
            Event::Sampled(message) => Some(message.who),
            Event::Established(message) => Some(message.who),
            Event::Memo(message) => Some(message.who),
            Event::Init(_) | Event::Down(_) => None,
        }
    }
}

/// A client's request.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Order<'a> {
    pub(crate) who: u64,
    #[serde(borrow)]
    pub(crate) job: Text<'a>,
    pub(crate) tier_class: usize,
    #[serde(default)]
    pub(crate) party: usize,
    #[serde(borrow, default)]
    pub(crate) object: Option<Text<'a>>,
    #[serde(rename = "DropDead")]
    pub(crate) deadline: f64,
}

/// Values of a load report, in the order of the settings.
pub(crate) type Row = ArrayVec<f64, 4>;

/// The end of an attempt.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Outcome<'a> {
    pub(crate) who: u64,
    #[serde(borrow)]
    pub(crate) job: Text<'a>,
    pub(crate) go: usize,
    #[serde(borrow)]
    pub(crate) upstream: Text<'a>,
    pub(crate) rc: u16,
    pub(crate) latency: f64,
    #[serde(default)]
    pub(crate) last: bool,
    #[serde(default)]
    pub(crate) metrics: Option<Row>,
}

/// A timer is due.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct TimeoutFired {
    pub(crate) who: u64,
    pub(crate) token: u64,
}

/// A client has left.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Left<'a> {
    pub(crate) who: u64,
    #[serde(borrow)]
    pub(crate) job: Text<'a>,
}

/// An answer has begun to stream.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Established<'a> {
    pub(crate) who: u64,
    #[serde(borrow)]
    pub(crate) job: Text<'a>,
}

/// A health check was answered.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Sampled<'a> {
    pub(crate) who: u64,
    pub(crate) rc: u16,
    pub(crate) latency: f64,
    #[serde(borrow)]
    pub(crate) upstream: Text<'a>,
    #[serde(default)]
    pub(crate) metrics: Option<Row>,
}

/// A message of another instance, which is ignored.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Memo {
    pub(crate) who: u64,
}

/// An instance is killed.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Down {
    pub(crate) who: u64,
}

/// An endpoint list, or a change to it.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Membership<'a> {
    pub(crate) who: u64,
    pub(crate) kind: ListKind,
    #[serde(borrow, default)]
    pub(crate) lines: Vec<Line<'a>>,
}

/// What a list contains.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum ListKind {
    Update,
    Replace,
    Restored,
    Unavailable,
}

/// An endpoint of a list.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Line<'a> {
    #[serde(borrow)]
    pub(crate) upstream: Text<'a>,
    #[serde(default)]
    pub(crate) az: u32,
    #[serde(default, rename = "Type")]
    pub(crate) kind: u32,
    #[serde(default)]
    pub(crate) pack: u32,
    pub(crate) status: Status,
    #[serde(default = "unknown_capacity")]
    pub(crate) capacity_hint: f64,
    #[serde(default)]
    pub(crate) online_since: f64,
}

fn unknown_capacity() -> f64 {
    1.0
}

/// State of an endpoint.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Status {
    Live,
    Quiescing,
    Dead,
}

/// An instance starts.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct Init {
    pub(crate) who: u64,
    pub(crate) entropy: u64,
    #[serde(rename = "Facts")]
    pub(crate) settings: DeploymentSettings,
}

/// An action of an instance.
#[derive(Serialize)]
pub(crate) enum Command<'a> {
    #[serde(rename_all = "PascalCase")]
    Relay { who: u64, job: &'a str, upstream: &'a str, allow_for: f64 },
    #[serde(rename_all = "PascalCase")]
    NotNow { who: u64, job: &'a str, cool_down: f64 },
    #[serde(rename_all = "PascalCase")]
    FinishError { who: u64, job: &'a str },
    #[serde(rename_all = "PascalCase")]
    Retract { who: u64, job: &'a str, go: usize },
    #[serde(rename_all = "PascalCase")]
    Arm { who: u64, token: u64, instant: f64 },
    #[serde(rename_all = "PascalCase")]
    Ping { who: u64, upstream: &'a str },
    #[serde(rename_all = "PascalCase")]
    KeepInformed { who: u64, enable: bool },
}
