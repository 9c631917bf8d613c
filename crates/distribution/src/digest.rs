//! The hashes by which two sides see that they have the same. Not against forgers: against bit flips, lost
//! changes and mistaken copies.

use crate::name::{ResourceKind, ServiceName};
use crate::resource::Resource;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

fn fnv(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |h, b| (h ^ u64::from(*b)).wrapping_mul(FNV_PRIME))
}

/// The finalizer of MurmurHash3: every bit of the input changes about half of the bits of the output, so that
/// sums of hashes do not cancel out.
fn finish(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}

/// A 64-bit hash of bytes, the same in every build: FNV-1a and a finalizer.
pub fn hash_bytes(bytes: &[u8]) -> u64 {
    finish(fnv(FNV_OFFSET, bytes))
}

/// A resource's part of its service's digest: a hash of kind, key, version and body.
pub fn resource_digest(resource: &Resource) -> u64 {
    let kind = match resource.name.kind {
        ResourceKind::Pool => 0u8,
        ResourceKind::Server => 1,
        ResourceKind::Route => 2,
        ResourceKind::Tenant => 3,
    };
    let mut hash = fnv(FNV_OFFSET, &[kind]);
    hash = fnv(hash, &(resource.name.key.len() as u32).to_le_bytes());
    hash = fnv(hash, resource.name.key.as_bytes());
    hash = fnv(hash, &resource.version.to_le_bytes());
    hash = fnv(hash, resource.body.as_slice());
    finish(hash)
}

/// A service's part of the digest over all that a subscriber has.
pub fn scope_digest_term(service: &ServiceName, version: u64, digest: u64) -> u64 {
    let mut hash = fnv(FNV_OFFSET, service.as_str().as_bytes());
    hash = fnv(hash, &version.to_le_bytes());
    hash = fnv(hash, &digest.to_le_bytes());
    finish(hash)
}

/// The running hash over a history with one more change file.
pub fn next_chain_hash(chain: u64, epoch: u32, number: u64, hash: u64) -> u64 {
    let mut next = fnv(FNV_OFFSET, &chain.to_le_bytes());
    next = fnv(next, &epoch.to_le_bytes());
    next = fnv(next, &number.to_le_bytes());
    next = fnv(next, &hash.to_le_bytes());
    finish(next)
}
