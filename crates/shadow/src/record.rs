//! Statistics of the compared pairs in bounded memory, which can be written, read again, and merged over balancers.
//!
//! The keys of a stored record are those of its first version; fields have other names since.

mod class;

use std::collections::BTreeMap;

use sableloom_types::Span;
use serde::{Deserialize, Serialize};

use crate::compare::Difference;

pub use class::{ClassRecord, ControlCounts, DifferenceCounts, Example, FailedOnly};

/// Format version of stored records.
const FORMAT: u32 = 1;

/// The outcome of a copy.
#[derive(Clone, Debug, PartialEq)]
pub enum CopyOutcome {
    /// Served after this time, with these differences from the live answer.
    Served(Span, Vec<Difference>),
    /// Not sent, because the candidate had no capacity left.
    NotSent,
    /// Failed after this time.
    Failed(Span),
}

/// A live answer and the outcomes of its copies.
#[derive(Clone, Debug)]
pub struct Pair<'a> {
    /// The class, by index.
    pub class: usize,
    /// The request's id.
    pub id: &'a str,
    /// How long the live answer took.
    pub live: Span,
    /// The outcome at the candidate.
    pub candidate: CopyOutcome,
    /// The outcome at the control group, if there is one.
    pub control: Option<CopyOutcome>,
    /// Whether a change in between may affect the answers.
    pub disturbed: bool,
}

/// Names of the pools of a shadow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(String, String)", into = "(String, String)")]
pub struct PoolNames {
    /// The live pool.
    pub live: String,
    /// The candidate.
    pub candidate: String,
}

impl From<(String, String)> for PoolNames {
    fn from((live, candidate): (String, String)) -> Self {
        Self { live, candidate }
    }
}

impl From<PoolNames> for (String, String) {
    fn from(names: PoolNames) -> Self {
        (names.live, names.candidate)
    }
}

/// Why a record can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Another version of the program wrote it.
    #[error("form {0} is not known, {FORMAT} is")]
    UnknownFormat(u32),
    /// It is of another shadow, or of other classes.
    #[error(
        "it is of shadow {other:?} with classes {other_classes:?}, not of {own:?} with {own_classes:?}"
    )]
    OtherShadow {
        /// The shadow's name in the other record.
        other: String,
        /// Names of the classes of the other record.
        other_classes: Vec<String>,
        /// The shadow's name.
        own: String,
        /// Names of the classes.
        own_classes: Vec<String>,
    },
}

/// The statistics of a shadow.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Record {
    /// Its format version.
    pub format: u32,
    /// The shadow's name.
    pub shadow: String,
    /// The live pool and the candidate.
    pub pools: PoolNames,
    /// The control group, if there is one.
    pub control: Option<String>,
    /// When it began, in Unix milliseconds.
    #[serde(rename = "from_ms")]
    pub started_ms: i64,
    /// When it was written, in Unix milliseconds.
    #[serde(rename = "until_ms")]
    pub written_ms: i64,
    /// Idempotent requests of the copied classes.
    pub seen: u64,
    /// Sampled requests that were served.
    pub sampled: u64,
    /// Copies.
    pub copied: u64,
    /// How often the circuit breaker opened.
    #[serde(rename = "rests")]
    pub breaker_openings: u64,
    /// Requests that were not copied, by reason.
    pub skipped: BTreeMap<String, u64>,
    /// By class.
    pub classes: Vec<ClassRecord>,
}

impl Record {
    /// An empty record of classes with a name, a latency objective in milliseconds, and whether they are copied.
    pub fn new(shadow: &str, classes: impl IntoIterator<Item = ((String, f64), bool)>) -> Self {
        let class = |((name, latency_objective_ms), copied)| ClassRecord {
            name,
            latency_objective_ms,
            copied,
            ..ClassRecord::default()
        };
        Self {
            format: FORMAT,
            shadow: shadow.to_string(),
            classes: classes.into_iter().map(class).collect(),
            ..Self::default()
        }
    }

    /// Adds a pair. Values of differences are kept only if `values` is set, because they may be private.
    pub fn add(&mut self, pair: &Pair<'_>, values: bool) {
        if let Some(class) = self.classes.get_mut(pair.class) {
            class.add(pair, values);
        }
    }

    /// Checks that this version of the program knows the format.
    ///
    /// # Errors
    ///
    /// If it does not.
    pub fn check_format(&self) -> Result<(), RecordError> {
        match self.format {
            FORMAT => Ok(()),
            other => Err(RecordError::UnknownFormat(other)),
        }
    }

    /// Adds another balancer's record of the same shadow.
    ///
    /// # Errors
    ///
    /// If the format of the other record is unknown, or it is of another shadow or of other classes. Nothing is added
    /// then.
    pub fn merge(&mut self, other: &Record) -> Result<(), RecordError> {
        other.check_format()?;
        let (own_classes, other_classes) = (self.class_names(), other.class_names());
        if self.shadow != other.shadow || own_classes != other_classes {
            let (own, other) = (self.shadow.clone(), other.shadow.clone());
            return Err(RecordError::OtherShadow { other, other_classes, own, own_classes });
        }
        self.started_ms = self.started_ms.min(other.started_ms);
        self.written_ms = self.written_ms.max(other.written_ms);
        add_each([
            (&mut self.seen, other.seen),
            (&mut self.sampled, other.sampled),
            (&mut self.copied, other.copied),
            (&mut self.breaker_openings, other.breaker_openings),
        ]);
        for (reason, count) in &other.skipped {
            add_each([(self.skipped.entry(reason.clone()).or_default(), *count)]);
        }
        self.classes.iter_mut().zip(&other.classes).for_each(|(class, other)| class.merge(other));
        Ok(())
    }

    fn class_names(&self) -> Vec<String> {
        self.classes.iter().map(|class| class.name.clone()).collect()
    }
}

/// Adds each count to its sum.
fn add_each<const N: usize>(counts: [(&mut u64, u64); N]) {
    for (sum, count) in counts {
        *sum = sum.saturating_add(count);
    }
}
