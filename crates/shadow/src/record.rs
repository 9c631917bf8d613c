//! Statistics of the compared pairs in bounded memory, which can be written, read again, and merged over balancers.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use sableloom_types::Span;
use serde::{Deserialize, Serialize};

use crate::compare::{Difference, Kind};

/// Format version of written records.
pub const FORMAT: u32 = 1;
/// Maximum number of places of differences that are counted separately, because answers may contain
/// arbitrarily many names.
const MAX_PLACES: usize = 256;
/// Number of examples that are kept of each place.
const EXAMPLES: usize = 3;
/// Longest latency that is distinguished, in microseconds: an hour.
const LONGEST: u64 = 3_600_000_000;

/// A histogram of latencies with two significant digits.
#[derive(Clone, Debug)]
pub struct LatencySummary(Histogram<u64>);

impl Default for LatencySummary {
    fn default() -> Self {
        // The bounds are valid constants, and the fallback has none.
        let times = Histogram::new_with_bounds(1, LONGEST, 2);
        Self(times.or_else(|_| Histogram::new(1)).unwrap_or_else(|_| unreachable!("3 digits")))
    }
}

impl LatencySummary {
    /// Adds a latency.
    pub fn add(&mut self, time: Span) {
        self.add_many(time.0.max(1) as u64, 1);
    }

    fn add_many(&mut self, us: u64, times: u64) {
        self.0.saturating_record_n(us.min(LONGEST), times);
    }

    /// This quantile in milliseconds; 0 if it is empty.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        self.0.value_at_quantile(share) as f64 / 1e3
    }

    /// Number of latencies.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    fn merge(&mut self, other: &LatencySummary) {
        other.cells().for_each(|(us, times)| self.add_many(us, times));
    }

    fn cells(&self) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.0.iter_recorded().map(|cell| (cell.value_iterated_to(), cell.count_at_value()))
    }
}

impl Serialize for LatencySummary {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.cells())
    }
}

impl<'de> Deserialize<'de> for LatencySummary {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut spread = Self::default();
        let cells: Vec<(u64, u64)> = Deserialize::deserialize(deserializer)?;
        cells.into_iter().for_each(|(us, times)| spread.add_many(us.max(1), times));
        Ok(spread)
    }
}

/// The outcome of a copy.
#[derive(Clone, Debug, PartialEq)]
pub enum CopyOutcome {
    /// Served after this time, with these differences from the live answer.
    Served(Span, Vec<Difference>),
    /// Not sent, because the candidate had no capacity left.
    Refused,
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

/// How often a place differed, in pairs whose answers could be compared.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PlaceCounts {
    /// At the candidate.
    pub candidate: u64,
    /// At the control group.
    pub control: u64,
    /// In pairs that the control group served as well: at the candidate only.
    pub candidate_only: u64,
    /// And at the control group only.
    pub control_only: u64,
    /// Examples.
    pub examples: Vec<Example>,
}

/// An example of a difference.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Example {
    /// The request's id.
    pub id: String,
    /// The live value, if values are kept.
    pub live: String,
    /// The candidate's value.
    pub candidate: String,
}

/// The statistics of one class.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Latency objective in milliseconds.
    pub aim_ms: f64,
    /// Whether its requests are copied.
    pub copied: bool,
    /// Copies that have ended.
    pub ended: u64,
    /// Of those: not sent, because the candidate had no capacity left.
    pub refused: u64,
    /// Failed at the candidate.
    pub failed: u64,
    /// Served, and not compared because of a change in between.
    pub disturbed: u64,
    /// Served and without a difference.
    pub same: u64,
    /// Served and with one.
    pub different: u64,
    /// In time live, late or failed at the candidate.
    pub late_candidate: u64,
    /// Late live, in time at the candidate.
    pub late_live: u64,
    /// Copies that the control group took; of those, failed there.
    pub control: (u64, u64),
    /// Compared pairs that the control group served as well.
    pub with_control: u64,
    /// In pairs that both took: failed at the candidate only, at the control group only.
    pub failed_only: (u64, u64),
    /// Live times of the pairs that the candidate served.
    pub live: LatencySummary,
    /// The candidate's times.
    pub candidate: LatencySummary,
    /// The control group's.
    pub control_times: LatencySummary,
    /// Where answers differed, and how: `/points value`.
    pub places: BTreeMap<String, PlaceCounts>,
    /// Differences in further places.
    pub elsewhere: u64,
}

/// The statistics of a shadow.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Record {
    /// Its format version.
    pub format: u32,
    /// The shadow's name.
    pub shadow: String,
    /// The pools, by name: live, candidate.
    pub pools: (String, String),
    /// The control group's, if there is one.
    pub control: Option<String>,
    /// When it began, and when it was written, in Unix milliseconds.
    pub from_ms: i64,
    /// See `from_ms`.
    pub until_ms: i64,
    /// Safe requests of its classes, those of the sample that were served, copies, rests.
    pub seen: u64,
    /// See `seen`.
    pub sampled: u64,
    /// See `seen`.
    pub copied: u64,
    /// See `seen`.
    pub rests: u64,
    /// Not copied, by reason.
    pub skipped: BTreeMap<String, u64>,
    /// By class.
    pub classes: Vec<Class>,
}

impl Record {
    /// An empty record. Classes have a name, a latency objective in milliseconds, and are copied or not.
    pub fn new(shadow: &str, classes: impl IntoIterator<Item = ((String, f64), bool)>) -> Self {
        let class = |((name, aim_ms), copied)| Class { name, aim_ms, copied, ..Class::default() };
        Self {
            format: FORMAT,
            shadow: shadow.to_string(),
            classes: classes.into_iter().map(class).collect(),
            ..Self::default()
        }
    }

    /// Adds a pair. Values of differences are kept only if `values` is set, because they may be private.
    pub fn add(&mut self, pair: &Pair<'_>, values: bool) {
        let Some(class) = self.classes.get_mut(pair.class) else { return };
        class.ended += 1;
        let in_time = |time: Span| time.as_micros_f64() / 1e3 <= class.aim_ms;
        let (live, candidate) = match &pair.candidate {
            CopyOutcome::Refused => {
                class.refused += 1;
                return;
            }
            CopyOutcome::Served(time, _) => (in_time(pair.live), in_time(*time)),
            CopyOutcome::Failed(_) => (in_time(pair.live), false),
        };
        class.late_candidate += u64::from(live && !candidate);
        class.late_live += u64::from(!live && candidate);
        let failed = matches!(pair.candidate, CopyOutcome::Failed(_));
        class.failed += u64::from(failed);
        match &pair.control {
            None | Some(CopyOutcome::Refused) => {}
            Some(control) => {
                let there = matches!(control, CopyOutcome::Failed(_));
                class.control.0 += 1;
                class.control.1 += u64::from(there);
                class.failed_only.0 += u64::from(failed && !there);
                class.failed_only.1 += u64::from(there && !failed);
                if let CopyOutcome::Served(time, _) = control {
                    class.control_times.add(*time);
                }
            }
        }
        let CopyOutcome::Served(time, differences) = &pair.candidate else { return };
        class.live.add(pair.live);
        class.candidate.add(*time);
        if pair.disturbed {
            class.disturbed += 1;
            return;
        }
        match differences.is_empty() {
            true => class.same += 1,
            false => class.different += 1,
        }
        let control = match &pair.control {
            Some(CopyOutcome::Served(_, differences)) => Some(differences.as_slice()),
            _ => None,
        };
        class.with_control += u64::from(control.is_some());
        class.differ(pair.id, differences, control, values);
    }

    /// An error unless its format version is known.
    pub fn known(&self) -> Result<(), String> {
        match self.format {
            FORMAT => Ok(()),
            other => Err(format!("form {other} is not known, {FORMAT} is")),
        }
    }

    /// Adds another balancer's record of the same shadow.
    pub fn merge(&mut self, other: &Record) -> Result<(), String> {
        let names = |r: &Record| r.classes.iter().map(|c| c.name.clone()).collect::<Vec<_>>();
        other.known()?;
        if self.shadow != other.shadow || names(self) != names(other) {
            return Err(format!(
                "it is of shadow {:?} with classes {:?}, not of {:?} with {:?}",
                other.shadow,
                names(other),
                self.shadow,
                names(self)
            ));
        }
        self.from_ms = self.from_ms.min(other.from_ms);
        self.until_ms = self.until_ms.max(other.until_ms);
        for (to, from) in [
            (&mut self.seen, other.seen),
            (&mut self.sampled, other.sampled),
            (&mut self.copied, other.copied),
            (&mut self.rests, other.rests),
        ] {
            *to = to.saturating_add(from);
        }
        for (why, times) in &other.skipped {
            let sum = self.skipped.entry(why.clone()).or_default();
            *sum = sum.saturating_add(*times);
        }
        self.classes.iter_mut().zip(&other.classes).for_each(|(class, other)| class.merge(other));
        Ok(())
    }
}

impl Class {
    /// Pairs that were compared.
    pub fn compared(&self) -> u64 {
        self.same.saturating_add(self.different)
    }

    /// Copies that were sent.
    pub fn sent(&self) -> u64 {
        self.ended.saturating_sub(self.refused)
    }

    fn place(&mut self, name: String) -> Option<&mut PlaceCounts> {
        if self.places.len() >= MAX_PLACES && !self.places.contains_key(&name) {
            self.elsewhere += 1;
            return None;
        }
        Some(self.places.entry(name).or_default())
    }

    /// Each place counts once a pair, however many members of a list differ.
    fn differ(
        &mut self,
        id: &str,
        candidate: &[Difference],
        control: Option<&[Difference]>,
        values: bool,
    ) {
        let named = |(at, kind): (&str, Kind)| format!("{at} {}", kind.name());
        let by_place = |all: &'_ [Difference]| -> BTreeMap<String, Difference> {
            // The first of each place stays.
            all.iter().rev().map(|d| (named((&d.at, d.kind)), d.clone())).collect()
        };
        let there = by_place(candidate);
        let here = control.map(by_place);
        for (name, difference) in &there {
            let too = here.as_ref().map(|here| here.contains_key(name));
            let Some(at) = self.place(name.clone()) else { continue };
            at.candidate += 1;
            at.candidate_only += u64::from(too == Some(false));
            if at.examples.len() < EXAMPLES {
                let text = |text: &str| if values { text.to_string() } else { String::new() };
                at.examples.push(Example {
                    id: id.to_string(),
                    live: text(&difference.live),
                    candidate: text(&difference.candidate),
                });
            }
        }
        for name in here.iter().flat_map(|here| here.keys()) {
            let only = !there.contains_key(name);
            let Some(at) = self.place(name.clone()) else { continue };
            at.control += 1;
            at.control_only += u64::from(only);
        }
    }

    fn merge(&mut self, other: &Class) {
        for (to, from) in [
            (&mut self.ended, other.ended),
            (&mut self.refused, other.refused),
            (&mut self.failed, other.failed),
            (&mut self.disturbed, other.disturbed),
            (&mut self.same, other.same),
            (&mut self.different, other.different),
            (&mut self.late_candidate, other.late_candidate),
            (&mut self.late_live, other.late_live),
            (&mut self.control.0, other.control.0),
            (&mut self.control.1, other.control.1),
            (&mut self.with_control, other.with_control),
            (&mut self.failed_only.0, other.failed_only.0),
            (&mut self.failed_only.1, other.failed_only.1),
            (&mut self.elsewhere, other.elsewhere),
        ] {
            *to = to.saturating_add(from);
        }
        self.live.merge(&other.live);
        self.candidate.merge(&other.candidate);
        self.control_times.merge(&other.control_times);
        for (name, from) in &other.places {
            let Some(at) = self.place(name.clone()) else { continue };
            for (to, from) in [
                (&mut at.candidate, from.candidate),
                (&mut at.control, from.control),
                (&mut at.candidate_only, from.candidate_only),
                (&mut at.control_only, from.control_only),
            ] {
                *to = to.saturating_add(from);
            }
            let room = EXAMPLES.saturating_sub(at.examples.len());
            at.examples.extend(from.examples.iter().take(room).cloned());
        }
    }
}
