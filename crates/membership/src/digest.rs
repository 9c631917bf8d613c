//! Digests by which two members compare their views.

use crate::message::Key;
use crate::peer::Health;

/// Returns a member's contribution to the digest of a view, which combines all contributions by exclusive or. It is 0
/// for members that are not reachable. A suspicion does not change it, because the member either refutes the suspicion
/// or is declared dead.
pub(crate) fn member_digest(key: Key, process_incarnation: u32, health: &Health) -> u32 {
    if !health.is_reachable() {
        return 0;
    }
    mix(u64::from(key) << 32 | u64::from(process_incarnation))
}

/// Hashes a value with the finalizer of splitmix64. A change of one input bit changes half of the output bits on
/// average.
pub(crate) fn mix(mut hash: u64) -> u32 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (hash ^ (hash >> 31)) as u32
}
