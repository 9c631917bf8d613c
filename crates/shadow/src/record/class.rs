//! The statistics of one class of requests.

use std::collections::BTreeMap;

use sableloom_types::Span;
use serde::{Deserialize, Serialize};

use super::{CopyOutcome, Pair, add_each};
use crate::compare::Difference;
use crate::latency::LatencySummary;

/// Maximum number of differences that are counted separately, because answers may contain arbitrarily many names.
const MAX_DIFFERENCES: usize = 256;
/// Maximum number of examples that are kept of each difference.
const MAX_EXAMPLES: usize = 3;

/// How often answers differed in one way, in pairs whose answers could be compared.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DifferenceCounts {
    /// At the candidate.
    pub candidate: u64,
    /// At the control group.
    pub control: u64,
    /// In pairs that the control group served as well: at the candidate only.
    pub candidate_only: u64,
    /// In the same pairs: at the control group only.
    pub control_only: u64,
    /// Examples.
    pub examples: Vec<Example>,
}

impl DifferenceCounts {
    fn merge(&mut self, other: &DifferenceCounts) {
        add_each([
            (&mut self.candidate, other.candidate),
            (&mut self.control, other.control),
            (&mut self.candidate_only, other.candidate_only),
            (&mut self.control_only, other.control_only),
        ]);
        let free = MAX_EXAMPLES.saturating_sub(self.examples.len());
        self.examples.extend(other.examples.iter().take(free).cloned());
    }
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

/// Copies to the control group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct ControlCounts {
    /// Copies that were sent to it.
    pub taken: u64,
    /// Of those, the ones that failed.
    pub failed: u64,
}

impl From<(u64, u64)> for ControlCounts {
    fn from((taken, failed): (u64, u64)) -> Self {
        Self { taken, failed }
    }
}

impl From<ControlCounts> for (u64, u64) {
    fn from(counts: ControlCounts) -> Self {
        (counts.taken, counts.failed)
    }
}

/// Copies that were sent to both pools and failed at one of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct FailedOnly {
    /// At the candidate only.
    pub candidate: u64,
    /// At the control group only.
    pub control: u64,
}

impl From<(u64, u64)> for FailedOnly {
    fn from((candidate, control): (u64, u64)) -> Self {
        Self { candidate, control }
    }
}

impl From<FailedOnly> for (u64, u64) {
    fn from(failed: FailedOnly) -> Self {
        (failed.candidate, failed.control)
    }
}

/// The statistics of one class.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClassRecord {
    /// Its name.
    pub name: String,
    /// Its latency objective in milliseconds.
    #[serde(rename = "aim_ms")]
    pub latency_objective_ms: f64,
    /// Whether its requests are copied.
    pub copied: bool,
    /// Copies that have ended.
    pub ended: u64,
    /// Of those, the ones that were not sent, because the candidate had no capacity left.
    #[serde(rename = "refused")]
    pub not_sent: u64,
    /// Copies that failed at the candidate.
    pub failed: u64,
    /// Copies that were served, and not compared because of a change in between.
    pub disturbed: u64,
    /// Copies that were served without a difference.
    pub same: u64,
    /// Copies that were served with a difference.
    pub different: u64,
    /// Pairs in time at the live pool, late or failed at the candidate.
    pub late_candidate: u64,
    /// Pairs late at the live pool, in time at the candidate.
    pub late_live: u64,
    /// Copies to the control group.
    pub control: ControlCounts,
    /// Compared pairs that the control group served as well.
    pub with_control: u64,
    /// Copies that were sent to both pools and failed at one of them.
    pub failed_only: FailedOnly,
    /// Live latencies of the pairs that the candidate served.
    #[serde(rename = "live")]
    pub live_latency: LatencySummary,
    /// Latencies of the candidate.
    #[serde(rename = "candidate")]
    pub candidate_latency: LatencySummary,
    /// Latencies of the control group.
    #[serde(rename = "control_times")]
    pub control_latency: LatencySummary,
    /// Where answers differed, and how: `/points value`.
    #[serde(rename = "places")]
    pub differences: BTreeMap<String, DifferenceCounts>,
    /// Differences that are not counted separately.
    #[serde(rename = "elsewhere")]
    pub other_differences: u64,
}

impl ClassRecord {
    /// Number of compared pairs.
    pub fn compared(&self) -> u64 {
        self.same.saturating_add(self.different)
    }

    /// Number of copies that were sent.
    pub fn sent(&self) -> u64 {
        self.ended.saturating_sub(self.not_sent)
    }

    pub(super) fn add(&mut self, pair: &Pair<'_>, values: bool) {
        self.ended += 1;
        if pair.candidate == CopyOutcome::NotSent {
            self.not_sent += 1;
            return;
        }
        self.add_lateness(pair);
        self.add_failures(pair);
        let CopyOutcome::Served(latency, differences) = &pair.candidate else { return };
        self.live_latency.add(pair.live);
        self.candidate_latency.add(*latency);
        if pair.disturbed {
            self.disturbed += 1;
            return;
        }
        match differences.is_empty() {
            true => self.same += 1,
            false => self.different += 1,
        }
        let control = match &pair.control {
            Some(CopyOutcome::Served(_, differences)) => Some(differences.as_slice()),
            _ => None,
        };
        self.with_control += u64::from(control.is_some());
        self.add_differences(pair.id, differences, control, values);
    }

    fn add_lateness(&mut self, pair: &Pair<'_>) {
        let in_time = |latency: Span| latency.as_micros_f64() / 1e3 <= self.latency_objective_ms;
        let live = in_time(pair.live);
        let candidate =
            matches!(pair.candidate, CopyOutcome::Served(latency, _) if in_time(latency));
        self.late_candidate += u64::from(live && !candidate);
        self.late_live += u64::from(!live && candidate);
    }

    fn add_failures(&mut self, pair: &Pair<'_>) {
        let candidate_failed = matches!(pair.candidate, CopyOutcome::Failed(_));
        self.failed += u64::from(candidate_failed);
        let control_failed = match &pair.control {
            None | Some(CopyOutcome::NotSent) => return,
            Some(CopyOutcome::Failed(_)) => true,
            Some(CopyOutcome::Served(latency, _)) => {
                self.control_latency.add(*latency);
                false
            }
        };
        self.control.taken += 1;
        self.control.failed += u64::from(control_failed);
        self.failed_only.candidate += u64::from(candidate_failed && !control_failed);
        self.failed_only.control += u64::from(control_failed && !candidate_failed);
    }

    /// Counts each difference once a pair, however many elements of a list differ in the same way.
    fn add_differences(
        &mut self,
        id: &str,
        candidate: &[Difference],
        control: Option<&[Difference]>,
        values: bool,
    ) {
        let candidate = by_name(candidate);
        let control = control.map(by_name);
        for (name, difference) in &candidate {
            let at_control = control.as_ref().map(|control| control.contains_key(name));
            let Some(counts) = self.counts_of(name) else { continue };
            counts.candidate += 1;
            counts.candidate_only += u64::from(at_control == Some(false));
            if counts.examples.len() < MAX_EXAMPLES {
                let text = |text: &str| if values { text.to_string() } else { String::new() };
                counts.examples.push(Example {
                    id: id.to_string(),
                    live: text(&difference.live),
                    candidate: text(&difference.candidate),
                });
            }
        }
        for name in control.iter().flatten().map(|(name, _)| name) {
            let control_only = !candidate.contains_key(name);
            let Some(counts) = self.counts_of(name) else { continue };
            counts.control += 1;
            counts.control_only += u64::from(control_only);
        }
    }

    /// The counts of a difference, unless there are too many differences.
    fn counts_of(&mut self, name: &str) -> Option<&mut DifferenceCounts> {
        if self.differences.len() >= MAX_DIFFERENCES && !self.differences.contains_key(name) {
            self.other_differences += 1;
            return None;
        }
        Some(self.differences.entry(name.to_string()).or_default())
    }

    pub(super) fn merge(&mut self, other: &ClassRecord) {
        add_each([
            (&mut self.ended, other.ended),
            (&mut self.not_sent, other.not_sent),
            (&mut self.failed, other.failed),
            (&mut self.disturbed, other.disturbed),
            (&mut self.same, other.same),
            (&mut self.different, other.different),
            (&mut self.late_candidate, other.late_candidate),
            (&mut self.late_live, other.late_live),
            (&mut self.control.taken, other.control.taken),
            (&mut self.control.failed, other.control.failed),
            (&mut self.with_control, other.with_control),
            (&mut self.failed_only.candidate, other.failed_only.candidate),
            (&mut self.failed_only.control, other.failed_only.control),
            (&mut self.other_differences, other.other_differences),
        ]);
        self.live_latency.merge(&other.live_latency);
        self.candidate_latency.merge(&other.candidate_latency);
        self.control_latency.merge(&other.control_latency);
        for (name, counts) in &other.differences {
            if let Some(sum) = self.counts_of(name) {
                sum.merge(counts);
            }
        }
    }
}

/// Differences by path and kind; the first of each stays.
fn by_name(differences: &[Difference]) -> BTreeMap<String, &Difference> {
    let name = |difference: &Difference| format!("{} {}", difference.path, difference.kind.name());
    differences.iter().rev().map(|difference| (name(difference), difference)).collect()
}
