//! Whether the candidate is as good as what serves now, as far as the pairs can tell.

use crate::record::Record;

/// What is borne. Shares of pairs.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Fewer compared pairs of a class tell nothing.
    pub least: u64,
    /// Pairs that differ.
    pub differ: f64,
    /// Copies that fail.
    pub fail: f64,
    /// Copies that are late where the live answer was in time, beyond the reverse.
    pub late: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { least: 100, differ: 0.0, fail: 0.005, late: 0.01 }
    }
}

/// What was looked at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// Too few pairs to tell.
    Few,
    /// Answers differ in this place.
    Differs(String),
    /// Copies fail.
    Fails,
    /// Copies are late.
    Late,
}

/// One thing that speaks against the candidate, or that was explained.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The class's name.
    pub class: String,
    /// What it is.
    pub what: What,
    /// How many of how many pairs.
    pub pairs: (u64, u64),
    /// The share of pairs that it concerns, beyond what the control group or the live side shows as
    /// well, with its 95% bounds.
    pub share: (f64, f64, f64),
    /// How likely such an excess is if there is none; where there is something to set it against.
    pub chance: Option<f64>,
    /// It speaks against the candidate.
    pub against: bool,
}

/// The whole of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Judgement {
    /// What was found, by class.
    pub findings: Vec<Finding>,
}

impl Judgement {
    /// Something speaks against the candidate.
    pub fn against(&self) -> bool {
        self.findings.iter().any(|finding| finding.against)
    }

    /// Of some class there are too few pairs to tell.
    pub fn is_early(&self) -> bool {
        self.findings.iter().any(|finding| finding.what == What::Few)
    }
}

/// Chance that is borne of blaming a candidate that is as good.
const CHANCE: f64 = 0.01;
/// The normal distribution's quantile for two-sided bounds of 95%.
const Z: f64 = 1.959_964;

/// Bounds of 95% on a share, after Wilson (Journal of the American Statistical Association 22, 1927).
pub fn wilson(hits: u64, of: u64) -> (f64, f64) {
    if of == 0 {
        return (0.0, 1.0);
    }
    let (n, p) = (of as f64, hits as f64 / of as f64);
    let zz = Z * Z;
    let middle = (p + zz / (2.0 * n)) / (1.0 + zz / n);
    let half = Z / (1.0 + zz / n) * (p * (1.0 - p) / n + zz / (4.0 * n * n)).sqrt();
    // By arithmetic the bound of none is none; rounding must not make it something.
    let low = if hits == 0 { 0.0 } else { (middle - half).max(0.0) };
    let high = if hits == of { 1.0 } else { (middle + half).min(1.0) };
    (low, high)
}

/// How likely it is that, of `a + b` pairs that went either way, one way has so many or more, if both
/// ways are as likely: McNemar's test (Psychometrika 12, 1947), one-sided towards `a`; exact up to
/// 1,000 pairs, then with the normal distribution and a correction for continuity.
pub fn mcnemar(a: u64, b: u64) -> f64 {
    let n = a.saturating_add(b);
    if n == 0 || a <= b {
        return 1.0;
    }
    if n > 1000 {
        // Never under the true tail, and within 2% of it where it is under 1%: Mills' ratio.
        let z = (a as f64 - b as f64 - 1.0) / (n as f64).sqrt();
        return (-z * z / 2.0).exp() / (z * (2.0 * std::f64::consts::PI).sqrt()).max(1.0);
    }
    // P(X >= a) for X of n throws of a coin, from the top, in logarithms: 2^-1000 is still a double,
    // and its sums lose nothing that matters here.
    let mut log = -(n as f64) * std::f64::consts::LN_2;
    let mut sum = log.exp();
    for k in 0..n - a {
        log += ((n - k) as f64).ln() - ((k + 1) as f64).ln();
        sum += log.exp();
    }
    sum.min(1.0)
}

/// Judges a record.
pub fn judge(record: &Record, limits: &Limits) -> Judgement {
    let mut findings = Vec::new();
    for class in record.classes.iter().filter(|class| class.copied) {
        let sent = class.sent();
        let finding = |what, pairs: (u64, u64), share, chance, against| Finding {
            class: class.name.clone(),
            what,
            pairs,
            share,
            chance,
            against,
        };
        if class.compared() < limits.least {
            let pairs = (class.compared(), sent);
            findings.push(finding(What::Few, pairs, (0.0, 0.0, 1.0), None, false));
        }
        let alone = |hits: u64, of: u64, at_most: f64| {
            let (low, high) = wilson(hits, of);
            let share = hits as f64 / of.max(1) as f64;
            ((share, low, high), None, low > at_most)
        };
        // Two that went either way in the same pairs: what one has beyond the other.
        // Where many places are looked at, each bears less (Bonferroni).
        let beyond = |a: u64, b: u64, of: u64, at_most: f64, looks: usize| {
            let n = of.max(1) as f64;
            let share = (a as f64 - b as f64) / n;
            // Agresti and Min (Statistics in Medicine 24, 2005): half a pair added to each cell.
            let (x, y, m) = (a as f64 + 0.5, b as f64 + 0.5, n + 2.0);
            let middle = (x - y) / m;
            let half = Z * ((x + y - (x - y) * (x - y) / m).max(0.0)).sqrt() / m;
            let chance = mcnemar(a, b);
            let against = chance < CHANCE / looks.max(1) as f64 && share > at_most;
            ((share, middle - half, middle + half), Some(chance), against)
        };
        if class.failed > 0 {
            let (share, chance, against) = match class.control.0 {
                0 => alone(class.failed, sent, limits.fail),
                n => beyond(class.failed_only.0, class.failed_only.1, n, limits.fail, 1),
            };
            findings.push(finding(What::Fails, (class.failed, sent), share, chance, against));
        }
        if class.late_candidate > 0 {
            let (a, b) = (class.late_candidate, class.late_live);
            let (share, chance, against) = beyond(a, b, sent, limits.late, 1);
            findings.push(finding(What::Late, (a, sent), share, chance, against));
        }
        let places = class.places.iter().filter(|(_, at)| at.candidate > 0);
        for (place, at) in places {
            let pairs = (at.candidate, class.compared());
            let (share, chance, against) = match class.with_control {
                0 => alone(pairs.0, pairs.1, limits.differ),
                n => {
                    let (a, b) = (at.candidate_only, at.control_only);
                    beyond(a, b, n, limits.differ, class.places.len())
                }
            };
            findings.push(finding(What::Differs(place.clone()), pairs, share, chance, against));
        }
    }
    Judgement { findings }
}
