//! Judges from the recorded pairs whether the candidate is as good as the live pool.

use crate::record::{ClassRecord, DifferenceCounts, Record};
use crate::statistics::{Estimate, discordant_excess, mcnemar_p_value, wilson_bounds};

/// Limits, as shares of pairs.
#[derive(Clone, Copy, Debug)]
pub struct JudgementLimits {
    /// Minimum number of compared pairs of a class for a judgement.
    pub min_pairs: u64,
    /// Maximum share of pairs that differ.
    pub max_differing: f64,
    /// Maximum share of copies that fail.
    pub max_failing: f64,
    /// Maximum excess of copies that are late while the live answer is in time, over the reverse.
    pub max_late_excess: f64,
}

impl Default for JudgementLimits {
    fn default() -> Self {
        Self { min_pairs: 100, max_differing: 0.0, max_failing: 0.005, max_late_excess: 0.01 }
    }
}

/// The subject of a finding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FindingKind {
    /// Too few pairs for a judgement.
    TooFewPairs,
    /// Answers differ at this path.
    Differs(String),
    /// Copies fail.
    Fails,
    /// Copies are late.
    Late,
}

/// A finding against the candidate, or one that the control group or the live side explains.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The class's name.
    pub class: String,
    /// Its subject.
    pub kind: FindingKind,
    /// Number of affected pairs.
    pub affected: u64,
    /// Number of all pairs.
    pub total: u64,
    /// Share of affected pairs, or its excess over that of the control group or the live side.
    pub estimate: Estimate,
    /// p-value of the excess, if there is something to compare with.
    pub p_value: Option<f64>,
    /// Whether it counts against the candidate.
    pub against: bool,
}

/// All findings.
#[derive(Clone, Debug, PartialEq)]
pub struct Judgement {
    /// The findings, by class.
    pub findings: Vec<Finding>,
}

impl Judgement {
    /// Whether any finding counts against the candidate.
    pub fn is_against_candidate(&self) -> bool {
        self.findings.iter().any(|finding| finding.against)
    }

    /// Whether any class has too few pairs.
    pub fn has_too_few_pairs(&self) -> bool {
        self.findings.iter().any(|finding| finding.kind == FindingKind::TooFewPairs)
    }
}

/// Significance level: the probability of rejecting an equivalent candidate.
const SIGNIFICANCE_LEVEL: f64 = 0.01;

/// Judges a record.
pub fn judge(record: &Record, limits: &JudgementLimits) -> Judgement {
    let copied = record.classes.iter().filter(|class| class.copied);
    Judgement { findings: copied.flat_map(|class| findings(class, limits)).collect() }
}

/// The findings of one class, in the order of a report.
fn findings(class: &ClassRecord, limits: &JudgementLimits) -> Vec<Finding> {
    let mut findings = Vec::new();
    findings.extend(too_few_pairs(class, limits));
    findings.extend(failing(class, limits));
    findings.extend(late(class, limits));
    let differences = class.differences.iter().filter(|(_, counts)| counts.candidate > 0);
    findings.extend(differences.map(|(path, counts)| differing(class, path, counts, limits)));
    findings
}

fn too_few_pairs(class: &ClassRecord, limits: &JudgementLimits) -> Option<Finding> {
    let unknown = Evidence {
        estimate: Estimate { share: 0.0, low: 0.0, high: 1.0 },
        p_value: None,
        against: false,
    };
    let (compared, kind) = (class.compared(), FindingKind::TooFewPairs);
    (compared < limits.min_pairs).then(|| unknown.finding(class, kind, compared, class.sent()))
}

fn failing(class: &ClassRecord, limits: &JudgementLimits) -> Option<Finding> {
    let (failed, sent, max) = (class.failed, class.sent(), limits.max_failing);
    let evidence = match class.control.taken {
        0 => share_alone(failed, sent, max),
        pairs => excess(class.failed_only.candidate, class.failed_only.control, pairs, max, 1),
    };
    (failed > 0).then(|| evidence.finding(class, FindingKind::Fails, failed, sent))
}

fn late(class: &ClassRecord, limits: &JudgementLimits) -> Option<Finding> {
    let (late, sent) = (class.late_candidate, class.sent());
    let evidence = excess(late, class.late_live, sent, limits.max_late_excess, 1);
    (late > 0).then(|| evidence.finding(class, FindingKind::Late, late, sent))
}

fn differing(
    class: &ClassRecord,
    path: &str,
    counts: &DifferenceCounts,
    limits: &JudgementLimits,
) -> Finding {
    let (differing, compared, max) = (counts.candidate, class.compared(), limits.max_differing);
    let evidence = match class.with_control {
        0 => share_alone(differing, compared, max),
        pairs => {
            let tests = class.differences.len();
            excess(counts.candidate_only, counts.control_only, pairs, max, tests)
        }
    };
    let kind = FindingKind::Differs(path.to_string());
    evidence.finding(class, kind, differing, compared)
}

/// What the pairs of a class show.
struct Evidence {
    estimate: Estimate,
    p_value: Option<f64>,
    against: bool,
}

impl Evidence {
    fn finding(self, class: &ClassRecord, kind: FindingKind, affected: u64, total: u64) -> Finding {
        let Evidence { estimate, p_value, against } = self;
        let class = class.name.clone();
        Finding { class, kind, affected, total, estimate, p_value, against }
    }
}

/// Evidence of a share that there is nothing to compare with: the whole confidence interval must be over the maximum.
fn share_alone(hits: u64, total: u64, max: f64) -> Evidence {
    let (low, high) = wilson_bounds(hits, total);
    let share = hits as f64 / total.max(1) as f64;
    Evidence { estimate: Estimate { share, low, high }, p_value: None, against: low > max }
}

/// Evidence of discordant pairs: the excess of one direction over the other must be significant and over the maximum.
/// With several `tests` each must be the more significant (Bonferroni correction).
fn excess(a: u64, b: u64, pairs: u64, max: f64, tests: usize) -> Evidence {
    let estimate = discordant_excess(a, b, pairs);
    let p_value = mcnemar_p_value(a, b);
    let significant = p_value < SIGNIFICANCE_LEVEL / tests.max(1) as f64;
    Evidence { estimate, p_value: Some(p_value), against: significant && estimate.share > max }
}
