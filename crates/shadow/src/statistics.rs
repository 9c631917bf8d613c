//! Confidence bounds and significance of shares of pairs.

/// The normal distribution's quantile for two-sided bounds of 95%.
const NORMAL_QUANTILE_95: f64 = 1.959_964;
/// Maximum number of discordant pairs for which McNemar's test is exact: 2^-1000 is still a double.
const MAX_EXACT_PAIRS: u64 = 1000;

/// A share with its 95% confidence bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The share.
    pub share: f64,
    /// Its lower bound.
    pub low: f64,
    /// Its upper bound.
    pub high: f64,
}

/// The excess of `a` over `b` in `pairs` pairs, with the bounds of Agresti and Min (Statistics in Medicine 24, 2005):
/// half a pair is added to each cell.
pub(crate) fn discordant_excess(a: u64, b: u64, pairs: u64) -> Estimate {
    let n = pairs.max(1) as f64;
    let share = (a as f64 - b as f64) / n;
    let (x, y, m) = (a as f64 + 0.5, b as f64 + 0.5, n + 2.0);
    let middle = (x - y) / m;
    let variance = (x + y - (x - y) * (x - y) / m).max(0.0);
    let half = NORMAL_QUANTILE_95 * variance.sqrt() / m;
    Estimate { share, low: middle - half, high: middle + half }
}

/// 95% confidence bounds of a share, after Wilson (Journal of the American Statistical Association 22, 1927).
pub fn wilson_bounds(hits: u64, of: u64) -> (f64, f64) {
    if of == 0 {
        return (0.0, 1.0);
    }
    let (n, p) = (of as f64, hits as f64 / of as f64);
    let zz = NORMAL_QUANTILE_95 * NORMAL_QUANTILE_95;
    let middle = (p + zz / (2.0 * n)) / (1.0 + zz / n);
    let half =
        NORMAL_QUANTILE_95 / (1.0 + zz / n) * (p * (1.0 - p) / n + zz / (4.0 * n * n)).sqrt();
    // The lower bound of zero hits is exactly zero; rounding must not change that.
    let low = if hits == 0 { 0.0 } else { (middle - half).max(0.0) };
    let high = if hits == of { 1.0 } else { (middle + half).min(1.0) };
    (low, high)
}

/// The probability that `a` or more of `a + b` discordant pairs go one way if both ways are equally likely: McNemar's test (Psychometrika 12, 1947), one-sided towards `a`; exact up to
/// 1,000 pairs, then with the normal distribution and a correction for continuity.
pub fn mcnemar_p_value(a: u64, b: u64) -> f64 {
    let n = a.saturating_add(b);
    if n == 0 || a <= b {
        return 1.0;
    }
    if n > MAX_EXACT_PAIRS {
        // Never under the true tail, and within 2% of it where it is under 1%: Mills' ratio.
        let z = (a as f64 - b as f64 - 1.0) / (n as f64).sqrt();
        return (-z * z / 2.0).exp() / (z * (2.0 * std::f64::consts::PI).sqrt()).max(1.0);
    }
    // P(X >= a) for X of n tosses of a coin, summed from the top in logarithms, whose rounding does not matter here.
    let mut log = -(n as f64) * std::f64::consts::LN_2;
    let mut sum = log.exp();
    for k in 0..n - a {
        log += ((n - k) as f64).ln() - ((k + 1) as f64).ln();
        sum += log.exp();
    }
    sum.min(1.0)
}
