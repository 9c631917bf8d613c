//! Hashes that are spread evenly.

/// Spreads the bits of a hash over all 64 (the finalizer of SplitMix64): keys may be short numbers that stand for
/// themselves.
pub(crate) fn mix(hash: u64) -> u64 {
    let h = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}

/// A number from 0 to 1 that a hash stands for.
pub(crate) fn unit_interval(hash: u64) -> f64 {
    mix(hash) as f64 / 2f64.powi(64)
}
