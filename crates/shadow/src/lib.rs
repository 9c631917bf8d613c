//! The decisions of shadow traffic.
//!
//! Before a new version of a service gets requests of clients, operators want to know that it answers like the live one.
//! A balancer copies some of the live requests to a candidate and compares the answers. That must cost the live traffic
//! nothing, must never execute a request twice that is not idempotent, and must not blame a candidate for what chance
//! or a concurrent change explains.
//!
//! - [`Gate`] decides which answered requests are copied, within [`CopyLimits`]. Its circuit breaker is closed, open
//!   after consecutive failures, or half-open while a single probe is in flight.
//! - [`Changes`] knows which pairs of answers cannot be compared because of a change in between.
//! - [`compare()`] finds the differences of two answers.
//! - [`Record`] counts the outcomes of all pairs in bounded memory; [`judge()`] says what follows from them.
//!
//! The crate has no I/O and no clock: events and times in, decisions out.
//!
//! ```
//! use sableloom_shadow::{ComparedAnswer, ComparisonRules, compare};
//!
//! let rules = ComparisonRules { ignore: vec!["/at".parse()?], ..ComparisonRules::default() };
//! let answer = |body| ComparedAnswer { headers: &[], body };
//! let live = answer(br#"{"points": 7, "at": 1}"#);
//! let candidate = answer(br#"{"points": 8, "at": 2}"#);
//! let differences = compare(&rules, live, candidate);
//! assert_eq!(differences.len(), 1);
//! assert_eq!(differences[0].path, "/points");
//! # Ok::<(), sableloom_shadow::PatternError>(())
//! ```

mod changes;
mod compare;
mod counts;
mod gate;
mod hash;
mod json;
mod judge;
mod latency;
mod limits;
mod pattern;
mod record;
mod statistics;

pub use changes::Changes;
pub use compare::{
    ComparedAnswer, ComparisonRules, Difference, DifferenceKind, MAX_DIFFERENCES, compare,
};
pub use counts::{CopyCounts, SkipReason};
pub use gate::{CopyEnd, CopyInFlight, Gate};
pub use judge::{Finding, FindingKind, Judgement, JudgementLimits, judge};
pub use latency::LatencySummary;
pub use limits::{CopyLimits, SampleBy};
pub use pattern::{Pattern, PatternError};
pub use record::{
    ClassRecord, ControlCounts, CopyOutcome, DifferenceCounts, Example, FailedOnly, Pair,
    PoolNames, Record, RecordError,
};
pub use statistics::{Estimate, mcnemar_p_value, wilson_bounds};
